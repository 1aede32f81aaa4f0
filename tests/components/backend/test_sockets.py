"""Test of the options of sockets to backend servers."""

import socket

from tamarackbridge.components.backend import sockets


def test_vanished_peer_is_detected() -> None:
    info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
    with sockets.open_tcp(info) as sock:
        timeout_ms = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        keepalive = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert timeout_ms == sockets.USER_TIMEOUT_MS
    assert keepalive
