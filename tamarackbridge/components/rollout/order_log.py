"""Log lines of rollout orders, each written once."""

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.rollout import models, order
from tamarackbridge.components.telemetry import events

MAX_LOGGED = 1000
"""Lines that are remembered as written; they are forgotten together."""

MAX_TEXT = 200
"""Characters of a refused target that are logged."""


class OrderLog:
    """Writes the events of orders, without repetitions."""

    def __init__(self) -> None:
        self._written: set[tuple[str, int, str]] = set()

    def log_begun(self, begun: order.OrderState) -> None:
        """Logs that an order is carried out."""
        found = begun.order
        events.write(
            events.RolloutBegun(
                found.service,
                found.target,
                found.duration_s,
                begun.phase is not models.Phase.UNKNOWN,
            )
        )

    def log_phase(self, current: order.OrderState, now: float) -> None:
        """Logs the phase of an order after a change."""
        compared = current.comparison
        events.write(
            events.RolloutPhase(
                service=current.identity.service,
                target=current.identity.target,
                phase=current.phase.name.lower(),
                reason=current.reason,
                age_s=round(current.age_s(now), 3),
                responses=compared.responses,
                bad=compared.bad,
            )
        )

    def log_withdrawn(self, current: order.OrderState, now: float) -> None:
        """Logs that an order was replaced or deleted."""
        identity = current.identity
        age_s = round(current.age_s(now), 3)
        events.write(
            events.RolloutWithdrawn(identity.service, identity.target, age_s)
        )

    def log_refused(self, found: knowledge.RolloutOrder, error: str) -> None:
        """Logs that an order can't be carried out."""
        if self._is_first(found.name, found.created, error):
            events.write(
                events.RolloutRefused(
                    found.name, found.target[:MAX_TEXT], error
                )
            )

    def log_status_ignored(self, found: knowledge.RolloutOrder) -> None:
        """Logs that the stored status doesn't belong to the order."""
        error = found.status_error
        if error and self._is_first(found.name, found.revision, error):
            events.write(events.RolloutStatusIgnored(found.name, error))

    def _is_first(self, name: str, revision: int, text: str) -> bool:
        if len(self._written) >= MAX_LOGGED:
            self._written.clear()
        key = (name, revision, text)
        if key in self._written:
            return False
        self._written.add(key)
        return True
