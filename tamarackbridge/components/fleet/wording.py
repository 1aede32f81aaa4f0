"""Words the reports that a router sends in one turn."""

from collections.abc import Mapping, Sequence
import dataclasses

from tamarackbridge.components.fleet import hearsay, messages, summary
from tamarackbridge.components.knowledge import messages as knowledge


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """What the reports of one turn have in common.

    Attributes:
        lists: Whether lists of routers go along.
        uses: Whether use and how busy the engines are seen go along.
        said: What servers said of taking more work.
        held: Prompt parts in use since the last turn, each with the router
            that told it and the server that holds it.
        editions: How far this router's knowledge reaches.
    """

    lists: bool
    uses: bool
    said: hearsay.Said
    held: Sequence[tuple[str, str, int]]
    editions: tuple[knowledge.Edition, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A report and who gets it."""

    to: str
    report: messages.Report


def onward(
    turn: Turn,
    way: messages.Way,
    below: Mapping[str, summary.Summary],
    use_age_ms: int,
) -> messages.Report:
    """Returns what a router and those that report to it do."""
    whole = summary.total(below.values())
    held = summary.held_told(
        (server, chain) for src, server, chain in turn.held if src in below
    )
    return messages.Report(
        way=way,
        work=summary.work_told(whole.work),
        held=held,
        use=summary.use_told(whole.use) if turn.uses else None,
        routers=_routers_told(whole) if turn.lists else None,
        editions=turn.editions,
        leaving=turn.said.leaving,
        busy=turn.said.busy,
        use_age_ms=use_age_ms,
        seen=summary.seen_told(whole.seen) if turn.uses else None,
    )


def down(
    turn: Turn,
    whole: summary.Summary,
    below: Mapping[str, summary.Summary],
    use_ages_ms: Mapping[str, int],
) -> dict[str, messages.Report]:
    """Returns what each router is told that reports to this one.

    Args:
        turn: What the reports have in common.
        whole: What the whole fleet does.
        below: The part of each of these routers.
        use_ages_ms: Age of the oldest use that each is told.
    """
    work = summary.work_told(whole.work)
    all_held = summary.held_told((it[1], it[2]) for it in turn.held)
    return {
        to: messages.Report(
            way=messages.Way.DOWN,
            work=summary.work_told_less(work, part.work),
            held=_held_beside(turn, to, all_held),
            use=_use_beside(whole, part) if turn.uses else None,
            routers=_routers_beside(whole, part) if turn.lists else None,
            editions=turn.editions,
            leaving=turn.said.leaving,
            busy=turn.said.busy,
            use_age_ms=use_ages_ms[to],
            seen=_seen_beside(whole, part) if turn.uses else None,
        )
        for to, part in below.items()
    }


def _held_beside(
    turn: Turn, to: str, all_held: tuple[messages.Held, ...]
) -> tuple[messages.Held, ...]:
    """Returns the prompt parts that a router did not tell itself."""
    if all(src != to for src, _, _ in turn.held):
        return all_held
    return summary.held_told(
        (server, chain) for src, server, chain in turn.held if src != to
    )


def _use_beside(
    whole: summary.Summary, part: summary.Summary
) -> tuple[messages.WorkspaceUse, ...]:
    """Returns the use of workspaces without that of one part."""
    return summary.use_told(summary.use_less(whole.use, part.use))


def _seen_beside(
    whole: summary.Summary, part: summary.Summary
) -> messages.SeenLoad:
    """Returns how busy all routers but those of one part see the engines."""
    return summary.seen_told(whole.seen.minus(part.seen))


def _routers_told(whole: summary.Summary) -> tuple[messages.ZoneRouters, ...]:
    return summary.routers_told(whole.routers, whole.spare_cores)


def _routers_beside(
    whole: summary.Summary, part: summary.Summary
) -> tuple[messages.ZoneRouters, ...]:
    """Returns the routers but those of one part."""
    return summary.routers_told(
        {
            address: zone
            for address, zone in whole.routers.items()
            if address not in part.routers
        },
        whole.spare_cores,
    )
