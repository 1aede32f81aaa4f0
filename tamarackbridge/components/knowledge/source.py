"""Interface of the store from which a router reads its local copy."""

import dataclasses
import enum
from typing import Protocol, TypeAlias

import result

from tamarackbridge.components.knowledge import models


class Kind(enum.Enum):
    """Kinds of data that are read from the store."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    ZONES = "zones"
    ROLLOUTS = "rollouts"


class Failure(enum.Enum):
    """Reasons for which a read returns no data."""

    UNREACHABLE = "away"
    HISTORY_LOST = "history_lost"


class StatusFailure(enum.Enum):
    """Reasons for which the status of an order is not written.

    Attributes:
        UNREACHABLE: The store did not take it.
        CONFLICT: The order was changed since it was read.
    """

    UNREACHABLE = "unreachable"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """A configuration is in force."""

    configuration: models.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUpdate:
    """A backend server is registered, or its registration has changed."""

    server: models.BackendServer


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRemoval:
    """A backend server has no usable registration."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """An availability zone is evacuated."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReturn:
    """An availability zone is in use again."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutUpdate:
    """A rollout is ordered, or its order or status has changed."""

    order: models.RolloutOrder


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRemoval:
    """The order of a rollout was deleted."""

    name: str


Update: TypeAlias = (
    ConfigurationUpdate
    | ServerUpdate
    | ServerRemoval
    | ZoneEvacuation
    | ZoneReturn
    | RolloutUpdate
    | RolloutRemoval
)


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateBatch:
    """All data of a kind, or its changes, up to a position of the store.

    Attributes:
        updates: The data or the changes.
        revision: The position.
    """

    updates: tuple[Update, ...]
    revision: int


Answer: TypeAlias = result.Result[UpdateBatch, Failure]


class Source(Protocol):
    """The store to which operators and backend servers write."""

    async def async_all(self, kind: Kind) -> Answer:
        """Returns all data of a kind."""
        ...

    async def async_changes(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Answer:
        """Returns the changes after a position.

        Waits for the first change, for at most `wait_s` seconds.
        """
        ...
