"""Reads the fleet objects from the store.

A watch call delivers changes; a list call confirms that there are none, which
is evidence. At most one call of each kind is outstanding. After a failure the
next call is delayed by jittered exponential backoff, so that a store that
recovers isn't hit by all routers at once. An answer that arrives after the
timeout still counts as a read, dated to the time of its call.
"""

from collections.abc import Sequence
import dataclasses
import random

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.membership import const
from tamarackbridge.components.object_api import messages as store

TAG_PREFIX = "membership:"

MAX_LATE_CALLS = 8
"""Maximum timed-out calls whose late answer is still accepted."""


@dataclasses.dataclass(slots=True)
class _Call:
    """State of one kind of call; `tag` is empty while none is outstanding."""

    tag: str = ""
    sent_at: float = 0.0
    next_at: float = 0.0
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A successful read.

    Attributes:
        sent_at: When the read was sent; the answer shows the store's state at
            this time or later.
    """

    sent_at: float
    objects: tuple[store.StoredObject, ...]


class StoreReader:
    """Keeps a watch call open and sends list calls on demand."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._call_count = 0
        self._watch = _Call()
        self._list = _Call()
        self._newest_version = 0
        self._timed_out: dict[str, float] = {}

    def handle_store_reply(
        self, reply: store.StoreReply, now: float
    ) -> Read | None:
        """Handles a reply and returns its read.

        Returns None for replies to other components, for failed calls and
        for an answer older than one received before.
        """
        for call in (self._watch, self._list):
            if call.tag and call.tag == reply.tag:
                return self._handle_reply(call, reply, now)
        return self._handle_late_reply(reply)

    def _handle_late_reply(self, reply: store.StoreReply) -> Read | None:
        sent_at = self._timed_out.pop(reply.tag, None)
        if sent_at is None or reply.status is not store.StoreStatus.OK:
            return None
        if reply.version < self._newest_version:
            return None
        self._newest_version = reply.version
        return Read(sent_at, reply.objects)

    def tick(
        self, now: float, since: int, watch: bool, poll: bool
    ) -> Sequence[core.Envelope]:
        """Returns the calls that are due.

        Args:
            now: Monotonic time.
            since: Store version after which changes are wanted.
            watch: Whether to keep a watch call open.
            poll: Whether to send list calls.
        """
        out: list[core.Envelope] = []
        self._expire(self._watch, const.WATCH_TIMEOUT_S, now)
        self._expire(self._list, const.READ_TIMEOUT_S, now)
        if watch and self._is_due(self._watch, now):
            tag = self._start(self._watch, now)
            out.append(_to_store(_watch_call(since, tag)))
        if poll and self._is_due(self._list, now):
            tag = self._start(self._list, now)
            out.append(_to_store(store.StoreList(const.FLEET_PREFIX, tag)))
        return out

    def _handle_reply(
        self, call: _Call, reply: store.StoreReply, now: float
    ) -> Read | None:
        call.tag = ""
        if reply.status is not store.StoreStatus.OK:
            self._fail(call, now)
            return None
        if reply.version < self._newest_version:
            call.next_at = now + const.MIN_BACKOFF_S * self._rng.random()
            return None
        self._newest_version = reply.version
        call.failures = 0
        call.next_at = now
        if call is self._list:
            call.next_at = call.sent_at + const.LIST_INTERVAL_S
        return Read(call.sent_at, reply.objects)

    def _is_due(self, call: _Call, now: float) -> bool:
        return not call.tag and now >= call.next_at

    def _start(self, call: _Call, now: float) -> str:
        self._call_count += 1
        call.tag = f"{TAG_PREFIX}{self._call_count}"
        call.sent_at = now
        return call.tag

    def _expire(self, call: _Call, timeout_s: float, now: float) -> None:
        if call.tag and now - call.sent_at > timeout_s:
            self._timed_out[call.tag] = call.sent_at
            if len(self._timed_out) > MAX_LATE_CALLS:
                del self._timed_out[next(iter(self._timed_out))]
            call.tag = ""
            self._fail(call, now)

    def _fail(self, call: _Call, now: float) -> None:
        call.failures += 1
        bound = const.MIN_BACKOFF_S * 2.0 ** min(call.failures, 8)
        wait = min(bound, const.MAX_BACKOFF_S)
        call.next_at = now + wait * self._rng.uniform(0.5, 1.0)


def _watch_call(since: int, tag: str) -> core.Message:
    return store.StoreWatch(const.FLEET_PREFIX, since, tag)


def _to_store(msg: core.Message) -> core.Envelope:
    return core.Envelope(core_const.STORE_NODE, msg)
