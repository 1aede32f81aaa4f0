"""Responses that count against a memory budget until they are sent."""

import contextlib

from aiohttp import web

from tamarackbridge.helpers import response_memory

_RESERVATION = web.ResponseKey("reservation", response_memory.Reservation)


def hold(
    resp: web.StreamResponse, reservation: response_memory.Reservation | None
) -> None:
    """Makes a response hold the reservation of its body, if there is one."""
    if reservation is not None:
        reservation.begin_sending()
        resp[_RESERVATION] = reservation


def release(resp: web.StreamResponse) -> None:
    """Releases the reservation of a response, if it holds one."""
    if _RESERVATION in resp:
        resp[_RESERVATION].resize(0)


async def async_send(req: web.BaseRequest, resp: web.StreamResponse) -> None:
    """Sends a response that holds a reservation, and releases it.

    A handler of requests calls it before it returns the response, since the
    library does not tell when it has sent it. Does nothing to other responses.
    """
    if _RESERVATION not in resp:
        return
    try:
        # The library finds out itself that the caller has left.
        with contextlib.suppress(ConnectionError):
            await resp.prepare(req)
            await resp.write_eof()
    finally:
        release(resp)
