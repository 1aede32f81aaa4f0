"""Derives observations of servers' speeds from the attempts at them.

Load pattern: a full or failing server rejects at once, which must not make it
look fast.
"""

from tamarackbridge.components.gateway import models
from tamarackbridge.components.placement import estimate, ledger, selector


class SpeedObserver:
    """Passes times and figures of servers on to the estimator."""

    def __init__(
        self,
        estimator: estimate.Estimator,
        server_selector: selector.ServerSelector,
    ) -> None:
        self._estimator = estimator
        self._selector = server_selector

    def record_sent(self, reservation: ledger.Reservation) -> None:
        """Records how full the server is with a request that was sent."""
        reservation.occupancy = self._selector.states.occupancy(
            reservation.server, reservation.sent_at
        )

    def record_response_start(
        self, reservation: ledger.Reservation, tokens_ahead: int, now: float
    ) -> None:
        """Records the first sign of life of an engine.

        With the speed model it counts only once the head of the response shows
        that it is no rejection.

        Args:
            reservation: The attempt.
            tokens_ahead: The engine's prefill backlog when the attempt was
                sent, in tokens.
            now: The time.
        """
        reservation.tokens_until_start = (
            tokens_ahead + reservation.prefill_tokens
        )
        if self._estimator.speeds is None:
            self._observe_first_event(reservation, now)

    def record_head(
        self,
        reservation: ledger.Reservation,
        head: models.ResponseHead,
        now: float,
    ) -> None:
        """Records the head of a response."""
        estimator, name = self._estimator, reservation.server.name
        if head.load is not None:
            estimator.observe_load(name, head.load, now)
        is_answered = head.disposition is models.Disposition.ANSWERED
        if estimator.speeds is None or not is_answered or head.status >= 300:
            return
        if reservation.tokens_until_start:
            self._observe_first_event(reservation, now)
        elif reservation.is_plain:
            occupancy = reservation.occupancy
            if head.load is not None:
                present = head.load.running + head.load.waiting
                occupancy = max(present / head.load.slots, occupancy)
            took_s = now - reservation.sent_at
            estimator.observe_response(name, took_s, occupancy, now)

    def _observe_first_event(
        self, reservation: ledger.Reservation, now: float
    ) -> None:
        self._estimator.observe_first_event(
            reservation.server.name,
            reservation.tokens_until_start,
            now - reservation.sent_at,
            now,
        )
