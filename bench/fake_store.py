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
        self._watches: list[tuple[str, messages.StoreWatch, float]] = []

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
        self._reply(delivery.src, reply)
        return ()

    def _reply(self, to: str, reply: messages.StoreReply) -> None:
        env = core.Envelope(to, reply)
        when = self._bus.now + self.slow_s
        self._bus.at(when, lambda: self._bus.send(self._name, env))

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
        found = self.objects.get(call.key)
        if found is None:
            return self._answer(call.tag, messages.StoreStatus.NOT_FOUND)
        return self._answer(call.tag, messages.StoreStatus.OK, found)

    def _list(self, call: messages.StoreList) -> messages.StoreReply:
        found = [
            obj
            for key, obj in self.objects.items()
            if key.startswith(call.prefix)
        ]
        return self._answer(call.tag, messages.StoreStatus.OK, *found)

    def _put(self, call: messages.StorePut) -> messages.StoreReply:
        found = self.objects.get(call.key)
        current = found.version if found else messages.CREATE
        if current != call.expect:
            held = (found,) if found else ()
            return self._answer(call.tag, messages.StoreStatus.CONFLICT, *held)
        self.version += 1
        obj = messages.StoredObject(call.key, self.version, call.value)
        self.objects[call.key] = obj
        return self._answer(call.tag, messages.StoreStatus.OK, obj)

    def _delete(self, call: messages.StoreDelete) -> messages.StoreReply:
        found = self.objects.get(call.key)
        if found is None:
            return self._answer(call.tag, messages.StoreStatus.NOT_FOUND)
        if found.version != call.expect:
            return self._answer(call.tag, messages.StoreStatus.CONFLICT, found)
        self.version += 1
        del self.objects[call.key]
        self._deleted[call.key] = self.version
        return self._answer(call.tag, messages.StoreStatus.OK)

    def _answer(
        self,
        tag: str,
        status: messages.StoreStatus,
        *objects: messages.StoredObject,
    ) -> messages.StoreReply:
        return messages.StoreReply(tag, status, tuple(objects), self.version)

    def _news(self, call: messages.StoreWatch) -> list[messages.StoredObject]:
        gone = [
            messages.StoredObject(key, version, b"")
            for key, version in self._deleted.items()
            if key not in self.objects
        ]
        return [
            obj
            for obj in [*self.objects.values(), *gone]
            if obj.key.startswith(call.prefix) and obj.version > call.since
        ]

    def _watch(self, src: str, call: messages.StoreWatch, now: float) -> None:
        news = self._news(call)
        if news:
            reply = self._answer(call.tag, messages.StoreStatus.OK, *news)
            self._reply(src, reply)
            return
        waiting = (src, call, now + WATCH_WAIT_S)
        self._watches.append(waiting)
        self._bus.at(now + WATCH_WAIT_S, lambda: self._expire(waiting))

    def _expire(self, waiting: tuple[str, messages.StoreWatch, float]) -> None:
        if waiting not in self._watches:
            return
        self._watches.remove(waiting)
        if not self.down:
            src, call, _ = waiting
            reply = self._answer(call.tag, messages.StoreStatus.OK)
            self._reply(src, reply)

    def _notify(self) -> None:
        for waiting in list(self._watches):
            src, call, _ = waiting
            news = self._news(call)
            if not news:
                continue
            self._watches.remove(waiting)
            reply = self._answer(call.tag, messages.StoreStatus.OK, *news)
            self._reply(src, reply)
