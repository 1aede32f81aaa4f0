"""Constants of the transport between routers."""

from typing import Final

PEERS_PATH: Final = "/peers"
"""HTTP path on which a router accepts the WebSockets of its peers."""

MAX_QUEUED_MESSAGES: Final = 20_000
"""Limit of the messages queued for one peer; the oldest are dropped first."""

CONNECT_TIMEOUT_S: Final = 1.0
"""Limit of a connection attempt. The kernel resends a lost first packet after
1 s, so a new attempt takes no longer."""

MIN_RECONNECT_DELAY_S: Final = 0.1
MAX_RECONNECT_DELAY_S: Final = 2.0
"""Limits of the pause after a failed connection. A router that returns is
reconnected within the 3 s after which it counts as undisturbed."""

STABLE_CONNECTION_S: Final = 2.0
"""Lifetime above which a connection resets the pause before reconnecting."""

COMPRESSION_WINDOW_BITS: Final = 15
"""Window of the compression between availability zones, where bytes are paid
for: the largest, which holds the last reports. Each repeats most of the one
before."""

PING_INTERVAL_S: Final = 1.5
"""Interval of pings on a link; the answer must arrive within half of it. A
silent connection is detected within the 3 s after which a router counts as
undisturbed."""
