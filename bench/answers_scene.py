"""Callers, entries and backend servers around the real claim deciders.

The entries decide with the product's `Attempts`, `StreamCheck` and
`whole_answer`; only their input and output is virtual.
"""

from collections.abc import Callable, Sequence
import dataclasses
import random
from typing import ClassVar

from bench import answers_servers, fake_store, harness
from tamarackbridge import const, core
from tamarackbridge.components.claims import client, keeper
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.entry import (
    answer_check,
    attempts,
    problem,
    rejections,
    retry_budget,
    stream_check,
)
from tamarackbridge.components.entry import const as entry_const
from tamarackbridge.components.membership import messages as membership

STORE_S = 0.003
SEEN_S = 2.5
"""Time after which the fleet notices that a router has gone."""

CALLER_RETRIES = 3
_END = attempts.End
_STATE = claims.ClaimState


@dataclasses.dataclass(slots=True)
class Call:
    """What one caller wants, over all its retries.

    Attributes:
        name: Identifier; also the idempotency key.
        begun: Time of the first request.
        status: What it got last: `whole`, `broken`, `lost` or a reason.
        ended: Time of that.
        not_run: What the last refusal said of the work.
        body: What it got.
        requests: Identifiers of the requests sent.
    """

    name: str
    kind: answers_servers.Kind
    begun: float
    status: str = ""
    ended: float = 0.0
    not_run: str = ""
    body: bytes = b""
    requests: list[str] = dataclasses.field(default_factory=list)

    @property
    def timely(self) -> bool:
        """Whether it got its whole answer in time."""
        took_s = self.ended - self.begun
        return self.status == "whole" and took_s <= self.kind.deadline_s


@dataclasses.dataclass(slots=True)
class Request:
    """One request at one entry."""

    request_id: str
    call: Call
    entry: "Entry"
    tried: attempts.AttemptHistory
    deadline: float
    check: stream_check.StreamCheck
    body: bytes = b""
    claimed: bool = False
    start_by: float = float("inf")


