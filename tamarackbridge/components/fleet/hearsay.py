"""What routers tell each other of what servers said of themselves."""

from collections.abc import Iterable, Mapping
import dataclasses

from tamarackbridge.components.fleet import messages
from tamarackbridge.components.placement import notices
from tamarackbridge.components.telemetry import events

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """What servers said of taking more work, as it is told."""

    leaving: tuple[messages.LeavingServer, ...] = ()
    busy: tuple[messages.BusyServer, ...] = ()


NOTHING = Said()


def take(
    known: notices.ServerNotices, src: str, msg: messages.Report, sent_at: float
) -> bool:
    """Takes what servers said elsewhere; says if one leaves anew."""
    for busy in msg.busy:
        known.apply_rejection(busy.server, sent_at + busy.left_ms / MS_PER_S)
    is_news = False
    for it in _leaving_heard(msg.leaving, sent_at):
        if known.apply_shutdown_notice(it):
            is_news = True
            age_s = round(sent_at - it.at, 3)
            events.write(events.ServerLeaving(it.server, src, age_s))
    return is_news


def said(known: notices.ServerNotices, now: float) -> Said:
    """Returns what servers said, as it is told now."""
    return Said(
        _leaving_told(known.shutdown_notices(now), now),
        _busy_told(known.remaining_closures_s(now)),
    )


def _leaving_told(
    found: Iterable[notices.ShutdownNotice], now: float
) -> tuple[messages.LeavingServer, ...]:
    """Returns notices of leaving servers as they are told."""
    return tuple(
        messages.LeavingServer(
            it.server,
            it.address,
            it.started_ms,
            int((now - it.at) * MS_PER_S) + 1,
        )
        for it in found
    )


def _leaving_heard(
    told: Iterable[messages.LeavingServer], sent_at: float
) -> Iterable[notices.ShutdownNotice]:
    """Returns notices of leaving servers that were told."""
    for it in told:
        at = sent_at - max(it.age_ms, 0) / MS_PER_S
        yield notices.ShutdownNotice(it.server, it.address, it.started_ms, at)


def _busy_told(
    closed: Mapping[str, float],
) -> tuple[messages.BusyServer, ...]:
    """Returns closed servers as they are told."""
    return tuple(
        messages.BusyServer(server, int(left_s * MS_PER_S))
        for server, left_s in closed.items()
        if left_s > 0
    )
