"""Precedence while engines have a backlog longer than a latency target."""

import pytest

from tamarackbridge.components.admission import dispatch_rate, policy
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import estimate, scoring
from tests.components.knowledge import builders

WINDOW_S = 4.0
TARGET_S = 0.6


def _decide(
    served: float,
    waited_s: float,
    tokens_ahead: int,
    expected_wait_s: float = 0.0,
    fill: float = 0.0,
    excluded_servers: frozenset[str] = frozenset(),
) -> policy.Action:
    """Returns the decision on a request of 4,000 prompt tokens.

    Args:
        served: Cost served to its workspace, whose limit is 100.
        waited_s: Time that it has waited.
        tokens_ahead: Prefill backlog of its only engine, in tokens.
        expected_wait_s: Further time that it is expected to wait.
        fill: Fraction of the engines' slots in use.
        excluded_servers: Servers that have failed it.
    """
    request = models.Request(
        request_id="q",
        method="POST",
        host="a.example",
        target="/x/1",
        headers=(),
        key="key",
        caller_timeout_s=12.0,
        prompt_tokens=4_000,
        output_tokens=100,
        output_hint=0,
        prompt_blocks=(),
        resume_after="",
    )
    job = jobs.Job(
        request,
        builders.route(target_s=TARGET_S),
        builders.model_service(),
        "w",
        10.0 - waited_s,
        22.0 - waited_s,
        set(excluded_servers),
    )
    known = state.LocalCopy(builders.BOUNDS)
    known.register(builders.server("i"), 10.0)
    (server,) = known.usable("lm", 10.0)
    first_event_s = estimate.Estimator().first_event_s("i", tokens_ahead, 4_000)
    tokens_ahead_s = tokens_ahead / estimate.PREFILL_TOKENS_PER_S
    option = scoring.ScoredServer(
        server, 0.0, first_event_s, tokens_ahead, tokens_ahead_s, 4_000, False
    )
    share_state = policy.ShareState(
        served, 100.0, WINDOW_S, served < 100.0, fill=fill
    )
    return policy.decide(
        job, [option], share_state, 10.0, expected_wait_s
    ).action


@pytest.mark.parametrize("tokens_ahead", [5_000, 6_500, 9_000, 12_000, 15_000])
@pytest.mark.parametrize("ratio", [1.0, 2.0, 4.0])
def test_flood_does_not_overtake_a_late_request_within_its_share(
    tokens_ahead: int, ratio: float
) -> None:
    """A request beyond its share has no better terms than one within it."""
    late_within_share = _decide(
        served=50.0, waited_s=TARGET_S, tokens_ahead=tokens_ahead
    )
    beyond_share = _decide(
        served=100.0 * ratio, waited_s=0.0, tokens_ahead=tokens_ahead
    )
    if late_within_share is not policy.Action.SEND:
        assert beyond_share is not policy.Action.SEND


def test_router_without_recent_dispatches_does_not_reject() -> None:
    """An engine has 0.1 s of backlog from other routers; 10 s are left.

    Without dispatches of its own the router can't predict the wait.
    """
    expected_wait_s = dispatch_rate.DispatchRate().expected_wait_s(0, 10.0)
    action = _decide(50.0, dispatch_rate.WINDOW_S, 9_000, expected_wait_s)
    assert action is not policy.Action.REJECT


@pytest.mark.parametrize(
    ("waited_s", "fill", "excluded_servers", "action"),
    [
        (TARGET_S + 0.1, 0.95, frozenset(), policy.Action.REJECT),
        (TARGET_S + 0.1, 0.85, frozenset(), policy.Action.SEND),
        (TARGET_S - 0.1, 0.95, frozenset(), policy.Action.SEND),
        (TARGET_S + 0.1, 0.95, frozenset({"j"}), policy.Action.SEND),
    ],
)
def test_late_request_leaves_slots_of_full_engines_to_others(
    waited_s: float,
    fill: float,
    excluded_servers: frozenset[str],
    action: policy.Action,
) -> None:
    """Load: three times what the engines do, for seconds.

    Late requests took the slots of those that could be in time, so that most
    were served late. One that a server has failed keeps its place.
    """
    decided = _decide(
        50.0,
        waited_s,
        0,
        fill=fill,
        excluded_servers=excluded_servers,
    )
    assert decided is action
