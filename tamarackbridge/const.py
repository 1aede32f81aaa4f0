"""Constants that more than one component uses, with their units."""

from typing import Final

STORE_NODE: Final = "@store"
"""Address of the object API in an envelope."""

LOCAL_NODE: Final = "@local"
"""Address of the sender's own router in an envelope."""

LEASE_S: Final = 2.0
"""How long one piece of lease evidence is good for."""

CLOCK_DRIFT_RATIO: Final = 0.001
"""Largest difference in rate between two routers' monotonic clocks."""

GRANT_USE_S: Final = 0.5
"""A permit that was not used within this time of its issue is void."""

TICK_S: Final = 0.02
"""Longest interval between two ticks of a decider."""

MS_PER_S: Final = 1000
"""Milliseconds in one second."""
