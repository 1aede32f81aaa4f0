"""Fake of the platform's object API in the harness."""

from collections.abc import Sequence
import random

from bench import harness
from tamarackbridge import core
from tamarackbridge.components.object_api import messages

WATCH_WAIT_S = 1.0
"""Time after which a watch without changes is answered."""


class FakeStore:
    """Stores versioned objects; can be down, be slow, or lose answers.

    Attributes:
        down: Whether calls have no effect and get no answer.
        slow_s: Delay of each answer.
        lose_answer: Probability that a write's answer is lost after the
            write took effect.
        calls: Number of calls by the name of the message type.
        version: Version of the latest write.
        objects: Stored objects by key.
    """

    def __init__(self, bus: harness.Harness, name: str) -> None:
        self.down = False
        self.slow_s = 0.0
        self.lose_answer = 0.0
        self.calls: dict[str, int] = {}
        self.version = 0
        self.objects: dict[str, messages.StoredObject] = {}
        self._deleted: dict[str, int] = {}
        self._bus = bus
        self._name = name
        self._rng = random.Random(bus.rng.random())
        self._open_watches: list[tuple[str, messages.StoreWatch, float]] = []

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Executes one call."""
        kind = type(delivery.msg).__name__
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if self.down:
            return ()
        if isinstance(delivery.msg, messages.StoreWatch):
            self._watch(delivery.src, delivery.msg, now)
            return ()
        before = self.version
        reply = self._execute(delivery.msg)
        if self.version != before:
            self._notify()
            if self._rng.random() < self.lose_answer:
                return ()
        self._send_reply(delivery.src, reply)
        return ()

    def _send_reply(self, to: str, reply: messages.StoreReply) -> None:
        env = core.Envelope(to, reply)
        sent_at = self._bus.now + self.slow_s
        self._bus.at(sent_at, lambda: self._bus.send(self._name, env))

    def _execute(self, call: core.Message) -> messages.StoreReply:
        match call:
            case messages.StoreGet():
                return self._get(call)
            case messages.StoreList():
                return self._list(call)
            case messages.StorePut():
                return self._put(call)
            case messages.StoreDelete():
                return self._delete(call)
        raise TypeError(type(call))

    def _get(self, call: messages.StoreGet) -> messages.StoreReply:
        stored = self.objects.get(call.key)
        if stored is None:
            return self._make_reply(call.tag, messages.StoreStatus.NOT_FOUND)
        return self._make_reply(call.tag, messages.StoreStatus.OK, stored)

    def _list(self, call: messages.StoreList) -> messages.StoreReply:
        found = [
            obj
            for key, obj in self.objects.items()
            if key.startswith(call.prefix)
        ]
        return self._make_reply(call.tag, messages.StoreStatus.OK, *found)

    def _put(self, call: messages.StorePut) -> messages.StoreReply:
        stored = self.objects.get(call.key)
        current = stored.version if stored else messages.CREATE
        if current != call.expect:
            present = (stored,) if stored else ()
            return self._make_reply(
                call.tag, messages.StoreStatus.CONFLICT, *present
            )
        self.version += 1
        obj = messages.StoredObject(call.key, self.version, call.value)
        self.objects[call.key] = obj
        return self._make_reply(call.tag, messages.StoreStatus.OK, obj)

    def _delete(self, call: messages.StoreDelete) -> messages.StoreReply:
        stored = self.objects.get(call.key)
        if stored is None:
            return self._make_reply(call.tag, messages.StoreStatus.NOT_FOUND)
        if stored.version != call.expect:
            return self._make_reply(
                call.tag, messages.StoreStatus.CONFLICT, stored
            )
        self.version += 1
        del self.objects[call.key]
        self._deleted[call.key] = self.version
        return self._make_reply(call.tag, messages.StoreStatus.OK)

    def _make_reply(
        self,
        tag: str,
        status: messages.StoreStatus,
        *objects: messages.StoredObject,
    ) -> messages.StoreReply:
        return messages.StoreReply(tag, status, tuple(objects), self.version)

    def _changes(
        self, call: messages.StoreWatch
    ) -> list[messages.StoredObject]:
        deleted = [
            messages.StoredObject(key, version, b"")
            for key, version in self._deleted.items()
            if key not in self.objects
        ]
        return [
            obj
            for obj in [*self.objects.values(), *deleted]
            if obj.key.startswith(call.prefix) and obj.version > call.since
        ]

    def _watch(self, src: str, call: messages.StoreWatch, now: float) -> None:
        changes = self._changes(call)
        if changes:
            reply = self._make_reply(
                call.tag, messages.StoreStatus.OK, *changes
            )
            self._send_reply(src, reply)
            return
        open_watch = (src, call, now + WATCH_WAIT_S)
        self._open_watches.append(open_watch)
        self._bus.at(now + WATCH_WAIT_S, lambda: self._expire(open_watch))

    def _expire(
        self, open_watch: tuple[str, messages.StoreWatch, float]
    ) -> None:
        if open_watch not in self._open_watches:
            return
        self._open_watches.remove(open_watch)
        if not self.down:
            src, call, _ = open_watch
            reply = self._make_reply(call.tag, messages.StoreStatus.OK)
            self._send_reply(src, reply)

    def _notify(self) -> None:
        for open_watch in list(self._open_watches):
            src, call, _ = open_watch
            changes = self._changes(call)
            if not changes:
                continue
            self._open_watches.remove(open_watch)
            reply = self._make_reply(
                call.tag, messages.StoreStatus.OK, *changes
            )
            self._send_reply(src, reply)
