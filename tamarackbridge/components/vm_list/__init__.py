"""Access to the platform's list of VMs."""

import enum
from typing import Protocol

import msgspec
import result

from tamarackbridge import exceptions


class VmListError(exceptions.TamarackbridgeError):
    """The VM list gave no usable answer."""


class VmState(enum.Enum):
    """What the platform says of one VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM as the platform lists it; the list lags.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        address: Its IP address, with a port where the platform knows one.
        state: Whether it is live or leaving.
    """

    name: str
    zone: str
    address: str
    state: VmState


class VmList(Protocol):
    """The platform's VM list as the product uses it."""

    async def async_list(self) -> result.Result[tuple[Vm, ...], VmListError]:
        """Returns the VMs that the platform knew some time ago."""
        ...
