"""Simulation of a fleet: a virtual clock and a network that can fail.

All randomness comes from one seeded source, so that a run is reproducible.
Nodes are `core.DeciderGroup` objects, fakes are `Fake` objects; both are
addressed by name. The harness is independent of the types of the messages.
"""

from collections.abc import Callable, Sequence
import dataclasses
import heapq
import random
from typing import Protocol

from tamarackbridge import const, core

TICK_S = const.TICK_S


class Fake(Protocol):
    """Replacement of an external service, addressed like a router."""

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message; returns the envelopes to send."""
        ...


@dataclasses.dataclass(slots=True)
class Faults:
    """Network faults between nodes.

    Attributes:
        delay_s: Minimum and maximum one-way delay. Messages overtake each
            other where the two differ.
        drop: Probability that a message is lost.
        duplicate: Probability that a message arrives twice.
        cut: Pairs (from, to) between which all messages are lost.
    """

    delay_s: tuple[float, float] = (0.0005, 0.0015)
    drop: float = 0.0
    duplicate: float = 0.0
    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)

    def cut_both(self, a: str, b: str) -> None:
        """Blocks messages between two nodes in both directions."""
        self.cut |= {(a, b), (b, a)}

    def isolate(self, inside: Sequence[str], outside: Sequence[str]) -> None:
        """Blocks messages between two groups of nodes in both directions."""
        for a in inside:
            for b in outside:
                self.cut_both(a, b)

    def heal(self) -> None:
        """Removes all cuts."""
        self.cut.clear()


class Harness:
    """Runs nodes and fakes on one virtual clock.

    Attributes:
        rng: Random number generator of the network.
        now: Virtual time in seconds.
        faults: Present faults of the network.
        sent_messages: Number of messages sent, by sender.
        taps: Called for each sent message with sender, envelope and time.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faults = Faults()
        self.sent_messages: dict[str, int] = {}
        self.taps: list[Callable[[str, core.Envelope, float], None]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._nodes: dict[str, core.DeciderGroup] = {}
        self._fakes: dict[str, Fake] = {}
        self._paused: dict[str, list[tuple[core.Delivery, float]]] = {}
        self._incarnations: dict[str, int] = {}

    def monotonic(self) -> float:
        """Returns virtual time, as a `core.Clock`."""
        return self.now

    def wall(self) -> float:
        """Returns virtual time, as a `core.Clock`."""
        return self.now

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules `action` at virtual time `when`, in seconds."""
        self._event_count += 1
        event = (max(when, self.now), self._event_count, action)
        heapq.heappush(self._events, event)

    def add_fake(self, name: str, fake: Fake) -> None:
        """Adds or replaces a fake."""
        self._fakes[name] = fake

    def start(self, group: core.DeciderGroup) -> None:
        """Starts or restarts a node with empty state."""
        incarnation = self._incarnations.get(group.node, 0) + 1
        self._incarnations[group.node] = incarnation
        self._paused.pop(group.node, None)
        self._nodes[group.node] = group
        self.at(self.now, lambda: self._tick(group.node, incarnation))

    def kill(self, node: str) -> None:
        """Stops a node at once; its state is lost."""
        self._nodes.pop(node, None)
        self._paused.pop(node, None)
        self._incarnations[node] = self._incarnations.get(node, 0) + 1

    def pause(self, node: str) -> None:
        """Suspends a node; messages to it are queued."""
        if node in self._nodes:
            self._paused.setdefault(node, [])

    def resume(self, node: str) -> None:
        """Resumes a suspended node and delivers the queued messages."""
        for delivery, sent_at in self._paused.pop(node, []):
            self._deliver(node, delivery, sent_at)

    def paused(self, node: str) -> bool:
        """Returns whether a node is suspended."""
        return node in self._paused

    def alive(self, node: str) -> bool:
        """Returns whether a node is running; a suspended one counts."""
        return node in self._nodes

    def group(self, node: str) -> core.DeciderGroup:
        """Returns a running node."""
        return self._nodes[node]

    def inject(self, node: str, msg: core.Message) -> None:
        """Delivers a message to a node at once, with the node as sender."""
        if node in self._nodes:
            self._deliver(node, core.Delivery(node, msg), self.now)

    def send(self, src: str, env: core.Envelope) -> None:
        """Sends one message over the network."""
        for tap in self.taps:
            tap(src, env, self.now)
        self.sent_messages[src] = self.sent_messages.get(src, 0) + 1
        copies = 2 if self.rng.random() < self.faults.duplicate else 1
        for _ in range(copies):
            self._transmit_copy(src, env)

    def run_until(self, end: float) -> None:
        """Runs all events up to virtual time `end`."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _transmit_copy(self, src: str, env: core.Envelope) -> None:
        if self.rng.random() < self.faults.drop:
            return
        delay = self.rng.uniform(*self.faults.delay_s)
        sent_at = self.now
        delivery = core.Delivery(src, env.msg)

        def arrive() -> None:
            if (src, env.to) not in self.faults.cut:
                self._deliver(env.to, delivery, sent_at)

        self.at(self.now + delay, arrive)

    def _deliver(
        self, node: str, delivery: core.Delivery, sent_at: float
    ) -> None:
        if node in self._paused:
            self._paused[node].append((delivery, sent_at))
            return
        timed = dataclasses.replace(delivery, age_s=self.now - sent_at)
        receiver = self._nodes.get(node) or self._fakes.get(node)
        if receiver is None:
            return
        self._send_all(node, receiver.handle(timed, self.now))

    def _send_all(self, src: str, envs: Sequence[core.Envelope]) -> None:
        for env in envs:
            self.send(src, env)

    def _tick(self, node: str, incarnation: int) -> None:
        if self._incarnations.get(node) != incarnation:
            return
        if node not in self._paused:
            self._send_all(node, self._nodes[node].tick(self.now))
        self.at(self.now + TICK_S, lambda: self._tick(node, incarnation))
