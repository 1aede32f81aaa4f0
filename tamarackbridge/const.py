"""Constants shared by several components."""

from typing import Final

STORE_NODE: Final = "@store"
"""Receiver of envelopes to the object API."""

LOCAL_NODE: Final = "@local"
"""Receiver of envelopes to the sender's own router."""

LEASE_S: Final = 2.0
"""Time for which one confirmation of a lease is valid."""

CLOCK_DRIFT_RATIO: Final = 0.001
"""Largest relative difference in rate between two routers' monotonic clocks."""

GRANT_USE_S: Final = 0.5
"""Time after which an unused permit is void."""

TICK_S: Final = 0.02
"""Longest interval between two ticks of a decider while messages arrive."""

MS_PER_S: Final = 1000
"""Milliseconds in one second."""
