"""Tests of the log lines and gauges of learned speeds."""

import math

import pytest

from tamarackbridge.components.gateway import speed_log
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import server_speeds
from tamarackbridge.components.telemetry import events, metrics
from tests import clocks
from tests.components.knowledge import builders


class Router:
    """The speed model of a router, with its log and gauges."""

    def __init__(self, servers: int) -> None:
        self.clock = clocks.VirtualClock()
        self.local_copy = state.LocalCopy(builders.BOUNDS)
        self.speeds = server_speeds.ServerSpeeds(self.local_copy)
        self.log = speed_log.SpeedLog(self.local_copy, self.speeds, self.clock)
        self.registry = metrics.Metrics()
        speed_log.register_metrics(
            self.registry, self.local_copy, self.speeds, self.clock
        )
        self.names = [f"p{number}" for number in range(servers)]
        for name in self.names:
            server = builders.server(name, "app", slots=6)
            self.local_copy.register(server, self.clock.now)

    def run_for(self, seconds: float, slow: set[str]) -> None:
        for step in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            for name in self.names:
                log_time = math.log(3.0) if name in slow else 0.0
                self.speeds.observe(name, log_time, 0.3, self.clock.now)
            if step % 20 == 19:
                self.log.log_changes()


@pytest.fixture
def written(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    found: list[events.Event] = []
    monkeypatch.setattr(events, "write", found.append)
    return found


def test_lasting_change_is_logged_and_no_more(
    written: list[events.Event],
) -> None:
    router = Router(5)
    router.run_for(5.0, set())
    assert not written
    router.run_for(10.0, {"p1"})
    lines = [it for it in written if isinstance(it, events.ServerSpeedChanged)]
    assert 1 <= len(lines) <= 4
    assert {line.server for line in lines} == {"p1"}
    assert lines[-1].slowness > 2.0
    assert lines[-1].source == "observed"


def test_log_lines_are_bounded(written: list[events.Event]) -> None:
    """Half of 100 servers that become slow at once must not fill the log."""
    router = Router(100)
    router.run_for(2.0, set())
    router.run_for(10.0, {f"p{number}" for number in range(40)})
    assert len(written) <= 2 * speed_log.MAX_EVENTS


def test_gauges_show_the_servers_that_differ_most() -> None:
    router = Router(speed_log.MAX_SERVERS + 50)
    slow = router.names[-1]
    router.run_for(2.0, {slow})
    text = router.registry.render().decode()
    lines = [
        line
        for line in text.splitlines()
        if line.startswith("tamarackbridge_server_relative_slowness{")
    ]
    assert len(lines) == speed_log.MAX_SERVERS
    assert any(f'server="{slow}"' in line for line in lines)
    assert 'server_limit{server="' in text
