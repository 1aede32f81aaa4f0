"""Tests of the age bound on received batches."""

import math

import hypothesis
from hypothesis import strategies as st

from tamarackbridge import const
from tamarackbridge.components.transport import age

_DELAY = st.floats(0.0, 30.0)


@hypothesis.given(
    offset=st.floats(-1e6, 1e6),
    rate=st.floats(1 - const.CLOCK_DRIFT_RATIO, 1 + const.CLOCK_DRIFT_RATIO),
    there=_DELAY,
    hold=st.floats(0.0, 600.0),
    queued=_DELAY,
    back=_DELAY,
)
def test_bound_is_never_below_the_true_age(
    offset: float,
    rate: float,
    there: float,
    hold: float,
    queued: float,
    back: float,
) -> None:
    def remote(true_time: float) -> float:
        return true_time * rate + offset

    ours = age.AgeTracker("a", 1)
    theirs = age.AgeTracker("b", 2)
    asked = ours.stamp("b", 100.0, ())
    theirs.receive(asked, remote(100.0 + there))
    posted_at = 100.0 + there + hold - queued
    answer = theirs.stamp("a", remote(posted_at), ())
    bound = ours.receive(answer, posted_at + queued + back)

    assert bound >= queued + back - 1e-6
    slack = there + 2 * const.CLOCK_DRIFT_RATIO * abs(hold - queued)
    assert bound <= queued + back + slack + 1e-6


def test_age_is_unknown_without_a_round_trip() -> None:
    ours = age.AgeTracker("a", 1)
    theirs = age.AgeTracker("b", 2)
    assert ours.receive(theirs.stamp("a", 5.0, ()), 1.0) == math.inf


def test_echo_of_an_earlier_life_is_not_believed() -> None:
    before = age.AgeTracker("a", 3)
    theirs = age.AgeTracker("b", 2)
    theirs.receive(before.stamp("b", 900.0, ()), 10.0)
    restarted = age.AgeTracker("a", 4)
    assert restarted.receive(theirs.stamp("a", 11.0, ()), 1.0) == math.inf


def test_reordered_batches_do_not_move_the_echo_back() -> None:
    ours = age.AgeTracker("a", 1)
    theirs = age.AgeTracker("b", 2)
    early = ours.stamp("b", 1.0, ())
    late = ours.stamp("b", 2.0, ())
    theirs.receive(late, 50.0)
    theirs.receive(early, 51.0)
    assert theirs.stamp("a", 52.0, ()).echo == 2.0
    assert theirs.stamp("a", 52.0, ()).hold_s == 2.0
