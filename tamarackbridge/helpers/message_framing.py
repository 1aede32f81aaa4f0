"""How the end of a response body is marked on the wire (RFC 9112, 6.3)."""

import enum
import http

import aiohttp
from aiohttp import hdrs

from tamarackbridge.helpers import response_limits


class Framing(enum.Enum):
    """What marks the end of a response body.

    Attributes:
        LENGTH: Its length is known: it is stated, or there is no body.
        CHUNKED: A final chunk.
        CLOSE: Nothing. The body ends where its connection is closed, for
            whatever reason.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


_BODILESS = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)


def of_response(resp: aiohttp.ClientResponse) -> Framing:
    """Returns the framing of a response whose head was received.

    Args:
        resp: Response on a connection of `response_limits`.
    """
    if resp.method == hdrs.METH_HEAD or resp.status in _BODILESS:
        return Framing.LENGTH
    if response_limits.is_chunked(resp):
        return Framing.CHUNKED
    if hdrs.TRANSFER_ENCODING in resp.headers:
        return Framing.CLOSE
    if hdrs.CONTENT_LENGTH in resp.headers:
        return Framing.LENGTH
    return Framing.CLOSE
