"""Constants of the dispatcher and the permit client, with their units."""

from typing import Final

MAX_ESTIMATE_RATIO: Final = 0.25
"""Largest estimate, as a part of the service's largest cost."""

PROGRESS_S: Final = 0.4
"""Interval at which an entry reports the cost of running permits."""

SILENCE_S: Final = 1.0
"""A permit whose entry was not heard for this time may have lost it."""

RESYNC_RETRY_S: Final = 0.2
"""Interval at which a new dispatcher asks again who has not reported."""

EXCHANGE_S: Final = 0.2
"""Interval at which the shards of a service exchange served totals."""

ASK_RETRY_S: Final = 5.0
"""First interval after which an unanswered ask is sent again."""

MAX_ASK_RETRY_S: Final = 40.0
"""Longest interval between two sendings of an unanswered ask."""

MOVE_FENCE_S: Final = 5.0
"""After a server's change of shard, nothing starts by the old one's permits."""

LATE_PAUSE_S: Final = 0.1
"""How long after a grant that came too late its request is asked again."""

FULL_PAUSE_S: Final = 0.2
"""How long an entry refuses by itself after `queue_full`, per workspace."""

NETWORK_S: Final = 0.1
"""Longest time from a request's start to its arrival at the server."""

MIN_RETRY_AFTER_S: Final = 1.0
"""Least `Retry-After` that a refusal carries."""

MAX_RETRY_AFTER_S: Final = 60.0
"""Greatest `Retry-After` that a refusal carries."""

DEFAULT_MAX_QUEUED: Final = 64
"""Waiting requests of a workspace that has no record yet."""

SWEEP_S: Final = 0.2
"""Interval at which a dispatcher looks for what has expired."""

LIMIT_MEMORY_S: Final = 10.0
"""For how long a limit that an entry saw may be handed to a new dispatcher."""
