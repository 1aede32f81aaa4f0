"""Chooses peers for the requests that a router offloads.

Load pattern: the load balancer distributes callers by a hash, so that all
requests of a workspace can arrive at one small VM. That VM would limit the
throughput of the workspace while its peers are idle. All routers choose by the
same late reports and would all offload to the peer with the most headroom. So
two peers of the same availability zone are drawn at random, and the one with
more headroom is chosen (Mitzenmacher, The Power of Two Choices in Randomized
Load Balancing, 2001).
"""

from collections.abc import Callable, Mapping
import dataclasses
import random

from tamarackbridge.components.gateway import headroom, shedding

MIN_REQUEST_CORE_S = 0.0005
MAX_REQUEST_CORE_S = 0.02
"""Bounds of the estimated cost of a request at a peer, in core seconds. The
estimate is the processor use of this router per request, which includes all
other work of the router."""

REPORT_INTERVAL_S = 0.4
"""Interval at which routers report their headroom. The requests offloaded since
a report are spread over at least this time."""

MIN_HEADROOM_CORES = 0.05
"""Minimum headroom of a peer that is offloaded to, in cores."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadroomReport:
    """Processor headroom that a peer reported.

    Attributes:
        cores: The headroom, in cores.
        received_at: Time at which this router received the report.
    """

    cores: float
    received_at: float


class Offloader:
    """Chooses peers for requests that this router has no processor time for.

    Attributes:
        offloaded: Number of requests that were offloaded.
    """

    def __init__(
        self,
        peers: Callable[[], Mapping[str, HeadroomReport]],
        shedder: shedding.Shedder,
        own_headroom: headroom.Headroom,
        rng: random.Random,
    ) -> None:
        self.offloaded = 0
        self._shedder = shedder
        self._own_headroom = own_headroom
        self._peers = peers
        self._rng = rng
        self._sent_since_report: dict[str, tuple[float, int]] = {}
        shedder.set_peer_capacity(self.peer_capacity_per_s)

    def pick_peer(self, now: float) -> str:
        """Chooses the peer for a request and counts the request.

        Returns:
            The peer; empty if none has headroom, or if offloading would exceed
            this router's own admission limit.
        """
        peers = self._peers()
        if not peers or not self._shedder.may_offload(now):
            return ""
        candidates = self._rng.sample(list(peers), min(len(peers), 2))
        peer = max(
            candidates,
            key=lambda name: self._remaining_cores(name, peers[name], now),
        )
        if self._remaining_cores(peer, peers[peer], now) < MIN_HEADROOM_CORES:
            return ""
        self._sent_since_report[peer] = (
            peers[peer].received_at,
            self._count_since_report(peer, peers[peer]) + 1,
        )
        self.offloaded += 1
        self._shedder.record_offload()
        return peer

    def peer_capacity_per_s(self) -> float:
        """Returns how many requests a second fit into the peers' headroom."""
        cores = sum(reported.cores for reported in self._peers().values())
        return cores / self._request_core_s()

    def _count_since_report(self, peer: str, reported: HeadroomReport) -> int:
        """Returns how many requests the peer got since its last report."""
        reported_at, count = self._sent_since_report.get(
            peer, (reported.received_at, 0)
        )
        return count if reported_at == reported.received_at else 0

    def _remaining_cores(
        self, peer: str, reported: HeadroomReport, now: float
    ) -> float:
        """Returns the headroom that remains after requests since the report."""
        seconds = max(now - reported.received_at, REPORT_INTERVAL_S)
        count = self._count_since_report(peer, reported)
        return reported.cores - count * self._request_core_s() / seconds

    def _request_core_s(self) -> float:
        """Returns the estimated cost of a request, in core seconds."""
        core_s = self._own_headroom.used_cores / max(
            self._shedder.work_per_s, 1.0
        )
        return min(max(core_s, MIN_REQUEST_CORE_S), MAX_REQUEST_CORE_S)


def make_peer_request(request: bytes) -> bytes:
    """Adds a header to a request that makes the peer close the connection."""
    request_line, _, rest = request.partition(b"\r\n")
    return b"%b\r\nConnection: close\r\n%b" % (request_line, rest)
