"""Slopes of the claim keeper."""

from collections.abc import Sequence
import itertools
import random
from typing import ClassVar

from bench import fake_store, harness, slopes_fit
from tamarackbridge import const, core
from tamarackbridge.components.claims import client, keeper, messages
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import messages as store

NODE = "r0"
BATCH = 50
BATCH_S = 0.1
RETENTION_S = 86_400.0
MAX_OUTCOME_BYTES = 16_384
MEASURED = 1000
BODY = b"x" * 200


class _Runner:
    """Runs the work of each claim at once."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (messages.ClaimResult,)

    def __init__(self) -> None:
        self.run = 0

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Closes a claim that may run."""
        del now
        found = delivery.msg
        if not isinstance(found, messages.ClaimResult):
            return ()
        if found.answer is not messages.ClaimAnswer.RUN:
            return ()
        self.run += 1
        close = messages.ClaimClose(
            found.request_id,
            messages.ClaimState.FINISHED,
            200,
            "application/json",
            BODY,
        )
        return (core.Envelope(const.LOCAL_NODE, close),)

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        del now
        return ()


class _Claims:
    def __init__(self) -> None:
        self._numbers = itertools.count()
        self.bus = harness.Harness(1)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.bus.taps.append(self._tap)
        self.put_bytes = 0
        rng = random.Random(1)
        self.keeper = keeper.Keeper(NODE, rng, RETENTION_S, MAX_OUTCOME_BYTES)
        self.runner = _Runner()
        asks = client.ClaimClient(NODE, rng, 1)
        parts = (self.keeper, asks, self.runner)
        self.group = slopes_fit.MeteredGroup(NODE, parts)
        self.bus.start(self.group)
        live = membership.Member(NODE, "one", "", 1)
        self.bus.inject(NODE, membership.RosterChanged((live,), (NODE,)))
        self.bus.run_until(1.0)

    def _tap(self, src: str, env: core.Envelope, now: float) -> None:
        del src, now
        if isinstance(env.msg, store.StorePut):
            self.put_bytes += len(env.msg.value)

    def claim(self, count: int) -> None:
        """Claims and finishes `count` further keys."""
        for first in range(0, count, BATCH):
            for _ in range(min(BATCH, count - first)):
                request_id = f"{next(self._numbers):032x}"
                want = messages.ClaimWant(
                    request_id, f"key-{request_id}", "b" * 32, 30.0
                )
                self.bus.inject(NODE, want)
            self.bus.run_until(self.bus.now + BATCH_S)
        self.bus.run_until(self.bus.now + 1.0)


def claims(size: int) -> dict[str, float]:
    """A keeper of all ranges holds `size` claims."""
    found = _Claims()
    found.claim(size)
    began, run = found.group.cpu_s, found.runner.run
    idle_from = found.bus.now
    writes, put_bytes = found.keeper.writes, found.put_bytes
    found.claim(MEASURED)
    done = found.runner.run - run
    assert done == MEASURED, done
    cpu_s = found.group.cpu_s - began
    seconds = found.bus.now - idle_from
    held = found.keeper.claims_held
    stored = sum(len(obj.value) for obj in found.store.objects.values())
    return {
        "claim_cpu_us": cpu_s / done * 1e6,
        "claims_for_each_write": done / (found.keeper.writes - writes),
        "writes_per_s": (found.keeper.writes - writes) / seconds,
        "put_bytes_per_claim": (found.put_bytes - put_bytes) / done,
        "held": float(held),
        "state_bytes": float(slopes_fit.deep_bytes(found.keeper)),
        "stored_bytes": float(stored),
    }
