"""The gateway of a replayed router, which takes up what the product does."""

import asyncio
import collections
from collections.abc import Callable, Mapping
import dataclasses
import random
from typing import Any, cast

import result

from tamarackbridge.components.admission import desk
from tamarackbridge.components.gateway import (
    answers,
    event_loop_lag,
    headroom,
    jobs,
    listener,
    offload,
    offload_proxy,
    shedding,
)
from tests.components.admission import charges, fleet_replay, load_replay
from tests.components.knowledge import builders

MAX_HELD = 1_500
"""Requests that a router holds at most."""

REFUSED_RETRY_S = 0.2
"""Advice of a router that refuses for its own load."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The answer to an attempt that is refused.

    Attributes:
        retry_after_s: When to come back.
        closes: Whether the connection is closed.
    """

    retry_after_s: float
    closes: bool


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One request of a caller at one router.

    Attributes:
        answer: Done at the first event, or when it is refused.
        task: What handles it, while that runs.
        sent: What it has under way at an engine.
        peer: Where it was offloaded; None if it was not.
    """

    fate: load_replay.Fate
    number: int
    answer: asyncio.Future[Refused | None]
    task: asyncio.Task[None] | None = None
    sent: "_Sent | None" = None
    peer: "Front | None" = None


class _Sent:
    """A sending, of whose engine the router hears on its own processor."""

    def __init__(
        self, attempt: Attempt, permit: jobs.Placement, front: "Front"
    ) -> None:
        self._attempt = attempt
        self._permit = permit
        self._front = front
        self._is_over = False

    @property
    def server(self) -> Any:
        return self._permit.server

    def heard(self) -> None:
        self._front.call(self._on_heard)

    def told(self, head: Any) -> None:
        """The engines' heads say nothing."""

    def progressed(self) -> None:
        """No pauses are replayed."""

    def finish(self, outcome: jobs.Outcome) -> None:
        self._front.call(self.end, outcome)

    def end(self, outcome: jobs.Outcome) -> None:
        """Ends the sending, on the router's processor."""
        if self._is_over:
            return
        self._is_over = True
        if outcome is jobs.Outcome.SERVED:
            output = self._attempt.fate.arrival.output
            events = output / builders.model_service().event_tokens
            charges.charge("relaying", events * charges.EVENT_S)
        charges.charge("reading", charges.HEAD_S)
        self._front.held -= 1
        self._front.shedder.record_completion()
        self._permit.finish(outcome)

    def _on_heard(self) -> None:
        if self._is_over:
            return
        charges.charge("relaying", charges.EVENT_S)
        self._permit.heard()
        self._attempt.fate.first_at = self._front.now()
        if not self._attempt.answer.done():
            self._attempt.answer.set_result(None)


