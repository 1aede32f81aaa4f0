"""Learns which services mark the ends of their streams.

A stream with neither a length nor chunks ends with its connection (RFC 9112,
6.3), and so does one that is cut. From a service whose servers mark the ends of
their streams, an unmarked one is a fault, and its end proves nothing. A service
that never marks one has no other way to end a stream, and cuts are rare beside
whole streams as long as none was seen.
"""

import dataclasses
import math

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    attempt_progress,
    forward,
    jobs,
    relay,
)
from tamarackbridge.helpers import message_framing

MIN_STREAMS = 5
"""Unmarked streams after which a service counts as one that marks none. Servers
that fail to mark a tenth of their streams send so many in a row to one of a
hundred thousand routers that start."""

DISTRUST_S = 60.0
"""Time after the first stream of a service, and after one that was cut, in
which no unmarked end is trusted: cuts come in series while servers crash or are
replaced, and the first ones of a series can't be told."""


@dataclasses.dataclass(slots=True)
class _Service:
    """How the servers of a service have ended their streams.

    Attributes:
        marks: Whether any stream had a length or chunks.
        unmarked: Number of streams with neither that ended in good order.
        doubted_at: Time of its first stream, or at which an unmarked one was
            last found to be cut.
    """

    marks: bool = False
    unmarked: int = 0
    doubted_at: float = math.inf


class EndMarks:
    """How the services have ended their streams since the router started."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record_end(
        self,
        service: str,
        framing: message_framing.Framing,
        shows_cut: bool,
        now: float,
    ) -> None:
        """Records how a server has ended a stream.

        Args:
            service: Name of its service.
            framing: What marks the end of the stream.
            shows_cut: Whether this or an earlier server has cut the stream.
            now: The present time.
        """
        seen = self._of(service)
        seen.doubted_at = min(seen.doubted_at, now)
        if framing is not message_framing.Framing.CLOSE:
            seen.marks = True
        elif shows_cut:
            seen.doubted_at = now
        else:
            seen.unmarked += 1

    def may_trust(self, service: str, now: float) -> bool:
        """Returns whether an unmarked end of a stream counts as its end."""
        seen = self._of(service)
        return (
            not seen.marks
            and seen.unmarked >= MIN_STREAMS
            and now - seen.doubted_at >= DISTRUST_S
        )

    def _of(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())


class StreamEndPolicy:
    """Decides whether an unmarked end is passed on as an orderly close.

    To the caller of an unmarked stream, that is its end. One that is reset can
    be resumed by its caller, if the route allows that.

    Args:
        clock: Clock by which ends are recorded.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._marks = EndMarks()

    def record(
        self,
        job: jobs.Job,
        attempt: forward.Attempt,
        server: str,
        events: relay.EventRelay,
        progress: attempt_progress.Progress,
    ) -> None:
        """Records how a server has ended a stream.

        Args:
            job: Job of the stream.
            attempt: The attempt, which has streamed.
            server: Server of the attempt.
            events: Relay of the stream's events.
            progress: Progress of the job.
        """
        shows_cut = progress.record_stream_end(attempt, server, events)
        assert attempt.framing is not None
        self._marks.record_end(
            job.service.name,
            attempt.framing,
            shows_cut,
            self._clock.monotonic(),
        )

    def may_be_unmarked(
        self,
        job: jobs.Job,
        end: attempt_progress.UnconfirmedEnd,
        progress: attempt_progress.Progress,
    ) -> bool:
        """Returns whether an end that nothing confirms counts as the end.

        Where another server can be asked, two have to agree on it.
        """
        may_ask = job.route.is_retryable and job.route.max_attempts > 1
        return (
            not progress.was_cut
            and end.servers >= (2 if may_ask else 1)
            and self._marks.may_trust(job.service.name, self._clock.monotonic())
        )
