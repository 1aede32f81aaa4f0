"""Core of a router: messages, deciders and the registry of services.

A *decider* implements one part of the policy as a state machine: it is passed
deliveries and the time, and returns envelopes. It does no I/O and reads no
clock, so the same decider runs in a router process and in the test harness.
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
    """Base class of messages between deciders and between routers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """An outgoing message with its receiver.

    Attributes:
        to: Identifier of the receiving router, `const.STORE_NODE` or
            `const.LOCAL_NODE`.
        msg: The message.
    """

    to: str
    msg: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """An incoming message with its sender.

    Attributes:
        src: Identifier of the sender.
        msg: The message.
        age_s: Upper bound, in seconds, on the time since the message was sent,
            measured on the receiver's clock alone. Infinite until a round trip
            with the sender has completed.
    """

    src: str
    msg: Message
    age_s: float = 0.0


class Decider(Protocol):
    """A part of the policy that does no I/O."""

    handles: ClassVar[tuple[type[Message], ...]]
    """Types of the messages that are delivered to this decider."""

    def handle(self, delivery: Delivery, now: float) -> Sequence[Envelope]:
        """Handles one message at monotonic time `now`, in seconds."""
        ...

    def tick(self, now: float) -> Sequence[Envelope]:
        """Handles what is due at `now`; called at regular intervals.

        The interval is `const.TICK_S` while messages arrive, and longer while
        none do.
        """
        ...


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes backwards."""
        ...

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that also counts suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()


def route(
    deciders: Iterable[Decider],
) -> dict[type[Message], tuple[Decider, ...]]:
    """Returns the deciders that handle each message type."""
    table: dict[type[Message], tuple[Decider, ...]] = {}
    for decider in deciders:
        for kind in decider.handles:
            table[kind] = (*table.get(kind, ()), decider)
    return table


class DeciderGroup:
    """The deciders of one router, with local delivery between them.

    Envelopes to the router itself or to `const.LOCAL_NODE` are delivered
    immediately; all others are returned to be sent over the network.
    """

    def __init__(self, node: str, deciders: Sequence[Decider]) -> None:
        self.node = node
        self._deciders = tuple(deciders)
        self._routes = route(deciders)

    def handle(self, delivery: Delivery, now: float) -> list[Envelope]:
        """Delivers one message; returns the envelopes to send."""
        out: list[Envelope] = []
        for decider in self._routes.get(type(delivery.msg), ()):
            out.extend(decider.handle(delivery, now))
        return self._deliver_local(out, now)

    def tick(self, now: float) -> list[Envelope]:
        """Runs the tick of every decider; returns the envelopes to send."""
        out: list[Envelope] = []
        for decider in self._deciders:
            out.extend(decider.tick(now))
        return self._deliver_local(out, now)

    def _deliver_local(
        self, pending: list[Envelope], now: float
    ) -> list[Envelope]:
        outgoing: list[Envelope] = []
        while pending:
            batch, pending = pending, []
            for env in batch:
                if env.to not in (self.node, const.LOCAL_NODE):
                    outgoing.append(env)
                    continue
                delivery = Delivery(src=self.node, msg=env.msg)
                for decider in self._routes.get(type(env.msg), ()):
                    pending.extend(decider.handle(delivery, now))
        return outgoing


class Service(mode.Service):
    """A service of one router; start and stop are logged at debug level."""

    mundane_level = "debug"


class Kernel:
    """Registry of the services of one router, by name."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self._services: dict[str, Any] = {}

    def register(self, name: str, service: Any) -> None:
        """Registers a service.

        Raises:
            TamarackbridgeError: The name is already registered.
        """
        if name in self._services:
            raise exceptions.TamarackbridgeError(
                f"service {name!r} is already registered"
            )
        self._services[name] = service

    def get(self, name: str) -> Any:
        """Returns the service registered under a name.

        Raises:
            ServiceNotFoundError: No service is registered under it.
        """
        try:
            return self._services[name]
        except KeyError:
            raise exceptions.ServiceNotFoundError(name) from None

    def mode_services(self) -> list[mode.Service]:
        """Returns the registered `mode` services in registration order."""
        services = self._services.values()
        return [svc for svc in services if isinstance(svc, mode.Service)]