class Front:
    """The gateway of a router, on the router's processor.

    Attributes:
        held: Requests under way.
        meter: The lag of its event loop.
        shedder: Limits what it takes up.
        placed: Requests that it sent to engines, by second and workspace.
        refused: Attempts that it refused, by second and reason.
    """

    def __init__(
        self,
        router: fleet_replay.Router,
        engines: Mapping[str, load_replay.Engine],
        slots: int,
        begin: float,
        fronts: Mapping[str, "Front"],
        room: headroom.Headroom,
    ) -> None:
        self.held = 0
        self._fronts = fronts
        self._room = room
        router.spare_cores = self._spare_cores
        self.meter = event_loop_lag.LagMeter()
        self.is_closed = False
        self.placed: collections.Counter[tuple[int, str]]
        self.placed = collections.Counter()
        self.refused: collections.Counter[tuple[int, str]]
        self.refused = collections.Counter()
        self._backlog: collections.deque[tuple[float, Attempt]]
        self._backlog = collections.deque()
        self._desk: desk.AdmissionDesk = router.desk
        self.shedder = shedding.Shedder(
            lambda workspace: router.desk.standings.of(workspace, True).part,
            random.Random(1),
        )
        self._offloader = offload.Offloader(
            router.sharing.spare, self.shedder, room, random.Random(2)
        )
        self._context = router.context
        self._engines = engines
        self._slots = slots
        self._begin = begin

    def now(self) -> float:
        """Returns the time since the first arrival."""
        return asyncio.get_running_loop().time() - self._begin

    def call(self, callback: Callable[..., object], *args: Any) -> None:
        """Calls on the router's processor, after what waits for it."""
        loop = asyncio.get_running_loop()
        loop.call_soon(callback, *args, context=self._context)

    def note_lag(self, lag_s: float, now: float) -> None:
        """Takes the lag of the event loop, and what waits unread with it."""
        waited_s = now - self._backlog[0][0] if self._backlog else 0.0
        delay_s = max(lag_s, waited_s)
        self.shedder.update_delay(delay_s, now)
        self._room.update(now)

    def _spare_cores(self) -> float:
        if self.shedder.active or self.meter.lagging:
            return 0.0
        return self._room.offered_cores

    def arrive(self, attempt: Attempt) -> None:
        """Lets a request wait in the kernel, outside of the processor."""
        loop = asyncio.get_running_loop()
        self._backlog.append((loop.time(), attempt))
        if len(self._backlog) == 1:
            self.call(self._on_waiting)

    def _on_waiting(self) -> None:
        """Takes up some of the requests that wait."""
        taken = refused = 0
        while self._backlog and not self.is_closed:
            _, attempt = self._backlog[0]
            if self._sheds(attempt):
                refused += 1
            else:
                taken += 1
                self._take(attempt)
            self._backlog.popleft()
            if (
                taken >= listener.MAX_ACCEPTED_PER_ITERATION
                or refused >= listener.MAX_REFUSED_PER_ITERATION
            ):
                break
        if self._backlog and not self.is_closed:
            self.call(self._on_waiting)

    def _sheds(self, attempt: Attempt) -> bool:
        """Refuses a request before it is read, if it may not be taken up."""
        if not self.shedder.active:
            return False
        charges.charge("shedding", charges.SHED_S)
        if attempt.answer.done():
            return True
        workspace = attempt.fate.arrival.workspace
        loop = asyncio.get_running_loop()
        if self.shedder.admits(workspace, loop.time()):
            return False
        if attempt.peer is None and self._offloads(attempt, loop):
            return True
        retry_s = self.shedder.retry_after_s(workspace)
        self._desk.standings.shed(
            workspace,
            fleet_replay.tokens(attempt.fate.arrival),
            retry_s,
            loop.time(),
        )
        self._answer(attempt, "shed", retry_s, closes=True)
        return True

    def _offloads(
        self, attempt: Attempt, loop: asyncio.AbstractEventLoop
    ) -> bool:
        """Sends a request to a peer, if one has processor to spare."""
        peer = self._offloader.pick_peer(loop.time())
        if not peer:
            return False
        charges.charge("offloading", charges.OFFLOAD_S)
        attempt.peer = self._fronts[peer]
        late_s = offload_proxy.RESPONSE_POLL_S + fleet_replay.LINK_S
        loop.call_later(late_s, attempt.peer.arrive, attempt)
        return True

    def _take(self, attempt: Attempt) -> None:
        """Takes a request, whether its caller has left or not."""
        loop = asyncio.get_running_loop()
        if not self.shedder.active:
            workspace = attempt.fate.arrival.workspace
            self.shedder.admits(workspace, loop.time())
        charges.charge("reading", charges.HEAD_S)
        if self.held >= MAX_HELD or self.meter.overloaded:
            reason = answers.Reason.ROUTER_OVERLOADED
            self._refuse(attempt, reason, REFUSED_RETRY_S, True)
            return
        self.held += 1
        attempt.task = loop.create_task(self._async_handle(attempt))

    def leave(self, attempt: Attempt) -> None:
        """Ends a request whose caller has left."""
        if attempt.peer is not None and attempt.peer is not self:
            charges.charge("offloading", charges.HEAD_S)
            attempt.peer.call(attempt.peer.leave, attempt)
            return
        charges.charge("reading", charges.HEAD_S)
        if attempt.task is not None and not attempt.task.done():
            attempt.task.cancel()
        if attempt.sent is not None:
            self._engines[attempt.sent.server.name].drop(attempt.fate)
            attempt.sent.end(jobs.Outcome.CANCELLED)

    async def _async_handle(self, attempt: Attempt) -> None:
        charges.charge("reading", charges.BODY_S)
        now = asyncio.get_running_loop().time()
        job = load_replay.make_job(
            attempt.fate.arrival, attempt.number, now, self._slots
        )
        try:
            admitted = await self._desk.async_admit(job)
        except asyncio.CancelledError:
            self.held -= 1
            raise
        if isinstance(admitted, result.Err):
            self.held -= 1
            self.shedder.record_completion()
            refusal = admitted.err_value
            self._refuse(
                attempt,
                refusal.reason,
                refusal.retry_after_s,
                self.meter.lagging,
            )
            return
        charges.charge("sending", charges.SEND_S)
        permit = admitted.ok_value
        attempt.sent = _Sent(attempt, permit, self)
        key = (int(self.now()), attempt.fate.arrival.workspace)
        self.placed[key] += 1
        engine = self._engines[permit.server.name]
        engine.take(attempt.fate, cast(jobs.Placement, attempt.sent), job)

    def _refuse(
        self,
        attempt: Attempt,
        reason: answers.Reason,
        retry_after_s: float,
        closes: bool,
    ) -> None:
        charges.charge("refusing", charges.REFUSE_S)
        self._answer(attempt, reason.value, retry_after_s, closes)

    def _answer(
        self,
        attempt: Attempt,
        reason: str,
        retry_after_s: float,
        closes: bool,
    ) -> None:
        self.refused[int(self.now()), reason] += 1
        if not attempt.answer.done():
            attempt.answer.set_result(Refused(retry_after_s, closes))
