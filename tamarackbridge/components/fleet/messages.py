"""Messages that routers exchange several times a second."""

import enum

from tamarackbridge import core
from tamarackbridge.components.knowledge import messages as knowledge


class Direction(enum.IntEnum):
    """Direction of a report within the fleet.

    Attributes:
        UP: To the hub of the sender's group.
        ACROSS: From hub to hub.
        DOWN: From a hub to a router of its group.
    """

    UP = 0
    ACROSS = 1
    DOWN = 2


class ServerWork(core.Message, frozen=True, array_like=True):
    """Work in flight at one backend server.

    Attributes:
        server: Name of the server.
        requests: Requests that wait or run there.
        pending_prefill_tokens: Prompt tokens that it has still to prefill.
        memory_tokens: Tokens that these requests occupy in its memory.
    """

    server: str
    requests: int
    pending_prefill_tokens: int
    memory_tokens: int


class WorkspaceUse(core.Message, frozen=True, array_like=True):
    """Cost of one workspace's requests over the share window, in tokens.

    Attributes:
        workspace: Name of the workspace.
        asked: Cost of the requests that arrived, without those shed.
        served: Cost of the requests that were sent to a server.
        admitted: Cost of the requests that were within its share.
        shed: Cost of the requests that a router had no processor time to
            accept.
    """

    workspace: str
    asked: int
    served: int
    admitted: int = 0
    shed: int = 0


class SeenLoad(core.Message, frozen=True, array_like=True):
    """Sums of the engine load that some routers observe.

    Attributes:
        routers: Number of these routers.
        wait_us: Sum of the time that engines need for pending prefill before
            they start a new request, in microseconds.
        fill_millis: Sum of the occupied fractions of slots and memory, in
            thousandths.
    """

    routers: int
    wait_us: int
    fill_millis: int


class Held(core.Message, frozen=True, array_like=True):
    """Prompt blocks that a server prefills or uses.

    Attributes:
        server: Name of the server.
        block_hashes: Hash of each block and all blocks before it.
    """

    server: str
    block_hashes: tuple[int, ...]


class LeavingServer(core.Message, frozen=True, array_like=True):
    """A server that announced its shutdown in an answer.

    Attributes:
        server: Name of the server.
        address: Address at which it listens.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        age_ms: Time since the announcement.
    """

    server: str
    address: str
    started_ms: int
    age_ms: int


class BusyServer(core.Message, frozen=True, array_like=True):
    """A server that rejects requests of some router for a time.

    Attributes:
        server: Name of the server.
        remaining_ms: Time until it accepts requests again.
    """

    server: str
    remaining_ms: int


class LimitedServer(core.Message, frozen=True, array_like=True):
    """What a server has said about its rate limit.

    Attributes:
        server: Name of the server.
        address: Address at which it listens.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        per_s: Requests a second that it takes from all routers; None if it has
            no limit any more.
        age_ms: Time since the answer.
    """

    server: str
    address: str
    started_ms: int
    per_s: float | None
    age_ms: int


class ServerSpeed(core.Message, frozen=True, array_like=True):
    """What some routers have observed of one server's speed.

    Attributes:
        server: Name of the server.
        incarnation: Identifier of the server's incarnation.
        age_ms: Age of the newest observation; negative if there is none.
        sums: Decayed sums of the observations, in thousandths, in the order of
            `speed_sums.SpeedSums`.
    """

    server: str
    incarnation: int
    age_ms: int
    sums: tuple[int, ...]


class ServiceDemand(core.Message, frozen=True, array_like=True):
    """Demand for a service without model engines.

    Attributes:
        service: Name of the service.
        centi_per_s: Hundredths of requests a second.
        once_centi_per_s: Of them, those of requests that may run only once.
    """

    service: str
    centi_per_s: int
    once_centi_per_s: int


class CrashSuspect(core.Message, frozen=True, array_like=True):
    """A request that a server had barely begun to answer when it crashed.

    Attributes:
        server: Name of the server.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        blocks: Shared blocks of the request's prompt that are not cleared.
        has_begun: Whether the head of the answer had been received.
        sent_ms: Time from sending the request to the crash.
        age_ms: Time since the crash.
    """

    server: str
    started_ms: int
    blocks: tuple[str, ...]
    has_begun: bool
    sent_ms: int
    age_ms: int


class ClearedBlock(core.Message, frozen=True, array_like=True):
    """A prompt block that was part of an answered prompt after a crash.

    Attributes:
        block: Identifier of the block.
        age_ms: Time since the answer.
    """

    block: str
    age_ms: int


