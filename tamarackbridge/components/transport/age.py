"""Bounds on the age of received batches, on the receiver's clock alone.

A batch echoes the latest `sent_at` that its sender received from the receiver
and tells how long before its oldest message was posted that was. That message
was therefore posted no earlier than `echo + hold_s` on the receiver's clock
(Cristian, 1989).
"""

import dataclasses
import math

from tamarackbridge import const, messages

_DRIFT = const.CLOCK_DRIFT_RATIO / (1.0 - const.CLOCK_DRIFT_RATIO)
"""Greatest error of a time that the sender measured, as a part of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    boot: int
    sent_at: float
    received_at: float


class AgeTracker:
    """Stamps outgoing batches and bounds the age of incoming ones."""

    def __init__(self, node: str, boot: int) -> None:
        self._node = node
        self._boot = boot
        self._heard: dict[str, _Heard] = {}

    def stamp(
        self, to: str, posted_at: float, msgs: tuple[messages.Raw, ...]
    ) -> messages.Batch:
        """Returns a batch for `to` whose oldest message is of `posted_at`.

        The time that messages wait for a link is part of their age.
        """
        heard = self._heard.get(to)
        return messages.Batch(
            src=self._node,
            boot=self._boot,
            sent_at=posted_at,
            echo_boot=heard.boot if heard else 0,
            echo=heard.sent_at if heard else 0.0,
            hold_s=posted_at - heard.received_at if heard else 0.0,
            msgs=msgs,
        )

    def receive(self, batch: messages.Batch, now: float) -> float:
        """Notes a batch and returns the upper bound on its age, in seconds."""
        heard = self._heard.get(batch.src)
        newer = (
            heard is None
            or heard.boot != batch.boot
            or batch.sent_at > heard.sent_at
        )
        if newer:
            self._heard[batch.src] = _Heard(batch.boot, batch.sent_at, now)
        if batch.echo_boot != self._boot:
            return math.inf
        drift_s = abs(batch.hold_s) * _DRIFT
        return now - batch.echo - batch.hold_s + drift_s

    def forget(self, live: frozenset[str]) -> None:
        """Drops what was noted of routers that are not in `live`."""
        for node in [node for node in self._heard if node not in live]:
            del self._heard[node]
