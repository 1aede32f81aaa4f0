from tamarackbridge.components.admission import desk
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import choose
from tests.components.knowledge import builders


def _options(ahead_s: float) -> list[choose.Option]:
    known = state.Registered(builders.server("s1"), 0.0)
    return [choose.Option(known, 0.0, 0.1, 1, ahead_s, 1, False)]


def test_pressure_of_one_clump_passes() -> None:
    pressure = desk.Pressure()
    for step in range(100):
        pressure.note(_options(0.4 if step == 50 else 0.0), step * 0.05)
    assert pressure.wait_s < desk.CALM_S


def test_pressure_of_lasting_load_is_seen_within_a_second() -> None:
    pressure = desk.Pressure()
    for step in range(20):
        pressure.note(_options(0.2), step * 0.05)
    assert pressure.wait_s > desk.CALM_S


def test_no_engine_is_no_sign_of_calm() -> None:
    pressure = desk.Pressure()
    pressure.note(_options(0.5), 10.0)
    seen_s = pressure.wait_s
    pressure.note([], 20.0)
    assert pressure.wait_s == seen_s
