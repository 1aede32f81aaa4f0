"""Current and recently ended requests of one router, for operators."""

import collections
from collections.abc import Sequence
import dataclasses
from typing import ClassVar, Final

from tamarackbridge import core
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.operator import messages

MAX_ENDED: Final = 1024
"""Ended requests that are kept; the one that ended first is dropped first."""

MAX_EVENTS: Final = 16
"""Events kept of one request; later ones are not recorded."""


@dataclasses.dataclass(slots=True)
class _Request:
    want: dispatch.Want
    since: float
    state: str = "waiting"
    server: str = ""
    events: list[tuple[float, str]] = dataclasses.field(default_factory=list)


class RequestView:
    """Decider that records the steps of requests for operators to look up.

    It sends no message.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        dispatch.Want,
        dispatch.GiveUp,
        dispatch.Permitted,
        dispatch.Refused,
        dispatch.Done,
    )

    def __init__(self, node: str, clock: core.Clock) -> None:
        self._node = node
        self._clock = clock
        self._current: dict[str, _Request] = {}
        self._ended: collections.OrderedDict[str, _Request]
        self._ended = collections.OrderedDict()

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Records one step of a request."""
        match delivery.msg:
            case dispatch.Want() as msg:
                self._record_want(msg, now)
            case dispatch.GiveUp() as msg:
                self._record_end(msg.request_id, "given up", "", now)
            case dispatch.Permitted() as msg:
                self._record_permitted(msg, now)
            case dispatch.Refused() as msg:
                self._record_end(msg.request_id, "refused", msg.reason, now)
            case dispatch.Done() as msg:
                outcome = msg.outcome.value
                self._record_end(msg.request_id, "ended", outcome, now)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing; only messages change the view."""
        del now
        return ()

    def find(self, request_id: str) -> tuple[messages.RequestTrace, ...]:
        """Returns the request with this identifier; empty if unknown."""
        request = self._current.get(request_id) or self._ended.get(request_id)
        if request is None:
            return ()
        trace = messages.RequestTrace(
            request_id=request_id,
            node=self._node,
            workspace=request.want.workspace,
            route=f"{request.want.service}/{request.want.route}",
            state=request.state,
            server=request.server,
            age_s=self._clock.monotonic() - request.since,
            events=tuple(
                f"{at - request.since:.3f} s: {event}"
                for at, event in request.events
            ),
        )
        return (trace,)

    def _record_want(self, msg: dispatch.Want, now: float) -> None:
        request = self._ended.pop(msg.request_id, None)
        if request is None:
            request = _Request(msg, now)
        request.state = "waiting"
        self._current[msg.request_id] = request
        avoid = f", not {', '.join(msg.avoid)}" if msg.avoid else ""
        self._record_event(request, f"asks for a permit{avoid}", now)

    def _record_permitted(self, msg: dispatch.Permitted, now: float) -> None:
        request = self._current.get(msg.request_id)
        if request is None:
            return
        request.state = "running"
        request.server = msg.server
        event = f"permit {msg.number} of epoch {msg.epoch}, {msg.server}"
        self._record_event(request, event, now)

    def _record_end(
        self, request_id: str, state: str, reason: str, now: float
    ) -> None:
        request = self._current.pop(request_id, None)
        if request is None:
            return
        request.state = f"{state}: {reason}" if reason else state
        self._record_event(request, request.state, now)
        self._ended[request_id] = request
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def _record_event(self, request: _Request, event: str, now: float) -> None:
        if len(request.events) < MAX_EVENTS:
            request.events.append((now, event))
