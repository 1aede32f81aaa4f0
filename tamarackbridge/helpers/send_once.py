"""Keeps aiohttp's client from sending one request twice.

The client sends GET, PUT and DELETE again when the connection is lost before
the answer. The first sending may have taken effect, so whoever counts on
"sent at most once" must see the loss instead.
"""

import aiohttp


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost; the request may have taken effect."""


async def async_send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that turns a lost connection into a final error."""
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLostError(str(exc)) from exc
