"""Protocols of the services that the operator interface uses."""

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
    """The change may have been written; read the records again."""
    NOT_CONFIRMED = "not_confirmed"
    """The change is written, but too few routers have confirmed it so far."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeError:
    """A change of records that was not accepted.

    Attributes:
        reason: Kind of the failure.
        detail: One line that names the record, key or other change.
    """

    reason: ChangeReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acceptance:
    """An accepted change.

    Attributes:
        generation: Generation in which the change is in force.
        lagging: Live routers that have not confirmed that generation.
    """

    generation: int
    lagging: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Who makes a change.

    Attributes:
        change_id: Identifier that the operator's client chose; a retry with
            the same identifier does not make the change twice.
        author: Name that the error shows to other operators whose change
            conflicts with this one.
    """

    change_id: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All records of one generation.

    Attributes:
        generation: The generation; 0 as long as nothing has been written.
        records: Its records.
        from_store: Whether they were just read from the platform; if not,
            they are those in force on this router.
    """

    generation: int
    records: changes.Stored
    from_store: bool


class ConfigWriter(Protocol):
    """Reads records from and writes them to the platform."""

    async def async_read(self) -> result.Result[Configuration, ChangeError]:
        """Reads all records from the platform."""
        ...

    def in_force(self) -> Configuration:
        """Returns the records that are in force on this router."""
        ...

    async def async_write(
        self, base: changes.Stored, wanted: changes.ChangeSet, origin: Origin
    ) -> result.Result[Acceptance, ChangeError]:
        """Writes a change to the records that were read as `base`.

        A record that has changed since `base` was read is a conflict, and
        nothing is written. An empty change writes nothing and waits until the
        newest generation is accepted.
        """
        ...


class StatusSource(Protocol):
    """The fleet as this router sees it."""

    def status(self) -> messages.Status:
        """Returns members, shards, servers and queues."""
        ...

    def explain(self, workspace: str) -> tuple[messages.Explanation, ...]:
        """Explains the service of a workspace on each shard held here."""
        ...

    def ready(self) -> bool:
        """Returns whether this router accepts new requests."""
        ...


class RequestIndex(Protocol):
    """Finds current and recent requests of this router."""

    def find(self, request_id: str) -> tuple[messages.RequestTrace, ...]:
        """Returns the request with this identifier; empty if unknown."""
        ...


class Telemetry(Protocol):
    """The metrics of this router."""

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        ...
