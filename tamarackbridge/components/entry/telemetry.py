"""What the entry counts, times and traces of requests."""

from tamarackbridge.components.telemetry import metrics, spans


class RequestTelemetry:
    """Counters and latencies of requests, and the tracer of their hops.

    Attributes:
        tracer: Starts the span of each accepted request.
    """

    def __init__(self, registry: metrics.Metrics, tracer: spans.Tracer) -> None:
        self.tracer = tracer
        self._answers = registry.counter(
            "answers", "Answers to callers, by status.", ("status",)
        )
        self._attempts = registry.counter(
            "attempts", "Attempts on backend servers, by end.", ("end",)
        )
        self._took = registry.latency(
            "request_seconds", "Time from accept to answer, by route.", "route"
        )
        self._queued = registry.latency(
            "queue_seconds", "Time that permits were waited for.", "service"
        )
        self._first_byte = registry.latency(
            "first_byte_seconds", "Time to the server's first byte.", "service"
        )

    def answered(self, route: str, status: int, took_s: float) -> None:
        """Notes an answer; `route` is empty for what was not accepted."""
        self._answers.labels(str(status)).inc()
        if route:
            self._took.observe(took_s, route)

    def queued(self, service: str, took_s: float) -> None:
        """Notes how long a permit was waited for."""
        self._queued.observe(took_s, service)

    def attempted(self, service: str, end: str, first_byte_s: float) -> None:
        """Notes the end of one attempt."""
        self._attempts.labels(end).inc()
        if first_byte_s > 0:
            self._first_byte.observe(first_byte_s, service)


def null() -> RequestTelemetry:
    """Returns telemetry whose registry nobody reads."""
    return RequestTelemetry(metrics.Metrics(), spans.NullTracer())
