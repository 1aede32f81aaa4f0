"""What the stand-ins for backend servers share: load, cold start, orders."""

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
        late_s: Time that each answer is held back after its work.
        crossed: Probability that an answer carries another's identifier.
        truncated: Probability that an answer ends early.
        refuse: Probability of a 503 that proves that nothing was started.
        load_lag_s: Age of the load report.
        check_fencing: Whether orders with an old fencing number are refused.
        cold_s: Length of a cold start, from the last restart.
        bears_cold: Requests borne at once in cold start; 0 for no limit.
        bears_warm: Requests borne at once when warm; 0 for no limit.
        stay_down_s: Time without service after falling over.
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
    """A backend server that falls over when given more than it bears.

    Attributes:
        running: Requests in flight.
        idle: Set while nothing runs.
        peak: Most requests ever in flight at once.
        peak_cold: Most requests in flight at once during cold starts.
        falls: How often it fell over.
        orders: Fencing numbers of the orders that it obeyed.
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
        self._boots = 0
        self._booted_at = 0.0
        self._up_at = 0.0
        self._loads: list[tuple[float, int]] = [(0.0, 0)]
        self.restart()

    @property
    def cold(self) -> bool:
        """Whether a cold start is going on."""
        return time.monotonic() < self._booted_at + self.faults.cold_s

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the load report, orders and the restart control."""
        router.add_get("/load", self._async_load)
        router.add_post("/orders", self._async_order)
        router.add_post("/control/restart", self._async_restart)

    def state(self) -> dict[str, Any]:
        """Returns load and history."""
        return {
            "in_flight": len(self.running),
            "peak": self.peak,
            "peak_cold": self.peak_cold,
            "falls": self.falls,
            "boot": str(self._boots),
            "cold": self.cold,
            "orders": self.orders,
        }

    def restart(self, down_s: float = 0.0) -> None:
        """Drops all work and starts again, cold."""
        self._boots += 1
        self._up_at = time.monotonic() + down_s
        self._booted_at = self._up_at
        for task in list(self.running):
            task.cancel()

    async def async_admit(self, req: web.Request) -> web.Response | None:
        """Takes one request in.

        Returns:
            The answer when the request is not started, or None.
        """
        await req.read()
        if time.monotonic() < self._up_at:
            return base.close(req)
        if self.rng.random() < self.faults.refuse:
            headers = {ATTR_NOT_STARTED: "true"}
            return web.Response(status=503, headers=headers)
        task = asyncio.current_task()
        assert task is not None
        self.running.add(task)
        self.idle.clear()
        self._note_load()
        bears = self._bears()
        if bears and len(self.running) > bears:
            self.falls += 1
            self.running.discard(task)
            self.restart(self.faults.stay_down_s)
            return base.close(req)
        return None

    def release(self) -> None:
        """Ends the request of the current task."""
        task = asyncio.current_task()
        assert task is not None
        self.running.discard(task)
        self._note_load()

    def answer_id(self, req: web.Request) -> str:
        """Returns the identifier that the answer carries."""
        request_id = req.headers.get(ATTR_REQUEST_ID, "")
        if self.rng.random() < self.faults.crossed:
            return f"crossed-{request_id}"
        return request_id

    def _bears(self) -> int:
        if self.cold:
            self.peak_cold = max(self.peak_cold, len(self.running))
            return self.faults.bears_cold
        return self.faults.bears_warm

    def _note_load(self) -> None:
        if not self.running:
            self.idle.set()
        self.peak = max(self.peak, len(self.running))
        now = time.monotonic()
        self._loads.append((now, len(self.running)))
        horizon = now - self.faults.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.pop(0)

    async def _async_load(self, _: web.Request) -> web.Response:
        self.count("load")
        horizon = time.monotonic() - self.faults.load_lag_s
        seen = [load for at, load in self._loads if at <= horizon]
        report = {
            "in_flight": seen[-1] if seen else 0,
            "cold": self.cold,
            "age_ms": int(self.faults.load_lag_s * 1000),
            "boot": str(self._boots),
        }
        return web.json_response(report)

    async def _async_order(self, req: web.Request) -> web.Response:
        self.count("order")
        token = int(req.headers.get(ATTR_FENCING, "0"))
        newest = max(self.orders, default=0)
        if self.faults.check_fencing and token < newest:
            return web.Response(status=409, text="old fencing number")
        self.orders.append(token)
        return web.json_response({"token": token})

    async def _async_restart(self, req: web.Request) -> web.Response:
        self.restart(float(req.query.get("down_s", "0")))
        return web.json_response(self.state())
