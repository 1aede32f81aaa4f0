"""Requests and answers as the gateway sees them."""

from collections.abc import Mapping, Sequence
import dataclasses
import enum
from typing import Protocol, TypeAlias

HeaderList: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    Attributes:
        name: Identifies its content.
        tokens: Its length.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request as a caller sent it.

    Attributes:
        request_id: The caller's identifier of this attempt.
        method: HTTP method.
        host: Host that the caller named.
        target: Path and query, byte for byte.
        headers: Headers that are passed on.
        key: The caller's key; empty if there is none.
        patience_s: How long the caller waits; None if it did not say.
        prompt_tokens: Tokens to read.
        output_tokens: Greatest number of tokens to generate.
        output_hint: The caller's estimate of it; 0 if there is none.
        parts: The prompt's parts, in order; the last is its own.
        resume_after: The last event that the caller has; empty if none.
        body: The whole body.
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
    """What is read of a request that may be refused unread.

    Attributes:
        request_id: Identifies the request.
        key: The caller's key; empty if it sent none.
        patience_s: How long the caller waits; None if it did not say.
        prompt_tokens: Tokens to read.
        output_tokens: Greatest number of tokens to generate.
        output_hint: The caller's estimate of it; 0 if there is none.
    """

    request_id: str
    key: str
    patience_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    output_hint: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """What is added when a call goes to a backend server.

    Attributes:
        server: Name of the server that is meant.
        workspace: The workspace whose key the caller holds; empty if none.
        left_s: How long the caller still waits.
        resume_after: The last event that was passed on; empty if none.
        trace: Headers that name this hop; the caller's are passed on without
            them.
    """

    server: str
    workspace: str
    left_s: float
    resume_after: str
    trace: Mapping[str, str] = dataclasses.field(default_factory=dict)


class Told(enum.Enum):
    """What a backend server's answer says of the request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    CROSSED = "crossed"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a backend server's answer.

    Attributes:
        status: HTTP status.
        told: What it says of the request.
        sealed: Whether the server signed it.
        headers: Headers that are passed on.
        retry_after_s: When the server suggests to come back; 0 if it does
            not.
        leaving: Whether the server says that it leaves.
        unreadable: Headers about the server with a value that means nothing.
        named: Whether it names the request that it answers.
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
        """For how long the server wants nothing more; 0 if it did not say."""
        return self.retry_after_s if self.status == 503 else 0.0


class Dialect(Protocol):
    """Reads and writes the headers that callers and servers use."""

    def read_call(
        self,
        method: str,
        target: str,
        host: str,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> Call | None:
        """Returns a call, or None if it names no identifier."""
        ...

    def glimpse(self, data: bytes) -> Glimpse | None:
        """Looks at the bytes of one request.

        Returns:
            None unless the bytes are one whole request of a common form.
        """
        ...

    def write_call(self, call: Call, sending: Sending) -> HeaderList:
        """Returns the headers of a call to a backend server."""
        ...

    def read_head(
        self,
        call: Call,
        status: int,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> Head:
        """Reads the head of an answer."""
        ...

    def refusal(self, request_id: str) -> Mapping[str, str]:
        """Returns the headers of a refusal."""
        ...
