"""State machine of one order at one router.

Load pattern: many routers see the same order and each other's state late, and
any of them may die, freeze or be cut off; at most one write of the status is
made for each step while all live, and each step is made whichever live.
"""

from collections.abc import Collection, Mapping
import dataclasses
import math
import random

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.rollout import (
    comparison,
    const,
    credit,
    evidence,
    models,
)
from tamarackbridge.helpers import rendezvous

_Phase = models.Phase
_State = knowledge.RolloutState

_REPORTED_PHASES = {
    _Phase.SUCCEEDED: _Phase.MOVING,
    _Phase.ROLLED_BACK: _Phase.BAD,
}
"""What a router reports in place of phases that only the store decides."""

_STORED_PHASES = {
    _State.SUCCEEDED: _Phase.SUCCEEDED,
    _State.ROLLED_BACK: _Phase.ROLLED_BACK,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What a router knows about a service apart from its order.

    Attributes:
        address: Address of this router.
        live: Addresses of the live routers, this one among them.
        others: Number of other routers that may be running.
        new_servers: Number of registered servers of the target version.
        warm_slots: Slots of those of them that are warm and in use; infinite
            if one of them states none.
        in_flight_old: This router's requests at servers of other versions.
        in_flight: This router's requests at all servers of the service.
    """

    address: str
    live: Collection[str]
    others: int
    new_servers: int
    warm_slots: float
    in_flight_old: int
    in_flight: int


class OrderState:
    """One order as one router sees it.

    Attributes:
        order: The order as it was read last.
        identity: What distinguishes it from all others.
        phase: How far it is.
        reason: Why it is in this phase; empty if another router decided so.
        credit: Credit for canary requests.
        evidence: This router's own counts.
        comparison: The tests of the fleet's counts.
    """

    def __init__(
        self,
        order: knowledge.RolloutOrder,
        is_new: bool,
        early_credit: float,
        max_slice_s: float,
        rng: random.Random,
        now: float,
    ) -> None:
        """Creates the state.

        Args:
            order: The order.
            is_new: Whether it appeared while this router was running.
            early_credit: Credit with which a new order begins.
            max_slice_s: Longest slice of time that is compared.
            rng: Source of randomness.
            now: The time.
        """
        self.identity = models.identity(order)
        self.phase = _Phase.RUNNING if is_new else _Phase.UNKNOWN
        self.reason = ""
        self.credit = credit.ExposureCredit(rng, early_credit if is_new else 0)
        self.evidence = evidence.Evidence()
        self.comparison = comparison.Comparison(max_slice_s)
        self._seen_at = now
        self._started_at = now if is_new else None
        self._heard_at = -math.inf
        self._reported: dict[str, models.Tally] = {}
        self._own = models.Tally()
        self._fleet = models.Tally()
        self._in_flight = 0.0
        self._ticked_at = -math.inf
        self._due_since: dict[_State, float] = {}
        self._facts: Facts | None = None
        self.order = order
        self.update_stored(order)

    @property
    def fleet(self) -> models.Tally:
        """The sum of what all routers have counted, at the last `tick`."""
        return self._fleet

    @property
    def own(self) -> models.Tally:
        """What this router itself has counted, at the last `tick`."""
        return self._own

    @property
    def reported(self) -> Mapping[str, models.Tally]:
        """What the other routers' reports contain, by their sender."""
        return self._reported

    def age_s(self, now: float) -> float:
        """Returns the age of the order; 0 if it is not known."""
        return 0.0 if self._started_at is None else now - self._started_at

    def step_share(self, exposure_share: float) -> float:
        """Returns the share of attempts that the new version may get."""
        responses = sum(
            counts.responses
            for key, counts in self._fleet.cells.items()
            if key.is_new
        )
        step = min(
            responses // const.STEP_RESPONSES, len(const.STEP_SHARES) - 1
        )
        return exposure_share * const.STEP_SHARES[step]

    def is_informed(self, others: int, now: float) -> bool:
        """Returns whether this router knows what the others do."""
        return others == 0 or now - self._heard_at <= const.EVIDENCE_TIMEOUT_S

    def update_stored(self, order: knowledge.RolloutOrder) -> None:
        """Applies the order as it is stored now, with its status."""
        self.order = order
        stored = _STORED_PHASES.get(order.state)
        if stored is not None and self.phase is not stored:
            self.phase, self.reason = stored, "stored"
        elif order.state is _State.RUNNING and self.phase is _Phase.UNKNOWN:
            self.phase = _Phase.RUNNING

    def rename(self, order: knowledge.RolloutOrder) -> None:
        """Goes on with an order that was written again after a restore."""
        self.identity = models.identity(order)
        self._reported.clear()
        self.update_stored(order)

    def apply_report(
        self, src: str, tally: models.Tally, sent_at: float, now: float
    ) -> bool:
        """Applies what another router's report says of the order.

        Args:
            src: The other router.
            tally: What its report says, with the age of the order now.
            sent_at: Time at which the report was sent.
            now: The time.

        Returns:
            Whether the phase has changed.
        """
        self._reported[src] = tally
        if tally.phase is _Phase.UNKNOWN:
            return False
        self._heard_at = max(self._heard_at, sent_at)
        if tally.age_ms >= 0:
            started_at = now - tally.age_ms / 1000
            if self._started_at is None or started_at < self._started_at:
                self._started_at = started_at
        return self._raise_phase(tally.phase, "")

    def forget_router(self, src: str) -> None:
        """Drops what a router reported that is silent or reports elsewhere."""
        self._reported.pop(src, None)

    def tick(self, facts: Facts, now: float) -> bool:
        """Updates counts and tests, and decides what is due.

        Returns:
            Whether the phase has changed.
        """
        self._facts = facts
        self.evidence.count_late(now)
        self._own = self._own_tally(facts, now)
        self._fleet = self._own
        for tally in self._reported.values():
            self._fleet = self._fleet.plus(tally)
        kept = 0.5 ** ((now - self._ticked_at) / const.IN_FLIGHT_HALF_LIFE_S)
        self._in_flight += (1 - kept) * (
            self._fleet.in_flight - self._in_flight
        )
        self._ticked_at = now
        self.evidence.use_cells(self._fleet.cells)
        before = self.phase
        if self.phase in (_Phase.RUNNING, _Phase.MOVING):
            self.comparison.update(self._fleet.cells, now)
            if self.comparison.is_bad:
                self._raise_phase(_Phase.BAD, self.comparison.reason)
        self._join(now)
        if self.phase is _Phase.RUNNING:
            self._decide_move(facts, now)
        if self.phase is _Phase.MOVING and not facts.new_servers:
            self._raise_phase(_Phase.BAD, "no server of the version")
        return self.phase is not before

    def due_write(self, now: float) -> _State | None:
        """Returns the state that this router has to write now, if any.

        Goes by the facts of the last `tick`.
        """
        facts = self._facts
        state = self._due_state(facts, now) if facts is not None else None
        if facts is None or state is None:
            self._due_since.clear()
            return None
        since = self._due_since.setdefault(state, now)
        delay_s = const.RANK_DELAY_S * self._rank(facts)
        return state if now - since >= delay_s else None

    def _own_tally(self, facts: Facts, now: float) -> models.Tally:
        age_ms = -1
        if self._started_at is not None:
            age_ms = int((now - self._started_at) * 1000)
        return models.Tally(
            _REPORTED_PHASES.get(self.phase, self.phase),
            age_ms,
            1,
            int(
                self.phase in (_Phase.MOVING, _Phase.SUCCEEDED)
                and self.is_informed(facts.others, now)
            ),
            facts.in_flight_old,
            facts.in_flight,
            dict(self.evidence.cells),
        )

    def _raise_phase(self, phase: models.Phase, reason: str) -> bool:
        if phase <= self.phase:
            return False
        self.phase, self.reason = _Phase(phase), reason
        return True

    def _join(self, now: float) -> None:
        """Assumes an age if no running router knows it."""
        if (
            self._started_at is not None
            or now - self._seen_at < const.JOIN_TIMEOUT_S
        ):
            return
        if self.order.state is _State.RUNNING:
            gone_s = const.RESTART_AGE_FRACTION * self.order.duration_s
            self._started_at = self._seen_at - gone_s
        elif self.phase is not _Phase.UNKNOWN:
            self._started_at = self._seen_at

    def _decide_move(self, facts: Facts, now: float) -> None:
        """Announces the move, or finds the version bad, if this is due."""
        if self._started_at is None:
            return
        duration_s = self.order.duration_s
        age_s = now - self._started_at
        informed = self.is_informed(facts.others, now)
        if not informed:
            if age_s >= duration_s:
                self._raise_phase(_Phase.BAD, "no decision in time")
            return
        if age_s < const.EARLY_MOVE_FRACTION * duration_s:
            return
        age_s -= const.RANK_DELAY_S * self._rank(facts)
        if age_s >= const.MOVE_FRACTION * duration_s:
            reason = self._objection(facts)
            phase = _Phase.BAD if reason else _Phase.MOVING
            self._raise_phase(phase, reason or "end of the canary")
        elif (
            age_s >= const.EARLY_MOVE_FRACTION * duration_s
            and self.comparison.accepts(self._fleet.cells)
            and not self._objection(facts)
        ):
            self._raise_phase(_Phase.MOVING, "accepted")

    def _objection(self, facts: Facts) -> str:
        """Returns why requests must not move; empty if they may."""
        if not facts.new_servers:
            return "no server of the version"
        new = models.NO_COUNTS
        for key, counts in self._fleet.cells.items():
            if key.is_new:
                new = new.plus(counts)
        if not new.responses:
            return "no response of the version"
        if new.bad + new.crashed and not self.comparison.prefers_good():
            return "bad responses at the end of the canary"
        if new.responses <= new.bad + new.crashed:
            return "no good response of the version"
        needed = const.SPARE_CAPACITY * self._in_flight
        if facts.warm_slots < needed:
            return f"{facts.warm_slots:.0f} warm slots, {needed:.0f} needed"
        return ""

    def _due_state(self, facts: Facts, now: float) -> _State | None:
        # A store that came back from an older copy may have lost the status.
        if self.phase in (_Phase.BAD, _Phase.ROLLED_BACK):
            is_stored = self.order.state is _State.ROLLED_BACK
            return None if is_stored else _State.ROLLED_BACK
        if self.phase is _Phase.SUCCEEDED:
            is_stored = self.order.state is _State.SUCCEEDED
            return None if is_stored else _State.SUCCEEDED
        if self.phase is _Phase.MOVING:
            if not self.is_informed(facts.others, now):
                return None
            forced_s = const.FORCED_FRACTION * self.order.duration_s
            is_done = (
                self._fleet.moved >= len(facts.live)
                and self._fleet.in_flight_old <= 0
            )
            if is_done or self.age_s(now) >= forced_s:
                return _State.SUCCEEDED
            return None
        if self.order.state is not _State.NONE:
            return None
        if self.phase is _Phase.RUNNING:
            return _State.RUNNING
        if self.phase is _Phase.UNKNOWN:
            joins_at = self._seen_at + const.JOIN_TIMEOUT_S
            return _State.RUNNING if now >= joins_at else None
        return None

    def _rank(self, facts: Facts) -> int:
        ranked = rendezvous.rank(self.identity.service, facts.live)
        return ranked.index(facts.address)
