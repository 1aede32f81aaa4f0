"""Transfer of request bodies to servers."""

from typing import Any

from aiohttp import abc, payload

from tamarackbridge.components.gateway import request_body


class PiecewisePayload(payload.Payload):
    """A body that is written in pieces, with backpressure of the server."""

    def __init__(self, body: request_body.RequestBody) -> None:
        super().__init__(body)
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Returns the body as text."""
        body: request_body.RequestBody = self._value
        return body.read().decode(encoding, errors)

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Writes the body.

        Raises:
            BodyReleasedError: The request has ended.
        """
        body: request_body.RequestBody = self._value
        for piece in body.pieces():
            await writer.write(piece)
            await writer.drain()


def to_payload(body: request_body.RequestBody) -> Any:
    """Returns a body as the HTTP client takes it; None for an empty one."""
    if body.is_large:
        return PiecewisePayload(body)
    return body.read() or None
