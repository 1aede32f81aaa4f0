"""Where knowledge comes from."""

import dataclasses
import enum
from typing import Protocol, TypeAlias

import result

from tamarackbridge.components.knowledge import models


class Kind(enum.Enum):
    """What can be followed."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    ZONES = "zones"


class Trouble(enum.Enum):
    """Why the source gave nothing."""

    AWAY = "away"
    HISTORY_LOST = "history_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationIs:
    """The configuration that is in force."""

    configuration: models.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ServerIs:
    """A backend server is registered like this."""

    server: models.BackendServer


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGone:
    """A backend server is not registered so that it can be used."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOut:
    """An availability zone is taken out."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneBack:
    """An availability zone is in use again."""

    zone: str


Fact: TypeAlias = ConfigurationIs | ServerIs | ServerGone | ZoneOut | ZoneBack


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What is so, or what changed, up to a revision of the source."""

    facts: tuple[Fact, ...]
    revision: int


Answer: TypeAlias = result.Result[Facts, Trouble]


class Source(Protocol):
    """The store in which operators and backend servers write."""

    async def async_all(self, kind: Kind) -> Answer:
        """Returns all facts of a kind."""
        ...

    async def async_changes(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Answer:
        """Returns what changed after a revision; waits for a change."""
        ...
