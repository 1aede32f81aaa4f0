"""Who goes first where engines have work for longer than a target."""

import pytest

from tamarackbridge.components.admission import pace, verdict
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import choose, estimate
from tests.components.knowledge import builders

WINDOW_S = 4.0
TARGET_S = 0.6


def _step(
    served: float, waited_s: float, ahead: int, left_s: float = 0.0
) -> verdict.Step:
    """Decides on 4,000 tokens of a workspace whose share is 100."""
    call = models.Call(
        request_id="q",
        method="POST",
        host="a.example",
        target="/x/1",
        headers=(),
        key="key",
        patience_s=12.0,
        prompt_tokens=4_000,
        output_tokens=100,
        output_hint=0,
        parts=(),
        resume_after="",
    )
    job = jobs.Job(
        call,
        builders.route(target_s=TARGET_S),
        builders.model_service(),
        "w",
        10.0 - waited_s,
        22.0 - waited_s,
    )
    known = state.LocalCopy(builders.BOUNDS)
    known.register(builders.server("i"), 10.0)
    (server,) = known.usable("lm", 10.0)
    first_s = estimate.Estimator().first_event_s("i", ahead, 4_000)
    ahead_s = ahead / estimate.READ_PER_S
    option = choose.Option(server, 0.0, first_s, ahead, ahead_s, 4_000, False)
    standing = verdict.Standing(served, 100.0, WINDOW_S, served < 100.0)
    return verdict.decide(job, [option], standing, 10.0, left_s).step


@pytest.mark.parametrize("ahead", [5_000, 6_500, 9_000, 12_000, 15_000])
@pytest.mark.parametrize("ratio", [1.0, 2.0, 4.0])
def test_flood_does_not_pass_a_late_request_within_its_share(
    ahead: int, ratio: float
) -> None:
    """What is beyond its share goes only where what is within one would."""
    late = _step(served=50.0, waited_s=TARGET_S, ahead=ahead)
    beyond = _step(served=100.0 * ratio, waited_s=0.0, ahead=ahead)
    if late is not verdict.Step.SEND:
        assert beyond is not verdict.Step.SEND


def test_router_that_sent_nothing_lately_does_not_give_a_request_up() -> None:
    """Another router's requests keep an engine 0.1 s ahead; 10 s are left."""
    left_s = pace.Pace().left_s(0, 10.0)
    found = _step(50.0, pace.WINDOW_S, 9_000, left_s)
    assert found is not verdict.Step.REFUSE
