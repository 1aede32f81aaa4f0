"""Builds the reports that a router sends in one round."""

from collections.abc import Mapping, Sequence
import dataclasses

from tamarackbridge.components.fleet import (
    crash_reports,
    messages,
    notice_reports,
    rollout_reports,
    summary,
)
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.rollout import models as rollout


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRound:
    """What the reports of one round have in common.

    Attributes:
        has_routers: Whether the reports list routers.
        has_use: Whether the reports contain use and engine load.
        notices: Server notices; empty if left out of this round.
        crashes: Evidence against prompt blocks; empty if left out of this
            round.
        blocks: Prompt blocks used since the last round: the router that
            reported the block, the server that holds it, and the block hash.
        versions: Version and age of this router's copy of the store's data,
            by kind.
        has_rollouts: Whether the reports contain rollout orders.
    """

    has_routers: bool
    has_use: bool
    notices: notice_reports.EncodedNotices
    crashes: crash_reports.EncodedCrashes
    blocks: Sequence[tuple[str, str, int]]
    versions: tuple[knowledge.Edition, ...]
    has_rollouts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A report and its receiver."""

    to: str
    report: messages.Report


def build_group_report(
    report_round: ReportRound,
    direction: messages.Direction,
    group: Mapping[str, summary.Summary],
    use_age_ms: int,
) -> messages.Report:
    """Returns the report on a router and the routers that report to it.

    Args:
        report_round: What the reports of the round have in common.
        direction: Direction of the report, up or across.
        group: Summaries of these routers.
        use_age_ms: Age of the oldest use that the report contains.
    """
    whole = summary.total(group.values())
    blocks = summary.encode_blocks(
        (server, block_hash)
        for src, server, block_hash in report_round.blocks
        if src in group
    )
    return messages.Report(
        direction=direction,
        work=summary.encode_work(whole.work),
        held_blocks=blocks,
        use=summary.encode_use(whole.use) if report_round.has_use else None,
        routers=_encode_routers(whole) if report_round.has_routers else None,
        versions=report_round.versions,
        leaving=report_round.notices.leaving,
        busy=report_round.notices.busy,
        limited=report_round.notices.limited,
        crash_suspects=report_round.crashes.suspects,
        cleared_blocks=report_round.crashes.cleared,
        use_age_ms=use_age_ms,
        engine_load=(
            summary.encode_engine_load(whole.engine_load)
            if report_round.has_use
            else None
        ),
        rollouts=(
            rollout_reports.encode(whole.rollouts)
            if report_round.has_rollouts
            else None
        ),
    )


def build_member_reports(
    report_round: ReportRound,
    whole: summary.Summary,
    members: Mapping[str, summary.Summary],
    use_ages_ms: Mapping[str, int],
) -> dict[str, messages.Report]:
    """Returns the report to each router that reports to this one.

    Args:
        report_round: What the reports of the round have in common.
        whole: Summary of the whole fleet.
        members: Summary of what each of these routers reported; it is left
            out of the report to that router.
        use_ages_ms: Age of the oldest use that each report contains.
    """
    work = summary.encode_work(whole.work)
    all_blocks = summary.encode_blocks(
        (block[1], block[2]) for block in report_round.blocks
    )
    return {
        to: messages.Report(
            direction=messages.Direction.DOWN,
            work=summary.subtract_work(work, part.work),
            held_blocks=_blocks_without(report_round, to, all_blocks),
            use=_use_without(whole, part) if report_round.has_use else None,
            routers=(
                _routers_without(whole, part)
                if report_round.has_routers
                else None
            ),
            versions=report_round.versions,
            leaving=report_round.notices.leaving,
            busy=report_round.notices.busy,
            limited=report_round.notices.limited,
            crash_suspects=report_round.crashes.suspects,
            cleared_blocks=report_round.crashes.cleared,
            use_age_ms=use_ages_ms[to],
            engine_load=(
                _engine_load_without(whole, part)
                if report_round.has_use
                else None
            ),
            rollouts=(
                rollout_reports.encode(
                    rollout.subtract(whole.rollouts, part.rollouts)
                )
                if report_round.has_rollouts
                else None
            ),
        )
        for to, part in members.items()
    }


def _blocks_without(
    report_round: ReportRound, to: str, all_blocks: tuple[messages.Held, ...]
) -> tuple[messages.Held, ...]:
    """Returns the prompt blocks that a router did not report itself."""
    if all(src != to for src, _, _ in report_round.blocks):
        return all_blocks
    return summary.encode_blocks(
        (server, block_hash)
        for src, server, block_hash in report_round.blocks
        if src != to
    )


def _use_without(
    whole: summary.Summary, part: summary.Summary
) -> tuple[messages.WorkspaceUse, ...]:
    """Returns the use of workspaces without that of one part."""
    return summary.encode_use(summary.subtract_use(whole.use, part.use))


def _engine_load_without(
    whole: summary.Summary, part: summary.Summary
) -> messages.SeenLoad:
    """Returns the engine load as all routers but those of a part observe it."""
    return summary.encode_engine_load(whole.engine_load.minus(part.engine_load))


def _encode_routers(whole: summary.Summary) -> tuple[messages.ZoneRouters, ...]:
    return summary.encode_routers(whole.routers, whole.headroom_cores)


def _routers_without(
    whole: summary.Summary, part: summary.Summary
) -> tuple[messages.ZoneRouters, ...]:
    """Returns the routers without those of one part."""
    return summary.encode_routers(
        {
            address: zone
            for address, zone in whole.routers.items()
            if address not in part.routers
        },
        whole.headroom_cores,
    )
