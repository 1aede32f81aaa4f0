from tamarackbridge.components.admission import pressure, verdict
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import choose, pool
from tests.components.knowledge import builders

CALM_S = 0.06
"""A tenth of the target."""


def _load(reading_s: float) -> pool.Load:
    return pool.Load(1, reading_s, 0.0)


def _options(ahead_s: float) -> list[choose.Option]:
    known = state.RegisteredServer(builders.server("s1"), 0.0)
    return [choose.Option(known, 0.0, 0.1 + ahead_s, 1, ahead_s, 1, False)]


def test_pressure_of_one_clump_passes() -> None:
    found = pressure.Pressure()
    for step in range(100):
        found.note(_load(0.4 if step == 50 else 0.0), step * 0.05)
    assert found.wait_s < CALM_S


def test_pressure_of_lasting_load_is_seen_within_a_second() -> None:
    found = pressure.Pressure()
    for step in range(20):
        found.note(_load(0.2), step * 0.05)
    assert found.wait_s > CALM_S


def test_no_engine_is_no_sign_of_calm() -> None:
    found = pressure.Pressure()
    found.note(_load(0.5), 10.0)
    seen_s = found.wait_s
    found.note(None, 20.0)
    assert found.wait_s == seen_s


def _job(avoid: set[str]) -> jobs.Job:
    call = models.Call(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 1_000, 84, 0, (), ""
    )
    service = builders.model_service()
    return jobs.Job(
        call, builders.route(), service, "w", 0.0, 12.0, avoid=avoid
    )


def test_repeat_is_not_held_to_the_share_again() -> None:
    """A server lost the request; its workspace is far over its share."""
    over = verdict.Standing(500.0, 100.0, 4.0, within=False, part=0.2)
    options = _options(0.2)
    first = verdict.decide(_job(set()), options, over, 0.1)
    again = verdict.decide(_job({"s9"}), options, over, 0.1)
    assert first.step is verdict.Step.REFUSE
    assert again.step is verdict.Step.SEND
