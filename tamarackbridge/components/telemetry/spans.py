"""Interfaces for tracing requests, and the tracer that records nothing."""

from collections.abc import Mapping
from typing import Protocol, Self, TypeAlias

OFF = "off"
"""Setting with which no request is traced."""

Attribute: TypeAlias = str | int | float | bool

_NO_HEADERS: Mapping[str, str] = {}


class Span(Protocol):
    """One step of a request's processing.

    A span is a context manager, and ends when its context is left.
    """

    def child(self, name: str) -> "Span":
        """Starts a child span."""
        ...

    def set(self, key: str, value: Attribute) -> None:
        """Sets an attribute of the span."""
        ...

    def headers(self) -> Mapping[str, str]:
        """Returns the trace context headers to send with the request."""
        ...

    def __enter__(self) -> Self:
        """Returns itself."""
        ...

    def __exit__(self, *exc_info: object) -> None:
        """Ends the span, with error status if an exception is raised."""
        ...


class Tracer(Protocol):
    """Starts the first span of a request."""

    def start(self, name: str, headers: Mapping[str, str]) -> Span:
        """Starts a span; `headers` may carry the caller's trace context."""
        ...

    def close(self) -> None:
        """Exports the remaining spans."""
        ...


class NullSpan:
    """A span that records nothing."""

    def child(self, name: str) -> "NullSpan":
        """Returns itself."""
        del name  # Nothing is recorded.
        return self

    def set(self, key: str, value: Attribute) -> None:
        """Does nothing."""

    def headers(self) -> Mapping[str, str]:
        """Returns no header: the caller's own are passed on unchanged."""
        return _NO_HEADERS

    def __enter__(self) -> Self:
        """Returns itself."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Does nothing."""


class NullTracer:
    """Tracer that is used while tracing is off."""

    _SPAN = NullSpan()

    def start(self, name: str, headers: Mapping[str, str]) -> Span:
        """Returns a span that records nothing."""
        del name, headers  # Nothing is recorded.
        return self._SPAN

    def close(self) -> None:
        """Does nothing."""
