"""The micro-kernel: messages, deciders, and services found by name.

A *decider* holds one part of the policy. It takes deliveries and the time in
and gives envelopes out; it does no I/O and reads no clock. The same decider
runs in a router process and in the test harness.
"""

from collections.abc import Iterable, Sequence
import dataclasses
import random
import time
from typing import Any, ClassVar, Protocol

import mode
import msgspec

from tamarackbridge import const, exceptions


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of every typed message between deciders and routers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """One outgoing message.

    Attributes:
        to: Identifier of the receiving router, `const.STORE_NODE` or
            `const.LOCAL_NODE`.
        msg: The message.
    """

    to: str
    msg: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """One incoming message.

    Attributes:
        src: Identifier of the sender.
        msg: The message.
        age_s: Upper bound, in seconds, on the time since the sender sent it,
            measured on the receiver's clock alone. Infinite while no round
            trip with the sender has completed.
    """

    src: str
    msg: Message
    age_s: float = 0.0


class Decider(Protocol):
    """A decision module without I/O."""

    handles: ClassVar[tuple[type[Message], ...]]
    """The message types that are delivered to this decider."""

    def handle(self, delivery: Delivery, now: float) -> Sequence[Envelope]:
        """Takes one message in at monotonic time `now`, in seconds."""
        ...

    def tick(self, now: float) -> Sequence[Envelope]:
        """Lets time pass; called at least every `const.TICK_S`."""
        ...


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes back."""
        ...

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that counts time in suspension too."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()


def route(
    deciders: Iterable[Decider],
) -> dict[type[Message], tuple[Decider, ...]]:
    """Returns which deciders take each message type."""
    table: dict[type[Message], tuple[Decider, ...]] = {}
    for decider in deciders:
        for kind in decider.handles:
            table[kind] = (*table.get(kind, ()), decider)
    return table


class DeciderGroup:
    """The deciders of one router, joined by local delivery.

    Envelopes to the router itself or to `const.LOCAL_NODE` are delivered at
    once; all others are returned to the caller, who owns the network.
    """

    def __init__(self, node: str, deciders: Sequence[Decider]) -> None:
        self.node = node
        self._deciders = tuple(deciders)
        self._routes = route(deciders)

    def handle(self, delivery: Delivery, now: float) -> list[Envelope]:
        """Delivers one message and returns what leaves the router."""
        out: list[Envelope] = []
        for decider in self._routes.get(type(delivery.msg), ()):
            out.extend(decider.handle(delivery, now))
        return self._settle(out, now)

    def tick(self, now: float) -> list[Envelope]:
        """Lets time pass for every decider."""
        out: list[Envelope] = []
        for decider in self._deciders:
            out.extend(decider.tick(now))
        return self._settle(out, now)

    def _settle(self, pending: list[Envelope], now: float) -> list[Envelope]:
        leaving: list[Envelope] = []
        while pending:
            batch, pending = pending, []
            for env in batch:
                if env.to not in (self.node, const.LOCAL_NODE):
                    leaving.append(env)
                    continue
                delivery = Delivery(src=self.node, msg=env.msg)
                for decider in self._routes.get(type(env.msg), ()):
                    pending.extend(decider.handle(delivery, now))
        return leaving


class Service(mode.Service):
    """A service of one router; starting and stopping is no news."""

    mundane_level = "debug"


class Kernel:
    """Registry in which the services of one router find each other."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self._services: dict[str, Any] = {}

    def register(self, name: str, service: Any) -> None:
        """Makes a service known under a name that is not yet taken."""
        if name in self._services:
            raise exceptions.TamarackbridgeError(f"{name!r} is taken")
        self._services[name] = service

    def get(self, name: str) -> Any:
        """Returns the service registered under `name`.

        Raises:
            ServiceNotFoundError: Nothing is registered under `name`.
        """
        try:
            return self._services[name]
        except KeyError:
            raise exceptions.ServiceNotFoundError(name) from None

    def mode_services(self) -> list[mode.Service]:
        """Returns the registered `mode` services in registration order."""
        found = self._services.values()
        return [svc for svc in found if isinstance(svc, mode.Service)]