class Entry:
    """The entry of one router, with virtual input and output."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (claims.ClaimResult,)

    def __init__(self, scene: "Scene", node: str, rng: random.Random) -> None:
        self.node = node
        self.requests: dict[str, Request] = {}
        self.budget = retry_budget.RetryBudget()
        self.rng = rng
        self._scene = scene

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes the result of a claim."""
        found = delivery.msg
        assert isinstance(found, claims.ClaimResult)
        req = self.requests.get(found.request_id)
        if req is None:
            return self._close(found.request_id, _STATE.ABANDONED)
        self._scene.claimed(req, now)
        if found.answer is claims.ClaimAnswer.RUN:
            req.claimed, req.start_by = True, found.start_by
            self._scene.start(req)
        elif found.answer is claims.ClaimAnswer.REPLAY:
            req.body = found.body
            self._finish(req, "whole", now)
        else:
            told = rejections.from_claim_answer(found.answer, req.request_id)
            self._finish(req, told.reason.value, now, told.not_run)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        return ()

    def arrive(self, req: Request) -> None:
        """Takes a caller's request."""
        self.requests[req.request_id] = req
        self.budget.record_request()
        if not req.call.kind.keyed:
            self._scene.start(req)
            return
        wait_s = req.deadline - self._scene.bus.now
        want = claims.ClaimWant(req.request_id, req.call.name, "body", wait_s)
        self._scene.bus.inject(self.node, want)

    def ended(
        self, req: Request, server: str, answer: answers_servers.Answer
    ) -> None:
        """Takes the end of an attempt."""
        now = self._scene.bus.now
        if self.requests.get(req.request_id) is not req:
            return
        end = self._end_of(req, answer)
        part = req.call.kind.stream and bool(req.body)
        decision = req.tried.record_end(
            end, server, now, part, req.check.resumable
        )
        if decision.step is attempts.Step.RETRY:
            later = now + decision.pause_s
            self._scene.bus.at(later, lambda: self._scene.start(req))
        elif decision.step is attempts.Step.FINISH:
            self._finish(req, "whole", now)
        elif decision.step is attempts.Step.ABORT:
            self._finish(req, "broken", now)
        else:
            self.refuse(req, decision)

    def refuse(self, req: Request, decision: attempts.Decision) -> None:
        """Refuses a request."""
        told = rejections.from_decision(decision, req.request_id)
        now = self._scene.bus.now
        self._finish(req, told.reason.value, now, told.not_run)

    def _end_of(
        self, req: Request, answer: answers_servers.Answer
    ) -> attempts.End:
        if answer.end is not None:
            return answer.end
        rid, kind = req.request_id, req.call.kind
        end = answer_check.end_by_header(answer.status, answer.headers, rid)
        if end is not None:
            return end
        if kind.stream:
            req.check.begin()
            req.body += req.check.feed(answer.body)
            if req.check.complete:
                return _END.COMPLETE
            return (
                _END.MISMATCHED if req.check.wrong_request else _END.TRUNCATED
            )
        end = answer_check.end_by_body(answer.body, answer.headers, True)
        if end is _END.COMPLETE:
            req.body = answer.body
        return end

    def _finish(
        self,
        req: Request,
        status: str,
        now: float,
        not_run: problem.NotRun | None = None,
    ) -> None:
        del self.requests[req.request_id]
        if req.claimed:
            state = _STATE.ABANDONED
            if status == "whole":
                state = _STATE.FINISHED
            elif req.tried.may_have_run:
                state = _STATE.UNKNOWN
            for env in self._close(req.request_id, state, req.body):
                self._scene.bus.inject(self.node, env.msg)
        self._scene.answered(req, status, now, not_run)

    def _close(
        self, request_id: str, state: claims.ClaimState, body: bytes = b""
    ) -> list[core.Envelope]:
        close = claims.ClaimClose(request_id, state, 200, "", body)
        return [core.Envelope(const.LOCAL_NODE, close)]


