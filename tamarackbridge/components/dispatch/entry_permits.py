"""The permits that this entry holds."""

import collections
import dataclasses

from tamarackbridge.components.dispatch import const, messages, wire

MAX_ENDED = 1024
"""Ended permits that are remembered, to answer duplicate grants."""

MAX_COUNTERS = 4096
"""Workspace counters that are remembered for a new dispatcher."""

PROGRESS_AFTER_END_S = 2.0
"""How long after a permit's end its epoch still gets progress reports."""

_RESETTING_OUTCOMES = (
    messages.Outcome.FAILED,
    messages.Outcome.COLD,
    messages.Outcome.SLOW,
)

_Key = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class _PermitInUse:
    grant: messages.Grant
    workspace: str
    used: float
    ends_at: float


class EntryPermits:
    """Permits in use, ended permits, and counters and limits from grants."""

    def __init__(self) -> None:
        self._in_use: dict[str, _PermitInUse] = {}
        self._keys: set[_Key] = set()
        self._ended: collections.OrderedDict[_Key, messages.Finish] = (
            collections.OrderedDict()
        )
        self._limits: dict[tuple[str, str], tuple[int, float]] = {}
        self._report_until: dict[tuple[str, int], float] = {}
        self._counters: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def add(
        self, grant: messages.Grant, want: messages.Want, now: float
    ) -> None:
        """Adds a granted permit that this entry will use."""
        ends_at = now + grant.use_s + grant.life_s
        self._in_use[grant.request_id] = _PermitInUse(
            grant, want.workspace, 0.0, ends_at
        )
        self._keys.add(_key(grant))
        self._record_counter(grant, want.workspace)
        self._limits[(grant.shard, grant.server)] = (grant.limit, now)

    def is_in_use(self, grant: messages.Grant) -> bool:
        """Returns whether a grant is a duplicate of one in use."""
        return _key(grant) in self._keys

    def finish_of(self, grant: messages.Grant) -> messages.Finish | None:
        """Returns the `Finish` of a granted permit, if it has ended."""
        return self._ended.get(_key(grant))

    def return_unused(self, grant: messages.Grant) -> messages.Finish:
        """Ends a permit unused; returns the message to the dispatcher."""
        return self._record_end(grant, 0.0, messages.Outcome.UNUSED, 0.0)

    def record_used(self, request_id: str, used: float) -> None:
        """Records the cost of a running request so far."""
        permit = self._in_use.get(request_id)
        if permit is not None:
            permit.used = max(permit.used, used)

    def finish(self, done: messages.Done, now: float) -> messages.Finish | None:
        """Ends a request's permit; returns the message to the dispatcher."""
        permit = self._in_use.pop(done.request_id, None)
        if permit is None:
            return None
        grant = permit.grant
        if done.outcome in _RESETTING_OUTCOMES:
            self._limits[(grant.shard, grant.server)] = (0, now)
        self._keys.discard(_key(grant))
        self._report_until[(grant.shard, grant.epoch)] = (
            now + PROGRESS_AFTER_END_S
        )
        return self._record_end(
            grant, done.used, done.outcome, done.first_byte_s
        )

    def progress_reports(
        self, waiting_at: set[tuple[str, int]], up_s: float, now: float
    ) -> list[messages.Progress]:
        """Returns the cost so far of all permits, by shard and epoch.

        Args:
            waiting_at: Shards and epochs at which requests wait. These get a
                report even if this entry holds no permit of theirs.
            up_s: How long this entry has been running.
            now: Monotonic time in seconds.
        """
        used: dict[tuple[str, int], list[tuple[int, float]]] = {
            source: [] for source in sorted(waiting_at)
        }
        for source, until in list(self._report_until.items()):
            used[source] = []
            if until <= now:
                del self._report_until[source]
        for permit in self._in_use.values():
            grant = permit.grant
            pairs = used.setdefault((grant.shard, grant.epoch), [])
            pairs.append((grant.number, wire.round_nearest(permit.used)))
        return [
            messages.Progress(shard, epoch, tuple(pairs), wire.round_down(up_s))
            for (shard, epoch), pairs in used.items()
        ]

    def held_permits(
        self, shard: str, now: float
    ) -> tuple[messages.HeldPermit, ...]:
        """Returns the permits of one shard for its new dispatcher."""
        return tuple(
            messages.HeldPermit(
                epoch=permit.grant.epoch,
                number=permit.grant.number,
                request_id=request_id,
                workspace=permit.workspace,
                server=permit.grant.server,
                used=permit.used,
                life_left_s=max(permit.ends_at - now, 0.0),
            )
            for request_id, permit in self._in_use.items()
            if permit.grant.shard == shard
        )

    def counters(self, shard: str) -> tuple[messages.WorkspaceCounter, ...]:
        """Returns the workspaces' counters from grants of one shard."""
        return tuple(
            messages.WorkspaceCounter(workspace, value)
            for (name, workspace), value in self._counters.items()
            if name == shard
        )

    def limits(
        self, shard: str, now: float
    ) -> tuple[messages.ServerLimit, ...]:
        """Returns the recent server limits of a shard; 0 after a failure."""
        oldest_at = now - const.MAX_LIMIT_AGE_S
        return tuple(
            messages.ServerLimit(server, limit, now - seen_at)
            for (name, server), (limit, seen_at) in self._limits.items()
            if name == shard and seen_at >= oldest_at
        )

    def _record_counter(self, grant: messages.Grant, workspace: str) -> None:
        key = (grant.shard, workspace)
        self._counters[key] = grant.counter
        self._counters.move_to_end(key)
        if len(self._counters) > MAX_COUNTERS:
            self._counters.popitem(last=False)

    def _record_end(
        self,
        grant: messages.Grant,
        used: float,
        outcome: messages.Outcome,
        first_byte_s: float,
    ) -> messages.Finish:
        finish = messages.Finish(
            grant.shard,
            grant.epoch,
            grant.number,
            wire.round_nearest(used),
            outcome,
            first_byte_s,
        )
        self._ended[_key(grant)] = finish
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        return finish


def _key(grant: messages.Grant) -> _Key:
    return (grant.shard, grant.epoch, grant.number)
