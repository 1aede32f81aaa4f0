"""Test of the options of sockets towards backend servers."""

import socket

from tamarackbridge.components.backend import sockets


def test_a_vanished_peer_is_noticed() -> None:
    info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
    with sockets.open_tcp(info) as sock:
        timeout_ms = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        probed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert timeout_ms == sockets.USER_TIMEOUT_MS
    assert probed
