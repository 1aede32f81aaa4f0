"""Messages in which routers exchange their copies of the store's data."""

from tamarackbridge import core
from tamarackbridge.components.knowledge import models, source


class Edition(core.Message, frozen=True, array_like=True):
    """Version and age of the sender's copy of one kind of data.

    Attributes:
        kind: Kind of the data.
        revision: Revision of the store up to which the copy is complete.
        changed: Revision at which the data last changed.
        age_ms: Age of the copy when this was sent; negative if the sender has
            none.
        away: Whether the sender's last call to the store failed.
        era: Era of the store in which both revisions were counted; negative
            from senders that don't know of eras.
    """

    kind: source.Kind
    revision: int
    changed: int
    age_ms: int
    away: bool = False
    era: int = -1


class KnownServer(core.Message, frozen=True, array_like=True):
    """A server's registration in the sender's copy.

    Attributes:
        server: The registration.
        cold_ms: Warm-up time that is left for the server.
        lapses_ms: Time after which the server counts as removed; negative
            while it is registered.
    """

    server: models.BackendServer
    cold_ms: int
    lapses_ms: int


class Snapshot(core.Message, frozen=True, array_like=True):
    """The sender's whole copy of one kind of data.

    Attributes:
        edition: Version and age of the copy, and its kind.
        configuration: The configuration, if this is the kind.
        servers: All registrations, if this is the kind.
        zones_out: All evacuated zones, if this is the kind.
        zones_in_doubt: Those of them that the store lacks since it came back
            from an older copy, each with the milliseconds until it is used
            again.
        rollouts: All rollout orders, if this is the kind.
    """

    edition: Edition
    configuration: models.Configuration | None = None
    servers: tuple[KnownServer, ...] = ()
    zones_out: tuple[str, ...] = ()
    zones_in_doubt: tuple[tuple[str, int], ...] = ()
    rollouts: tuple[models.RolloutOrder, ...] = ()
