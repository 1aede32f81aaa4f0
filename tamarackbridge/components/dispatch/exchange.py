"""Exchange of served totals between the shards of one service."""

from tamarackbridge import core
from tamarackbridge.components.dispatch import const, messages


class Exchange:
    """What one shard tells the others, and hears from them."""

    def __init__(self, shard: str, epoch: int) -> None:
        self.shard = shard
        self.epoch = epoch
        self._served: dict[str, float] = {}
        self._changed: set[str] = set()
        self._known: dict[tuple[str, int], dict[str, float]] = {}
        self._sent_at = float("-inf")
        self._others_wait = False

    def charge(self, workspace: str, amount: float) -> None:
        """Counts normalised service of this shard."""
        self._served[workspace] = self._served.get(workspace, 0.0) + amount
        self._changed.add(workspace)

    def publish(
        self, holders: dict[str, str], idle: int, waiting: int, now: float
    ) -> list[core.Envelope]:
        """Returns the totals for the other shards, when they are due.

        Args:
            holders: Dispatcher of each other shard of the service.
            idle: Permits that are free while nothing waits.
            waiting: Requests that wait here.
            now: Monotonic time in seconds.
        """
        helping = idle > 0 and self._others_wait
        due = now >= self._sent_at + const.EXCHANGE_S
        if not holders or not (helping or due):
            return []
        self._sent_at = now
        self._others_wait = False
        served = tuple(
            messages.WorkspaceCounter(name, self._served[name])
            for name in sorted(self._changed)
        )
        self._changed.clear()
        return [
            core.Envelope(
                holder,
                messages.ShardTotals(
                    self.shard, shard, self.epoch, idle, waiting, served
                ),
            )
            for shard, holder in sorted(holders.items())
        ]

    def receive(self, msg: messages.ShardTotals) -> list[tuple[str, float]]:
        """Returns the normalised service that is new in `msg`.

        What is heard of a workspace first is only a base, as it may be old.
        """
        self._others_wait = msg.waiting > 0
        source = (msg.shard, msg.epoch)
        known = self._known.setdefault(source, {})
        news: list[tuple[str, float]] = []
        for item in msg.served:
            before = known.get(item.workspace, item.counter)
            known[item.workspace] = item.counter
            news.append((item.workspace, item.counter - before))
        return news