class ZoneRouters(core.Message, frozen=True, array_like=True):
    """Peer addresses of the live routers of one availability zone.

    Attributes:
        zone: Name of the zone.
        addresses: Peer addresses of the routers.
        headroom_centis: Processor time that each router has left for requests
            of its peers, in hundredths of a core; empty if not reported.
    """

    zone: str
    addresses: tuple[str, ...]
    headroom_centis: tuple[int, ...] = ()


class RolloutCell(core.Message, frozen=True, array_like=True):
    """Counts of the responses of one version on one route in one zone.

    Attributes:
        route: Name of the route.
        zone: Availability zone of the servers.
        is_new: Whether the servers are of the rollout's target version.
        responses: Responses without refusals.
        bad: Those that failed or were slow, without crashes.
        crashed: Those that were lost because their server crashed.
        first_event_ms: Sum of the times to their first events.
    """

    route: str
    zone: str
    is_new: bool
    responses: int
    bad: int
    crashed: int
    first_event_ms: int


class RolloutTally(core.Message, frozen=True, array_like=True):
    """What the subset knows about one rollout order.

    Attributes:
        service: Name of the service.
        created: Revision of the store at which the order was created.
        target: Version that the service is to be moved to.
        duration_ms: Time from the order to its deadline.
        phase: The highest phase of the order in the subset.
        age_ms: Age of the order; negative if none knows it.
        routers: Number of routers of the subset that know the order.
        moved: Number of those that place requests at new servers only.
        in_flight_old: Requests in flight at servers of other versions.
        in_flight: Requests in flight at all servers of the service.
        cells: Counts of responses since the order.
    """

    service: str
    created: int
    target: str
    duration_ms: int
    phase: int
    age_ms: int
    routers: int
    moved: int
    in_flight_old: int
    in_flight: int
    cells: tuple[RolloutCell, ...]


class Report(core.Message, frozen=True, array_like=True):
    """The state of a subset of the fleet's routers.

    An `UP` or `ACROSS` report covers the sender and the routers that report
    to it. A `DOWN` report covers all routers except the receiver and those
    that report to it.

    Attributes:
        direction: Direction of the report; it determines the subset.
        work: All work of the subset; servers not listed have none.
        held_blocks: Prompt blocks used since the last report.
        use: Use of each workspace; None if left out of this report.
        routers: Live routers of the subset; None if left out of this report.
        versions: Version and age of the sender's copy of the store's data, by
            kind.
        is_final: Whether the sender reports to another hub from now on.
        leaving: Servers known to the sender to have announced their shutdown.
        busy: Servers that reject the sender's requests.
        store_reader: Hub from which the sender gets the store's data, in
            `ACROSS` reports; empty if the sender reads the store itself.
        use_age_ms: Age of the oldest value in `use`.
        engine_load: Engine load as the subset observes it; None if left out
            of this report.
        crash_suspects: Requests at the crash of a server, by which prompt
            blocks are quarantined.
        cleared_blocks: Prompt blocks that are no longer suspected.
        limited: Rate limits of servers.
        server_speeds: Learned speeds of servers with news.
        service_demand: Demand for services without model engines; None if left
            out of this report.
        rollouts: Rollout orders; None if left out of this report.
    """

    direction: Direction
    work: tuple[ServerWork, ...] = ()
    held_blocks: tuple[Held, ...] = ()
    use: tuple[WorkspaceUse, ...] | None = None
    routers: tuple[ZoneRouters, ...] | None = None
    versions: tuple[knowledge.Edition, ...] = ()
    is_final: bool = False
    leaving: tuple[LeavingServer, ...] = ()
    busy: tuple[BusyServer, ...] = ()
    store_reader: str = ""
    use_age_ms: int = 0
    engine_load: SeenLoad | None = None
    crash_suspects: tuple[CrashSuspect, ...] = ()
    cleared_blocks: tuple[ClearedBlock, ...] = ()
    limited: tuple[LimitedServer, ...] = ()
    server_speeds: tuple[ServerSpeed, ...] = ()
    service_demand: tuple[ServiceDemand, ...] | None = None
    rollouts: tuple[RolloutTally, ...] | None = None


class Introduction(core.Message, frozen=True, array_like=True):
    """The live routers of the fleet, sent to a router that knows too few."""

    routers: tuple[ZoneRouters, ...]


PEER_MESSAGES: tuple[type[core.Message], ...] = (
    Report,
    Introduction,
    knowledge.Snapshot,
)
"""The message types that a router accepts from another router."""
