"""What the checks of a configuration read and report."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import TypeAlias

from tamarackbridge.components.knowledge import models

Place: TypeAlias = tuple[str | int, ...]
"""Attribute of a configuration, from its root: attributes and indices."""


class Kind(enum.Enum):
    """What a finding is about.

    Attributes:
        ERROR: Routers can't read the configuration.
        NEVER_MATCHES: An entry that no request can use.
        CONTRADICTION: Values that exclude each other.
    """

    ERROR = "error"
    NEVER_MATCHES = "never_matches"
    CONTRADICTION = "contradiction"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a configuration.

    Attributes:
        kind: What it is about.
        place: Attribute that is at fault.
        text: Explanation for operators, without API keys.
    """

    kind: Kind
    place: Place
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A difference in meaning from the version in force.

    Attributes:
        subject: Route, service, workspace or section.
        attribute: What differs; empty for the subject as a whole.
        before: Value in force; empty if there is none.
        after: Value of the candidate; empty if there is none.
    """

    subject: str
    attribute: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A configuration, with entries that share a name or a key.

    Attributes:
        configuration: The configuration as routers use it.
        services: Names of all services, in order.
        workspaces: Names and API keys of all workspaces, in order.
    """

    configuration: models.Configuration
    services: tuple[str, ...]
    workspaces: tuple[tuple[str, tuple[str, ...]], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Where a configuration is to be used, as far as it is known.

    Attributes:
        servers: Number of servers by service; None if unknown.
        max_descriptors: File descriptors of a router; None if unknown.
        request_memory_bytes: Memory of a router for requests and their bodies;
            None if unknown.
    """

    servers: Mapping[str, int] | None = None
    max_descriptors: int | None = None
    request_memory_bytes: int | None = None
