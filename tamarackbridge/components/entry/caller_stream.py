"""The caller's side of a streamed answer."""

from collections.abc import Mapping

import aiohttp
from aiohttp import web

from tamarackbridge import exceptions
from tamarackbridge.components.entry import const
from tamarackbridge.helpers import resets

_RETURNED_HEADERS = ("Content-Type", "ETag", "Cache-Control", "Location")


class CallerGoneError(exceptions.TamarackbridgeError):
    """The caller's connection has ended."""


def returned_headers(
    headers: Mapping[str, str], request_id: str
) -> dict[str, str]:
    """Returns the headers that a caller gets of an answer."""
    kept = {
        name: headers[name] for name in _RETURNED_HEADERS if name in headers
    }
    kept[const.HEADER_REQUEST_ID] = request_id
    return kept


class CallerStream:
    """Begins a streamed answer with its first bytes.

    Attributes:
        response: The answer; None until its header was sent.
    """

    def __init__(self, req: web.Request, request_id: str) -> None:
        self.response: web.StreamResponse | None = None
        self._req = req
        self._request_id = request_id

    async def async_write(
        self, headers: Mapping[str, str], data: bytes
    ) -> None:
        """Sends bytes, after the header where it is not yet sent.

        Args:
            headers: Headers of the backend server's answer.
            data: Whole events.

        Raises:
            CallerGoneError: The caller has left.
        """
        try:
            if self.response is None:
                kept = returned_headers(headers, self._request_id)
                self.response = web.StreamResponse(headers=kept)
                await self.response.prepare(self._req)
            await self.response.write(data)
        except ConnectionError as exc:
            raise CallerGoneError(str(exc)) from exc

    async def async_finish(self) -> web.StreamResponse:
        """Ends a whole answer."""
        if self.response is None:
            return web.Response(status=204)
        await self.response.write_eof()
        return self.response

    def break_off(self) -> web.StreamResponse:
        """Cuts the connection, so that the caller sees that a part lacks."""
        if self._req.transport is not None:
            if self._req.version < aiohttp.HttpVersion11:
                # Without chunks, an answer that is closed looks whole.
                resets.reset_on_close(self._req.transport)
            self._req.transport.abort()
        return self.response or web.Response(status=502)
