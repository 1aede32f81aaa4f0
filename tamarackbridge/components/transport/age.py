"""Bounds on the age of received batches, on the receiver's clock alone.

A batch carries, as `echo`, the latest `sent_at` that its sender received from
the receiver and, as `hold_s`, the time from receiving it to the posting of the
oldest message in the batch. On the receiver's clock that message was therefore
posted no earlier than `echo + hold_s`, apart from clock drift (Cristian, 1989).
"""

import dataclasses
import math

from tamarackbridge import const, messages

_DRIFT = const.CLOCK_DRIFT_RATIO / (1.0 - const.CLOCK_DRIFT_RATIO)
"""Greatest error of a duration measured by the sender, as a fraction of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class _LatestBatch:
    boot: int
    sent_at: float
    received_at: float


class AgeTracker:
    """Stamps outgoing batches and bounds the age of received ones."""

    def __init__(self, node: str, boot: int) -> None:
        self._node = node
        self._boot = boot
        self._latest_batches: dict[str, _LatestBatch] = {}

    def stamp(
        self, to: str, posted_at: float, msgs: tuple[messages.Raw, ...]
    ) -> messages.Batch:
        """Returns a batch whose oldest message was posted at `posted_at`.

        The time that messages wait for a connection is part of their age.
        """
        latest = self._latest_batches.get(to)
        return messages.Batch(
            src=self._node,
            boot=self._boot,
            sent_at=posted_at,
            echo_boot=latest.boot if latest else 0,
            echo=latest.sent_at if latest else 0.0,
            hold_s=posted_at - latest.received_at if latest else 0.0,
            msgs=msgs,
        )

    def receive(self, batch: messages.Batch, now: float) -> float:
        """Records a batch and returns an upper bound on its age, in seconds.

        The bound is infinite if the batch echoes nothing that this process
        sent: before the first round trip, or after a restart.
        """
        latest = self._latest_batches.get(batch.src)
        is_newer = (
            latest is None
            or latest.boot != batch.boot
            or batch.sent_at > latest.sent_at
        )
        if is_newer:
            self._latest_batches[batch.src] = _LatestBatch(
                batch.boot, batch.sent_at, now
            )
        if batch.echo_boot != self._boot:
            return math.inf
        drift_s = abs(batch.hold_s) * _DRIFT
        return now - batch.echo - batch.hold_s + drift_s

    def forget(self, live: frozenset[str]) -> None:
        """Drops the records of routers that are not in `live`."""
        for node in [node for node in self._latest_batches if node not in live]:
            del self._latest_batches[node]
