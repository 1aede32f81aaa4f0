"""Converts evidence against prompt blocks to and from its form in reports."""

import dataclasses

from tamarackbridge.components.fleet import messages
from tamarackbridge.components.placement import crash_evidence, quarantine
from tamarackbridge.components.telemetry import events

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedCrashes:
    """Evidence against prompt blocks as a report carries it."""

    suspects: tuple[messages.CrashSuspect, ...] = ()
    cleared: tuple[messages.ClearedBlock, ...] = ()


NO_CRASHES = EncodedCrashes()


def encode(evidence: quarantine.BlockQuarantine, now: float) -> EncodedCrashes:
    """Returns the evidence that other routers may need, with its age."""
    suspects = tuple(
        messages.CrashSuspect(
            suspect.server,
            suspect.started_ms,
            tuple(sorted(suspect.blocks)),
            suspect.has_begun,
            round((suspect.crashed_at - suspect.sent_at) * MS_PER_S),
            round((now - suspect.crashed_at) * MS_PER_S),
        )
        for suspect in evidence.suspects(now)
    )
    cleared = tuple(
        messages.ClearedBlock(block, round((now - cleared_at) * MS_PER_S))
        for block, cleared_at in evidence.clearances(now).items()
    )
    return EncodedCrashes(suspects, cleared)


def apply(
    evidence: quarantine.BlockQuarantine,
    report: messages.Report,
    sent_at: float,
    now: float,
) -> bool:
    """Adds the evidence of another router's report.

    Returns:
        Whether it quarantines a block, or ends a quarantine.
    """
    ended = [
        block
        for entry in report.cleared_blocks
        for block in evidence.apply_clearance(
            entry.block, sent_at - max(entry.age_ms, 0) / MS_PER_S
        )
    ]
    added = evidence.record_suspects(
        (_decode(entry, sent_at) for entry in report.crash_suspects), now
    )
    for block in ended:
        events.write(events.QuarantineEnded(block))
    for block in added:
        events.write(events.BlockQuarantined(block))
    return bool(added or ended)


def _decode(
    entry: messages.CrashSuspect, sent_at: float
) -> crash_evidence.Suspect:
    crashed_at = sent_at - max(entry.age_ms, 0) / MS_PER_S
    return crash_evidence.Suspect(
        server=entry.server,
        started_ms=entry.started_ms,
        blocks=frozenset(entry.blocks),
        has_begun=entry.has_begun,
        sent_at=crashed_at - max(entry.sent_ms, 0) / MS_PER_S,
        crashed_at=crashed_at,
    )
