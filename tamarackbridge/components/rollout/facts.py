"""Reads what a router knows about the service of an order."""

from collections.abc import Collection
import math

from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import ledger
from tamarackbridge.components.rollout import models, order, placement


class FactsReader:
    """Reads servers from the local copy and requests from the ledger.

    Args:
        address: Address of this router.
        local_copy: The local copy.
        work: The requests in flight.
    """

    def __init__(
        self,
        address: str,
        local_copy: state.LocalCopy,
        work: ledger.ReservationLedger,
    ) -> None:
        self._address = address
        self._local_copy = local_copy
        self._work = work

    def of(
        self,
        identity: models.Identity,
        live: Collection[str],
        others: int,
        now: float,
    ) -> order.Facts:
        """Returns the facts for an order.

        Args:
            identity: The order.
            live: The live routers, this one among them.
            others: Number of other routers that may be running.
            now: The time.
        """
        service, target = identity.service, identity.target
        old, new = self.registered(service, target)
        in_flight_old = self._in_flight(old)
        return order.Facts(
            self._address,
            live,
            others,
            len(new),
            self._warm_slots(service, target, now),
            in_flight_old,
            in_flight_old + self._in_flight(new),
        )

    def registered(
        self, service: str, target: str
    ) -> tuple[list[state.RegisteredServer], list[state.RegisteredServer]]:
        """Returns the registered servers of other versions and the target."""
        return placement.split(
            (
                registered
                for registered in self._local_copy.servers.values()
                if registered.server.service == service
            ),
            target,
        )

    def _in_flight(self, servers: list[state.RegisteredServer]) -> int:
        own = self._work.own()
        return sum(
            own[registered.server.name].requests
            for registered in servers
            if registered.server.name in own
        )

    def _warm_slots(self, service: str, target: str, now: float) -> float:
        cfg = self._local_copy.configuration
        engine = cfg.services.get(service) if cfg is not None else None
        engine_slots = engine.slots if engine is not None else 0
        _, new = placement.split(self._local_copy.usable(service, now), target)
        return sum(
            engine_slots or registered.server.slots or math.inf
            for registered in new
            if registered.warm_at <= now
        )
