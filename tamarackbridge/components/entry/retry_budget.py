"""Limits retries to a fraction of recent requests."""

RETRY_SHARE = 0.1
"""Retries that each request adds to the balance."""

RESERVE = 5.0
"""Retries a second that are allowed at any number of requests."""

MAX_BALANCE = 50.0
"""Limit of the retries that requests can save up."""


class RetryBudget:
    """A balance that requests add to and retries draw from.

    When every request fails in an overload, the balance limits retries to a
    fraction of the requests, so that they can't multiply the load.

    Attributes:
        refused: Number of retries that the balance did not cover.
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
        """Records a new request."""
        self._earned = min(self._earned + self._share, self._max_balance)

    def take(self, now: float) -> bool:
        """Draws one retry at monotonic time `now`; False if none is left."""
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
