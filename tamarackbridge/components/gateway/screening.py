"""Decides whether a router takes a request up, before it is read."""

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    answers,
    listener,
    models,
    request_log,
    shedding,
    strain,
)
from tamarackbridge.components.knowledge import state

_REASON = answers.Reason.ROUTER_OVERLOADED


class RequestScreen:
    """Refuses what the router has no processor time for.

    Each request is held against the limit once: unread, where all its bytes
    are there while requests are shed, or else when its head has been read.
    """

    def __init__(
        self,
        known: state.Knowledge,
        dialect: models.Dialect,
        clock: core.Clock,
        shedder: shedding.Shedder,
        meter: strain.LagMeter,
        log: request_log.RequestLog,
    ) -> None:
        self._known = known
        self._dialect = dialect
        self._clock = clock
        self._shedder = shedder
        self._meter = meter
        self._log = log

    @property
    def shedding(self) -> bool:
        """Whether requests may be refused unread."""
        return self._shedder.active or self._meter.overloaded

    def screen(self, data: bytes) -> listener.Screened | bytes:
        """Returns the answer to a request that is refused unread."""
        seen = self._dialect.glimpse(data)
        if seen is None:
            return listener.Screened.UNKNOWN
        retry_s = self._refused_for_s(seen.key)
        if retry_s is None:
            return listener.Screened.ADMITTED
        self._log.shed(seen.request_id, self._workspace(seen.key))
        headers = self._dialect.refusal(seen.request_id)
        return answers.raw(answers.Refusal(_REASON, retry_s), headers)

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
