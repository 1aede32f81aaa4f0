"""A clock that tests advance by hand."""


class VirtualClock:
    """Clock that stands still until a test sets its time.

    Attributes:
        now: The time, in seconds from an arbitrary start.
    """

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Returns the time."""
        return self.now

    def wall(self) -> float:
        """Returns 0: no test depends on the date."""
        return 0.0
