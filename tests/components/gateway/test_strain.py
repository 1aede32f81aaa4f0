import pytest

from tamarackbridge.components.gateway import strain
from tests.components.gateway import rig


def test_one_slow_step_is_no_strain() -> None:
    meter = strain.LagMeter()
    meter.note(0.3)
    assert not meter.strained


def test_lasting_lag_is_strain_until_it_is_over() -> None:
    meter = strain.LagMeter()
    for _ in range(20):
        meter.note(0.2)
    assert meter.strained
    assert not meter.overloaded
    for _ in range(5):
        meter.note(0.0)
    assert meter.strained
    for _ in range(5):
        meter.note(0.0)
    assert not meter.strained


def test_freeze_is_over_when_its_lag_is_known() -> None:
    """Its requests have waited, and can be served now."""
    meter = strain.LagMeter()
    meter.note(4.0)
    assert not meter.overloaded
    meter.note(0.0)
    assert not meter.overloaded


def test_lag_that_stands_is_overload_until_it_is_over() -> None:
    meter = strain.LagMeter()
    meter.note(4.0)
    meter.note(0.5)
    assert meter.overloaded
    meter.note(0.0)
    assert not meter.overloaded


def _hold(
    meter: strain.LagMeter, lag_s: float, patch: pytest.MonkeyPatch
) -> None:
    """Lets the lag be this from now on."""
    for _ in range(20):
        meter.note(lag_s)
    patch.setattr(meter, "note", lambda lag_s: None)


async def test_strained_router_sends_its_callers_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with rig.async_environment() as here:
        assert (await here.async_ready()) == 200
        _hold(here.router.meter, 0.2, monkeypatch)
        assert (await here.async_ready()) == 503
        got = await here.async_send("/read/1")
        assert got.status == 200
        assert got.headers["Connection"] == "close"


async def test_one_long_step_refuses_nothing() -> None:
    """Busy processes beside a router hold it up once; CI saw a 503 for it."""
    async with rig.async_environment() as here:
        here.router.meter.note(2.1)
        here.router._gateway.update_lag(2.1, here.router._clock.monotonic())
        assert (await here.async_send("/pay/1")).status == 200


async def test_overloaded_router_refuses_at_once_and_truly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with rig.async_environment() as here:
        _hold(here.router.meter, 2.0, monkeypatch)
        got = await here.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0
        assert here.ran() == []
