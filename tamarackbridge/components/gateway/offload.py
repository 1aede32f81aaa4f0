"""Which requests a router offloads to a peer, and to which.

Load pattern: callers are spread by a hash, so that a workspace can reach the
fleet through one small VM alone, which would bound what it gets while its
peers idle. Two peers of the same availability zone are drawn and the one with
more to spare is taken (Mitzenmacher, The Power of Two Choices in Randomized
Load Balancing, 2001), as all routers decide on the same late reports.
"""

from collections.abc import Callable, Mapping
import dataclasses
import random

from tamarackbridge.components.gateway import headroom, shedding

MIN_REQUEST_CORE_S = 0.0005
MAX_REQUEST_CORE_S = 0.02
"""Bounds of what a request is taken to cost a peer, in seconds of a core: what
one costs this router, all else that it does included."""

TOLD_S = 0.4
"""Time over which requests are counted that were offloaded since a peer told
its load: the interval at which routers tell it."""

LEAST_SPARE = 0.05
"""Processor, in cores, that a peer must have to spare."""


@dataclasses.dataclass(frozen=True, slots=True)
class Spare:
    """What a peer told of its load.

    Attributes:
        cores: What it has to spare.
        at: When this router heard it.
    """

    cores: float
    at: float


class Offloader:
    """Chooses peers for requests that a router has no processor time for.

    Attributes:
        offloaded: Requests that were offloaded.
    """

    def __init__(
        self,
        peers: Callable[[], Mapping[str, Spare]],
        shedder: shedding.Shedder,
        room: headroom.Headroom,
        rng: random.Random,
    ) -> None:
        self.offloaded = 0
        self._shedder = shedder
        self._room = room
        self._peers = peers
        self._rng = rng
        self._since: dict[str, tuple[float, int]] = {}
        shedder.use_peers(self.room_per_s)

    def pick(self, now: float) -> str:
        """Returns the peer for a request; empty if there is none."""
        peers = self._peers()
        if not peers or not self._shedder.may_offload(now):
            return ""
        drawn = self._rng.sample(list(peers), min(len(peers), 2))
        peer = max(drawn, key=lambda it: self._left(it, peers[it], now))
        if self._left(peer, peers[peer], now) < LEAST_SPARE:
            return ""
        self._since[peer] = (peers[peer].at, self._count(peer, peers[peer]) + 1)
        self.offloaded += 1
        self._shedder.note_offloaded()
        return peer

    def room_per_s(self) -> float:
        """Returns how many requests a second peers told to have room for."""
        cores = sum(it.cores for it in self._peers().values())
        return cores / self._request_core_s()

    def _count(self, peer: str, spare: Spare) -> int:
        """Returns the requests since a peer told its load."""
        at, count = self._since.get(peer, (spare.at, 0))
        return count if at == spare.at else 0

    def _left(self, peer: str, spare: Spare, now: float) -> float:
        seconds = max(now - spare.at, TOLD_S)
        count = self._count(peer, spare)
        return spare.cores - count * self._request_core_s() / seconds

    def _request_core_s(self) -> float:
        core_s = self._room.used / max(self._shedder.work_per_s, 1.0)
        return min(max(core_s, MIN_REQUEST_CORE_S), MAX_REQUEST_CORE_S)


def for_peer(request: bytes) -> bytes:
    """Returns a request as it is sent to a peer, which ends the connection."""
    line, _, rest = request.partition(b"\r\n")
    return b"%b\r\nConnection: close\r\n%b" % (line, rest)
