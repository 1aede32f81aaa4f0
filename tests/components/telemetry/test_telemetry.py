"""Tests of JSON logging, metrics and tracing."""

import contextlib
import io
import json
import logging as std_logging

from absl import logging
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter
import pytest

from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.telemetry import logs, metrics, spans, traces

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def test_log_lines_are_json() -> None:
    root = std_logging.getLogger()
    before = root.handlers[:], root.level
    stream = io.StringIO()
    try:
        logs.set_up(settings.TelemetrySettings(), "r-1", stream)
        logging.info("lease %s", "held")
        logging.debug("not shown")
    finally:
        root.handlers[:], _ = before
        root.setLevel(before[1])
    (line,) = stream.getvalue().splitlines()
    fields = json.loads(line)
    assert fields.pop("time")
    assert fields == {
        "level": "INFO",
        "logger": "absl",
        "message": "lease held",
        "node": "r-1",
    }


def test_metrics_are_rendered_and_quantiles_expire() -> None:
    """Quantiles are 0 once their latencies are older than two windows."""
    now = 0.0
    registry = metrics.Metrics(lambda: now)
    registry.counter("refusals", "Refusals.", ["reason"]).labels("full").inc(2)
    assert registry.counter("refusals", "") is registry.counter("refusals", "")
    registry.gauge("held", "Held.", lambda: 7)
    first_byte = registry.latency(
        "first_byte_seconds", "First byte.", "service"
    )
    for millis in range(1, 101):
        first_byte.observe(millis / 1000, "mela-lm")
    text = registry.render().decode()
    assert 'tamarackbridge_refusals_total{reason="full"} 2.0' in text
    assert "tamarackbridge_held 7.0" in text
    name = "tamarackbridge_first_byte_seconds"
    assert f"# TYPE {name} summary" in text
    assert f'{name}_count{{service="mela-lm"}} 100.0' in text
    assert first_byte.quantile(0.99, "mela-lm") == pytest.approx(0.099, 0.01)
    now = 200.0
    assert first_byte.quantile(0.99, "mela-lm") == 0.0
    assert first_byte.quantile(0.5, "unseen") == 0.0


def test_spans_continue_the_trace_of_the_caller() -> None:
    """A child that ends by an exception has error status."""
    memory = in_memory_span_exporter.InMemorySpanExporter()
    tracer = traces.OtelTracer("r-1", export.SimpleSpanProcessor(memory))
    with tracer.start("accept", {"Traceparent": PARENT}) as accept:
        with contextlib.suppress(ValueError), accept.child("backend") as child:
            child.set("server", "lm-1")
            sent_parent = child.headers()["traceparent"]
            raise ValueError("lost")
    tracer.close()
    backend, root = memory.get_finished_spans()
    assert (backend.name, root.name) == ("backend", "accept")
    assert backend.parent is not None
    assert root.context is not None
    assert backend.parent.span_id == root.context.span_id
    assert f"{root.context.trace_id:032x}" == PARENT.split("-")[1]
    assert sent_parent.split("-")[1] == PARENT.split("-")[1]
    assert not backend.status.is_ok


def test_setting_selects_the_tracer() -> None:
    def make(setting: str) -> spans.Tracer:
        return traces.make_tracer(setting, "n")

    off = make("off")
    with off.start("accept", {"traceparent": PARENT}) as span:
        assert span.child("backend") is span
        assert span.headers() == {}
    assert isinstance(make("log"), traces.OtelTracer)
    with pytest.raises(traces.TracesError, match="allowed are off, log"):
        make("jaeger")
