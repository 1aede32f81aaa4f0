"""Detection of retries among rejected requests.

Load pattern: rejected callers retry, so that a few callers make many requests.
Their demand is counted once; it does not grow with the number of retries.
"""

import collections

LATE_S = 2.0
"""Time past the advised retry after which a caller counts as gone elsewhere."""


class ExpectedRetries:
    """Expects the callers of each workspace at their advised retry times."""

    def __init__(self) -> None:
        self._retry_times: collections.defaultdict[
            str, collections.deque[float]
        ]
        self._retry_times = collections.defaultdict(collections.deque)

    def record_rejection(
        self, workspace: str, retry_after_s: float, now: float
    ) -> bool:
        """Records a rejection; returns whether it is probably of a retry.

        Args:
            workspace: The workspace of the caller.
            retry_after_s: Time after which the caller is advised to retry.
            now: The time.
        """
        expected = self._retry_times[workspace]
        while expected and expected[0] < now - LATE_S:
            expected.popleft()
        is_retry = bool(expected) and expected[0] <= now
        if is_retry:
            expected.popleft()
        # The advised times vary, so this is the order of retries only on
        # average.
        expected.append(now + retry_after_s)
        return is_retry
