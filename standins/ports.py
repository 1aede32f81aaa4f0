"""Reserves free ports for programs whose ports are set before they start."""

import socket


class ReservedPorts:
    """Ports that the kernel gives to nobody else until `close`.

    The sockets are bound, but never listen, so that a program that sets
    SO_REUSEADDR, as asyncio does, can listen on the same ports.

    Attributes:
        ports: The reserved ports on 127.0.0.1.
    """

    def __init__(self, count: int) -> None:
        self._sockets = [socket.socket() for _ in range(count)]
        for sock in self._sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
        self.ports = [int(bound.getsockname()[1]) for bound in self._sockets]

    def close(self) -> None:
        """Releases the ports."""
        for sock in self._sockets:
            sock.close()
