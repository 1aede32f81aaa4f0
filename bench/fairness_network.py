"""Harness that sends messages in batches, and counts bytes and time."""

import collections
import time

from bench import harness
from tamarackbridge import core, messages, peer_messages

BOOT = 2**31 - 1
"""Process identifier in the counted batches; serialized as 5 bytes."""

BATCH_S = 0.005
"""Minimum time between two batches to one peer."""


class BatchingHarness(harness.Harness):
    """Collects messages to one peer in batches, as the transport does.

    A message leaves at once if the last batch is at least `BATCH_S` old; other
    messages wait for the next batch.

    Attributes:
        bytes_by_node: Control bytes sent and received, by router.
        messages_by_node: Messages sent and received, by router.
        batches_by_node: Batches sent and received, by router.
        cpu_s: Processor time of deciders and codec, by router.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.bytes_by_node: collections.Counter[str] = collections.Counter()
        self.messages_by_node: collections.Counter[str] = collections.Counter()
        self.batches_by_node: collections.Counter[str] = collections.Counter()
        self.cpu_s: dict[str, float] = collections.defaultdict(float)
        self._queues: dict[tuple[str, str], list[core.Envelope]] = {}
        self._last_batch_at: dict[tuple[str, str], float] = {}

    def send(self, src: str, env: core.Envelope) -> None:
        """Adds one message to the next batch to its peer."""
        for tap in self.taps:
            tap(src, env, self.now)
        link = (src, env.to)
        queue = self._queues.setdefault(link, [])
        queue.append(env)
        if len(queue) == 1:
            earliest = self._last_batch_at.get(link, float("-inf")) + BATCH_S
            self.at(max(self.now, earliest), lambda: self._flush(link))

    def _flush(self, link: tuple[str, str]) -> None:
        envs = self._queues.pop(link)
        self._last_batch_at[link] = self.now
        self._count(link, envs)
        delays = self.faults.delay_s
        delay = self.rng.uniform(*delays)
        self.faults.delay_s = (delay, delay)
        for env in envs:
            super().send(link[0], env)
        self.faults.delay_s = delays

    def _count(self, link: tuple[str, str], envs: list[core.Envelope]) -> None:
        started = time.process_time()
        encoded = tuple(messages.encode_message(env.msg) for env in envs)
        batch = messages.Batch(
            link[0], BOOT, self.now, BOOT, self.now, 0.0, encoded
        )
        data = messages.encode_batch(batch)
        encoded_at = time.process_time()
        for raw in messages.decode_batch(data).msgs:
            peer_messages.DECODER.decode(raw)
        decoded_at = time.process_time()
        self.cpu_s[link[0]] += encoded_at - started
        self.cpu_s[link[1]] += decoded_at - encoded_at
        for node in link:
            self.bytes_by_node[node] += len(data)
            self.messages_by_node[node] += len(envs)
            self.batches_by_node[node] += 1

    def _deliver(
        self, node: str, delivery: core.Delivery, sent_at: float
    ) -> None:
        started = time.process_time()
        super()._deliver(node, delivery, sent_at)
        self.cpu_s[node] += time.process_time() - started

    def _tick(self, node: str, incarnation: int) -> None:
        started = time.process_time()
        super()._tick(node, incarnation)
        self.cpu_s[node] += time.process_time() - started