class Scene:
    """A fleet, its store and its callers on one virtual clock."""

    def __init__(self, seed: int, routers: int, fault: float) -> None:
        self.bus = harness.Harness(seed)
        self.rng = random.Random(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.store.slow_s = STORE_S
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.servers = answers_servers.Servers(random.Random(seed + 1), fault)
        self.nodes = [f"r{n}" for n in range(1, routers + 1)]
        self.entries: dict[str, Entry] = {}
        self.keepers: dict[str, keeper.Keeper] = {}
        self.calls: list[Call] = []
        self.false_not_run: list[str] = []
        self.claim_s: list[float] = []
        self.out: set[str] = set()
        self._lives: dict[str, int] = {}
        self._requests = 0
        for node in self.nodes:
            self.start_router(node)

    def start_router(self, node: str) -> None:
        """Starts a router, or starts it again with empty state."""
        self._lives[node] = self._lives.get(node, 0) + 1
        rng = random.Random(self.rng.random())
        entry = Entry(self, node, rng)
        kept = keeper.Keeper(node, rng, 3600.0, 16_384)
        asks = client.ClaimClient(node, rng, self._lives[node])
        self.entries[node], self.keepers[node] = entry, kept
        self.bus.start(core.DeciderGroup(node, (kept, asks, entry)))
        self.out.discard(node)
        self.tell_rosters()

    def tell_rosters(self) -> None:
        """Tells each router which others answer."""
        members = tuple(
            membership.Member(node, "z", "", self._lives.get(node, 0))
            for node in self.nodes
        )
        live = tuple(node for node in self.nodes if node not in self.out)
        for node in self.nodes:
            seen = live if node in live else (node,)
            if self.bus.alive(node):
                news = membership.RosterChanged(members, seen)
                self.bus.inject(node, news)

    def kill_router(self, node: str) -> None:
        """Ends a router; its callers lose their connections."""
        self.bus.kill(node)
        lost = list(self.entries[node].requests.values())
        self.entries[node].requests.clear()
        for req in lost:
            self.answered(req, "lost", self.bus.now, None)
        self.notice_later(node)

    def notice_later(self, node: str) -> None:
        """Has the fleet notice after some time that a router is gone."""

        def notice() -> None:
            self.out.add(node)
            self.tell_rosters()

        self.bus.at(self.bus.now + SEEN_S, notice)

    def arrivals(self, kind: answers_servers.Kind, end: float) -> None:
        """Has callers arrive at random until virtual time `end`."""

        def arrive() -> None:
            if self.bus.now >= end:
                return
            call = Call(f"{kind.name}-{len(self.calls)}", kind, self.bus.now)
            self.calls.append(call)
            self.send(call)
            self.bus.at(self.bus.now + self.rng.expovariate(kind.rate), arrive)

        self.bus.at(self.bus.now + self.rng.expovariate(kind.rate), arrive)

    def send(self, call: Call) -> None:
        """Sends a caller's request through the balancer."""
        alive = [node for node in self.nodes if self.bus.alive(node)]
        node = self.rng.choice(alive)
        entry = self.entries[node]
        self._requests += 1
        deadline = self.bus.now + call.kind.deadline_s
        request_id = f"q{self._requests}"
        call.requests.append(request_id)
        tried = attempts.AttemptHistory(
            not call.kind.keyed, deadline, entry.budget, entry.rng
        )
        check = stream_check.StreamCheck(request_id)
        req = Request(request_id, call, entry, tried, deadline, check)
        self._when_running(
            node,
            entry,
            lambda: entry.arrive(req),
            lambda: self.answered(req, "lost", self.bus.now, None),
        )

    def start(self, req: Request) -> None:
        """Starts an attempt on a backend server."""
        now = self.bus.now
        if now >= min(req.deadline, req.start_by):
            reason = entry_const.Reason.DEADLINE
            part = req.call.kind.stream and bool(req.body)
            req.entry.refuse(req, req.tried.fail(reason, part))
            return
        left_s = req.deadline - now
        took_s, answer = self.servers.answer(
            req.call.kind, req.call.name, req.request_id, req.check.offset
        )
        if took_s > left_s:
            took_s, answer = (
                left_s,
                answers_servers.Answer(_END.TIMED_OUT, 0, {}, b""),
            )
        self.bus.at(
            now + took_s,
            lambda: self._when_running(
                req.entry.node,
                req.entry,
                lambda: req.entry.ended(req, "s", answer),
            ),
        )

    def claimed(self, req: Request, now: float) -> None:
        """Notes how long a claim took."""
        arrived = req.deadline - req.call.kind.deadline_s
        self.claim_s.append(now - arrived)

    def answered(
        self,
        req: Request,
        status: str,
        now: float,
        not_run: problem.NotRun | None,
    ) -> None:
        """Gives a caller its answer; it retries when it has none."""
        call = req.call
        call.status, call.ended, call.body = status, now, req.body
        call.not_run = not_run.value if not_run else ""
        work = call.name if call.kind.keyed else req.request_id
        ran = self.servers.runs.get(work, 0)
        if not_run is problem.NotRun.TRUE and ran:
            self.false_not_run.append(call.name)
        final = status in ("whole", "outcome_unknown")
        if final or len(call.requests) > CALLER_RETRIES:
            return
        wait_s = self.rng.uniform(0.1, 1.0)
        self.bus.at(now + wait_s, lambda: self.send(call))

    def _when_running(
        self,
        node: str,
        entry: Entry,
        action: Callable[[], None],
        gone: Callable[[], None] = lambda: None,
    ) -> None:
        """Acts once a router is not paused, or once it has ended."""
        if self.entries[node] is not entry or not self.bus.alive(node):
            gone()
            return
        if self.bus.paused(node):
            later = self.bus.now + 0.1
            self.bus.at(
                later, lambda: self._when_running(node, entry, action, gone)
            )
            return
        action()
