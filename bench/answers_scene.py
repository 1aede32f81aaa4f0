"""Simulated callers, entries and backend servers around real claim deciders.

The entries decide with the real `AttemptHistory`, `StreamCheck` and
`answer_check`; only their input and output are simulated.
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

STORE_DELAY_S = 0.003
ROUTER_LOSS_DETECTION_S = 2.5
"""Time after which the fleet detects the loss of a router."""

CALLER_RETRIES = 3
_END = attempts.End
_STATE = claims.ClaimState


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a caller, with all its retries.

    Attributes:
        name: Identifier; also the idempotency key.
        kind: Kind of the request.
        begun: Time of the first request.
        status: Result of the latest request: `whole`, `broken`, `lost` or the
            reason of a rejection.
        ended: Time of this result.
        not_run: What the latest rejection says about whether the work ran.
        body: Received body.
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
        """Whether the complete answer arrived before the deadline."""
        took_s = self.ended - self.begun
        return self.status == "whole" and took_s <= self.kind.deadline_s


@dataclasses.dataclass(slots=True)
class Request:
    """One request at one entry.

    Attributes:
        history: Attempts on backend servers.
        check: Check of the events of a stream.
        body: Body received from backend servers.
        claimed: Whether the entry holds the claim of the idempotency key.
        start_by: Time after which the claim permits no start.
    """

    request_id: str
    call: Call
    entry: "Entry"
    history: attempts.AttemptHistory
    deadline: float
    check: stream_check.StreamCheck
    body: bytes = b""
    claimed: bool = False
    start_by: float = float("inf")


class Entry:
    """The entry of one router, with simulated input and output."""

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
        """Handles the result of a claim."""
        claim_result = delivery.msg
        assert isinstance(claim_result, claims.ClaimResult)
        req = self.requests.get(claim_result.request_id)
        if req is None:
            return self._claim_close(claim_result.request_id, _STATE.ABANDONED)
        self._scene.record_claim_time(req, now)
        if claim_result.answer is claims.ClaimAnswer.RUN:
            req.claimed, req.start_by = True, claim_result.start_by
            self._scene.start(req)
        elif claim_result.answer is claims.ClaimAnswer.REPLAY:
            req.body = claim_result.body
            self._finish(req, "whole", now)
        else:
            rejection = rejections.from_claim_answer(
                claim_result.answer, req.request_id
            )
            self._finish(req, rejection.reason.value, now, rejection.not_run)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        return ()

    def arrive(self, req: Request) -> None:
        """Accepts a request of a caller."""
        self.requests[req.request_id] = req
        self.budget.record_request()
        if not req.call.kind.keyed:
            self._scene.start(req)
            return
        remaining_s = req.deadline - self._scene.bus.now
        claim = claims.ClaimWant(
            req.request_id, req.call.name, "body", remaining_s
        )
        self._scene.bus.inject(self.node, claim)

    def handle_attempt_end(
        self, req: Request, server: str, result: answers_servers.Answer
    ) -> None:
        """Handles the end of an attempt: retries, finishes or rejects."""
        now = self._scene.bus.now
        if self.requests.get(req.request_id) is not req:
            return
        end = self._end_of(req, result)
        partial = req.call.kind.stream and bool(req.body)
        decision = req.history.record_end(
            end, server, now, partial, req.check.resumable
        )
        if decision.step is attempts.Step.RETRY:
            retry_at = now + decision.pause_s
            self._scene.bus.at(retry_at, lambda: self._scene.start(req))
        elif decision.step is attempts.Step.FINISH:
            self._finish(req, "whole", now)
        elif decision.step is attempts.Step.ABORT:
            self._finish(req, "broken", now)
        else:
            self.reject(req, decision)

    def reject(self, req: Request, decision: attempts.Decision) -> None:
        """Rejects a request."""
        rejection = rejections.from_decision(decision, req.request_id)
        now = self._scene.bus.now
        self._finish(req, rejection.reason.value, now, rejection.not_run)

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
            elif req.history.may_have_run:
                state = _STATE.UNKNOWN
            for env in self._claim_close(req.request_id, state, req.body):
                self._scene.bus.inject(self.node, env.msg)
        self._scene.handle_answer(req, status, now, not_run)

    def _claim_close(
        self, request_id: str, state: claims.ClaimState, body: bytes = b""
    ) -> list[core.Envelope]:
        close = claims.ClaimClose(request_id, state, 200, "", body)
        return [core.Envelope(const.LOCAL_NODE, close)]


class Scene:
    """A fleet, its object store and its callers on one virtual clock.

    Attributes:
        calls: All calls of callers.
        false_not_run: Calls answered "not run" although their work ran.
        claim_s: Time that each claim took.
        lost_routers: Routers whose loss the fleet has detected.
    """

    def __init__(self, seed: int, routers: int, fault: float) -> None:
        self.bus = harness.Harness(seed)
        self.rng = random.Random(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.store.slow_s = STORE_DELAY_S
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.servers = answers_servers.Servers(random.Random(seed + 1), fault)
        self.nodes = [f"r{n}" for n in range(1, routers + 1)]
        self.entries: dict[str, Entry] = {}
        self.keepers: dict[str, keeper.Keeper] = {}
        self.calls: list[Call] = []
        self.false_not_run: list[str] = []
        self.claim_s: list[float] = []
        self.lost_routers: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._requests = 0
        for node in self.nodes:
            self.start_router(node)

    def start_router(self, node: str) -> None:
        """Starts or restarts a router with empty state."""
        self._incarnations[node] = self._incarnations.get(node, 0) + 1
        rng = random.Random(self.rng.random())
        entry = Entry(self, node, rng)
        claim_keeper = keeper.Keeper(node, rng, 3600.0, 16_384)
        claim_client = client.ClaimClient(node, rng, self._incarnations[node])
        self.entries[node], self.keepers[node] = entry, claim_keeper
        self.bus.start(
            core.DeciderGroup(node, (claim_keeper, claim_client, entry))
        )
        self.lost_routers.discard(node)
        self.publish_rosters()

    def publish_rosters(self) -> None:
        """Sends each router the roster of live routers."""
        members = tuple(
            membership.Member(node, "z", "", self._incarnations.get(node, 0))
            for node in self.nodes
        )
        live = tuple(
            node for node in self.nodes if node not in self.lost_routers
        )
        for node in self.nodes:
            visible = live if node in live else (node,)
            if self.bus.alive(node):
                roster = membership.RosterChanged(members, visible)
                self.bus.inject(node, roster)

    def kill_router(self, node: str) -> None:
        """Stops a router at once; its callers lose their connections."""
        self.bus.kill(node)
        lost = list(self.entries[node].requests.values())
        self.entries[node].requests.clear()
        for req in lost:
            self.handle_answer(req, "lost", self.bus.now, None)
        self.detect_loss_later(node)

    def detect_loss_later(self, node: str) -> None:
        """Schedules the detection of a lost router by the fleet."""

        def detect() -> None:
            self.lost_routers.add(node)
            self.publish_rosters()

        self.bus.at(self.bus.now + ROUTER_LOSS_DETECTION_S, detect)

    def schedule_arrivals(self, kind: answers_servers.Kind, end: float) -> None:
        """Lets calls arrive at random until virtual time `end`."""

        def arrive() -> None:
            if self.bus.now >= end:
                return
            call = Call(f"{kind.name}-{len(self.calls)}", kind, self.bus.now)
            self.calls.append(call)
            self.send(call)
            self.bus.at(self.bus.now + self.rng.expovariate(kind.rate), arrive)

        self.bus.at(self.bus.now + self.rng.expovariate(kind.rate), arrive)

    def send(self, call: Call) -> None:
        """Sends a request of a call to a random running router."""
        alive = [node for node in self.nodes if self.bus.alive(node)]
        node = self.rng.choice(alive)
        entry = self.entries[node]
        self._requests += 1
        deadline = self.bus.now + call.kind.deadline_s
        request_id = f"q{self._requests}"
        call.requests.append(request_id)
        history = attempts.AttemptHistory(
            not call.kind.keyed, deadline, entry.budget, entry.rng
        )
        check = stream_check.StreamCheck(request_id)
        req = Request(request_id, call, entry, history, deadline, check)
        self._when_running(
            node,
            entry,
            lambda: entry.arrive(req),
            lambda: self.handle_answer(req, "lost", self.bus.now, None),
        )

    def start(self, req: Request) -> None:
        """Starts an attempt on a backend server."""
        now = self.bus.now
        if now >= min(req.deadline, req.start_by):
            reason = entry_const.Reason.DEADLINE
            partial = req.call.kind.stream and bool(req.body)
            req.entry.reject(req, req.history.fail(reason, partial))
            return
        remaining_s = req.deadline - now
        took_s, result = self.servers.run_attempt(
            req.call.kind, req.call.name, req.request_id, req.check.offset
        )
        if took_s > remaining_s:
            took_s, result = (
                remaining_s,
                answers_servers.Answer(_END.TIMED_OUT, 0, {}, b""),
            )
        self.bus.at(
            now + took_s,
            lambda: self._when_running(
                req.entry.node,
                req.entry,
                lambda: req.entry.handle_attempt_end(req, "s", result),
            ),
        )

    def record_claim_time(self, req: Request, now: float) -> None:
        """Records the duration of a claim."""
        arrived = req.deadline - req.call.kind.deadline_s
        self.claim_s.append(now - arrived)

    def handle_answer(
        self,
        req: Request,
        status: str,
        now: float,
        not_run: problem.NotRun | None,
    ) -> None:
        """Records a result; after a failure, the caller may retry."""
        call = req.call
        call.status, call.ended, call.body = status, now, req.body
        call.not_run = not_run.value if not_run else ""
        work_key = call.name if call.kind.keyed else req.request_id
        ran = self.servers.runs.get(work_key, 0)
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
        """Runs `action` once a router is not paused, `gone` if it has ended."""
        if self.entries[node] is not entry or not self.bus.alive(node):
            gone()
            return
        if self.bus.paused(node):
            retry_at = self.bus.now + 0.1
            self.bus.at(
                retry_at, lambda: self._when_running(node, entry, action, gone)
            )
            return
        action()
