"""Checks that an answer is the request's own and is whole."""

from collections.abc import Mapping

from tamarackbridge.components.entry import attempts, const

_SERVER_ERROR = 500


def header_end(
    status: int, headers: Mapping[str, str], request_id: str
) -> attempts.End | None:
    """Returns how an attempt ends by its answer's header; None to go on."""
    echoed = headers.get(const.HEADER_REQUEST_ID)
    if echoed is not None and echoed != request_id:
        return attempts.End.CROSSED
    if status < _SERVER_ERROR:
        return None
    if headers.get(const.HEADER_NOT_STARTED) == "true":
        return attempts.End.NOT_STARTED
    return attempts.End.FAILED


def body_end(
    body: bytes, headers: Mapping[str, str], empty_is_failure: bool
) -> attempts.End:
    """Returns how an attempt ends by the body of a plain answer.

    Args:
        body: What was received up to the end that the transfer told.
        headers: Headers of the answer.
        empty_is_failure: Whether the route takes an empty answer as failed.
    """
    length = headers.get("Content-Length")
    if length is not None and length.isdecimal() and int(length) != len(body):
        return attempts.End.TRUNCATED
    if empty_is_failure and not body.strip():
        return attempts.End.EMPTY
    return attempts.End.WHOLE
