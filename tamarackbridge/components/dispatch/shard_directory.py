"""Chooses the shard for a request and keeps the dispatchers of shards."""

import random

from tamarackbridge.components.dispatch import messages, pending_requests
from tamarackbridge.components.records import models


class ShardDirectory:
    """Choice of shards, and the known dispatcher of each shard."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._holders: dict[str, tuple[int, str]] = {}
        self._next_index: dict[tuple[str, str], int] = {}

    def holder(self, shard: str) -> str:
        """Returns the dispatcher of a shard; empty if none is known."""
        return self._holders.get(shard, (0, ""))[1]

    def epoch(self, shard: str) -> int:
        """Returns the highest known epoch of a shard; 0 if none is known."""
        return self._holders.get(shard, (0, ""))[0]

    def set_holder(self, shard: str, epoch: int, holder: str) -> bool:
        """Records the dispatcher of an epoch; returns whether it is new."""
        current = self._holders.get(shard, (0, ""))
        if epoch < current[0] or (epoch, holder) == current:
            return False
        self._holders[shard] = (epoch, holder)
        return bool(holder)

    def choose(self, snapshot: models.Snapshot, want: messages.Want) -> str:
        """Returns the next usable shard, round robin; empty if there is none.

        Round robin keeps a backlogged workspace waiting at every shard.
        """
        shards = self._usable(snapshot, want)
        if not shards:
            return ""
        key = (want.service, want.workspace)
        index = self._next_index.setdefault(
            key, self._rng.randrange(len(shards))
        )
        self._next_index[key] = index + 1
        return shards[index % len(shards)]

    def choose_other(
        self,
        snapshot: models.Snapshot,
        request: pending_requests.PendingRequest,
    ) -> str:
        """Returns a usable shard that was not asked yet; empty if none is."""
        for shard in self._usable(snapshot, request.want):
            if shard not in request.tried:
                return shard
        return ""

    def _usable(
        self, snapshot: models.Snapshot, want: messages.Want
    ) -> list[str]:
        shards = snapshot.services[want.service].shards
        names = [f"{want.service}/{index}" for index in range(shards)]
        return [
            name
            for name in names
            if any(
                snapshot.is_usable(srv) and srv.name not in want.avoid
                for srv in snapshot.shard_servers(name)
            )
        ]
