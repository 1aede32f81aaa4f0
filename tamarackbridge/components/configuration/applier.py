"""Puts accepted and written configuration in force, and never an older one."""

from collections.abc import Sequence
import math
import random
from typing import ClassVar

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.configuration import (
    const,
    json_codec,
    messages,
    stored,
)
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import messages as store

TAG = "configuration:data:"


class Applier:
    """Fetches, validates and applies the newest generation.

    Attributes:
        records: Stored records of the generation in force.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        membership.FleetObjects,
        membership.FleetEvidence,
        membership.RosterChanged,
        messages.DataAsk,
        messages.DataReply,
        store.StoreReply,
    )

    def __init__(
        self,
        node: str,
        rng: random.Random,
        codec: stored.RecordCodec | None = None,
    ) -> None:
        self.records: dict[str, stored.StoredRecord] = {}
        self._node = node
        self._rng = rng
        self._codec = codec or json_codec.JsonCodec()
        self._generation = 0
        self._version = 0
        self._data = b""
        self._data_key = ""
        self._wanted: stored.Head | None = None
        self._wanted_version = 0
        self._unreadable = ""
        self._next_fetch = math.inf
        self._failures = 0
        self._live: tuple[str, ...] = ()
        self._evidence: membership.FleetEvidence | None = None
        self._told: messages.ServingChanged | None = None

    @property
    def generation(self) -> int:
        """Generation in force on this router; 0 for none."""
        return self._generation

    @property
    def version(self) -> int:
        """Store version of the head whose generation is in force."""
        return self._version

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes one message in."""
        match delivery.msg:
            case membership.FleetObjects():
                return self._on_objects(delivery.msg, now)
            case membership.FleetEvidence():
                self._evidence = delivery.msg
                return self._tell_serving(now)
            case membership.RosterChanged():
                self._live = delivery.msg.live
            case messages.DataAsk():
                return self._on_ask(delivery.src, delivery.msg)
            case messages.DataReply():
                return self._on_data(delivery.msg.key, delivery.msg.value, now)
            case store.StoreReply():
                return self._on_store_reply(delivery.msg, now)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Fetches what is due and tells when serving has to stop."""
        out = list(self._tell_serving(now))
        if self._wanted is not None and now >= self._next_fetch:
            out.extend(self._fetch(self._wanted, now))
        return out

    def _on_objects(
        self, news: membership.FleetObjects, now: float
    ) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for obj in news.objects:
            if obj.key == membership_const.KEY_CONFIG:
                out.extend(self._on_head(obj, now))
        return out

    def _on_head(
        self, obj: store.StoredObject, now: float
    ) -> Sequence[core.Envelope]:
        if obj.version <= max(self._version, self._wanted_version):
            return ()
        self._wanted_version = obj.version
        try:
            head = stored.decode_head(obj.value)
        except stored.ConfigurationError as exc:
            self._unreadable = str(exc)
            return self._tell_serving(now)
        if head.generation <= self._generation:
            return ()
        self._wanted = head
        self._failures = 0
        return self._fetch(head, now)

    def _fetch(self, head: stored.Head, now: float) -> Sequence[core.Envelope]:
        """Asks the store, and every second time a peer instead."""
        bound = const.FETCH_TIMEOUT_S * 2.0 ** min(self._failures, 4)
        wait = min(bound, const.BACKOFF_MAX_S)
        self._next_fetch = now + wait * self._rng.uniform(0.75, 1.0)
        self._failures += 1
        peers = [node for node in self._live if node != self._node]
        if self._failures % 2 == 0 and peers:
            ask = messages.DataAsk(head.data_key)
            return (core.Envelope(self._rng.choice(peers), ask),)
        get = store.StoreGet(head.data_key, TAG + head.data_key)
        return (core.Envelope(core_const.STORE_NODE, get),)

    def _on_ask(
        self, src: str, ask: messages.DataAsk
    ) -> Sequence[core.Envelope]:
        value = self._data if ask.key == self._data_key else b""
        return (core.Envelope(src, messages.DataReply(ask.key, value)),)

    def _on_store_reply(
        self, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        if not reply.tag.startswith(TAG) or not reply.objects:
            return ()
        found = reply.objects[0]
        return self._on_data(found.key, found.value, now)

    def _on_data(
        self, key: str, value: bytes, now: float
    ) -> Sequence[core.Envelope]:
        head = self._wanted
        if head is None or head.data_key != key or not value:
            return ()
        try:
            records = stored.decode_records(value)
            snap = stored.snapshot(self._codec, head.generation, records)
        except stored.ConfigurationError as exc:
            self._unreadable = str(exc)
            self._wanted = None
            return self._tell_serving(now)
        self._unreadable = ""
        self._wanted = None
        self._generation = head.generation
        self._version = self._wanted_version
        self._data, self._data_key, self.records = value, key, records
        return [
            _local(messages.SnapshotInForce(snap)),
            _local(membership.ConfigApplied(self._version)),
            *self._tell_serving(now),
        ]

    def _tell_serving(self, now: float) -> Sequence[core.Envelope]:
        reason = self._reason(now)
        news = messages.ServingChanged(not reason, reason)
        if news == self._told:
            return ()
        self._told = news
        return (_local(news),)

    def _reason(self, now: float) -> str:
        """Returns why no new work may start; empty when it may."""
        evidence = self._evidence
        if evidence is None or evidence.known == membership.ABSTAIN:
            return const.REASON_STARTING
        if now >= evidence.until:
            unreadable = const.REASON_UNREADABLE if self._unreadable else ""
            return unreadable or const.REASON_NO_EVIDENCE
        if self._generation == 0:
            return const.REASON_NO_CONFIG
        return ""


def _local(msg: core.Message) -> core.Envelope:
    return core.Envelope(core_const.LOCAL_NODE, msg)
