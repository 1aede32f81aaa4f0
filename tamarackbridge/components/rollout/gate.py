"""Applies rollout orders to the placement of requests at one router.

Load pattern: no order is known for nearly all of the time, and then nothing is
asked of this module but whether that is so.
"""

from collections.abc import Callable, Collection, Sequence
import random

from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import positions, source, state
from tamarackbridge.components.placement import ledger
from tamarackbridge.components.rollout import (
    const,
    facts,
    models,
    new_versions,
    order,
    order_log,
    placement,
)

_Phase = models.Phase


class Gate:
    """The orders that this router knows, and what they allow.

    Attributes:
        changes: Number of changes after which other servers may be permitted.
        orders: The orders that are carried out, by service.
        refused: The orders that can't be carried out, by service.
    """

    def __init__(
        self,
        address: str,
        bounds: fleet.Bounds,
        local_copy: state.LocalCopy,
        work: ledger.ReservationLedger,
        rng: random.Random,
    ) -> None:
        self.changes = 0
        self.orders: dict[str, order.OrderState] = {}
        self.refused: dict[str, knowledge.RolloutOrder] = {}
        self._facts = facts.FactsReader(address, local_copy, work)
        self._share = bounds.exposure_share
        self._slack = bounds.exposure_slack
        self._max_slice_s = min(
            const.MAX_SLICE_S, const.MAX_SLICE_FRACTION * bounds.rollback_s
        )
        self._local_copy = local_copy
        self._rng = rng
        self._others: Callable[[], int] = lambda: 0
        self._live: Callable[[], Collection[str]] = lambda: (address,)
        self._on_change: Callable[[], None] = lambda: None
        self._is_synced = False
        self._has_unsent_change = False
        self._log = order_log.OrderLog()
        self._new_versions = new_versions.NewVersions()
        self._eras: dict[str, int] = {}

    def set_fleet(
        self,
        others: Callable[[], int],
        live: Callable[[], Collection[str]],
        on_change: Callable[[], None],
    ) -> None:
        """Sets the view of the other routers; called before the start.

        Args:
            others: Returns the number of other routers that may be running.
            live: Returns the live routers, this one among them.
            on_change: Called after a change of a phase.
        """
        self._others, self._live = others, live
        self._on_change = on_change

    @property
    def is_active(self) -> bool:
        """Whether any order is known."""
        return bool(self.orders) or bool(self.refused)

    def running(self) -> int:
        """Returns the number of orders without a stored result."""
        return sum(
            current.phase <= _Phase.BAD for current in self.orders.values()
        )

    def new_responses(self) -> models.Counts:
        """Returns the fleet's counts of responses of the target versions."""
        found = models.NO_COUNTS
        for current in self.orders.values():
            for key, counts in current.fleet.cells.items():
                if key.is_new:
                    found = found.plus(counts)
        return found

    def sync(self, now: float) -> None:
        """Takes the orders of the local copy over; called after its changes."""
        if not self._share or not self._local_copy.has(source.Kind.ROLLOUTS):
            return
        stored = self._local_copy.rollouts
        if not stored and not self.is_active:
            self._is_synced = True
            return
        found: dict[str, order.OrderState] = {}
        refused: dict[str, knowledge.RolloutOrder] = {}
        for item in stored.values():
            error = item.error or self._unknown_service(item)
            if error:
                refused[item.service or item.name] = item
                self._log.log_refused(item, error)
                continue
            known = self.orders.get(item.service)
            if known is not None and known.identity == models.identity(item):
                phase = known.phase
                known.update_stored(item)
                self._note_phase(known, phase, now)
            elif known is not None and self._is_written_again(item, known):
                known.rename(item)
                self._eras[item.service] = self._era()
            else:
                known = self._begin(item, known, now)
            self._log.log_status_ignored(item)
            found[item.service] = known
        for service in self.orders.keys() - found.keys():
            self._log.log_withdrawn(self.orders[service], now)
        for service in found:
            refused.pop(service, None)
        if found.keys() != self.orders.keys() or refused != self.refused:
            self.changes += 1
        self.orders, self.refused = found, refused
        self._is_synced = True

    def permitted(
        self,
        service: str,
        servers: Sequence[state.RegisteredServer],
        now: float,
    ) -> Sequence[state.RegisteredServer]:
        """Returns the servers at which all requests may be placed."""
        current = self.orders.get(service)
        if current is None:
            refused = self.refused.get(service)
            if refused is None:
                known = self._local_copy.version(source.Kind.ROLLOUTS)
                return self._new_versions.without_unconfirmed(
                    service, servers, known.confirmed_at, now
                )
            old, _ = placement.split(servers, refused.target)
            return old or servers
        target = current.identity.target
        old, new = placement.split(servers, target)
        if not old or not new:
            old, new = self._facts.registered(service, target)
        return placement.permitted(
            current.phase,
            servers,
            target,
            current.is_informed(self._others(), now),
            bool(old),
            bool(new),
        )

    def canaries(
        self,
        service: str,
        servers: Sequence[state.RegisteredServer],
        now: float,
    ) -> Sequence[state.RegisteredServer]:
        """Returns the servers at which canary requests may be placed."""
        current = self.orders.get(service)
        if current is None or not self._allows_canaries(current, now):
            return ()
        share = current.step_share(self._share)
        return placement.canaries(servers, current.identity.target, share, now)

    def prefers_canary(self, job: jobs.Job, now: float) -> bool:
        """Returns whether a request is to be placed as a canary request.

        A stream that broke goes on at the version that began it.
        """
        current = self.orders.get(job.service.name)
        if current is None or not self._allows_canaries(current, now):
            return False
        is_stream = job.route.kind is knowledge.RouteKind.STREAM
        if is_stream and (job.version is not None or job.attempts):
            is_new = job.version == current.identity.target
            return is_new and current.credit.may_resume()
        return current.credit.may_spend()

    def record_sent(
        self, job: jobs.Job, reservation: ledger.Reservation, now: float
    ) -> None:
        """Records that a request was sent."""
        current = self.orders.get(job.service.name)
        if current is None:
            return
        server = reservation.server
        job.version = server.version
        if current.phase > _Phase.BAD:
            return
        is_new = server.version == current.identity.target
        if current.phase < _Phase.MOVING:
            current.credit.record_sent(current.step_share(self._share), is_new)
        key = models.CellKey(job.route.name, server.zone, is_new)
        registered = self._local_copy.servers.get(server.name)
        is_cold = registered is not None and registered.warm_at > now
        current.evidence.record_sent(
            reservation, key, now, server.name, is_cold
        )

    def record_head(self, reservation: ledger.Reservation, now: float) -> None:
        """Records the head of a response that is no refusal."""
        current = self.orders.get(reservation.server.service)
        if current is not None:
            current.evidence.record_head(reservation, now)

    def record_end(
        self,
        reservation: ledger.Reservation,
        outcome: jobs.Outcome,
        now: float,
    ) -> None:
        """Records how an attempt ended."""
        current = self.orders.get(reservation.server.service)
        if current is None:
            return
        key = current.evidence.record_end(reservation, outcome, now)
        is_unsent = outcome is jobs.Outcome.UNSENT
        if key is not None and key.is_new and is_unsent:
            current.credit.refund()

    def tick(self, now: float) -> None:
        """Updates all orders; called several times a second while active."""
        live = self._live()
        for current in self.orders.values():
            before = current.phase
            current.tick(
                self._facts.of(current.identity, live, self._others(), now), now
            )
            self._note_phase(current, before, now)

    def due_writes(
        self, now: float
    ) -> list[tuple[knowledge.RolloutOrder, knowledge.RolloutState]]:
        """Returns the orders whose status this router must write now."""
        found = []
        for current in self.orders.values():
            state_due = current.due_write(now)
            if state_due is not None:
                found.append((current.order, state_due))
        return found

    def report(self) -> dict[models.Identity, models.Tally]:
        """Returns what this router itself knows, at the last `tick`."""
        return {
            current.identity: current.own for current in self.orders.values()
        }

    def reported(self, src: str) -> dict[models.Identity, models.Tally]:
        """Returns what a router's last report contained."""
        return {
            current.identity: current.reported[src]
            for current in self.orders.values()
            if src in current.reported
        }

    def apply_report(
        self,
        src: str,
        tallies: models.Tallies,
        age_s: float,
        now: float,
    ) -> bool:
        """Applies another router's report.

        Args:
            src: The other router.
            tallies: What its report says, with the ages of the orders now.
            age_s: Time since it was sent.
            now: The time.

        Returns:
            Whether a phase has changed, which the others should learn soon.
        """
        has_changed = False
        for current in self.orders.values():
            tally = tallies.get(current.identity)
            if tally is None:
                current.forget_router(src)
                continue
            before = current.phase
            has_changed |= current.apply_report(src, tally, now - age_s, now)
            self._note_phase(current, before, now)
        return has_changed

    def forget_router(self, src: str) -> None:
        """Drops what a router reported that is silent or reports elsewhere."""
        for current in self.orders.values():
            current.forget_router(src)

    def pop_unsent_change(self) -> bool:
        """Returns whether a phase changed since the last call."""
        changed, self._has_unsent_change = self._has_unsent_change, False
        return changed

    def _begin(
        self,
        item: knowledge.RolloutOrder,
        replaced: order.OrderState | None,
        now: float,
    ) -> order.OrderState:
        if replaced is not None:
            self._log.log_withdrawn(replaced, now)
        is_new = self._is_synced and item.state is knowledge.RolloutState.NONE
        early = const.EARLY_SLACK_FRACTION * self._slack / (1 + self._others())
        begun = order.OrderState(
            item, is_new, early, self._max_slice_s, self._rng, now
        )
        self._log.log_begun(begun)
        self._eras[item.service] = self._era()
        self.changes += 1
        return begun

    def _era(self) -> int:
        known = self._local_copy.version(source.Kind.ROLLOUTS)
        return positions.era(known.revision)

    def _is_written_again(
        self, item: knowledge.RolloutOrder, known: order.OrderState
    ) -> bool:
        """Returns whether an order was lost by a restored store and rewritten.

        Its revisions then differ, and it is as old as it was.
        """
        same = models.identity(item)._replace(created=known.identity.created)
        return same == known.identity and self._era() > self._eras.get(
            item.service, 0
        )

    def _unknown_service(self, item: knowledge.RolloutOrder) -> str:
        cfg = self._local_copy.configuration
        if cfg is None or item.service in cfg.services:
            return ""
        return f"unknown service {item.service!r}"

    def _allows_canaries(self, current: order.OrderState, now: float) -> bool:
        return current.phase is _Phase.RUNNING and current.is_informed(
            self._others(), now
        )

    def _note_phase(
        self, current: order.OrderState, before: models.Phase, now: float
    ) -> None:
        if current.phase is before:
            return
        self.changes += 1
        self._has_unsent_change = True
        self._log.log_phase(current, now)
        self._on_change()
