"""Access to the platform's list of VMs."""

import enum
from typing import Protocol

import msgspec
import result

from tamarackbridge import exceptions


class VmListError(exceptions.TamarackbridgeError):
    """The VM list could not be read."""


class VmState(enum.Enum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM as the platform lists it; the list may be outdated.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        address: Its IP address, with a port where the platform knows one.
        state: Whether it is live or about to shut down.
    """

    name: str
    zone: str
    address: str
    state: VmState


class VmList(Protocol):
    """Interface to the platform's VM list."""

    async def async_list(self) -> result.Result[tuple[Vm, ...], VmListError]:
        """Returns the VMs that the platform lists, possibly outdated."""
        ...
