"""Metrics, traces and log lines of requests of callers."""

from absl import logging

from tamarackbridge.components.telemetry import metrics, spans

MAX_DETAIL_CHARS = 300
"""Longest error text that is logged; a server's answer may be part of it."""


class RequestTelemetry:
    """Counters and latencies of requests, and the tracer of their spans.

    Attributes:
        tracer: Starts the span of each accepted request.
    """

    def __init__(self, registry: metrics.Metrics, tracer: spans.Tracer) -> None:
        self.tracer = tracer
        self._answers = registry.counter(
            "answers", "Answers to callers, by status.", ("status",)
        )
        self._attempts = registry.counter(
            "attempts",
            "Attempts on backend servers, by end.",
            ("end",),
        )
        self._request_times = registry.latency(
            "request_seconds",
            "Time from accept to answer, by route.",
            "route",
        )
        self._queue_times = registry.latency(
            "queue_seconds", "Time that permits were waited for.", "service"
        )
        self._first_byte_times = registry.latency(
            "first_byte_seconds",
            "Time to the server's first byte.",
            "service",
        )

    def record_answer(self, route: str, status: int, took_s: float) -> None:
        """Records an answer; `route` is empty if no request was accepted."""
        self._answers.labels(str(status)).inc()
        if route:
            self._request_times.observe(took_s, route)

    def record_queue_time(self, service: str, took_s: float) -> None:
        """Records the time that a request waited for a permit."""
        self._queue_times.observe(took_s, service)

    def record_attempt(
        self, service: str, end: str, first_byte_s: float
    ) -> None:
        """Records an attempt that ended; `first_byte_s` is 0 if none came."""
        self._attempts.labels(end).inc()
        if first_byte_s > 0:
            self._first_byte_times.observe(first_byte_s, service)

    def log_failure(
        self, request_id: str, server: str, end: str, detail: str
    ) -> None:
        """Logs an attempt that an error ended."""
        logging.warning(
            "attempt of request %s on server %s ended, %s: %s",
            request_id,
            server,
            end,
            detail[:MAX_DETAIL_CHARS],
        )


def null() -> RequestTelemetry:
    """Returns telemetry that is neither exported nor traced."""
    return RequestTelemetry(metrics.Metrics(), spans.NullTracer())
