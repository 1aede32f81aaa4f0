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
        lagging: Live routers that have not confirmed it.
    """

    generation: int
    lagging: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Who makes a change.

    Attributes:
        change_id: Identifier that the operator's client chose; a change that
            is asked for again with the same one is made once.
        author: Name that other operators are told on a conflict.
    """

    change_id: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All records of one generation.

    Attributes:
        generation: The generation; 0 while nothing was written.
        records: Its records.
        from_store: Whether they were read from the platform just now, or
            else are those in force on this router.
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

        A record that is no longer as in `base` is a conflict, and nothing is
        written. An empty change waits until the newest generation is
        accepted.
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
