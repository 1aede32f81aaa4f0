"""Constants of the transport between routers."""

from typing import Final

PATH: Final = "/peers"
"""Where a router listens for the others' WebSockets."""

MAX_QUEUED_MESSAGES: Final = 20_000
"""Messages that wait for one peer; the oldest are dropped beyond it."""

CONNECT_TIMEOUT_S: Final = 1.0
"""A lost first packet is sent again after a second by the kernel; a new
attempt does no worse."""

RECONNECT_MIN_S: Final = 0.1
RECONNECT_MAX_S: Final = 2.0
"""Pauses after a connection failed; a router that comes back is heard within
the 3 s after which it counts as undisturbed."""

STABLE_S: Final = 2.0
"""A connection that lived this long was no failed attempt."""

KEEPALIVE_S: Final = 1.5
"""Interval of pings on a link; an answer has half of it. A connection that
has gone silent is found out before the 3 s after which a router counts as
undisturbed."""
