"""Tests of the upper bound on the age of received batches."""

import math

import hypothesis
from hypothesis import strategies as st

from tamarackbridge import const
from tamarackbridge.components.transport import age

_DELAY = st.floats(0.0, 30.0)


@hypothesis.given(
    offset=st.floats(-1e6, 1e6),
    rate=st.floats(1 - const.CLOCK_DRIFT_RATIO, 1 + const.CLOCK_DRIFT_RATIO),
    outbound_s=_DELAY,
    hold_s=st.floats(0.0, 600.0),
    queued_s=_DELAY,
    return_s=_DELAY,
)
def test_bound_is_never_below_the_true_age(
    offset: float,
    rate: float,
    outbound_s: float,
    hold_s: float,
    queued_s: float,
    return_s: float,
) -> None:
    def remote_time(true_time: float) -> float:
        return true_time * rate + offset

    ours = age.AgeTracker("a", 1)
    theirs = age.AgeTracker("b", 2)
    request = ours.stamp("b", 100.0, ())
    theirs.receive(request, remote_time(100.0 + outbound_s))
    posted_at = 100.0 + outbound_s + hold_s - queued_s
    reply = theirs.stamp("a", remote_time(posted_at), ())
    bound_s = ours.receive(reply, posted_at + queued_s + return_s)

    assert bound_s >= queued_s + return_s - 1e-6
    slack_s = outbound_s + 2 * const.CLOCK_DRIFT_RATIO * abs(hold_s - queued_s)
    assert bound_s <= queued_s + return_s + slack_s + 1e-6


def test_age_is_unbounded_without_a_round_trip() -> None:
    ours = age.AgeTracker("a", 1)
    theirs = age.AgeTracker("b", 2)
    assert ours.receive(theirs.stamp("a", 5.0, ()), 1.0) == math.inf


def test_echo_of_an_earlier_incarnation_is_ignored() -> None:
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
