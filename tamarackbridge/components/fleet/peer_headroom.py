"""Processor headroom that the other routers of the zone reported."""

from collections.abc import Mapping
import math

from tamarackbridge.components.gateway import offload

MAX_AGE_S = 1.0
"""Reported headroom is not relied on for longer than this: the time of two
lists of routers."""

SWEEP_INTERVAL_S = 0.1
"""Interval at which older values are dropped."""


class PeerHeadroom:
    """The latest headroom reported by each router of one availability zone."""

    def __init__(self) -> None:
        self._headroom: dict[str, offload.HeadroomReport] = {}
        self._swept_at = -math.inf

    def update(self, router: str, cores: float, now: float) -> None:
        """Records the headroom that a router reported, in cores."""
        self._headroom[router] = offload.HeadroomReport(cores, now)

    def current(self, now: float) -> Mapping[str, offload.HeadroomReport]:
        """Returns the values that are not too old to rely on."""
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self._headroom = {
                router: headroom
                for router, headroom in self._headroom.items()
                if now - headroom.received_at < MAX_AGE_S
            }
        return self._headroom
