"""Closes TCP connections with a reset, or in order again.

The kernel closes the connections of a process that ends, also one that is
killed, in order. Where nothing but the close marks the end of a response, the
end of the process would pass for the end of the response. So such a connection
resets on close from the first byte of the response to its last.
"""

import asyncio
import fcntl
import socket
import struct
import termios

_LINGER = struct.Struct("ii")
_RESET = (1, 0)
_ORDERLY = (0, 0)
_QUEUE_SIZE = struct.Struct("i")


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Makes closing a connection reset it and discard unsent bytes."""
    conn = transport.get_extra_info("socket")
    if conn is not None:
        reset_socket(conn)


def reset_socket(conn: socket.socket) -> None:
    """Does the same for a socket."""
    _set_linger(conn, _RESET)


def will_reset(transport: asyncio.BaseTransport) -> bool:
    """Returns whether closing an open connection resets it."""
    conn = transport.get_extra_info("socket")
    if conn is None or transport.is_closing():
        return False
    linger = conn.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.size)
    return bool(_LINGER.unpack(linger) == _RESET)


def has_unsent(transport: asyncio.WriteTransport) -> bool:
    """Returns whether a reset would discard bytes that were written.

    Those are all that the peer's kernel has not acknowledged yet.
    """
    conn = transport.get_extra_info("socket")
    if conn is None or transport.is_closing():
        return False
    if transport.get_write_buffer_size() > 0:
        return True
    # For a TCP socket this is SIOCOUTQ (tcp(7)).
    size = fcntl.ioctl(conn.fileno(), termios.TIOCOUTQ, bytes(_QUEUE_SIZE.size))
    return bool(_QUEUE_SIZE.unpack(size)[0])


def allow_orderly_close(transport: asyncio.BaseTransport) -> None:
    """Makes closing a connection send what is unsent and end it in order.

    Undoes `reset_on_close`. Has no effect on a transport that is closing or
    was aborted: what was decided for it stays.
    """
    conn = transport.get_extra_info("socket")
    if conn is not None and not transport.is_closing():
        allow_orderly_close_socket(conn)


def allow_orderly_close_socket(conn: socket.socket) -> None:
    """Does the same for a socket; undoes `reset_socket`."""
    _set_linger(conn, _ORDERLY)


def _set_linger(conn: socket.socket, linger: tuple[int, int]) -> None:
    value = _LINGER.pack(*linger)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
