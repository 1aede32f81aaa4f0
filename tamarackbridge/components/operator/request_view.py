"""Requests that one router holds or held lately, by identifier."""

import collections
from collections.abc import Sequence
import dataclasses
from typing import ClassVar, Final

from tamarackbridge import core
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.operator import messages

MAX_ENDED: Final = 1024
"""Requests that are remembered after their end."""

MAX_EVENTS: Final = 16
"""Events that are remembered of one request."""


@dataclasses.dataclass(slots=True)
class _Request:
    want: dispatch.Want
    since: float
    state: str = "waiting"
    server: str = ""
    events: list[tuple[float, str]] = dataclasses.field(default_factory=list)


class RequestView:
    """A decider that only listens, and finds requests for operators."""

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
        self._open: dict[str, _Request] = {}
        self._ended: collections.OrderedDict[str, _Request]
        self._ended = collections.OrderedDict()

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes one step of a request in."""
        match delivery.msg:
            case dispatch.Want() as msg:
                self._want(msg, now)
            case dispatch.GiveUp() as msg:
                self._end(msg.request_id, "given up", "", now)
            case dispatch.Permitted() as msg:
                self._permitted(msg, now)
            case dispatch.Refused() as msg:
                self._end(msg.request_id, "refused", msg.reason, now)
            case dispatch.Done() as msg:
                outcome = msg.outcome.value
                self._end(msg.request_id, "ended", outcome, now)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing; the view follows the messages."""
        del now
        return ()

    def find(self, request_id: str) -> tuple[messages.RequestTrace, ...]:
        """Returns what is known of a request; empty for nothing."""
        found = self._open.get(request_id) or self._ended.get(request_id)
        if found is None:
            return ()
        trace = messages.RequestTrace(
            request_id=request_id,
            node=self._node,
            workspace=found.want.workspace,
            route=f"{found.want.service}/{found.want.route}",
            state=found.state,
            server=found.server,
            age_s=self._clock.monotonic() - found.since,
            events=tuple(
                f"{at - found.since:.3f} s: {event}"
                for at, event in found.events
            ),
        )
        return (trace,)

    def _want(self, msg: dispatch.Want, now: float) -> None:
        request = self._ended.pop(msg.request_id, None)
        if request is None:
            request = _Request(msg, now)
        request.state = "waiting"
        self._open[msg.request_id] = request
        avoid = f", not {', '.join(msg.avoid)}" if msg.avoid else ""
        self._note(request, f"asks for a permit{avoid}", now)

    def _permitted(self, msg: dispatch.Permitted, now: float) -> None:
        request = self._open.get(msg.request_id)
        if request is None:
            return
        request.state = "running"
        request.server = msg.server
        event = f"permit {msg.number} of epoch {msg.epoch}, {msg.server}"
        self._note(request, event, now)

    def _end(self, request_id: str, state: str, why: str, now: float) -> None:
        request = self._open.pop(request_id, None)
        if request is None:
            return
        request.state = f"{state}: {why}" if why else state
        self._note(request, request.state, now)
        self._ended[request_id] = request
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def _note(self, request: _Request, event: str, now: float) -> None:
        if len(request.events) < MAX_EVENTS:
            request.events.append((now, event))
