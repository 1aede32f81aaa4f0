"""Middleware that keeps aiohttp's client from retrying requests.

The client retries GET, PUT and DELETE if the connection is lost before the
response. The first attempt may have taken effect, so code that relies on "sent
at most once" must get an error instead.
"""

import aiohttp


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost; the request may have taken effect."""


async def async_send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turns a lost connection into an error that the client does not retry."""
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLostError(str(exc)) from exc
