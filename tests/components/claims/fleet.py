"""Claim keepers and claim clients of a few routers with a fake store."""

from collections.abc import Sequence
import dataclasses
import random
from typing import ClassVar

from bench import fake_store, harness
from tamarackbridge import const, core
from tamarackbridge.components.claims import client, keeper, messages
from tamarackbridge.components.membership import messages as membership

NODES = ("r1", "r2", "r3")
RETENTION_S = 600.0
MAX_OUTCOME_BYTES = 64
RUN_S = 0.05
WAIT_S = 10.0

_ANSWER = messages.ClaimAnswer
_STATE = messages.ClaimState


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer that one request received."""

    answer: messages.ClaimAnswer
    body: bytes
    at: float


class WorkRunner:
    """Stands in for an entry; runs the work of a key if its claim allows it."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.ClaimResult,
        messages.ClaimClosed,
    )

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet
        self._running: dict[str, float] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        result = delivery.msg
        if not isinstance(result, messages.ClaimResult):
            return ()
        if result.answer is not _ANSWER.RUN:
            self._fleet.record_answer(
                result.request_id, result.answer, result.body
            )
            return ()
        if self._fleet.work_refused or now >= result.start_by:
            self._fleet.record_not_run(result.request_id)
            return self._close(result.request_id, _STATE.ABANDONED, b"")
        self._fleet.record_run(result.request_id)
        self._running[result.request_id] = now + self._fleet.run_s
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        finished = [run for run, end in self._running.items() if now >= end]
        out: list[core.Envelope] = []
        for request_id in finished:
            del self._running[request_id]
            body = f"paid by {request_id}".encode()
            self._fleet.record_answer(request_id, _ANSWER.RUN, body)
            out.extend(self._close(request_id, self._fleet.outcome_state, body))
        return out

    def _close(
        self, request_id: str, state: messages.ClaimState, body: bytes
    ) -> list[core.Envelope]:
        close = messages.ClaimClose(request_id, state, 200, "text/plain", body)
        return [core.Envelope(const.LOCAL_NODE, close)]


class Fleet:
    """Routers with one store, which records runs and answers.

    Attributes:
        runs: Requests whose work ran, by key.
        answers: Answer to each request.
        false_rejections: Requests that were rejected as not run although the
            work of their key ran, or as a mismatch although their key ran
            with the same body.
        work_refused: Whether backend servers refuse to start the work.
        run_s: Duration of the work.
        outcome_state: Outcome that is reported when the work ends.
    """

    def __init__(
        self,
        seed: int = 1,
        nodes: Sequence[str] = NODES,
        retention_s: float = RETENTION_S,
    ) -> None:
        self.bus = harness.Harness(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.nodes = tuple(nodes)
        self.runs: dict[str, list[str]] = {}
        self.answers: dict[str, Answer] = {}
        self.false_rejections: list[str] = []
        self.work_refused = False
        self.run_s = RUN_S
        self.outcome_state = _STATE.FINISHED
        self.retention_s = retention_s
        self.keepers: dict[str, keeper.Keeper] = {}
        self.clients: dict[str, client.ClaimClient] = {}
        self.incarnations: dict[str, int] = {}
        self._requests: dict[str, tuple[str, str]] = {}
        for node in nodes:
            self.start(node)

    def start(self, node: str) -> None:
        """Starts a router, or restarts it with empty state."""
        self.incarnations[node] = self.incarnations.get(node, 0) + 1
        rng = random.Random(self.bus.rng.random())
        claim_keeper = keeper.Keeper(
            node, rng, self.retention_s, MAX_OUTCOME_BYTES
        )
        claim_client = client.ClaimClient(node, rng, self.incarnations[node])
        self.keepers[node], self.clients[node] = claim_keeper, claim_client
        self.bus.start(
            core.DeciderGroup(
                node, (claim_keeper, claim_client, WorkRunner(self))
            )
        )
        self.announce_roster(node, self.nodes)

    def announce_roster(self, node: str, live: Sequence[str]) -> None:
        """Sends a router a roster in which the routers of `live` answer."""
        members = tuple(
            membership.Member(name, "z", "", self.incarnations.get(name, 1))
            for name in self.nodes
        )
        roster_changed = membership.RosterChanged(members, tuple(live))
        self.bus.inject(node, roster_changed)

    def pay(
        self, node: str, key: str, body: str = "b", wait_s: float = WAIT_S
    ) -> str:
        """Sends a request with a key to a router; returns its identifier."""
        request_id = f"{key}-{len(self._requests)}"
        self._requests[request_id] = (key, body)
        self.bus.inject(node, messages.ClaimWant(request_id, key, body, wait_s))
        return request_id

    def record_run(self, request_id: str) -> None:
        """Records that the work of a request ran."""
        key, _ = self._requests[request_id]
        self.runs.setdefault(key, []).append(request_id)

    def record_not_run(self, request_id: str) -> None:
        """Records a rejection which states that the work did not run."""
        key, _ = self._requests[request_id]
        if self.runs.get(key):
            self.false_rejections.append(request_id)
        self.answers[request_id] = Answer(
            _ANSWER.UNAVAILABLE, b"", self.bus.now
        )

    def record_answer(
        self, request_id: str, answer: messages.ClaimAnswer, body: bytes
    ) -> None:
        """Records the answer to a request."""
        if answer is _ANSWER.MISMATCH and self._ran_as_asked(request_id):
            self.false_rejections.append(request_id)
        self.answers.setdefault(request_id, Answer(answer, body, self.bus.now))

    def _ran_as_asked(self, request_id: str) -> bool:
        request = self._requests[request_id]
        runs = self.runs.get(request[0], [])
        return any(self._requests[run] == request for run in runs)

    def wrong_bodies(self) -> list[str]:
        """Returns the requests whose body is not that of a run of their key."""
        wrong_requests = []
        for request_id, seen in self.answers.items():
            key, _ = self._requests[request_id]
            if seen.answer not in (_ANSWER.RUN, _ANSWER.REPLAY):
                continue
            if seen.body not in {
                f"paid by {run}".encode() for run in self.runs.get(key, [])
            }:
                wrong_requests.append(request_id)
        return wrong_requests

    def advance(self, seconds: float) -> None:
        """Advances the virtual time."""
        self.bus.run_until(self.bus.now + seconds)

    def answer(self, request_id: str) -> str:
        """Returns the answer to a request; empty while there is none."""
        seen = self.answers.get(request_id)
        return seen.answer.value if seen else ""
