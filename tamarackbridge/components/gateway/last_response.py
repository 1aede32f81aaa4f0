"""Last response of a connection whose caller is still sending."""

import asyncio

from aiohttp import web

LINGER_S = 0.5
"""Time given to a caller that is still sending to read its last response: a
hundred round trips."""


async def async_send(
    req: web.BaseRequest, resp: web.StreamResponse, max_body_bytes: int
) -> None:
    """Sends the last response to a caller, and closes its connection.

    Closing a connection with unread data resets it, and the caller may lose
    the response. So what it still sends is read and discarded first.

    Args:
        req: HTTP request of the caller.
        resp: The response.
        max_body_bytes: Bytes that are read at most.
    """
    await resp.prepare(req)
    await resp.write_eof()
    bytes_left = max_body_bytes
    try:
        async with asyncio.timeout(LINGER_S):
            while bytes_left > 0 and not req.content.at_eof():
                bytes_left -= len(await req.content.readany())
            if req.transport is not None and not req.content.at_eof():
                req.transport.pause_reading()
                await asyncio.sleep(LINGER_S)
    except (TimeoutError, RuntimeError, OSError):
        pass  # The time is up, or the caller disconnected.
    req.protocol.force_close()
