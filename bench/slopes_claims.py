"""Cost of the claim keeper by the number of claims it holds."""

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
CLAIMS_PER_BATCH = 50
BATCH_INTERVAL_S = 0.1
RETENTION_S = 86_400.0
MAX_OUTCOME_BYTES = 16_384
MEASURED_CLAIMS = 1000
BODY = b"x" * 200


class _ClaimRunner:
    """Finishes each claim that may run, without delay."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (messages.ClaimResult,)

    def __init__(self) -> None:
        self.finished = 0

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Closes a claim as finished if its work may run."""
        del now
        found = delivery.msg
        if not isinstance(found, messages.ClaimResult):
            return ()
        if found.answer is not messages.ClaimAnswer.RUN:
            return ()
        self.finished += 1
        claim_close = messages.ClaimClose(
            found.request_id,
            messages.ClaimState.FINISHED,
            200,
            "application/json",
            BODY,
        )
        return (core.Envelope(const.LOCAL_NODE, claim_close),)

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        del now
        return ()


class _ClaimScene:
    """One router that claims keys and keeps the claims, with a store."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self.bus = harness.Harness(1)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.bus.taps.append(self._tap)
        self.put_bytes = 0
        rng = random.Random(1)
        self.keeper = keeper.Keeper(NODE, rng, RETENTION_S, MAX_OUTCOME_BYTES)
        self.runner = _ClaimRunner()
        claim_client = client.ClaimClient(NODE, rng, 1)
        deciders = (self.keeper, claim_client, self.runner)
        self.group = slopes_fit.MeteredGroup(NODE, deciders)
        self.bus.start(self.group)
        live = membership.Member(NODE, "one", "", 1)
        self.bus.inject(NODE, membership.RosterChanged((live,), (NODE,)))
        self.bus.run_until(1.0)

    def _tap(self, src: str, env: core.Envelope, now: float) -> None:
        del src, now
        if isinstance(env.msg, store.StorePut):
            self.put_bytes += len(env.msg.value)

    def claim(self, count: int) -> None:
        """Claims and finishes `count` new keys."""
        for batch_start in range(0, count, CLAIMS_PER_BATCH):
            for _ in range(min(CLAIMS_PER_BATCH, count - batch_start)):
                request_id = f"{next(self._numbers):032x}"
                request = messages.ClaimWant(
                    request_id, f"key-{request_id}", "b" * 32, 30.0
                )
                self.bus.inject(NODE, request)
            self.bus.run_until(self.bus.now + BATCH_INTERVAL_S)
        self.bus.run_until(self.bus.now + 1.0)


def claims(size: int) -> dict[str, float]:
    """Measures a keeper of all ranges that holds `size` claims."""
    found = _ClaimScene()
    found.claim(size)
    began, finished_before = found.group.cpu_s, found.runner.finished
    measured_from = found.bus.now
    writes, put_bytes = found.keeper.writes, found.put_bytes
    found.claim(MEASURED_CLAIMS)
    finished_claims = found.runner.finished - finished_before
    assert finished_claims == MEASURED_CLAIMS, finished_claims
    cpu_s = found.group.cpu_s - began
    seconds = found.bus.now - measured_from
    held = found.keeper.claims_held
    stored = sum(len(obj.value) for obj in found.store.objects.values())
    return {
        "claim_cpu_us": cpu_s / finished_claims * 1e6,
        "claims_for_each_write": finished_claims
        / (found.keeper.writes - writes),
        "writes_per_s": (found.keeper.writes - writes) / seconds,
        "put_bytes_per_claim": (found.put_bytes - put_bytes) / finished_claims,
        "held": float(held),
        "state_bytes": float(slopes_fit.deep_bytes(found.keeper)),
        "stored_bytes": float(stored),
    }
