"""Exchange of served totals between the shards of one service.

Each shard also charges to a workspace the service that other shards gave it.
"""

from tamarackbridge import core
from tamarackbridge.components.dispatch import const, messages


class Exchange:
    """The totals that one shard sends to the others and receives from them."""

    def __init__(self, shard: str, epoch: int) -> None:
        self.shard = shard
        self.epoch = epoch
        self._served: dict[str, float] = {}
        self._changed: set[str] = set()
        self._received: dict[tuple[str, int], dict[str, float]] = {}
        self._sent_at = float("-inf")
        self._others_waiting = False

    def charge(self, workspace: str, amount: float) -> None:
        """Adds to the normalised service that this shard gave a workspace."""
        self._served[workspace] = self._served.get(workspace, 0.0) + amount
        self._changed.add(workspace)

    def publish(
        self, holders: dict[str, str], idle: int, waiting: int, now: float
    ) -> list[core.Envelope]:
        """Returns the messages with totals to the other shards, when due.

        Totals are due at each interval, and at once when this shard has idle
        permits while requests wait at another one.

        Args:
            holders: Dispatcher of each other shard of the service, by shard.
            idle: Permits that can be issued at once.
            waiting: Requests that wait at this shard.
            now: Monotonic time in seconds.
        """
        can_help = idle > 0 and self._others_waiting
        due = now >= self._sent_at + const.EXCHANGE_INTERVAL_S
        if not holders or not (can_help or due):
            return []
        self._sent_at = now
        self._others_waiting = False
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
        """Returns how much normalised service `msg` adds, by workspace.

        The first total of a workspace only sets the base for later ones, as
        it may cover service of long ago.
        """
        self._others_waiting = msg.waiting > 0
        source = (msg.shard, msg.epoch)
        received = self._received.setdefault(source, {})
        added: list[tuple[str, float]] = []
        for item in msg.served:
            previous = received.get(item.workspace, item.counter)
            received[item.workspace] = item.counter
            added.append((item.workspace, item.counter - previous))
        return added
