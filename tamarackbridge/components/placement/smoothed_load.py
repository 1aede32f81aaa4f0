"""Requests at plain servers, smoothed where reports are older than requests.

Load pattern: requests take 45 ms and reports are 50 to 250 ms old. What a
report says of a server is over when it arrives: routers that all react to it
send to the same server, or leave a free one idle.
"""

import dataclasses
import math

AVERAGING_S = 2.0
"""Time constant of the mean of the reported requests. With 0.5 s, reports that
pass two hubs still made routers send to the servers in turn, with a period of
0.8 s."""


@dataclasses.dataclass(slots=True)
class _Mean:
    requests: float
    at: float


class SmoothedLoad:
    """Means of what the other routers have reported, by server."""

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}

    def requests(
        self, server: str, own: int, reported: int, blur: float, now: float
    ) -> float:
        """Returns the requests that are expected at a server now.

        Args:
            server: Name of the server.
            own: Requests of this router there.
            reported: Requests of the other routers, as last reported.
            blur: Weight of the mean, from 0 to 1; the rest is that of the last
                report.
            now: The time.
        """
        mean = self._means.get(server)
        if mean is None:
            mean = self._means[server] = _Mean(float(reported), now)
        elif now > mean.at:
            weight = 1.0 - math.exp((mean.at - now) / AVERAGING_S)
            mean.requests += weight * (reported - mean.requests)
            mean.at = now
        return own + (1.0 - blur) * reported + blur * mean.requests

    def forget(self, server: str) -> None:
        """Drops the mean of a server that is gone."""
        self._means.pop(server, None)
