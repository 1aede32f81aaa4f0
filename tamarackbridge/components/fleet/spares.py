"""What other routers told to have to spare of their processors."""

from collections.abc import Mapping
import math

from tamarackbridge.components.gateway import offload

OLD_S = 1.0
"""What a router told is not relied on for longer: two lists of routers."""

SWEEP_S = 0.1
"""Interval at which what is older than that is dropped."""


class Spares:
    """Keeps what routers of one availability zone told last."""

    def __init__(self) -> None:
        self._spare: dict[str, offload.PeerHeadroom] = {}
        self._swept_at = -math.inf

    def hear(self, router: str, cores: float, now: float) -> None:
        """Takes what a router has to spare."""
        self._spare[router] = offload.PeerHeadroom(cores, now)

    def told(self, now: float) -> Mapping[str, offload.PeerHeadroom]:
        """Returns what is not too old."""
        if now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            self._spare = {
                router: it
                for router, it in self._spare.items()
                if now - it.received_at < OLD_S
            }
        return self._spare
