"""A clock that tests move by hand."""


class VirtualClock:
    """Stands still until its time is set.

    Attributes:
        now: Seconds since some moment.
    """

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Returns the time."""
        return self.now

    def wall(self) -> float:
        """Returns no date: no test depends on one."""
        return 0.0
