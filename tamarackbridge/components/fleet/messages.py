"""What routers tell each other, several times a second."""

import enum

from tamarackbridge import core
from tamarackbridge.components.knowledge import messages as knowledge


class Way(enum.IntEnum):
    """Where a report goes in the fleet.

    Attributes:
        UP: To the hub of the sender's group.
        ACROSS: From hub to hub.
        DOWN: From a hub to a router of its group.
    """

    UP = 0
    ACROSS = 1
    DOWN = 2


class ServerWork(core.Message, frozen=True, array_like=True):
    """Work at one server."""

    server: str
    requests: int
    unread: int
    memory: int


class WorkspaceUse(core.Message, frozen=True, array_like=True):
    """What one workspace asked and got over the window."""

    workspace: str
    asked: int
    served: int
    admitted: int = 0
    shed: int = 0


class SeenLoad(core.Message, frozen=True, array_like=True):
    """Sums of how busy some routers see the model engines.

    Attributes:
        routers: The routers.
        wait_us: Sum of how long engines read before they begin, in
            microseconds.
        fill_millis: Sum of the taken parts of slots and memory, in thousandths.
    """

    routers: int
    wait_us: int
    fill_millis: int


class Held(core.Message, frozen=True, array_like=True):
    """Prompt parts that a server reads or uses."""

    server: str
    chains: tuple[int, ...]


class LeavingServer(core.Message, frozen=True, array_like=True):
    """A server said in an answer that it leaves.

    Attributes:
        server: Name of the server.
        address: Where it listens.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        age_ms: Time since it said so.
    """

    server: str
    address: str
    started_ms: int
    age_ms: int


class BusyServer(core.Message, frozen=True, array_like=True):
    """A server turns requests of some router away for a time."""

    server: str
    left_ms: int


class ZoneRouters(core.Message, frozen=True, array_like=True):
    """Peer addresses of the live routers of one availability zone.

    Attributes:
        zone: The zone.
        addresses: The routers.
        spare_centis: What each has to spare of its processor for requests of
            its peers, in hundredths of a core; empty where it is not told.
    """

    zone: str
    addresses: tuple[str, ...]
    spare_centis: tuple[int, ...] = ()


class Report(core.Message, frozen=True, array_like=True):
    """The shared view of a part of the fleet.

    Attributes:
        way: Tells which part. Up and across: the sender and those who report
            to it. Down: all but the receiver and those who report to it.
        work: All work of that part; servers that are missing have none.
        held: Prompt parts in use since the last report.
        use: Use of workspaces; None where it is not told this time.
        use_age_ms: Age of the oldest part of that use.
        seen: How busy that part sees the engines; told with the use.
        routers: The live routers of that part; None where they are not told
            this time.
        editions: How far the sender's knowledge reaches.
        ends: Whether the sender reports elsewhere from now on.
        leaving: Servers that said that they leave, as far as the sender knows.
        busy: Servers that turn the sender's requests away.
        reader: The hub that reads the store in the sender's place; empty if
            it reads for itself, or reports up.
    """

    way: Way
    work: tuple[ServerWork, ...] = ()
    held: tuple[Held, ...] = ()
    use: tuple[WorkspaceUse, ...] | None = None
    routers: tuple[ZoneRouters, ...] | None = None
    editions: tuple[knowledge.Edition, ...] = ()
    ends: bool = False
    leaving: tuple[LeavingServer, ...] = ()
    busy: tuple[BusyServer, ...] = ()
    reader: str = ""
    use_age_ms: int = 0
    seen: SeenLoad | None = None


class Introduction(core.Message, frozen=True, array_like=True):
    """The routers of the fleet, for one that does not know them."""

    routers: tuple[ZoneRouters, ...]


PEER_MESSAGES: tuple[type[core.Message], ...] = (
    Report,
    Introduction,
    knowledge.Snapshot,
)
"""The message types that may cross from one router to another."""
