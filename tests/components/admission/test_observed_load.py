"""Smoothing of the engine load, and retries of admitted requests."""

from tamarackbridge.components.admission import observed_load, policy
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import pool, scoring
from tests.components.knowledge import builders

LOW_LOAD_S = 0.06
"""Engine wait below which the load counts as low: a tenth of the target."""


def _load(prefill_backlog_s: float) -> pool.Load:
    return pool.Load(1, prefill_backlog_s, 0.0)


def _options(tokens_ahead_s: float) -> list[scoring.ScoredServer]:
    known = state.RegisteredServer(builders.server("s1"), 0.0)
    return [
        scoring.ScoredServer(
            known, 0.0, 0.1 + tokens_ahead_s, 1, tokens_ahead_s, 1, False
        )
    ]


def test_burst_does_not_raise_the_load_average() -> None:
    average = observed_load.LoadAverage()
    for step in range(100):
        average.update(_load(0.4 if step == 50 else 0.0), step * 0.05)
    assert average.prefill_backlog_s < LOW_LOAD_S


def test_sustained_load_is_observed_within_a_second() -> None:
    average = observed_load.LoadAverage()
    for step in range(20):
        average.update(_load(0.2), step * 0.05)
    assert average.prefill_backlog_s > LOW_LOAD_S


def test_load_average_is_kept_while_there_are_no_engines() -> None:
    average = observed_load.LoadAverage()
    average.update(_load(0.5), 10.0)
    observed_s = average.prefill_backlog_s
    average.update(None, 20.0)
    assert average.prefill_backlog_s == observed_s


def _job(excluded_servers: set[str]) -> jobs.Job:
    request = models.Request(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 1_000, 84, 0, (), ""
    )
    service = builders.model_service()
    return jobs.Job(
        request,
        builders.route(),
        service,
        "w",
        0.0,
        12.0,
        excluded_servers=excluded_servers,
    )


def test_share_is_not_applied_again_to_a_retry() -> None:
    """A retry after a server failure is admitted even far beyond the share.

    The workspace's share was applied when the request was first admitted.
    """
    over_share = policy.ShareState(
        500.0, 100.0, 4.0, is_within_share=False, admitted_fraction=0.2
    )
    options = _options(0.2)
    first = policy.decide(_job(set()), options, over_share, 0.1)
    retry = policy.decide(_job({"s9"}), options, over_share, 0.1)
    assert first.action is policy.Action.REJECT
    assert retry.action is policy.Action.SEND
