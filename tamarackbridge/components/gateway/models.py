"""Requests and response heads as parsed by the gateway."""

from collections.abc import Mapping, Sequence
import dataclasses
import enum
from typing import Protocol, TypeAlias

HeaderList: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A block of a prompt that several requests may have in common.

    Attributes:
        name: Identifier of the content; equal names mean equal content.
        tokens: Length of the block in tokens.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request as sent by a caller.

    Attributes:
        request_id: Identifier that the caller gave to the request.
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query, byte for byte.
        headers: Headers that are forwarded to the server.
        key: API key of the caller; empty if there is none.
        patience_s: Client timeout; None if the caller sent none.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Maximum number of tokens to generate.
        output_hint: Estimated number of tokens to generate, from the caller; 0
            if there is none.
        parts: Blocks of the prompt, in order; only the last is not shared.
        resume_after: ID of the last event that the caller received; empty if
            none.
        body: Complete body.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: HeaderList
    key: str
    patience_s: float | None
    prompt_tokens: int
    output_tokens: int
    output_hint: int
    parts: tuple[PromptPart, ...]
    resume_after: str
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Glimpse:
    """The fields by which a request may be rejected without full parsing.

    Attributes:
        request_id: Identifier that the caller gave to the request.
        key: API key of the caller; empty if there is none.
        patience_s: Client timeout; None if the caller sent none.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Maximum number of tokens to generate.
        output_hint: Estimated number of tokens to generate, from the caller; 0
            if there is none.
    """

    request_id: str
    key: str
    patience_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    output_hint: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """Metadata that the router adds to a request for one attempt.

    Attributes:
        server: Name of the intended server.
        workspace: Workspace that the caller's key belongs to; empty if none.
        left_s: Time remaining until the deadline of the request.
        resume_after: ID of the last event that was forwarded; empty if none.
        trace: Trace headers of this hop; they replace the caller's headers of
            the same names.
    """

    server: str
    workspace: str
    left_s: float
    resume_after: str
    trace: Mapping[str, str] = dataclasses.field(default_factory=dict)


class Told(enum.Enum):
    """What the response of a backend server states about the request.

    Attributes:
        ANSWERED: The server responded to the request.
        NOT_RUN: The server guarantees that it has not run the request.
        ELSEWHERE: Another server than the intended one received the request
            and did not run it.
        CROSSED: The response belongs to another request.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    CROSSED = "crossed"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status line and headers of a backend server's response.

    Attributes:
        status: HTTP status.
        told: What the response states about the request.
        sealed: Whether the server signed the response.
        headers: Headers that are forwarded to the caller.
        retry_after_s: Retry delay suggested by the server; 0 if there is none.
        leaving: Whether the server announces its shutdown.
        unreadable: Names of the server notice headers with an invalid value.
        named: Whether the response carries a request ID.
    """

    status: int
    told: Told
    sealed: bool
    headers: HeaderList
    retry_after_s: float = 0.0
    leaving: bool = False
    unreadable: tuple[str, ...] = ()
    named: bool = True

    @property
    def closed_s(self) -> float:
        """Time for which the server asks for no requests; 0 if none."""
        return self.retry_after_s if self.status == 503 else 0.0


class Dialect(Protocol):
    """Translates between the platform's headers and the gateway's models."""

    def read_call(
        self,
        method: str,
        target: str,
        host: str,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> Call | None:
        """Parses a request; returns None if it has no request ID."""
        ...

    def glimpse(self, data: bytes) -> Glimpse | None:
        """Reads the fields of a request preview from the bytes of a request.

        Returns:
            None unless the bytes are exactly one complete HTTP/1.1 request
            without unusual headers.
        """
        ...

    def write_call(self, request: Call, metadata: Sending) -> HeaderList:
        """Returns the headers of a request to a backend server."""
        ...

    def read_head(
        self,
        request: Call,
        status: int,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> Head:
        """Parses the head of a response."""
        ...

    def refusal(self, request_id: str) -> Mapping[str, str]:
        """Returns the headers of a rejection."""
        ...
