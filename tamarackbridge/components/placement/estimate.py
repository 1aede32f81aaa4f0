"""Predicts when a model engine sends the first event of a request.

An engine reads prompts in chunks between the steps of the requests that it
runs. Load pattern: long prompts that arrive together, so that what counts is
the prompt tokens before a request rather than the number of requests.
"""

import dataclasses

READ_PER_S = 90_000.0
"""Prompt tokens that an engine reads in a second among running requests,
until its speed is learned."""

FIRST_S = 0.065
"""Time from an engine's start on a short request to its first event, until
it is learned."""

PACE_LEARNING = 0.05
"""Weight of one pause between events; an engine sends some hundred a
second."""

PACE_HALF_LIFE_S = 2.0
"""A pace that is not observed any more loses half of its weight in this time,
so that an engine is tried again after it was slow."""

LEARNING = 0.1
"""Weight of one observation of an engine's speed."""

SLOWEST = 8.0
"""Bound on a learned slowness; an engine slower than this fails every target
anyway."""


@dataclasses.dataclass(slots=True)
class _Speed:
    slowness: float = 1.0
    pause_s: float = 0.0
    paused_at: float = 0.0


class Estimator:
    """Learns how fast each engine is and predicts first events."""

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}

    def first_event_s(self, server: str, ahead: int, unread: int) -> float:
        """Returns the time to the first event of a request.

        Args:
            server: Name of the engine.
            ahead: Prompt tokens that it reads before this request.
            unread: Prompt tokens of this request that it has to read.
        """
        return _ideal_s(ahead + unread) * self.slowness(server)

    def read_per_s(self, server: str) -> float:
        """Returns the prompt tokens that an engine reads in a second."""
        return READ_PER_S / self.slowness(server)

    def slowness(self, server: str) -> float:
        """Returns how much slower an engine is than is usual."""
        speed = self._speeds.get(server)
        return speed.slowness if speed else 1.0

    def observe(self, server: str, tokens: int, took_s: float) -> None:
        """Learns from a first event that came after `tokens` were read."""
        speed = self._speeds.setdefault(server, _Speed())
        seen = min(max(took_s / _ideal_s(tokens), 1 / SLOWEST), SLOWEST)
        speed.slowness += LEARNING * (seen - speed.slowness)

    def observe_pause(self, server: str, pause_s: float, now: float) -> None:
        """Learns from the time between two events of one stream."""
        speed = self._speeds.setdefault(server, _Speed())
        known_s = self.pause_s(server, now)
        speed.pause_s = known_s + PACE_LEARNING * (pause_s - known_s)
        speed.paused_at = now

    def pause_s(self, server: str, now: float) -> float:
        """Returns the usual time between two events of a stream."""
        speed = self._speeds.get(server)
        if speed is None:
            return 0.0
        silent_s = max(now - speed.paused_at, 0.0)
        return float(speed.pause_s * 0.5 ** (silent_s / PACE_HALF_LIFE_S))

    def forget(self, server: str) -> None:
        """Drops what was learned of an engine that is gone."""
        self._speeds.pop(server, None)


def _ideal_s(tokens: int) -> float:
    return FIRST_S + tokens / READ_PER_S
