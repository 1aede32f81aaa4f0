"""Tracing by the OpenTelemetry SDK, with W3C trace context."""

from collections.abc import Mapping, Sequence
from typing import Self

from absl import logging
from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

from tamarackbridge import exceptions
from tamarackbridge.components.telemetry import spans

LOG = "log"
"""Setting with which spans are written as log lines."""

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class TracesError(exceptions.TamarackbridgeError):
    """The setting for traces is neither a known word nor a URL."""


class OtelSpan:
    """A span that is exported when it ends."""

    def __init__(
        self, tracer: trace.Tracer, name: str, parent: otel_context.Context
    ) -> None:
        self._tracer = tracer
        self._span = tracer.start_span(name, parent)

    def child(self, name: str) -> "OtelSpan":
        """Starts a child span."""
        return OtelSpan(self._tracer, name, self._context())

    def set(self, key: str, value: spans.Attribute) -> None:
        """Sets an attribute of the span."""
        self._span.set_attribute(key, value)

    def headers(self) -> Mapping[str, str]:
        """Returns W3C trace context headers with this span as the parent."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, self._context())
        return carrier

    def __enter__(self) -> Self:
        """Returns the span itself."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Ends the span, with error status if an exception is raised."""
        exc = exc_info[1]
        if isinstance(exc, BaseException):
            name = type(exc).__name__
            self._span.set_status(trace.StatusCode.ERROR, name)
        self._span.end()

    def _context(self) -> otel_context.Context:
        return trace.set_span_in_context(self._span, otel_context.Context())


class OtelTracer:
    """Starts spans that a span processor exports."""

    def __init__(self, node: str, processor: sdk.SpanProcessor) -> None:
        resource = resources.Resource.create(
            {"service.name": "tamarackbridge", "service.instance.id": node}
        )
        sampler = sampling.ParentBased(sampling.ALWAYS_ON)
        self._provider = sdk.TracerProvider(
            sampler=sampler, resource=resource, shutdown_on_exit=False
        )
        self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("tamarackbridge")

    def start(self, name: str, headers: Mapping[str, str]) -> spans.Span:
        """Starts a span as a child of the caller's, if the headers name one."""
        carrier = {key.lower(): value for key, value in headers.items()}
        parent = _PROPAGATOR.extract(carrier, otel_context.Context())
        return OtelSpan(self._tracer, name, parent)

    def close(self) -> None:
        """Exports the remaining spans and shuts the exporter down."""
        self._provider.shutdown()


class LogExporter(export.SpanExporter):
    """Writes each span as one log line."""

    def export(
        self, spans: Sequence[sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        """Writes the spans to the log."""
        for span in spans:
            logging.info("span %s", span.to_json(indent=None))
        return export.SpanExportResult.SUCCESS


def make_tracer(traces: str, node: str) -> spans.Tracer:
    """Returns the tracer for the setting `traces`.

    Args:
        traces: Where spans go: `off`, `log` or the URL of a collector.
        node: Name of the VM.

    Raises:
        TracesError: The setting has another value.
    """
    if traces == spans.OFF:
        return spans.NullTracer()
    if traces == LOG:
        processor = export.SimpleSpanProcessor(LogExporter())
        return OtelTracer(node, processor)
    if traces.startswith(("http://", "https://")):
        return OtelTracer(node, _otlp_processor(traces))
    allowed = "allowed are off, log or the URL of an OTLP collector"
    raise TracesError(f"traces = {traces!r}: {allowed}")


def _otlp_processor(endpoint: str) -> sdk.SpanProcessor:
    # Imported only on use: the exporter takes memory, and most routers don't
    # use it.
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    exporter = trace_exporter.OTLPSpanExporter(endpoint=endpoint)
    return export.BatchSpanProcessor(exporter)
