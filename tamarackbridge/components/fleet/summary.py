"""Sums of what parts of the fleet do."""

from collections.abc import Collection, Iterable, Mapping
import dataclasses

from tamarackbridge.components.admission import engine_load, shares
from tamarackbridge.components.fleet import messages
from tamarackbridge.components.placement import ledger

US_PER_S = 1_000_000
MILLIS = 1_000
CENTIS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What some routers do.

    Attributes:
        work: Their work by server.
        use: The use of workspaces at them.
        routers: Who they are, each with its zone.
        seen: How busy they see the engines.
        spare_cores: What each has to spare of its processor.
    """

    work: Mapping[str, ledger.Work]
    use: Mapping[str, shares.Usage]
    routers: Mapping[str, str]
    seen: engine_load.ObservedLoad = engine_load.NO_LOAD
    spare_cores: Mapping[str, float] = dataclasses.field(default_factory=dict)


def total(parts: Iterable[Summary]) -> Summary:
    """Returns the sum of parts that have no router in common."""
    work: dict[str, ledger.Work] = {}
    use: dict[str, shares.Usage] = {}
    routers: dict[str, str] = {}
    seen = engine_load.NO_LOAD
    spare_cores: dict[str, float] = {}
    for part in parts:
        for server, it in part.work.items():
            work[server] = work.get(server, ledger.NOTHING).plus(it)
        for workspace, used in part.use.items():
            known = use.get(workspace, shares.NO_USAGE)
            use[workspace] = known.plus(used)
        routers.update(part.routers)
        spare_cores.update(part.spare_cores)
        seen = seen.plus(part.seen)
    return Summary(work, use, routers, seen, spare_cores)


def use_less(
    whole: Mapping[str, shares.Usage], part: Mapping[str, shares.Usage]
) -> dict[str, shares.Usage]:
    """Returns the use of a sum without one of its parts."""
    rest = dict(whole)
    for workspace, used in part.items():
        rest[workspace] = rest[workspace].minus(used)
    return rest


def work_told(
    work: Mapping[str, ledger.Work],
) -> tuple[messages.ServerWork, ...]:
    """Returns work as it is told."""
    return tuple(
        messages.ServerWork(name, it.requests, it.unread, it.memory)
        for name, it in work.items()
        if it != ledger.NOTHING
    )


def work_told_less(
    whole: tuple[messages.ServerWork, ...], part: Mapping[str, ledger.Work]
) -> tuple[messages.ServerWork, ...]:
    """Returns the work of a sum as it is told without one of its parts."""
    if not any(it != ledger.NOTHING for it in part.values()):
        return whole
    rest = {it.server: it for it in whole}
    for server, work in part.items():
        told = rest.get(server)
        if told is not None:
            rest[server] = messages.ServerWork(
                server,
                told.requests - work.requests,
                told.unread - work.unread,
                told.memory - work.memory,
            )
    return tuple(
        it for it in rest.values() if it.requests or it.unread or it.memory
    )


def work_heard(
    told: Iterable[messages.ServerWork],
) -> dict[str, ledger.Work]:
    """Returns work that was told."""
    return {
        it.server: ledger.Work(it.requests, it.unread, it.memory) for it in told
    }


def use_told(
    use: Mapping[str, shares.Usage],
) -> tuple[messages.WorkspaceUse, ...]:
    """Returns the use of workspaces as it is told."""
    return tuple(
        messages.WorkspaceUse(
            name,
            int(it.requested),
            int(it.served),
            int(it.admitted),
            int(it.shed),
        )
        for name, it in use.items()
    )


def use_heard(
    told: Iterable[messages.WorkspaceUse],
) -> dict[str, shares.Usage]:
    """Returns use of workspaces that was told."""
    return {
        it.workspace: shares.Usage(it.asked, it.served, it.admitted, it.shed)
        for it in told
    }


def seen_told(seen: engine_load.ObservedLoad) -> messages.SeenLoad:
    """Returns how busy engines are seen, as it is told."""
    return messages.SeenLoad(
        seen.routers,
        round(seen.wait_s * US_PER_S),
        round(seen.fill * MILLIS),
    )


def seen_heard(told: messages.SeenLoad) -> engine_load.ObservedLoad:
    """Returns how busy engines are seen, as it was told."""
    return engine_load.ObservedLoad(
        told.routers, told.wait_us / US_PER_S, told.fill_millis / MILLIS
    )


def routers_told(
    routers: Mapping[str, str], spare_cores: Mapping[str, float]
) -> tuple[messages.ZoneRouters, ...]:
    """Returns routers as they are told, with what each has to spare."""
    zones: dict[str, list[str]] = {}
    for address, zone in routers.items():
        zones.setdefault(zone, []).append(address)
    told = []
    for zone, found in sorted(zones.items()):
        addresses = tuple(sorted(found))
        centis = tuple(
            int(spare_cores.get(it, 0.0) * CENTIS) for it in addresses
        )
        told.append(
            messages.ZoneRouters(zone, addresses, centis if any(centis) else ())
        )
    return tuple(told)


def routers_heard(told: Iterable[messages.ZoneRouters]) -> dict[str, str]:
    """Returns routers that were told, each with its zone."""
    return {address: it.zone for it in told for address in it.addresses}


def spare_heard(told: Collection[messages.ZoneRouters]) -> dict[str, float]:
    """Returns what routers were told to have to spare, in cores."""
    found = dict.fromkeys(routers_heard(told), 0.0)
    for it in told:
        for address, centis in zip(it.addresses, it.spare_centis, strict=False):
            found[address] = centis / CENTIS
    return found


def held_told(
    held: Iterable[tuple[str, int]],
) -> tuple[messages.Held, ...]:
    """Returns held prompt parts as they are told."""
    servers: dict[str, list[int]] = {}
    for server, chain in held:
        servers.setdefault(server, []).append(chain)
    return tuple(
        messages.Held(server, tuple(chains))
        for server, chains in servers.items()
    )
