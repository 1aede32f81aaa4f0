"""Constants of fleet membership."""

from typing import Final

FLEET_PREFIX: Final = "fleet/"
"""Key prefix of the fleet objects, which every router keeps a copy of."""

KEY_ROSTER: Final = "fleet/roster"
KEY_CONFIG: Final = "fleet/config"
SHARD_PREFIX: Final = "fleet/shard/"

MIN_HEARTBEAT_INTERVAL_S: Final = 0.04
"""Minimum interval between heartbeats sent early to announce a new version."""

RELAYED_DEAD_AFTER_S: Final = 2.0
"""Silence after which a member reported by its group's relay is not live."""

GROUP_SIZE: Final = 16
"""Maximum members of a group, which exchange heartbeats directly.

Larger zones are split into several groups.
"""

LIST_INTERVAL_S: Final = 0.4
"""Interval between list calls to the store that refresh the evidence."""

STATE_ASK_INTERVAL_S: Final = 0.4
"""Minimum interval between `StateAsk` messages to peers."""

READ_TIMEOUT_S: Final = 1.0
"""Timeout of a list call to the store and of a write of the roster."""

WATCH_TIMEOUT_S: Final = 5.0
"""Timeout of a watch call to the store."""

MIN_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 3.0
"""Base and upper limit of the pause after failed store calls.

The pause doubles with each failure in a row; jitter shortens it.
"""

JOIN_BATCH_S: Final = 0.5
"""Time for which join requests are collected into one roster change."""

REMOVE_MEMBER_AFTER_S: Final = 5.0
"""Silence after which a member whose VM is gone is removed from the roster."""

RESET_ROSTER_AFTER_S: Final = 20.0
"""Time for which all members must be gone before the roster is replaced."""
