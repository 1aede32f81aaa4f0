"""Tests of the batches that a link builds."""

from tamarackbridge import messages
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.transport import age, link


class _Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def test_time_in_the_queue_counts_towards_the_age_of_a_message() -> None:
    clock = _Clock()
    receiver_ages = age.AgeTracker("b", 2)
    sender_ages = age.AgeTracker("a", 1)
    sender_ages.receive(receiver_ages.stamp("a", 100.0, ()), clock.now)
    peer_link = link.PeerLink("b", lambda: None, sender_ages, clock)  # type: ignore[arg-type, return-value]
    for clock.now in (1.0, 3.0):
        peer_link.post(dispatch.Withdraw("lm/0", "r1"))
    clock.now = 10.0

    batch = messages.decode_batch(peer_link._next_batch())

    assert len(batch.msgs) == 2
    assert receiver_ages.receive(batch, 110.0) >= 9.0
