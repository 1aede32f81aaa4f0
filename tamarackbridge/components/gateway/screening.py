"""Decides whether a router takes a request up, before it is read."""

from collections.abc import Callable
import dataclasses
import functools
from typing import TypeAlias

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    answers,
    headroom,
    listener,
    models,
    offload,
    pipes,
    request_log,
    shedding,
    strain,
)
from tamarackbridge.components.knowledge import state

_REASON = answers.Reason.ROUTER_OVERLOADED
_REASONS = {
    pipes.End.NOT_SENT: _REASON,
    pipes.End.LOST: answers.Reason.LOST,
    pipes.End.LATE: answers.Reason.TIMED_OUT,
}


NoteShed: TypeAlias = Callable[[str, models.Glimpse, float], None]
"""Told what is refused unread: its workspace, what was seen of it, and when its
caller is to come back, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offloading:
    """How requests are offloaded to peers.

    Attributes:
        offloader: Chooses peers.
        host: Where this router takes its peers' requests.
        port: Its port.
        address_of: Returns where a peer takes them.
        headroom: What this router has to spare for them.
    """

    offloader: offload.Offloader
    host: str
    port: int
    address_of: Callable[[str], tuple[str, int]]
    headroom: headroom.Headroom


class RequestScreen:
    """Refuses what the router has no processor time for.

    Each request is held against the limit once: unread, where all its bytes
    are there while requests are shed, or else when its head has been read.

    Args:
        offloading: How requests are offloaded; None if they are not.
        draining: Tells whether the router is shutting down; it offloads
            nothing then, as a peer may take longer than that leaves.
    """

    def __init__(
        self,
        known: state.LocalCopy,
        dialect: models.Dialect,
        clock: core.Clock,
        shedder: shedding.Shedder,
        meter: strain.LagMeter,
        log: request_log.RequestLog,
        note_shed: NoteShed,
        offloading: Offloading | None = None,
        draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._known = known
        self._dialect = dialect
        self._clock = clock
        self._shedder = shedder
        self._meter = meter
        self._log = log
        self._note_shed = note_shed
        self._offloading = offloading
        self._draining = draining

    @property
    def shedding(self) -> bool:
        """Whether requests may be refused unread."""
        return self._shedder.active or self._meter.overloaded

    def screen(self, data: bytes) -> listener.Screened | pipes.Offload | bytes:
        """Returns the answer to a request that is refused unread."""
        seen = self._dialect.glimpse(data)
        if seen is None:
            return listener.Screened.UNKNOWN
        retry_s = self._refused_for_s(seen.key)
        if retry_s is None:
            return listener.Screened.ADMITTED
        offloaded = self._offloaded(seen, data)
        if offloaded is not None:
            return offloaded
        workspace = self._workspace(seen.key)
        self._log.shed(seen.request_id, workspace)
        self._note_shed(workspace, seen, retry_s)
        headers = self._dialect.refusal(seen.request_id)
        return answers.raw(answers.Refusal(_REASON, retry_s), headers)

    def _offloaded(
        self, seen: models.Glimpse, data: bytes
    ) -> pipes.Offload | None:
        """Returns how a request is offloaded; None if no peer has room."""
        if self._offloading is None or seen.patience_s is None:
            return None
        if self._draining():
            return None
        now = self._clock.monotonic()
        peer = self._offloading.offloader.pick(now)
        if not peer:
            return None
        return pipes.Offload(
            peer=self._offloading.address_of(peer),
            request=offload.for_peer(data),
            deadline=now + seen.patience_s,
            answer=functools.partial(self._unanswered, seen),
            ended=functools.partial(
                self._log.offload_ended, seen.request_id, peer
            ),
        )

    def _unanswered(self, seen: models.Glimpse, end: pipes.End) -> bytes:
        """Returns the answer to a request that its peer gave none to."""
        retry_s = self._shedder.retry_s(self._workspace(seen.key))
        refusal = answers.Refusal(_REASONS[end], retry_s)
        return answers.raw(refusal, self._dialect.refusal(seen.request_id))

    def refusal(self, call: models.Call) -> answers.Refusal | None:
        """Returns the refusal of a request whose head was read."""
        retry_s = self._refused_for_s(call.key)
        return None if retry_s is None else answers.Refusal(_REASON, retry_s)

    def note_left(self) -> None:
        """Counts a caller that had left before its request was read."""
        self._log.left_unread()

    def _refused_for_s(self, key: str) -> float | None:
        """Returns when a refused request may come back; None if admitted."""
        workspace = self._workspace(key)
        admitted = self._shedder.admits(workspace, self._clock.monotonic())
        if admitted and not self._meter.overloaded:
            return None
        return self._shedder.retry_s(workspace)

    def _workspace(self, key: str) -> str:
        cfg = self._known.configuration
        if cfg is None or cfg.workspaces is None:
            return ""
        return cfg.workspaces.get(key, "")
