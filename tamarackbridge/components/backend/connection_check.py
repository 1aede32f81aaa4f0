"""Checks whether a server still accepts connections.

The kernel closes the connections of a process that dies in good order, so only
a new connection tells a dead server from one that has ended its answer.
"""

import asyncio
import enum

import yarl

from tamarackbridge.helpers import loop_limit


class Check(enum.Enum):
    """Result of opening a connection to a server.

    Attributes:
        ACCEPTED: The server accepted the connection.
        REFUSED: The server refused it, as after a crash.
        FAILED: The server can't be reached, or not in time.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FAILED = "failed"


async def async_check(address: str, timeout_s: float) -> tuple[Check, str]:
    """Opens a connection to a server, and closes it at once.

    Returns:
        The result, and the error text if there is one.
    """
    url = yarl.URL(f"http://{address}")
    try:
        async with loop_limit.async_limit(timeout_s):
            _, writer = await asyncio.open_connection(url.host, url.port)
    except ConnectionRefusedError as exc:
        return Check.REFUSED, _describe(exc)
    except (OSError, TimeoutError) as exc:
        return Check.FAILED, _describe(exc)
    writer.transport.abort()
    return Check.ACCEPTED, ""


def _describe(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}"
