"""Predicts the time until a model engine sends a request's first event.

An engine prefills prompts in chunks between the decoding steps of its running
requests.

Load pattern: long prompts that arrive together, so that the wait depends on
the prompt tokens ahead of a request rather than on the number of requests.
"""

import dataclasses
import math

from tamarackbridge.components.gateway import models
from tamarackbridge.components.placement import server_speeds, speed_estimate

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

REPORT_AGE_S = 0.15
"""Usual age of what other routers have reported of their requests."""

MIN_TIME_S = 0.0001
"""Shortest time that is learned from; no server responds sooner."""

MAX_SLOWNESS = 8.0
"""Bounds one observation of slowness; an engine that is slower than this misses
every target anyway."""


@dataclasses.dataclass(slots=True)
class _Observed:
    slowness: float = 1.0
    pause_s: float = 0.0
    paused_at: float = 0.0


class Estimator:
    """Learns the speed of each server and predicts first events.

    Without a speed model it learns the slowness of engines by itself, as a
    moving average without age.

    Attributes:
        speeds: The speed model; None if it is turned off.
    """

    def __init__(
        self, speeds: server_speeds.ServerSpeeds | None = None
    ) -> None:
        self.speeds = speeds
        self._observed: dict[str, _Observed] = {}
        self._now = 0.0

    def advance(self, now: float) -> None:
        """Sets the time as of which speeds are returned."""
        self._now = now

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
        if self.speeds is not None:
            return self.speeds.estimate(server, self._now).slowness
        observed = self._observed.get(server)
        return observed.slowness if observed else 1.0

    def relative_slowness(self, server: str) -> float:
        """Returns a server's time over that of its service's typical server.

        It is 1 if the difference is small or unknown.
        """
        if self.speeds is None:
            return 1.0
        return self.speeds.estimate(server, self._now).relative_slowness

    def needs_probe(self, server: str) -> bool:
        """Returns whether a server was slow and has shown no speed since."""
        if self.speeds is None:
            return False
        return self.speeds.estimate(server, self._now).needs_probe

    def response_s(self, server: str) -> float | None:
        """Returns the time of a request at a plain server at its limit.

        None if nothing is known of it.
        """
        if self.speeds is None:
            return None
        estimated = self.speeds.estimate(server, self._now)
        if estimated.source == "typical" and not estimated.has_typical:
            return None
        return server_speeds.NOMINAL_PLAIN_S * math.exp(
            estimated.level + estimated.slope * estimated.limit
        )

    def report_blur(self, server: str) -> float:
        """Returns how little a report tells of a plain server's requests now.

        It is 0 if requests take much longer than reports are old, or if nothing
        is known, and 1 if they take much less.
        """
        time_s = self.response_s(server)
        if time_s is None:
            return 0.0
        return 1.0 - math.exp(-REPORT_AGE_S / time_s)

    def limit(self, server: str, slots: int) -> float:
        """Returns how many requests a server handles well at once."""
        if self.speeds is None:
            return slots
        limit = self.speeds.estimate(server, self._now).limit
        return max(limit * slots, 1.0)

    def observe_first_event(
        self, server: str, tokens: int, took_s: float, now: float
    ) -> None:
        """Learns from a first event that came after `tokens` were prefilled."""
        if self.speeds is not None:
            log_time = math.log(max(took_s, MIN_TIME_S) / _nominal_s(tokens))
            log_time = speed_estimate.bounded(log_time)
            self.speeds.observe(server, log_time, 0.0, now)
            return
        observed = self._observed.setdefault(server, _Observed())
        sample = min(
            max(took_s / _nominal_s(tokens), 1 / MAX_SLOWNESS), MAX_SLOWNESS
        )
        observed.slowness += SLOWNESS_SMOOTHING * (sample - observed.slowness)

    def observe_response(
        self, server: str, took_s: float, occupancy: float, now: float
    ) -> None:
        """Learns from the time that a plain server took.

        Args:
            server: Name of the server.
            took_s: Time from sending the request to the response.
            occupancy: Requests at the server over its slots, this one included.
            now: The time.
        """
        if self.speeds is not None:
            log_time = math.log(
                max(took_s, MIN_TIME_S) / server_speeds.NOMINAL_PLAIN_S
            )
            self.speeds.observe(server, log_time, occupancy, now)

    def observe_load(
        self, server: str, load: models.ServerLoad, now: float
    ) -> None:
        """Learns from a server's own figures."""
        if self.speeds is not None:
            self.speeds.observe_load(server, load, now)

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
        if self.speeds is not None:
            self.speeds.forget(server)


def _nominal_s(tokens: int) -> float:
    return BASE_FIRST_EVENT_S + tokens / PREFILL_TOKENS_PER_S
