"""Bounds retries to a share of recent requests."""

RETRY_SHARE = 0.1
"""Retries that each request earns."""

RESERVE = 5.0
"""Retries that are allowed whatever the load, refilled each second."""

MAX_BALANCE = 50.0
"""Most retries that can be saved up."""


class RetryBudget:
    """A balance that requests pay into and retries draw from.

    In an overload every request fails, and the balance holds the retries to
    the given share of the requests, so that they can't multiply it.

    Attributes:
        refused: Retries that the balance did not cover.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        reserve: float = RESERVE,
        max_balance: float = MAX_BALANCE,
    ) -> None:
        self.refused = 0
        self._share = share
        self._reserve = reserve
        self._max_balance = max_balance
        self._earned = 0.0
        self._spare = reserve
        self._spare_at = 0.0

    def request(self) -> None:
        """Notes one new request."""
        self._earned = min(self._earned + self._share, self._max_balance)

    def take(self, now: float) -> bool:
        """Draws one retry; False if there is none left at time `now`."""
        passed = max(now - self._spare_at, 0.0)
        refill = passed * self._reserve
        self._spare = min(self._spare + refill, self._reserve)
        self._spare_at = now
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._spare >= 1.0:
            self._spare -= 1.0
            return True
        self.refused += 1
        return False
