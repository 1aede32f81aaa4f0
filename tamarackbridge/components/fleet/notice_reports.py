"""Converts server notices to and from the form in which routers report them.

A server notice is a server's announcement of its shutdown, its rejection of
requests for a time, or its rate limit.
"""

from collections.abc import Iterable, Mapping
import dataclasses

from tamarackbridge.components.fleet import messages
from tamarackbridge.components.placement import notices, rate_limits
from tamarackbridge.components.telemetry import events

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedNotices:
    """Server notices as a report carries them."""

    leaving: tuple[messages.LeavingServer, ...] = ()
    busy: tuple[messages.BusyServer, ...] = ()
    limited: tuple[messages.LimitedServer, ...] = ()


NO_NOTICES = EncodedNotices()


def apply_notices(
    server_notices: notices.ServerNotices,
    src: str,
    report: messages.Report,
    sent_at: float,
) -> bool:
    """Adds the notices of another router's report to the known ones.

    Returns:
        Whether a shutdown or a rate limit is new to this router.
    """
    for busy in report.busy:
        server_notices.apply_rejection(
            busy.server, sent_at + busy.remaining_ms / MS_PER_S
        )
    has_changes = False
    for notice in _decode_leaving(report.leaving, sent_at):
        if server_notices.apply_shutdown_notice(notice):
            has_changes = True
            age_s = round(sent_at - notice.at, 3)
            events.write(events.ServerLeaving(notice.server, src, age_s))
    for limit in report.limited:
        statement = rate_limits.Statement(
            limit.server,
            limit.address,
            limit.started_ms,
            limit.per_s,
            sent_at - max(limit.age_ms, 0) / MS_PER_S,
        )
        if server_notices.limits.apply(statement):
            has_changes = True
            events.write(events.ServerLimited(limit.server, src, limit.per_s))
    return has_changes


def encode_notices(
    server_notices: notices.ServerNotices, now: float
) -> EncodedNotices:
    """Returns the notices that other routers may need, with their ages."""
    return EncodedNotices(
        _encode_leaving(server_notices.shutdown_notices(now), now),
        _encode_busy(server_notices.remaining_closures_s(now)),
        _encode_limits(server_notices.limits.statements(now), now),
    )


def _encode_leaving(
    found: Iterable[notices.ShutdownNotice], now: float
) -> tuple[messages.LeavingServer, ...]:
    return tuple(
        messages.LeavingServer(
            notice.server,
            notice.address,
            notice.started_ms,
            int((now - notice.at) * MS_PER_S) + 1,
        )
        for notice in found
    )


def _decode_leaving(
    leaving: Iterable[messages.LeavingServer], sent_at: float
) -> Iterable[notices.ShutdownNotice]:
    for server in leaving:
        at = sent_at - max(server.age_ms, 0) / MS_PER_S
        yield notices.ShutdownNotice(
            server.server, server.address, server.started_ms, at
        )


def _encode_limits(
    statements: Iterable[rate_limits.Statement], now: float
) -> tuple[messages.LimitedServer, ...]:
    return tuple(
        messages.LimitedServer(
            statement.server,
            statement.address,
            statement.started_ms,
            statement.per_s,
            int((now - statement.at) * MS_PER_S) + 1,
        )
        for statement in statements
    )


def _encode_busy(
    closed: Mapping[str, float],
) -> tuple[messages.BusyServer, ...]:
    """Returns the servers that are closed, from the seconds left of it."""
    return tuple(
        messages.BusyServer(server, int(left_s * MS_PER_S))
        for server, left_s in closed.items()
        if left_s > 0
    )
