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

KEEPALIVE_MS: Final = 1_500
"""A connection that has gone silent is found out within this time and the
next, half of the time for which budgets remember a router."""

KEEPALIVE_TIMEOUT_MS: Final = 1_000
