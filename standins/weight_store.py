"""Stand-in for the store of model weights, which limits its rate."""

import time

from aiohttp import web

from standins import base


class WeightStore(base.StandIn):
    """Serves downloads up to a rate, with a token bucket.

    Attributes:
        rate: Downloads per second that are served. Further ones get 429 with
            a Retry-After header.
    """

    def __init__(self, rate: float = 10.0, seed: int = 0) -> None:
        super().__init__(base.Faults(), seed)
        self.rate = rate
        self._burst = max(rate, 1.0)
        self._tokens = self._burst
        self._refilled_at = time.monotonic()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the download route."""
        router.add_get("/weights/{name}", self._async_get)

    async def _async_get(self, req: web.Request) -> web.Response:
        self.count("get")
        now = time.monotonic()
        gained = (now - self._refilled_at) * self.rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            wait_s = (1 - self._tokens) / self.rate
            headers = {"Retry-After": f"{wait_s:.3f}"}
            return web.Response(status=429, headers=headers)
        self._tokens -= 1
        name = req.match_info["name"]
        return web.Response(body=name.encode())
