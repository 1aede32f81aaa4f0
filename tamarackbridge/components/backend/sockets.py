"""Sockets towards backend servers that notice a vanished peer."""

import socket
from typing import Any

USER_TIMEOUT_MS = 500
"""Sent bytes that stay unacknowledged for this time end a connection."""

KEEPALIVE_IDLE_S = 1
"""A connection without traffic is probed after this time."""

KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_AddrInfo = tuple[Any, Any, int, str, tuple[Any, ...]]

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def open_tcp(addr_info: _AddrInfo) -> socket.socket:
    """Returns a socket for an address, as `getaddrinfo` describes it.

    A VM that vanishes sends no reset. Without these options a request to it
    would wait for its whole deadline, and a stream from it for ever.
    """
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    for level, name, value in _OPTIONS:
        sock.setsockopt(level, name, value)
    return sock
