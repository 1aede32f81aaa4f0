"""Streamed answers to callers."""

from collections.abc import Mapping

import aiohttp
from aiohttp import web

from tamarackbridge import exceptions
from tamarackbridge.components.entry import const
from tamarackbridge.helpers import unmarked_response

_RETURNED_HEADERS = ("Content-Type", "ETag", "Cache-Control", "Location")


class CallerGoneError(exceptions.TamarackbridgeError):
    """The caller closed its connection before the answer was complete."""


def returned_headers(
    headers: Mapping[str, str], request_id: str
) -> dict[str, str]:
    """Returns the headers of an answer that are passed to the caller."""
    returned = {
        name: headers[name] for name in _RETURNED_HEADERS if name in headers
    }
    returned[const.HEADER_REQUEST_ID] = request_id
    return returned


class CallerStream:
    """A streamed answer; its header is sent with the first bytes.

    Attributes:
        response: The answer to the caller; None until its header is sent.
    """

    def __init__(self, req: web.Request, request_id: str) -> None:
        self.response: web.StreamResponse | None = None
        self._req = req
        self._request_id = request_id

    async def async_write(
        self, headers: Mapping[str, str], data: bytes
    ) -> None:
        """Sends bytes to the caller, preceded by the header on first use.

        Args:
            headers: Headers of the backend server's answer.
            data: Complete events.

        Raises:
            CallerGoneError: The caller has closed its connection.
        """
        try:
            if self.response is None:
                returned = returned_headers(headers, self._request_id)
                self.response = self._new_response(returned)
                await self.response.prepare(self._req)
            await self.response.write(data)
        except ConnectionError as exc:
            raise CallerGoneError(str(exc)) from exc

    async def async_finish(self) -> web.StreamResponse:
        """Ends a complete answer; answers with 204 if it had no events."""
        if self.response is None:
            return web.Response(status=204)
        await self.response.write_eof()
        return self.response

    def abort(self) -> web.StreamResponse:
        """Aborts the connection to show the caller that the answer is cut."""
        if self._req.transport is not None:
            self._req.transport.abort()
        return self.response or web.Response(status=502)

    def _new_response(self, headers: Mapping[str, str]) -> web.StreamResponse:
        if self._req.version < aiohttp.HttpVersion11:
            # HTTP/1.0 has no chunks: an orderly close looks like a complete
            # answer, a reset does not.
            return unmarked_response.UnmarkedResponse(headers=headers)
        return web.StreamResponse(headers=headers)
