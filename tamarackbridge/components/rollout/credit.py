"""Exposure credit: how many requests a router sends to a new version.

Load pattern: many routers, each with few requests, that die and restart at any
time, must together send a fixed share of all requests without a message. Also
callers whose requests come in a repeated pattern of routes, with which a fixed
step would meet the same route each time.
"""

import random

from tamarackbridge.components.rollout import const


class ExposureCredit:
    """The credit of one router for one order.

    In total at most the sum of the shares of all attempts plus 1.5 is spent,
    and on average, over routers, the sum of the shares plus `early`.

    Args:
        rng: Source of randomness.
        early: Credit in addition to the random start.
    """

    def __init__(self, rng: random.Random, early: float = 0.0) -> None:
        self._rng = rng
        self._credit = rng.random() + early
        self._needed = 1.0

    @property
    def credit(self) -> float:
        """The credit."""
        return self._credit

    def may_spend(self) -> bool:
        """Returns whether an attempt may go to the new version."""
        return self._credit >= self._needed

    def may_resume(self) -> bool:
        """Returns whether a stream of the new version may go on there."""
        return self._credit > const.MIN_RESUME_CREDIT

    def record_sent(self, share: float, is_new: bool) -> None:
        """Records an attempt at either version.

        Args:
            share: Share of the attempts that the new version may get.
            is_new: Whether it went to the new version.
        """
        self._credit = min(
            self._credit + share, max(self._credit, const.MAX_CREDIT)
        )
        if is_new:
            self._credit -= 1.0
            self._needed = self._rng.uniform(0.5, 1.5)

    def refund(self) -> None:
        """Returns the credit of an attempt that was not sent after all."""
        self._credit += 1.0
