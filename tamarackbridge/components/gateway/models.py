"""Requests and response heads as parsed by the gateway."""

from collections.abc import Mapping, Sequence
import dataclasses
import enum
from typing import Protocol, TypeAlias

from tamarackbridge.components.gateway import request_body

HeaderList: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptBlock:
    """A block of a prompt that several requests may have in common.

    Attributes:
        name: Identifier of the content; equal names mean equal content.
        tokens: Length of the block in tokens.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as sent by a caller.

    Attributes:
        request_id: Identifier that the caller gave to the request.
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query, byte for byte.
        headers: Headers that are forwarded to the server.
        key: API key of the caller; empty if there is none.
        caller_timeout_s: Caller timeout; None if the caller sent none.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Maximum number of tokens to generate.
        output_hint: Estimated number of tokens to generate, from the caller; 0
            if there is none.
        prompt_blocks: Blocks of the prompt, in order; the last belongs to this
            request alone.
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
    caller_timeout_s: float | None
    prompt_tokens: int
    output_tokens: int
    output_hint: int
    prompt_blocks: tuple[PromptBlock, ...]
    resume_after: str
    body: request_body.RequestBody = request_body.EMPTY


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPreview:
    """The fields by which a request may be rejected without full parsing.

    Attributes:
        request_id: Identifier that the caller gave to the request.
        key: API key of the caller; empty if there is none.
        caller_timeout_s: Caller timeout; None if the caller sent none.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Maximum number of tokens to generate.
        output_hint: Estimated number of tokens to generate, from the caller; 0
            if there is none.
    """

    request_id: str
    key: str
    caller_timeout_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    output_hint: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """Metadata that the router adds to a request for one attempt.

    Attributes:
        server: Name of the intended server.
        workspace: Workspace that the caller's key belongs to; empty if none.
        remaining_s: Time remaining until the deadline of the request.
        resume_after: ID of the last event that was forwarded; empty if none.
        trace: Trace headers of this hop; they replace the caller's headers of
            the same names.
        copy_from: Address of the server from which this one is to copy cached
            prompt blocks; empty if it is to prefill what it lacks.
    """

    server: str
    workspace: str
    remaining_s: float
    resume_after: str
    trace: Mapping[str, str] = dataclasses.field(default_factory=dict)
    copy_from: str = ""


class Disposition(enum.Enum):
    """What the response of a backend server states about the request.

    Attributes:
        ANSWERED: The server responded to the request.
        NOT_RUN: The server guarantees that it has not run the request.
        MISDIRECTED: Another server than the intended one received the request
            and did not run it.
        MISMATCHED: The response belongs to another request.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MISDIRECTED = "elsewhere"
    MISMATCHED = "crossed"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """A server's own figures about its load at the time of a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it runs concurrently.
        work_factor: How long work takes there at this moment, relative to the
            usual time; None if the server does not state it.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of a backend server's response.

    Attributes:
        status: HTTP status.
        disposition: What the response states about the request.
        sealed: Whether the server signed the response.
        headers: Headers that are forwarded to the caller.
        retry_after_s: Retry delay suggested by the server; 0 if there is none.
        announces_shutdown: Whether the server announces its shutdown.
        limit_per_s: Requests a second that the server takes from all routers
            together; None if it names no limit.
        invalid_headers: Names of server notice headers with an invalid value.
        has_request_id: Whether the response carries a request ID.
        load: The server's own figures about its load; None if it states none
            or invalid ones.
    """

    status: int
    disposition: Disposition
    sealed: bool
    headers: HeaderList
    retry_after_s: float = 0.0
    announces_shutdown: bool = False
    limit_per_s: float | None = None
    invalid_headers: tuple[str, ...] = ()
    has_request_id: bool = True
    load: ServerLoad | None = None

    @property
    def begins_stream(self) -> bool:
        """Returns whether a stream of events follows."""
        return self.status == 200 and any(
            name.lower() == "content-type" and "event-stream" in value
            for name, value in self.headers
        )

    @property
    def closed_s(self) -> float:
        """Time for which the server asks for no requests; 0 if none."""
        return self.retry_after_s if self.status == 503 else 0.0


class Dialect(Protocol):
    """Translates between the platform's headers and the gateway's models."""

    def read_request(
        self,
        method: str,
        target: str,
        host: str,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> Request | None:
        """Parses a request; returns None if it has no request ID."""
        ...

    def preview(self, data: bytes) -> RequestPreview | None:
        """Reads the fields of a request preview from the bytes of a request.

        Returns:
            None unless the bytes are exactly one complete HTTP/1.1 request
            without unusual headers.
        """
        ...

    def write_request(
        self, request: Request, metadata: AttemptMetadata
    ) -> HeaderList:
        """Returns the headers of a request to a backend server."""
        ...

    def read_response_head(
        self,
        request: Request,
        status: int,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> ResponseHead:
        """Parses the head of a response."""
        ...

    @property
    def report_path(self) -> str:
        """Path at which a server reports about itself."""
        ...

    def read_started_ms(self, report: bytes) -> int:
        """Returns when a server says that it started, in Unix milliseconds.

        0 if it does not say so.
        """
        ...

    def rejection_headers(self, request_id: str) -> Mapping[str, str]:
        """Returns the headers of a rejection."""
        ...
