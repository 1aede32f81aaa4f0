"""Base of the stand-ins for backend servers.

It has what they share: load reports, warm-up, crashes under overload, and
operator orders with fencing tokens.
"""

import asyncio
import dataclasses
import time
from typing import Any

from aiohttp import web

from standins import base

ATTR_REQUEST_ID = "X-Request-Id"
ATTR_NOT_STARTED = "X-Not-Started"
ATTR_FENCING = "X-Fencing-Token"


@dataclasses.dataclass(slots=True)
class BackendFaults(base.Faults):
    """Faults of backend servers.

    Attributes:
        late_s: Delay of each answer after its work is done.
        crossed: Probability that an answer carries a foreign request
            identifier.
        truncated: Probability that an answer is incomplete.
        refuse: Probability of a 503 with the header X-Not-Started.
        load_lag_s: Age of the state that a load report shows.
        check_fencing: Whether orders with an old fencing token are refused.
        cold_s: Length of the warm-up after a restart.
        bears_cold: Requests in flight beyond which it crashes during warm-up;
            0 for no limit.
        bears_warm: Requests in flight beyond which it crashes after warm-up;
            0 for no limit.
        stay_down_s: Downtime after a crash.
    """

    late_s: float = 0.0
    crossed: float = 0.0
    truncated: float = 0.0
    refuse: float = 0.0
    load_lag_s: float = 0.0
    check_fencing: bool = True
    cold_s: float = 0.0
    bears_cold: int = 0
    bears_warm: int = 0
    stay_down_s: float = 0.0


class Backend(base.StandIn):
    """A backend server that crashes when it has too many requests in flight.

    Attributes:
        running: Tasks of the requests in flight.
        idle: Set while no request is in flight.
        peak: Highest number of requests in flight.
        peak_cold: Highest number of requests in flight during warm-up.
        falls: Number of crashes.
        orders: Fencing tokens of the orders that it accepted.
    """

    faults: BackendFaults

    def __init__(self, faults: BackendFaults, seed: int = 0) -> None:
        super().__init__(faults, seed)
        self.running: set[asyncio.Task[Any]] = set()
        self.idle = asyncio.Event()
        self.peak = 0
        self.peak_cold = 0
        self.falls = 0
        self.orders: list[int] = []
        self._boot_count = 0
        self._warm_up_start = 0.0
        self._available_at = 0.0
        self._load_history: list[tuple[float, int]] = [(0.0, 0)]
        self.restart()

    @property
    def warming_up(self) -> bool:
        """Whether the server is in its warm-up."""
        return time.monotonic() < self._warm_up_start + self.faults.cold_s

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes for load reports, orders and restarts."""
        router.add_get("/load", self._async_load)
        router.add_post("/orders", self._async_order)
        router.add_post("/control/restart", self._async_restart)

    def state(self) -> dict[str, Any]:
        """Returns the load and the counters since the start."""
        return {
            "in_flight": len(self.running),
            "peak": self.peak,
            "peak_cold": self.peak_cold,
            "falls": self.falls,
            "boot": str(self._boot_count),
            "cold": self.warming_up,
            "orders": self.orders,
        }

    def restart(self, down_s: float = 0.0) -> None:
        """Cancels all requests and begins a new warm-up after the downtime."""
        self._boot_count += 1
        self._available_at = time.monotonic() + down_s
        self._warm_up_start = self._available_at
        for task in list(self.running):
            task.cancel()

    async def async_admit(self, req: web.Request) -> web.Response | None:
        """Counts the request of the current task as in flight.

        Returns:
            None, or the answer to a request that was not started: a 503, or a
            closed connection if the server is down or crashes now.
        """
        await req.read()
        if time.monotonic() < self._available_at:
            return base.abort_connection(req)
        if self.rng.random() < self.faults.refuse:
            headers = {ATTR_NOT_STARTED: "true"}
            return web.Response(status=503, headers=headers)
        task = asyncio.current_task()
        assert task is not None
        self.running.add(task)
        self.idle.clear()
        self._record_load()
        crash_limit = self._crash_limit()
        if crash_limit and len(self.running) > crash_limit:
            self.falls += 1
            self.running.discard(task)
            self.restart(self.faults.stay_down_s)
            return base.abort_connection(req)
        return None

    def release(self) -> None:
        """Counts the request of the current task as ended."""
        task = asyncio.current_task()
        assert task is not None
        self.running.discard(task)
        self._record_load()

    def answer_id(self, req: web.Request) -> str:
        """Returns the request identifier for the answer, or a foreign one."""
        request_id = req.headers.get(ATTR_REQUEST_ID, "")
        if self.rng.random() < self.faults.crossed:
            return f"crossed-{request_id}"
        return request_id

    def _crash_limit(self) -> int:
        if self.warming_up:
            self.peak_cold = max(self.peak_cold, len(self.running))
            return self.faults.bears_cold
        return self.faults.bears_warm

    def _record_load(self) -> None:
        if not self.running:
            self.idle.set()
        self.peak = max(self.peak, len(self.running))
        now = time.monotonic()
        self._load_history.append((now, len(self.running)))
        horizon = now - self.faults.load_lag_s
        while (
            len(self._load_history) > 1 and self._load_history[1][0] <= horizon
        ):
            self._load_history.pop(0)

    async def _async_load(self, _: web.Request) -> web.Response:
        self.count("load")
        horizon = time.monotonic() - self.faults.load_lag_s
        visible_loads = [
            load for at, load in self._load_history if at <= horizon
        ]
        report = {
            "in_flight": visible_loads[-1] if visible_loads else 0,
            "cold": self.warming_up,
            "age_ms": int(self.faults.load_lag_s * 1000),
            "boot": str(self._boot_count),
        }
        return web.json_response(report)

    async def _async_order(self, req: web.Request) -> web.Response:
        self.count("order")
        token = int(req.headers.get(ATTR_FENCING, "0"))
        newest_token = max(self.orders, default=0)
        if self.faults.check_fencing and token < newest_token:
            return web.Response(status=409, text="old fencing token")
        self.orders.append(token)
        return web.json_response({"token": token})

    async def _async_restart(self, req: web.Request) -> web.Response:
        self.restart(float(req.query.get("down_s", "0")))
        return web.json_response(self.state())
