"""HTTP responses of the operator interface."""

from typing import Final

from aiohttp import web
import msgspec

from tamarackbridge.components.operator import messages, protocols

_HTTP_STATUS: Final = {
    protocols.ChangeReason.INVALID: 400,
    protocols.ChangeReason.CONFLICT: 409,
    protocols.ChangeReason.STORE_UNAVAILABLE: 503,
    protocols.ChangeReason.UNKNOWN: 504,
    protocols.ChangeReason.NOT_CONFIRMED: 504,
}


def reply(body: msgspec.Struct, status: int = 200) -> web.Response:
    """Returns a response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )


def problem(status: int, reason: str, detail: str) -> web.Response:
    """Returns an error response."""
    return reply(messages.Problem(reason, detail), status)


def change_problem(err: protocols.ChangeError) -> web.Response:
    """Returns the error response for a change that was not accepted."""
    status = _HTTP_STATUS[err.reason]
    return problem(status, err.reason.value, err.detail)
