"""Trace spans of a request and of its attempts."""

from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from standins import platform_server
from tamarackbridge.components.telemetry import traces
from tests.components.gateway import rig

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


async def test_each_attempt_is_a_child_span_of_the_request() -> None:
    memory = in_memory_span_exporter.InMemorySpanExporter()
    tracer = traces.OtelTracer("vm-1", export.SimpleSpanProcessor(memory))
    async with rig.async_environment(tracer=tracer) as env:
        env.set_faults(platform_server.Fault.RESET)
        await env.async_send("/read/1", extra_headers={"traceparent": PARENT})
        seen = [attempt for server in env.servers for attempt in server.seen]
    first, second, request = memory.get_finished_spans()
    assert (first.name, second.name, request.name) == (
        "send",
        "send",
        "request",
    )
    assert request.parent is not None
    assert f"{request.parent.span_id:016x}" in PARENT
    assert request.attributes == {"request": "q1"}
    assert first.attributes is not None
    assert second.attributes is not None
    assert [first.attributes["end"], second.attributes["end"]] == [
        "lost",
        "whole",
    ]
    sent_ids = {attempt.headers["traceparent"][36:52] for attempt in seen}
    assert sent_ids == {
        f"{span.get_span_context().span_id:016x}" for span in (first, second)
    }


async def test_traceparent_is_forwarded_while_tracing_is_off() -> None:
    async with rig.async_environment(servers=1) as env:
        await env.async_send("/read/1", extra_headers={"traceparent": PARENT})
        assert env.servers[0].seen[0].headers["traceparent"] == PARENT
