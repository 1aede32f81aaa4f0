"""Constants of membership, with their units."""

from typing import Final

FLEET_PREFIX: Final = "fleet/"
"""Prefix of all objects that every router has to know the newest value of."""

KEY_ROSTER: Final = "fleet/roster"
KEY_CONFIG: Final = "fleet/config"
SHARD_PREFIX: Final = "fleet/shard/"

PROMPT_HEARTBEAT_S: Final = 0.04
"""Least interval between two heartbeats when there is news to tell."""

GROUP_DEAD_AFTER_S: Final = 2.0
"""Silence after which a member heard of through its relay is not live."""

GROUP_SIZE: Final = 16
"""Members that exchange heartbeats directly; larger zones are split."""

POLL_S: Final = 0.4
"""Interval between reads of the store that serve as evidence."""

ASK_S: Final = 0.4
"""Interval between two questions to peers for what they know."""

READ_TIMEOUT_S: Final = 1.0
"""A read without an answer for this time counts as failed."""

WATCH_TIMEOUT_S: Final = 5.0
"""A watch without an answer for this time counts as failed."""

BACKOFF_MIN_S: Final = 0.2
BACKOFF_MAX_S: Final = 3.0

JOIN_BATCH_S: Final = 0.5
"""Time for which joins and removals are collected into one roster change."""

REMOVE_AFTER_S: Final = 5.0
"""A member is removed when it was silent so long and its VM is gone."""

RESET_AFTER_S: Final = 20.0
"""A roster whose members are all gone is replaced after this silence."""
