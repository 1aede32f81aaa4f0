"""Checks that an answer belongs to its request and is complete."""

from collections.abc import Mapping

from tamarackbridge.components.entry import attempts, const

_SERVER_ERROR = 500


def end_by_header(
    status: int, headers: Mapping[str, str], request_id: str
) -> attempts.End | None:
    """Returns how an attempt ends, given the header of its answer.

    Returns:
        None if the attempt goes on and the body decides.
    """
    echoed = headers.get(const.HEADER_REQUEST_ID)
    if echoed is not None and echoed != request_id:
        return attempts.End.MISMATCHED
    if status < _SERVER_ERROR:
        return None
    if headers.get(const.HEADER_NOT_STARTED) == "true":
        return attempts.End.NOT_STARTED
    return attempts.End.FAILED


def end_by_body(
    body: bytes, headers: Mapping[str, str], empty_is_failure: bool
) -> attempts.End:
    """Returns how an attempt ends, given the body of a non-streamed answer.

    Args:
        body: The bytes received up to the end of the transfer.
        headers: Headers of the answer.
        empty_is_failure: Whether an empty answer is a failure on this route.
    """
    length = headers.get("Content-Length")
    if length is not None and length.isdecimal() and int(length) != len(body):
        return attempts.End.TRUNCATED
    if empty_is_failure and not body.strip():
        return attempts.End.EMPTY
    return attempts.End.COMPLETE
