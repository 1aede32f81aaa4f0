"""Puts the newest stored configuration in force, never an older one."""

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
        self._wanted_head: stored.Head | None = None
        self._wanted_version = 0
        self._decode_error = ""
        self._next_fetch_at = math.inf
        self._fetch_attempts = 0
        self._live_routers: tuple[str, ...] = ()
        self._evidence: membership.FleetEvidence | None = None
        self._announced: messages.ServingChanged | None = None

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
        """Handles one message."""
        match delivery.msg:
            case membership.FleetObjects():
                return self._handle_objects(delivery.msg, now)
            case membership.FleetEvidence():
                self._evidence = delivery.msg
                return self._announce_serving(now)
            case membership.RosterChanged():
                self._live_routers = delivery.msg.live
            case messages.DataAsk():
                return self._handle_ask(delivery.src, delivery.msg)
            case messages.DataReply():
                return self._handle_data(
                    delivery.msg.key, delivery.msg.value, now
                )
            case store.StoreReply():
                return self._handle_store_reply(delivery.msg, now)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Retries a fetch that is due, and announces a change of serving."""
        out = list(self._announce_serving(now))
        if self._wanted_head is not None and now >= self._next_fetch_at:
            out.extend(self._fetch(self._wanted_head, now))
        return out

    def _handle_objects(
        self, update: membership.FleetObjects, now: float
    ) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for obj in update.objects:
            if obj.key == membership_const.KEY_CONFIG:
                out.extend(self._handle_head(obj, now))
        return out

    def _handle_head(
        self, obj: store.StoredObject, now: float
    ) -> Sequence[core.Envelope]:
        if obj.version <= max(self._version, self._wanted_version):
            return ()
        self._wanted_version = obj.version
        try:
            head = stored.decode_head(obj.value)
        except stored.ConfigurationError as exc:
            self._decode_error = str(exc)
            return self._announce_serving(now)
        if head.generation <= self._generation:
            return ()
        self._wanted_head = head
        self._fetch_attempts = 0
        return self._fetch(head, now)

    def _fetch(self, head: stored.Head, now: float) -> Sequence[core.Envelope]:
        """Requests records from the store; every second time from a peer."""
        timeout_s = const.FETCH_TIMEOUT_S * 2.0 ** min(self._fetch_attempts, 4)
        wait_s = min(timeout_s, const.MAX_BACKOFF_S)
        self._next_fetch_at = now + wait_s * self._rng.uniform(0.75, 1.0)
        self._fetch_attempts += 1
        peers = [node for node in self._live_routers if node != self._node]
        if self._fetch_attempts % 2 == 0 and peers:
            ask = messages.DataAsk(head.data_key)
            return (core.Envelope(self._rng.choice(peers), ask),)
        get = store.StoreGet(head.data_key, TAG + head.data_key)
        return (core.Envelope(core_const.STORE_NODE, get),)

    def _handle_ask(
        self, src: str, ask: messages.DataAsk
    ) -> Sequence[core.Envelope]:
        value = self._data if ask.key == self._data_key else b""
        return (core.Envelope(src, messages.DataReply(ask.key, value)),)

    def _handle_store_reply(
        self, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        if not reply.tag.startswith(TAG) or not reply.objects:
            return ()
        found = reply.objects[0]
        return self._handle_data(found.key, found.value, now)

    def _handle_data(
        self, key: str, value: bytes, now: float
    ) -> Sequence[core.Envelope]:
        head = self._wanted_head
        if head is None or head.data_key != key or not value:
            return ()
        try:
            records = stored.decode_records(value)
            snap = stored.decode_snapshot(self._codec, head.generation, records)
        except stored.ConfigurationError as exc:
            self._decode_error = str(exc)
            self._wanted_head = None
            return self._announce_serving(now)
        self._decode_error = ""
        self._wanted_head = None
        self._generation = head.generation
        self._version = self._wanted_version
        self._data, self._data_key, self.records = value, key, records
        return [
            _local(messages.SnapshotInForce(snap)),
            _local(membership.ConfigApplied(self._version)),
            *self._announce_serving(now),
        ]

    def _announce_serving(self, now: float) -> Sequence[core.Envelope]:
        reason = self._not_serving_reason(now)
        change = messages.ServingChanged(not reason, reason)
        if change == self._announced:
            return ()
        self._announced = change
        return (_local(change),)

    def _not_serving_reason(self, now: float) -> str:
        """Returns why new work may not start; empty if it may."""
        evidence = self._evidence
        if evidence is None or evidence.known == membership.ABSTAIN:
            return const.REASON_STARTING
        if now >= evidence.until:
            unreadable = const.REASON_UNREADABLE if self._decode_error else ""
            return unreadable or const.REASON_NO_EVIDENCE
        if self._generation == 0:
            return const.REASON_NO_CONFIG
        return ""


def _local(msg: core.Message) -> core.Envelope:
    return core.Envelope(core_const.LOCAL_NODE, msg)
