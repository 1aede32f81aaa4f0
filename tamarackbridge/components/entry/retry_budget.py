"""Limits retries to a fraction of recent requests."""

RETRIES_PER_REQUEST = 0.1
"""Retries that each request adds to the balance."""

MIN_RETRIES_PER_S = 5.0
"""Retries a second that are allowed at any request rate.

Unused ones are kept up to this number.
"""

MAX_SAVED_RETRIES = 50.0
"""Limit of the retries that requests can save up."""


class RetryBudget:
    """A balance that requests add to and retries draw from.

    When every request fails in an overload, the balance limits retries to a
    fraction of the requests, so that they can't multiply the load.

    Attributes:
        rejected: Number of retries that the balance did not cover.
    """

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        min_retries_per_s: float = MIN_RETRIES_PER_S,
        max_saved_retries: float = MAX_SAVED_RETRIES,
    ) -> None:
        self.rejected = 0
        self._retries_per_request = retries_per_request
        self._min_retries_per_s = min_retries_per_s
        self._max_saved_retries = max_saved_retries
        self._saved = 0.0
        self._unused_reserve = min_retries_per_s
        self._refilled_at = 0.0

    def record_request(self) -> None:
        """Records a new request."""
        self._saved = min(
            self._saved + self._retries_per_request, self._max_saved_retries
        )

    def try_draw(self, now: float) -> bool:
        """Draws one retry at monotonic time `now`; False if none is left."""
        elapsed_s = max(now - self._refilled_at, 0.0)
        refill = elapsed_s * self._min_retries_per_s
        self._unused_reserve = min(
            self._unused_reserve + refill, self._min_retries_per_s
        )
        self._refilled_at = now
        if self._saved >= 1.0:
            self._saved -= 1.0
            return True
        if self._unused_reserve >= 1.0:
            self._unused_reserve -= 1.0
            return True
        self.rejected += 1
        return False
