"""TCP sockets to backend servers that detect a vanished peer."""

import socket
from typing import Any

USER_TIMEOUT_MS = 500
"""Time after which unacknowledged data ends a connection."""

KEEPALIVE_IDLE_S = 1
"""Idle time after which keepalive probes are sent."""

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
    """Opens a socket for an address, in the form of `getaddrinfo`.

    A VM that vanishes sends no reset. Without these options a request to it
    would wait until its deadline, and a stream from it forever.
    """
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    for level, name, value in _OPTIONS:
        sock.setsockopt(level, name, value)
    return sock
