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
        if found.answer is _ANSWER.RUN and now < found.start_by:
            self._fleet.run(found.request_id)
            self._running[found.request_id] = now + self._fleet.run_s
        else:
            self._fleet.see(found.request_id, found.answer, found.body)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        done = [name for name, end in self._running.items() if now >= end]
        out = []
        for request_id in done:
            del self._running[request_id]
            body = f"paid by {request_id}".encode()
            self._fleet.see(request_id, _ANSWER.RUN, body)
            close = messages.ClaimClose(
                request_id, self._fleet.end, 200, "text/plain", body
            )
            out.append(core.Envelope(const.LOCAL_NODE, close))
        return out


class Fleet:
    """Three routers, one store, and a count of what ran and was seen."""

    def __init__(self, seed: int = 1, nodes: Sequence[str] = NODES) -> None:
        self.bus = harness.Harness(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.nodes = tuple(nodes)
        self.runs: dict[str, list[float]] = {}
        self.seen: dict[str, Seen] = {}
        self.run_s = RUN_S
        self.end = _STATE.FINISHED
        self.retention_s = RETENTION_S
        self.keepers: dict[str, keeper.Keeper] = {}
        self.clients: dict[str, client.ClaimClient] = {}
        self._keys: dict[str, str] = {}
        for node in nodes:
            self.start(node)

    def start(self, node: str) -> None:
        """Starts a router, or starts it again with empty state."""
        rng = random.Random(self.bus.rng.random())
        kept = keeper.Keeper(node, rng, self.retention_s, MAX_OUTCOME_BYTES)
        asks = client.ClaimClient(node, rng)
        self.keepers[node], self.clients[node] = kept, asks
        self.bus.start(core.DeciderGroup(node, (kept, asks, Work(self))))
        self.roster(node, self.nodes)

    def roster(self, node: str, live: Sequence[str]) -> None:
        """Tells a router which routers answer."""
        members = tuple(
            membership.Member(name, "z", "", 1) for name in self.nodes
        )
        news = membership.RosterChanged(members, tuple(live))
        self.bus.inject(node, news)

    def pay(
        self, node: str, key: str, body: str = "b", wait_s: float = WAIT_S
    ) -> str:
        """Has a caller ask a router for the work of a key."""
        request_id = f"{key}-{len(self._keys)}"
        self._keys[request_id] = key
        self.bus.inject(node, messages.ClaimWant(request_id, key, body, wait_s))
        return request_id

    def run(self, request_id: str) -> None:
        """Notes that work ran."""
        key = self._keys[request_id]
        self.runs.setdefault(key, []).append(self.bus.now)

    def see(
        self, request_id: str, answer: messages.ClaimAnswer, body: bytes
    ) -> None:
        """Notes what a caller saw."""
        self.seen.setdefault(request_id, Seen(answer, body, self.bus.now))

    def pass_s(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.bus.run_until(self.bus.now + seconds)

    def answer(self, request_id: str) -> str:
        """Returns what a caller saw; empty while it waits."""
        seen = self.seen.get(request_id)
        return seen.answer.value if seen else ""
