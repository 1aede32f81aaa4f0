"""The hops of a request, for whoever traces them."""

from collections.abc import Mapping
from typing import Protocol, Self, TypeAlias

OFF = "off"
"""Setting with which nothing is traced."""

Attribute: TypeAlias = str | int | float | bool

_NO_HEADERS: Mapping[str, str] = {}


class Span(Protocol):
    """One hop of a request; ends when its context is left."""

    def child(self, name: str) -> "Span":
        """Starts a span within this one."""
        ...

    def set(self, key: str, value: Attribute) -> None:
        """Sets an attribute."""
        ...

    def headers(self) -> Mapping[str, str]:
        """Returns the trace context to send to the next hop."""
        ...

    def __enter__(self) -> Self:
        """Returns itself."""
        ...

    def __exit__(self, *exc_info: object) -> None:
        """Ends the span, failed when an exception passes."""
        ...


class Tracer(Protocol):
    """Starts the first span of a request."""

    def start(self, name: str, headers: Mapping[str, str]) -> Span:
        """Starts a span; `headers` may carry the caller's trace context."""
        ...

    def close(self) -> None:
        """Sends what is left and ends."""
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
        """Returns no header: what the caller sent is passed on as it is."""
        return _NO_HEADERS

    def __enter__(self) -> Self:
        """Returns itself."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Does nothing."""


class NullTracer:
    """The tracer while traces are off."""

    _SPAN = NullSpan()

    def start(self, name: str, headers: Mapping[str, str]) -> Span:
        """Returns the one span that records nothing."""
        del name, headers  # Nothing is recorded.
        return self._SPAN

    def close(self) -> None:
        """Does nothing."""
