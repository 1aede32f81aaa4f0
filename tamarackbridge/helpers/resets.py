"""Closes TCP connections with a reset."""

import asyncio
import socket
import struct


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Makes closing a connection reset it and discard unsent bytes."""
    conn = transport.get_extra_info("socket")
    if conn is not None:
        reset_socket(conn)


def reset_socket(conn: socket.socket) -> None:
    """Does the same for a socket."""
    linger = struct.pack("ii", 1, 0)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
