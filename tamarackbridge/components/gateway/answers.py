"""Answers that a router gives on its own."""

from collections.abc import Mapping
import dataclasses
import enum
import functools
import http

from aiohttp import hdrs, web
import msgspec

CONTENT_TYPE = "application/problem+json"


class Reason(enum.Enum):
    """Why a request is answered by the router itself."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    NO_ROUTE = "no_route"
    NO_KEY = "no_key"
    KNOWLEDGE_OLD = "knowledge_old"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    ROUTER_OVERLOADED = "router_overloaded"
    SERVER_REFUSED = "server_refused"
    DEADLINE = "deadline"
    SHUTTING_DOWN = "shutting_down"
    LOST = "lost"
    TIMED_OUT = "timed_out"


_STATUSES = {
    Reason.MALFORMED: 400,
    Reason.NO_KEY: 401,
    Reason.NO_ROUTE: 404,
    Reason.TOO_SLOW: 408,
    Reason.TOO_LARGE: 413,
    Reason.KNOWLEDGE_OLD: 503,
    Reason.NO_SERVER: 503,
    Reason.OVERLOADED: 503,
    Reason.ROUTER_OVERLOADED: 503,
    Reason.SERVER_REFUSED: 503,
    Reason.DEADLINE: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.LOST: 502,
    Reason.TIMED_OUT: 504,
}

_NOT_RUN_STATUSES = frozenset((408, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the router's own.

    Attributes:
        reason: Why.
        retry_after_s: When the caller may come back; 0 for no advice.
    """

    reason: Reason
    retry_after_s: float = 0.0

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return _STATUSES[self.reason]

    @property
    def proves_not_run(self) -> bool:
        """Whether the status promises that the request has not run."""
        return self.status in _NOT_RUN_STATUSES


_encode = msgspec.json.Encoder().encode


def raw(refusal: Refusal, headers: Mapping[str, str]) -> bytes:
    """Returns the bytes of a refusal that ends its connection."""
    body = _body(refusal)
    more = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = (
        f"HTTP/1.1 {refusal.status} {_phrase(refusal.status)}\r\n"
        f"{hdrs.CONTENT_TYPE}: {CONTENT_TYPE}\r\n"
        f"{hdrs.CONTENT_LENGTH}: {len(body)}\r\n"
        f"{hdrs.RETRY_AFTER}: {refusal.retry_after_s:.3f}\r\n"
        f"{hdrs.CONNECTION}: close\r\n{more}\r\n"
    )
    return head.encode() + body


@functools.cache
def _phrase(status: int) -> str:
    return http.HTTPStatus(status).phrase


def _body(refusal: Refusal) -> bytes:
    return _encode({"reason": refusal.reason.value, "status": refusal.status})


def response(refusal: Refusal, headers: dict[str, str]) -> web.Response:
    """Returns the HTTP answer for a refusal."""
    if refusal.retry_after_s > 0:
        headers[hdrs.RETRY_AFTER] = f"{refusal.retry_after_s:.3f}"
    return web.Response(
        status=refusal.status,
        headers=headers,
        body=_body(refusal),
        content_type=CONTENT_TYPE,
    )
