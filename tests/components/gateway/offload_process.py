"""A process that offloads one request, so that a test can kill it.

Arguments: the file descriptor of the connection to the caller, and the port of
the peer.
"""

import asyncio
import socket
import sys

from tamarackbridge import core
from tamarackbridge.components.gateway import offload_proxy


async def _async_offload(caller: socket.socket, port: int) -> None:
    clock = core.SystemClock()
    proxy = offload_proxy.OffloadProxy(clock, 1)
    proxy.open(
        caller,
        offload_proxy.OffloadedRequest(
            peer=("127.0.0.1", port),
            request=b"GET / HTTP/1.1\r\n\r\n",
            deadline=clock.monotonic() + 60.0,
            make_response=lambda end: end.value.encode(),
            on_end=lambda _: None,
        ),
    )
    await asyncio.Event().wait()


if __name__ == "__main__":
    accepted = socket.socket(fileno=int(sys.argv[1]))
    asyncio.run(_async_offload(accepted, int(sys.argv[2])))
