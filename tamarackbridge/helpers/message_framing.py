"""How the end of a response body is marked on the wire (RFC 9112, 6.3)."""

import enum
import http

import aiohttp
from aiohttp import hdrs


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
    """Returns the framing that the head of a response states."""
    if resp.method == hdrs.METH_HEAD or resp.status in _BODILESS:
        return Framing.LENGTH
    codings = ",".join(resp.headers.getall(hdrs.TRANSFER_ENCODING, ()))
    if codings:
        # aiohttp's parser takes any other character for a part of the name,
        # and reads the body until the connection is closed.
        last = codings.rpartition(",")[2].lstrip(" \t").rstrip(" ")
        is_chunked = last.isascii() and last.lower() == "chunked"
        return Framing.CHUNKED if is_chunked else Framing.CLOSE
    if hdrs.CONTENT_LENGTH in resp.headers:
        return Framing.LENGTH
    return Framing.CLOSE
