"""Keepers and claim clients of a few routers over the fake store."""

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
class Seen:
    """What one caller saw of one request."""

    answer: messages.ClaimAnswer
    body: bytes
    at: float


class Work:
    """Runs the work of keys once told to; counts runs fleet-wide."""

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
        found = delivery.msg
        if not isinstance(found, messages.ClaimResult):
            return ()
        if found.answer is not _ANSWER.RUN:
            self._fleet.see(found.request_id, found.answer, found.body)
            return ()
        if self._fleet.refuse or now >= found.start_by:
            self._fleet.refuse_true(found.request_id)
            return self._close(found.request_id, _STATE.ABANDONED, b"")
        self._fleet.run(found.request_id)
        self._running[found.request_id] = now + self._fleet.run_s
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        done = [name for name, end in self._running.items() if now >= end]
        out: list[core.Envelope] = []
        for request_id in done:
            del self._running[request_id]
            body = f"paid by {request_id}".encode()
            self._fleet.see(request_id, _ANSWER.RUN, body)
            out.extend(self._close(request_id, self._fleet.end, body))
        return out

    def _close(
        self, request_id: str, state: messages.ClaimState, body: bytes
    ) -> list[core.Envelope]:
        close = messages.ClaimClose(request_id, state, 200, "text/plain", body)
        return [core.Envelope(const.LOCAL_NODE, close)]


class Fleet:
    """Three routers, one store, and a count of what ran and was seen."""

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
        self.seen: dict[str, Seen] = {}
        self.false_refusals: list[str] = []
        self.refuse = False
        self.run_s = RUN_S
        self.end = _STATE.FINISHED
        self.retention_s = retention_s
        self.keepers: dict[str, keeper.Keeper] = {}
        self.clients: dict[str, client.ClaimClient] = {}
        self.lives: dict[str, int] = {}
        self._asked: dict[str, tuple[str, str]] = {}
        for node in nodes:
            self.start(node)

    def start(self, node: str) -> None:
        """Starts a router, or starts it again with empty state."""
        self.lives[node] = self.lives.get(node, 0) + 1
        rng = random.Random(self.bus.rng.random())
        kept = keeper.Keeper(node, rng, self.retention_s, MAX_OUTCOME_BYTES)
        asks = client.ClaimClient(node, rng, self.lives[node])
        self.keepers[node], self.clients[node] = kept, asks
        self.bus.start(core.DeciderGroup(node, (kept, asks, Work(self))))
        self.roster(node, self.nodes)

    def roster(self, node: str, live: Sequence[str]) -> None:
        """Tells a router which routers answer."""
        members = tuple(
            membership.Member(name, "z", "", self.lives.get(name, 1))
            for name in self.nodes
        )
        news = membership.RosterChanged(members, tuple(live))
        self.bus.inject(node, news)

    def pay(
        self, node: str, key: str, body: str = "b", wait_s: float = WAIT_S
    ) -> str:
        """Has a caller ask a router for the work of a key."""
        request_id = f"{key}-{len(self._asked)}"
        self._asked[request_id] = (key, body)
        self.bus.inject(node, messages.ClaimWant(request_id, key, body, wait_s))
        return request_id

    def run(self, request_id: str) -> None:
        """Notes that work ran."""
        key, _ = self._asked[request_id]
        self.runs.setdefault(key, []).append(request_id)

    def refuse_true(self, request_id: str) -> None:
        """Notes a refusal that says that the work of the key did not run."""
        key, _ = self._asked[request_id]
        if self.runs.get(key):
            self.false_refusals.append(request_id)
        self.seen[request_id] = Seen(_ANSWER.UNAVAILABLE, b"", self.bus.now)

    def see(
        self, request_id: str, answer: messages.ClaimAnswer, body: bytes
    ) -> None:
        """Notes what a caller saw."""
        if answer is _ANSWER.MISMATCH and self._ran_as_asked(request_id):
            self.false_refusals.append(request_id)
        self.seen.setdefault(request_id, Seen(answer, body, self.bus.now))

    def _ran_as_asked(self, request_id: str) -> bool:
        asked = self._asked[request_id]
        runs = self.runs.get(asked[0], [])
        return any(self._asked[run] == asked for run in runs)

    def crossed(self) -> list[str]:
        """Returns the callers who saw another body than their key's run."""
        wrong = []
        for request_id, seen in self.seen.items():
            key, _ = self._asked[request_id]
            if seen.answer not in (_ANSWER.RUN, _ANSWER.REPLAY):
                continue
            if seen.body not in {
                f"paid by {run}".encode() for run in self.runs.get(key, [])
            }:
                wrong.append(request_id)
        return wrong

    def pass_s(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.bus.run_until(self.bus.now + seconds)

    def answer(self, request_id: str) -> str:
        """Returns what a caller saw; empty while it waits."""
        seen = self.seen.get(request_id)
        return seen.answer.value if seen else ""
