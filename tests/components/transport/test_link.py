"""Tests of what a link puts into a batch."""

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


def test_the_wait_for_a_link_is_part_of_a_message_s_age() -> None:
    clock = _Clock()
    ours = age.AgeTracker("b", 2)
    ages = age.AgeTracker("a", 1)
    ages.receive(ours.stamp("a", 100.0, ()), clock.now)
    made = link.PeerLink("b", lambda: None, ages, clock)  # type: ignore[arg-type, return-value]
    for clock.now in (1.0, 3.0):
        made.post(dispatch.Withdraw("lm/0", "r1"))
    clock.now = 10.0

    batch = messages.decode_batch(made._next_batch())

    assert len(batch.msgs) == 2
    assert ours.receive(batch, 110.0) >= 9.0
