"""What the operator interface needs of other services."""

import dataclasses
import enum
from typing import Protocol

import result

from tamarackbridge.components.operator import messages
from tamarackbridge.components.records import changes


class ChangeReason(enum.Enum):
    """Why a change of records was not accepted."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    STORE_UNAVAILABLE = "store_unavailable"
    """Nothing was written."""
    UNKNOWN = "unknown"
    """It may have been written; read the records again."""
    NOT_CONFIRMED = "not_confirmed"
    """It is written, but too few routers have confirmed it so far."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeError:
    """A change of records that was not accepted.

    Attributes:
        reason: What kind of failure it is.
        detail: One line that names the record, key or other change.
    """

    reason: ChangeReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acceptance:
    """An accepted change.

    Attributes:
        generation: Generation in which it is in force.
        confirmed: Routers that have it in force.
        missing: Routers that have not confirmed it.
    """

    generation: int
    confirmed: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


class ConfigWriter(Protocol):
    """Reads records from and writes them to the platform."""

    async def async_read(self) -> result.Result[changes.Stored, ChangeError]:
        """Reads all records with their versions."""
        ...

    async def async_write(
        self, base: changes.Stored, wanted: changes.ChangeSet
    ) -> result.Result[Acceptance, ChangeError]:
        """Writes a change to the records that were read as `base`.

        A record whose version is no longer that of `base` is a conflict.
        """
        ...


class StatusSource(Protocol):
    """What one router knows of the fleet."""

    def status(self) -> messages.Status:
        """Returns members, shards, servers and queues."""
        ...

    def explain(self, workspace: str) -> tuple[messages.Explanation, ...]:
        """Returns why a workspace gets its service, by shard held here."""
        ...

    def ready(self) -> bool:
        """Tells whether configuration is in force and work is accepted."""
        ...


class RequestIndex(Protocol):
    """Finds requests of this router by their identifier."""

    def find(self, request_id: str) -> tuple[messages.RequestTrace, ...]:
        """Returns what is known of a request; empty for nothing."""
        ...


class Telemetry(Protocol):
    """The counters of this router."""

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        ...
