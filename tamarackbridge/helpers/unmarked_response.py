"""Response whose end nothing but the close of its connection marks."""

import asyncio
from typing import Any

from aiohttp import abc, hdrs, web

from tamarackbridge.helpers import resets


class UnmarkedResponse(web.StreamResponse):
    """A response with neither a length nor chunks (RFC 9112, 6.3).

    Used where the end of the server's response is unmarked too: a length or a
    final chunk of the router's own would state that the body is complete, which
    the router does not know.

    The connection resets on close until `write_eof`. So a response that is
    aborted, and one whose router is killed, is seen as truncated. TLS says on
    close that the data ends there: over TLS, abort the transport on an error.

    Args:
        body: Sent by `write_eof` if that is given nothing.
        **kwargs: Arguments of the base class.
    """

    # Without it, aiohttp adds chunks to HTTP/1.1 responses without a length.
    _length_check = False

    def __init__(self, body: bytes = b"", **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._unsent_body = body
        self.force_close()

    async def prepare(
        self, request: web.BaseRequest
    ) -> abc.AbstractStreamWriter | None:
        """Sends the head; the connection resets on close from here on."""
        for name in (hdrs.CONTENT_LENGTH, hdrs.TRANSFER_ENCODING):
            self.headers.popall(name, None)
        if not self.prepared and request.transport is not None:
            resets.reset_on_close(request.transport)
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Ends the response in order, once the kernel has all of it.

        Before, a killed router would lose the rest and yet close in order.
        """
        req, writer = self._req, self._payload_writer
        transport = None if req is None else req.transport
        try:
            await super().write_eof(data or self._unsent_body)
            if writer is None or transport is None or transport.is_closing():
                return
            unsent = _socket_transport(transport)
            if unsent.get_write_buffer_size() > 0:
                unsent.set_write_buffer_limits(high=0)
                transport.set_write_buffer_limits(high=0)
                await writer.drain()
        except BaseException:
            if transport is not None:
                transport.abort()
            raise
        resets.allow_orderly_close(transport)


def _socket_transport(transport: asyncio.Transport) -> asyncio.WriteTransport:
    """Returns the transport that hands bytes to the kernel.

    That of a TLS connection does not count the bytes that it has passed on, and
    would pause writing for ever if there are none.
    """
    untyped: Any = transport  # The attributes are private to asyncio.
    protocol = getattr(untyped, "_ssl_protocol", None)
    socket_transport: asyncio.WriteTransport = (
        transport if protocol is None else protocol._transport
    )
    return socket_transport
