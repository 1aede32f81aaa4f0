"""Which refused requests are of callers that were refused before.

Load pattern: callers that are refused come back, so that a few of them make
many requests. What is counted is what they want, which does not grow with how
often they ask for it.
"""

import collections

LATE_S = 2.0
"""Time after which a caller that may come back has gone elsewhere."""


class Returns:
    """Expects callers of each workspace when they were advised to come back."""

    def __init__(self) -> None:
        self._due: collections.defaultdict[str, collections.deque[float]]
        self._due = collections.defaultdict(collections.deque)

    def refuse(self, workspace: str, retry_s: float, now: float) -> bool:
        """Takes a refusal; says if its caller was probably refused before.

        Args:
            workspace: The workspace of the caller.
            retry_s: When the caller is to come back.
            now: The time.
        """
        due = self._due[workspace]
        while due and due[0] < now - LATE_S:
            due.popleft()
        came_back = bool(due) and due[0] <= now
        if came_back:
            due.popleft()
        # Advice varies, so this order is the order of return in the mean only.
        due.append(now + retry_s)
        return came_back
