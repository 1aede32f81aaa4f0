"""Constants of the dispatcher and the permit client, with their units."""

from typing import Final

MAX_ESTIMATE_RATIO: Final = 0.25
"""Largest cost estimate, as a fraction of the service's largest cost."""

PROGRESS_INTERVAL_S: Final = 0.4
"""Interval at which an entry reports the cost of its running permits."""

ENTRY_SILENCE_S: Final = 1.0
"""Silence after which an entry may have lost its permits."""

RESYNC_RESEND_S: Final = 0.2
"""Interval at which a new dispatcher resends an unanswered `ResyncAsk`."""

EXCHANGE_INTERVAL_S: Final = 0.2
"""Interval at which the shards of a service exchange their served totals."""

ASK_RESEND_S: Final = 5.0
"""Time until an unanswered `Ask` is first resent; doubles with each resend."""

MAX_ASK_RESEND_S: Final = 40.0
"""Longest interval between two resends of an unanswered `Ask`."""

MOVE_FENCE_S: Final = 5.0
"""How long after a server's move its former shard's permits may start work."""

LATE_GRANT_RESEND_S: Final = 0.1
"""Delay before an `Ask` is resent whose grant arrived too late to use."""

QUEUE_FULL_PAUSE_S: Final = 0.2
"""How long an entry rejects a workspace's requests by itself after a dispatcher
answered `queue_full`."""

MAX_NETWORK_DELAY_S: Final = 0.1
"""Longest time between sending a request and its arrival at the server."""

MIN_RETRY_AFTER_S: Final = 1.0
"""Shortest `Retry-After` of a rejection."""

MAX_RETRY_AFTER_S: Final = 60.0
"""Longest `Retry-After` of a rejection."""

DEFAULT_MAX_QUEUED: Final = 64
"""Queue limit of a workspace that has no record yet, in requests."""

SWEEP_INTERVAL_S: Final = 0.2
"""Interval at which a dispatcher removes expired requests and permits."""

MAX_LIMIT_AGE_S: Final = 10.0
"""Greatest age of a server limit that an entry reports to a new dispatcher."""
