"""One span for each hop of a request."""

from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from standins import platform_server
from tamarackbridge.components.telemetry import traces
from tests.components.gateway import place

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


async def test_each_sending_is_a_span_within_the_request() -> None:
    memory = in_memory_span_exporter.InMemorySpanExporter()
    tracer = traces.OtelTracer("vm-1", export.SimpleSpanProcessor(memory))
    async with place.async_place(tracer=tracer) as here:
        here.set_fault(platform_server.Fault.RESET)
        await here.async_send("/read/1", more={"traceparent": PARENT})
        seen = [it for server in here.servers for it in server.seen]
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
    told = {it.headers["traceparent"][36:52] for it in seen}
    assert told == {
        f"{it.get_span_context().span_id:016x}" for it in (first, second)
    }


async def test_trace_of_the_caller_passes_on_while_traces_are_off() -> None:
    async with place.async_place(servers=1) as here:
        await here.async_send("/read/1", more={"traceparent": PARENT})
        assert here.servers[0].seen[0].headers["traceparent"] == PARENT
