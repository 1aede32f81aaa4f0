"""Which responses count as such (RFC 9110, 15; RFC 9112, 6.3 and 9.2).

aiohttp's client takes any number for a status, and skips all informational
responses. Without these rules, a status that is none would reach callers, and
the next response on a connection could be taken for this one.
"""

from collections.abc import Mapping
import http
from typing import Final

import aiohttp
from aiohttp import hdrs

MIN_FINAL: Final = 200
MAX_FINAL: Final = 599

INTERIM: Final = frozenset(
    (http.HTTPStatus.CONTINUE, http.HTTPStatus.EARLY_HINTS)
)
"""Statuses that may precede the final one. No request asks for the others: 101
needs an Upgrade header, and 102 and 104 need extensions."""

BODILESS: Final = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
"""Statuses of responses that are complete with their head."""

STATUS_LINE_BYTES: Final = len(b"HTTP/1.1 200 ")
"""Bytes of a status line that tell whether its status is valid."""

_VERSIONS = (b"HTTP/1.1 ", b"HTTP/1.0 ")


class InvalidResponseError(aiohttp.ClientPayloadError):
    """A response breaks the rules, so that nothing it says is believed."""


def is_final(status: int) -> bool:
    """Returns whether a response with this status may be the final one."""
    return MIN_FINAL <= status <= MAX_FINAL


def head_violation(status: int, headers: Mapping[str, str]) -> str:
    """Returns which rule a response head breaks; empty if none."""
    if status in INTERIM:
        return ""
    if not is_final(status):
        return f"status {status:03} is not a final status"
    if status != http.HTTPStatus.NO_CONTENT:
        return ""
    # The body may arrive later than the head, which is complete without it.
    has_length = headers.get(hdrs.CONTENT_LENGTH, "0").strip("0") != ""
    if has_length or hdrs.TRANSFER_ENCODING in headers:
        return f"status {status:03} with a body"
    return ""


def begins_with_final_status(data: bytes) -> bool:
    """Returns whether data begins with the status line of a final response.

    Args:
        data: At least `STATUS_LINE_BYTES` bytes.
    """
    version, status, end = data[:9], data[9:12], data[12:13]
    is_number = status.isdigit()  # Of bytes, only ASCII digits are.
    if version not in _VERSIONS or not is_number or end not in (b" ", b"\r"):
        return False
    return is_final(int(status))
