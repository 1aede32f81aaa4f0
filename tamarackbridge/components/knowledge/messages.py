"""What routers tell each other of their knowledge."""

from tamarackbridge import core
from tamarackbridge.components.knowledge import models, source


class Edition(core.Message, frozen=True, array_like=True):
    """How far the sender's knowledge of one kind reaches.

    Attributes:
        kind: The kind.
        revision: Revision of the store up to which the sender knows all.
        changed: Revision at which the kind last changed.
        age_ms: Age of the sender's knowledge when this was sent; below zero
            for none.
        away: Whether the store gave the sender nothing on its last call.
    """

    kind: source.Kind
    revision: int
    changed: int
    age_ms: int
    away: bool = False


class KnownServer(core.Message, frozen=True, array_like=True):
    """A registration as the sender knows it.

    Attributes:
        server: The registration.
        cold_ms: Time for which the server stays cold from now on.
        lapses_ms: Time after which it counts as gone; below zero while it is
            registered.
    """

    server: models.BackendServer
    cold_ms: int
    lapses_ms: int


class Snapshot(core.Message, frozen=True, array_like=True):
    """All that the sender knows of one kind.

    Attributes:
        edition: How far it reaches.
        configuration: The configuration, if this is about it.
        servers: All registrations, if this is about them.
        zones_out: Zones taken out, if this is about them.
    """

    edition: Edition
    configuration: models.Configuration | None = None
    servers: tuple[KnownServer, ...] = ()
    zones_out: tuple[str, ...] = ()
