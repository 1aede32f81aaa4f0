"""What the attempts of a job have come to."""

import dataclasses
import enum

from tamarackbridge.components.gateway import forward, jobs, relay
from tamarackbridge.components.knowledge import models as knowledge

_End = forward.AttemptEnd
_Outcome = jobs.Outcome

_OUTCOME_OF_END = {
    _End.COMPLETE: _Outcome.SERVED,
    _End.UNCONFIRMED: _Outcome.SERVED,
    _End.NOT_SENT: _Outcome.UNREACHABLE,
    _End.NOT_RUN: _Outcome.REJECTED,
    _End.MISDIRECTED: _Outcome.MISDIRECTED,
    _End.LOST: _Outcome.LOST,
    _End.MISMATCHED: _Outcome.LOST,
    _End.TIMED_OUT: _Outcome.TIMED_OUT,
}


class RetryDenial(enum.Enum):
    """Why a failed attempt is not followed by another.

    Attributes:
        DEADLINE: The deadline of the request has passed.
        ROUTE: A server may have run the request, and it may run only once.
        EVENTS: No other server can go on after the events that were forwarded.
        UNREACHABLE: Too many servers could not be reached.
        ATTEMPTS: The route allows no further attempt.
        BUDGET: The retry budget is used up.
    """

    DEADLINE = "deadline"
    ROUTE = "route"
    EVENTS = "events"
    UNREACHABLE = "unreachable"
    ATTEMPTS = "attempts"
    BUDGET = "budget"


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedEnd:
    """Place where servers have ended a stream without a mark.

    Attributes:
        attempt: Last attempt that ended there.
        server: Server of the attempt.
        events: Relay of the stream's events.
        position: Its position there.
        attempts: Number of attempts that ended the stream there.
    """

    attempt: forward.Attempt
    server: knowledge.BackendServer
    events: relay.EventRelay
    position: int
    attempts: int = 1


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a job over all its attempts.

    Attributes:
        may_have_run: Whether any server may have run the request.
        attempts: Number of attempts, including those that failed before any
            part of the request was sent.
        connect_failures: Number of the latter.
        last: Last attempt without a final response; None if there was none.
        denial: Why that one is not followed by another; None if it is.
        repeats: Number of attempts for which a server was asked once more.
    """

    may_have_run: bool = False
    attempts: int = 0
    connect_failures: int = 0
    last: forward.Attempt | None = None
    denial: RetryDenial | None = None
    repeats: int = 0
    _unconfirmed: UnconfirmedEnd | None = None

    def record_attempt(
        self,
        job: jobs.Job,
        attempt: forward.Attempt,
        server: str,
    ) -> None:
        """Records an attempt that did not produce the final response.

        Args:
            job: The job.
            attempt: The attempt.
            server: Server of the attempt.
        """
        self.last = attempt
        job.excluded_servers.add(server)
        if attempt.end is _End.NOT_SENT:
            self.connect_failures += 1
        else:
            job.attempts += 1
        if attempt.end not in forward.PROVED_NOT_RUN:
            self.may_have_run = True

    def record_stream_end(
        self,
        attempt: forward.Attempt,
        server: knowledge.BackendServer,
        events: relay.EventRelay,
    ) -> UnconfirmedEnd | None:
        """Records how a server ended a stream.

        Args:
            attempt: The attempt, which has streamed.
            server: Server of the attempt.
            events: Relay of the events.

        Returns:
            The end of an earlier attempt that this one shows to be early; None
            if it shows none.
        """
        earlier = self._unconfirmed
        refuted: UnconfirmedEnd | None = None
        if earlier is not None and self._is_refuted:
            refuted = earlier
            earlier = self._unconfirmed = None
        if _is_end(attempt, events):
            self._unconfirmed = UnconfirmedEnd(
                attempt,
                server,
                events,
                events.position,
                1 if earlier is None else earlier.attempts + 1,
            )
        return refuted

    @property
    def _is_refuted(self) -> bool:
        end = self._unconfirmed
        return end is not None and end.position != end.events.position

    @property
    def is_confirmed(self) -> bool:
        """Returns whether two attempts have ended where the stream is."""
        end = self.unconfirmed_end()
        return end is not None and end.attempts > 1

    def unconfirmed_end(self) -> UnconfirmedEnd | None:
        """Returns the unconfirmed end at which the stream still is."""
        return None if self._is_refuted else self._unconfirmed


def _is_end(attempt: forward.Attempt, events: relay.EventRelay) -> bool:
    """Returns whether a server says, without a mark, that a stream ends.

    Without an event it does so only if it was not to repeat the last one.
    """
    if attempt.is_unmarked_and_empty:
        return not attempt.repeats_last and events.resume_after != ""
    return attempt.end is _End.UNCONFIRMED


def outcome(attempt: forward.Attempt) -> jobs.Outcome:
    """Returns the outcome of an attempt for its server."""
    if attempt.end in forward.WITH_RESPONSE and attempt.is_server_error:
        return _Outcome.FAILED
    if attempt.lacks_room:
        return _Outcome.CANCELLED
    if attempt.is_continuation and attempt.ended_in_order:
        # The server may have nothing to add, or be busy.
        return _Outcome.CANCELLED
    return _OUTCOME_OF_END[attempt.end]


def cut_by(last: forward.Attempt) -> str:
    """Returns for the log what cut a stream off, by its last attempt."""
    is_failure = last.end in forward.WITH_RESPONSE and last.is_server_error
    return "failed" if is_failure else last.end.value
