"""Tests of the log lines and the counter of servers' invalid headers."""

import pytest

from tamarackbridge.components.gateway import metrics as gateway_metrics
from tamarackbridge.components.gateway import request_log
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.telemetry import events, metrics
from tests import clocks
from tests.components.knowledge import builders


def test_invalid_header_is_logged_once_a_minute_and_counted_each_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server that sends an invalid figure must not fill the log."""
    written: list[events.Event] = []
    monkeypatch.setattr(events, "write", written.append)
    clock, registry = clocks.VirtualClock(), metrics.Metrics()
    log = request_log.RequestLog(
        clock,
        state.LocalCopy(builders.BOUNDS),
        gateway_metrics.GatewayMetrics(registry),
    )
    for server in ("s1", "s2"):
        for _ in range(100):
            log.record_invalid_headers(server, ("X-Server-Load",))
            clock.now += 0.1
    assert written == [
        events.HeaderUnreadable("s1", "X-Server-Load"),
        events.HeaderUnreadable("s2", "X-Server-Load"),
    ]
    clock.now += 60.0
    log.record_invalid_headers("s1", ("X-Server-Load",))
    assert len(written) == 3
    line = 'unreadable_headers_total{header="X-Server-Load"} 201.0'
    assert line.encode() in registry.render()
