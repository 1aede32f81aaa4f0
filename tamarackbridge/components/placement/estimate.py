"""Predicts the time until a model engine sends a request's first event.

An engine prefills prompts in chunks between the decoding steps of its running
requests.

Load pattern: long prompts that arrive together, so that the wait depends on
the prompt tokens ahead of a request rather than on the number of requests.
"""

import dataclasses

PREFILL_TOKENS_PER_S = 90_000.0
"""Prompt tokens that an engine prefills in a second beside its running
requests, assumed until its speed has been observed."""

BASE_FIRST_EVENT_S = 0.065
"""Time from the start of a short request to its first event, assumed until the
engine's speed has been observed."""

PAUSE_SMOOTHING = 0.05
"""Weight of one pause between events in the moving average; an engine sends
some hundred events a second."""

PAUSE_HALF_LIFE_S = 2.0
"""Without new observations the average pause halves in this time, so that
requests are sent again to an engine that was slow."""

SLOWNESS_SMOOTHING = 0.1
"""Weight of one observation of an engine's speed in the moving average."""

MAX_SLOWNESS = 8.0
"""Bounds one observation of slowness; an engine that is slower than this misses
every target anyway."""


@dataclasses.dataclass(slots=True)
class _Observed:
    slowness: float = 1.0
    pause_s: float = 0.0
    paused_at: float = 0.0


class Estimator:
    """Learns the speed of each engine and predicts first events."""

    def __init__(self) -> None:
        self._observed: dict[str, _Observed] = {}

    def first_event_s(
        self, server: str, tokens_ahead: int, prefill_tokens: int
    ) -> float:
        """Returns the predicted time to the first event of a request.

        Args:
            server: Name of the engine.
            tokens_ahead: Prompt tokens that it prefills before this request.
            prefill_tokens: Prompt tokens of this request that it has to
                prefill.
        """
        return _nominal_s(tokens_ahead + prefill_tokens) * self.slowness(server)

    def prefill_tokens_per_s(self, server: str) -> float:
        """Returns the prompt tokens that an engine prefills in a second."""
        return PREFILL_TOKENS_PER_S / self.slowness(server)

    def slowness(self, server: str) -> float:
        """Returns an engine's time for a prefill divided by the nominal one."""
        observed = self._observed.get(server)
        return observed.slowness if observed else 1.0

    def observe_first_event(
        self, server: str, tokens: int, took_s: float
    ) -> None:
        """Learns from a first event that came after `tokens` were prefilled."""
        observed = self._observed.setdefault(server, _Observed())
        sample = min(
            max(took_s / _nominal_s(tokens), 1 / MAX_SLOWNESS), MAX_SLOWNESS
        )
        observed.slowness += SLOWNESS_SMOOTHING * (sample - observed.slowness)

    def observe_pause(self, server: str, pause_s: float, now: float) -> None:
        """Learns from the time between two events of one stream."""
        observed = self._observed.setdefault(server, _Observed())
        average_s = self.pause_s(server, now)
        observed.pause_s = average_s + PAUSE_SMOOTHING * (pause_s - average_s)
        observed.paused_at = now

    def pause_s(self, server: str, now: float) -> float:
        """Returns the average time between two events of a stream.

        It decays towards 0 while no pauses are observed.
        """
        observed = self._observed.get(server)
        if observed is None:
            return 0.0
        silent_s = max(now - observed.paused_at, 0.0)
        return float(observed.pause_s * 0.5 ** (silent_s / PAUSE_HALF_LIFE_S))

    def forget(self, server: str) -> None:
        """Drops the observations of an engine that is gone or has restarted."""
        self._observed.pop(server, None)


def _nominal_s(tokens: int) -> float:
    return BASE_FIRST_EVENT_S + tokens / PREFILL_TOKENS_PER_S
