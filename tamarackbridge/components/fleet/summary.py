"""Sums of the state of some routers, and their form in reports."""

from collections.abc import Collection, Iterable, Mapping
import dataclasses

from tamarackbridge.components.admission import observed_load, shares
from tamarackbridge.components.fleet import messages
from tamarackbridge.components.placement import ledger
from tamarackbridge.components.rollout import models as rollout

US_PER_S = 1_000_000
MILLIS = 1_000
CENTIS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The state of some routers.

    Attributes:
        work: Their work in flight, by server.
        use: Their use by workspace.
        routers: Their addresses, each with its zone.
        engine_load: Sums of the engine load that they observe.
        headroom_cores: Processor headroom of each router, in cores.
        rollouts: What they know of rollout orders.
    """

    work: Mapping[str, ledger.Work]
    use: Mapping[str, shares.Usage]
    routers: Mapping[str, str]
    engine_load: observed_load.ObservedLoad = observed_load.NO_LOAD
    headroom_cores: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    rollouts: rollout.Tallies = dataclasses.field(default_factory=dict)


def total(parts: Iterable[Summary]) -> Summary:
    """Returns the sum of summaries that have no router in common."""
    work: dict[str, ledger.Work] = {}
    use: dict[str, shares.Usage] = {}
    routers: dict[str, str] = {}
    engine_load = observed_load.NO_LOAD
    headroom_cores: dict[str, float] = {}
    rollouts: list[rollout.Tallies] = []
    for part in parts:
        for server, added in part.work.items():
            work[server] = work.get(server, ledger.NO_WORK).plus(added)
        for workspace, used in part.use.items():
            known = use.get(workspace, shares.NO_USAGE)
            use[workspace] = known.plus(used)
        routers.update(part.routers)
        headroom_cores.update(part.headroom_cores)
        engine_load = engine_load.plus(part.engine_load)
        if part.rollouts:
            rollouts.append(part.rollouts)
    return Summary(
        work,
        use,
        routers,
        engine_load,
        headroom_cores,
        rollout.total(rollouts),
    )


def subtract_use(
    whole: Mapping[str, shares.Usage], part: Mapping[str, shares.Usage]
) -> dict[str, shares.Usage]:
    """Returns the use of a sum without one of its parts."""
    rest = dict(whole)
    for workspace, used in part.items():
        rest[workspace] = rest[workspace].minus(used)
    return rest


def encode_work(
    work: Mapping[str, ledger.Work],
) -> tuple[messages.ServerWork, ...]:
    """Returns work in the form of a report; servers without any are omitted."""
    return tuple(
        messages.ServerWork(
            name,
            at_server.requests,
            at_server.pending_prefill_tokens,
            at_server.memory,
        )
        for name, at_server in work.items()
        if at_server != ledger.NO_WORK
    )


def subtract_work(
    whole: tuple[messages.ServerWork, ...], part: Mapping[str, ledger.Work]
) -> tuple[messages.ServerWork, ...]:
    """Returns the encoded work of a sum without one of its parts."""
    if not any(removed != ledger.NO_WORK for removed in part.values()):
        return whole
    rest = {entry.server: entry for entry in whole}
    for server, work in part.items():
        encoded = rest.get(server)
        if encoded is not None:
            rest[server] = messages.ServerWork(
                server,
                encoded.requests - work.requests,
                encoded.pending_prefill_tokens - work.pending_prefill_tokens,
                encoded.memory_tokens - work.memory,
            )
    return tuple(
        entry
        for entry in rest.values()
        if entry.requests or entry.pending_prefill_tokens or entry.memory_tokens
    )


def decode_work(
    encoded: Iterable[messages.ServerWork],
) -> dict[str, ledger.Work]:
    """Returns the work of a report, by server."""
    return {
        entry.server: ledger.Work(
            entry.requests, entry.pending_prefill_tokens, entry.memory_tokens
        )
        for entry in encoded
    }


def encode_use(
    use: Mapping[str, shares.Usage],
) -> tuple[messages.WorkspaceUse, ...]:
    """Returns the use of workspaces in the form of a report."""
    return tuple(
        messages.WorkspaceUse(
            name,
            int(used.requested),
            int(used.served),
            int(used.admitted),
            int(used.shed),
        )
        for name, used in use.items()
    )


def decode_use(
    encoded: Iterable[messages.WorkspaceUse],
) -> dict[str, shares.Usage]:
    """Returns the use in a report, by workspace."""
    return {
        entry.workspace: shares.Usage(
            entry.asked, entry.served, entry.admitted, entry.shed
        )
        for entry in encoded
    }


def encode_engine_load(load: observed_load.ObservedLoad) -> messages.SeenLoad:
    """Returns the observed engine load in the form of a report."""
    return messages.SeenLoad(
        load.routers,
        round(load.prefill_backlog_s * US_PER_S),
        round(load.fill * MILLIS),
    )


def decode_engine_load(
    encoded: messages.SeenLoad,
) -> observed_load.ObservedLoad:
    """Returns the observed engine load of a report."""
    return observed_load.ObservedLoad(
        encoded.routers,
        encoded.wait_us / US_PER_S,
        encoded.fill_millis / MILLIS,
    )


def encode_routers(
    routers: Mapping[str, str], headroom_cores: Mapping[str, float]
) -> tuple[messages.ZoneRouters, ...]:
    """Returns routers and their headroom in the form of a report.

    The headroom of a zone is omitted if none of its routers has any.
    """
    zones: dict[str, list[str]] = {}
    for address, zone in routers.items():
        zones.setdefault(zone, []).append(address)
    encoded = []
    for zone, found in sorted(zones.items()):
        addresses = tuple(sorted(found))
        centis = tuple(
            int(headroom_cores.get(router, 0.0) * CENTIS)
            for router in addresses
        )
        encoded.append(
            messages.ZoneRouters(zone, addresses, centis if any(centis) else ())
        )
    return tuple(encoded)


def decode_routers(encoded: Iterable[messages.ZoneRouters]) -> dict[str, str]:
    """Returns the routers of a report, each with its zone."""
    return {
        address: entry.zone for entry in encoded for address in entry.addresses
    }


def decode_headroom(
    encoded: Collection[messages.ZoneRouters],
) -> dict[str, float]:
    """Returns the headroom of each router of a report, in cores.

    It is 0 for routers without a reported value.
    """
    found = dict.fromkeys(decode_routers(encoded), 0.0)
    for entry in encoded:
        for address, centis in zip(
            entry.addresses, entry.headroom_centis, strict=False
        ):
            found[address] = centis / CENTIS
    return found


def encode_blocks(
    blocks: Iterable[tuple[str, int]],
) -> tuple[messages.Held, ...]:
    """Returns pairs of server and block hash in the form of a report."""
    servers: dict[str, list[int]] = {}
    for server, block_hash in blocks:
        servers.setdefault(server, []).append(block_hash)
    return tuple(
        messages.Held(server, tuple(block_hashes))
        for server, block_hashes in servers.items()
    )
