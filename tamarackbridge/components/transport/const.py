"""Constants of the transport between routers."""

from typing import Final

METHOD: Final = "/tamarackbridge.Peer/Exchange"
SERVICE: Final = "tamarackbridge.Peer"

BATCH_S: Final = 0.005
"""Least time between two batches to one peer."""

MAX_QUEUED_MESSAGES: Final = 20_000
"""Messages that wait for one peer; the oldest are dropped beyond it."""

RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 500
RECONNECT_MIN_S: Final = 0.1
RECONNECT_MAX_S: Final = 2.0

KEEPALIVE_MS: Final = 5_000
KEEPALIVE_TIMEOUT_MS: Final = 2_000
