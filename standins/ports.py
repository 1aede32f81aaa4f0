"""Ports of the kernel's choice for programs that need to be told theirs."""

import socket


class ReservedPorts:
    """Ports that nobody else gets while this object lives.

    The sockets are bound and never listen, so that a program that sets
    SO_REUSEADDR, as asyncio does, can listen on the same ports.

    Attributes:
        ports: The ports on 127.0.0.1.
    """

    def __init__(self, count: int) -> None:
        self._sockets = [socket.socket() for _ in range(count)]
        for sock in self._sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
        self.ports = [int(it.getsockname()[1]) for it in self._sockets]

    def close(self) -> None:
        """Gives the ports back."""
        for sock in self._sockets:
            sock.close()
