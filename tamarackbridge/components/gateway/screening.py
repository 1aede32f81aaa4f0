"""Rejects or offloads requests before they are parsed."""

from collections.abc import Callable
import dataclasses
import functools
from typing import TypeAlias

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    event_loop_lag,
    headroom,
    listener,
    models,
    offload,
    offload_proxy,
    rejections,
    request_log,
    shedding,
)
from tamarackbridge.components.knowledge import state

_OVERLOADED = rejections.Reason.ROUTER_OVERLOADED
_REASON_BY_END = {
    offload_proxy.End.NOT_SENT: _OVERLOADED,
    offload_proxy.End.LOST: rejections.Reason.LOST,
    offload_proxy.End.TIMED_OUT: rejections.Reason.TIMED_OUT,
}


ShedCallback: TypeAlias = Callable[[str, models.RequestPreview, float], None]
"""Called for each request that is rejected before it is parsed, with its
workspace, its preview and its Retry-After in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offloading:
    """Configuration of offloading requests to peers.

    Attributes:
        offloader: Chooses peers.
        host: Host on which this router accepts requests offloaded by peers.
        port: Port for these requests.
        address_of: Returns the host and port of a peer for these requests.
        headroom: Processor headroom that this router offers to peers.
    """

    offloader: offload.Offloader
    host: str
    port: int
    address_of: Callable[[str], tuple[str, int]]
    headroom: headroom.Headroom


class RequestScreen:
    """Rejects requests that the router has no processor time for.

    Each request counts against the admission limit once. While requests are
    shed, one that has arrived completely is checked before it is parsed; any
    other is checked when its head has been parsed.

    Args:
        offloading: Configuration of offloading; None if it is disabled.
        draining: Returns whether the router is shutting down. It offloads
            nothing then, because a peer may need more time than the shutdown
            leaves.
    """

    def __init__(
        self,
        local_copy: state.LocalCopy,
        dialect: models.Dialect,
        clock: core.Clock,
        shedder: shedding.Shedder,
        meter: event_loop_lag.LagMeter,
        log: request_log.RequestLog,
        record_shed: ShedCallback,
        offloading: Offloading | None = None,
        draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._local_copy = local_copy
        self._dialect = dialect
        self._clock = clock
        self._shedder = shedder
        self._meter = meter
        self._log = log
        self._record_shed = record_shed
        self._offloading = offloading
        self._draining = draining

    @property
    def shedding(self) -> bool:
        """Returns whether requests may be rejected before they are parsed."""
        return self._shedder.active or self._meter.overloaded

    def screen(
        self, data: bytes
    ) -> listener.ScreenResult | offload_proxy.OffloadedRequest | bytes:
        """Decides on an unparsed request, and logs it if it is rejected.

        Args:
            data: All bytes that its connection has received.

        Returns:
            The response if the request is rejected, the request for a peer if
            it is offloaded, else whether it is admitted or undecided.
        """
        preview = self._dialect.preview(data)
        if preview is None:
            return listener.ScreenResult.UNKNOWN
        retry_after_s = self._check_admission(preview.key)
        if retry_after_s is None:
            return listener.ScreenResult.ADMITTED
        offloaded = self._make_offload(preview, data)
        if offloaded is not None:
            return offloaded
        workspace = self._workspace(preview.key)
        self._log.record_shed(preview.request_id, workspace)
        self._record_shed(workspace, preview, retry_after_s)
        headers = self._dialect.rejection_headers(preview.request_id)
        return rejections.closing_response(
            rejections.Rejection(_OVERLOADED, retry_after_s), headers
        )

    def _make_offload(
        self, preview: models.RequestPreview, data: bytes
    ) -> offload_proxy.OffloadedRequest | None:
        """Returns the request for a peer; None if it is not offloaded."""
        if self._offloading is None or preview.caller_timeout_s is None:
            return None
        if self._draining():
            return None
        now = self._clock.monotonic()
        peer = self._offloading.offloader.pick_peer(now)
        if not peer:
            return None
        return offload_proxy.OffloadedRequest(
            peer=self._offloading.address_of(peer),
            request=offload.make_peer_request(data),
            deadline=now + preview.caller_timeout_s,
            make_response=functools.partial(
                self._response_without_peer, preview
            ),
            on_end=functools.partial(
                self._log.record_offload_end, preview.request_id, peer
            ),
        )

    def _response_without_peer(
        self, preview: models.RequestPreview, end: offload_proxy.End
    ) -> bytes:
        """Returns the response to a request that the peer did not answer."""
        retry_after_s = self._shedder.retry_after_s(
            self._workspace(preview.key)
        )
        rejection = rejections.Rejection(_REASON_BY_END[end], retry_after_s)
        return rejections.closing_response(
            rejection, self._dialect.rejection_headers(preview.request_id)
        )

    def rejection(self, request: models.Request) -> rejections.Rejection | None:
        """Returns the rejection of a request whose head was parsed, if any."""
        retry_after_s = self._check_admission(request.key)
        return (
            None
            if retry_after_s is None
            else rejections.Rejection(_OVERLOADED, retry_after_s)
        )

    def record_caller_left(self) -> None:
        """Counts a caller that left before its request was parsed."""
        self._log.record_left_unread()

    def _check_admission(self, key: str) -> float | None:
        """Counts a request against the admission limit.

        Returns:
            The Retry-After of the rejection in seconds; None if admitted.
        """
        workspace = self._workspace(key)
        admitted = self._shedder.admits(workspace, self._clock.monotonic())
        if admitted and not self._meter.overloaded:
            return None
        return self._shedder.retry_after_s(workspace)

    def _workspace(self, key: str) -> str:
        """Returns the workspace of an API key; empty if unknown."""
        cfg = self._local_copy.configuration
        if cfg is None or cfg.workspaces is None:
            return ""
        return cfg.workspaces.get(key, "")
