"""Decides when a router that has just started reads the store itself.

Load pattern: all routers of a fleet start within a fraction of a second. If
each reads all data, the store gets three lists and three watches from each; if
one does, the others get the data from it within a few messages. How many others
there are isn't known yet, so the waits are drawn from an exponential
distribution (Nonnenmacher and Biersack, Scalable feedback for large groups,
1999): of 64 routers one begins at once, and each `STEP_S` later as many begin
as in all the time before, until the data of the first reaches the others.
"""

import math

LONGEST_WAIT_S = 0.5
"""Longest wait for data from another router. Without an answer from the others
a router is ready that much later."""

STEP_S = 0.08
"""Time in which the number of routers that read doubles. The data of a reader
reaches its hub and the hub's group within about two of them, so of 64 routers
four to eight read."""


def wait_s(draw: float) -> float:
    """Returns how long a router waits for data before it reads the store.

    Args:
        draw: A number drawn uniformly from 0 to 1; 0 for no wait.
    """
    if draw <= 0:
        return 0.0
    return max(LONGEST_WAIT_S + STEP_S * math.log2(min(draw, 1.0)), 0.0)
