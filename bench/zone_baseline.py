"""Baseline of the zone measurement: polled configuration and fixed quotas.

Each router reads the configuration every five seconds and has a fixed quota of
each backend server's limit, at least one request. A request is queued until a
server has quota left and goes to the one with the fewest requests of the
router. A failed request is retried on another server.
"""

from collections.abc import Sequence

from bench import world, zone_run
from tamarackbridge import core
from tamarackbridge.components.dispatch import messages as dispatch

POLL_S = 5.0
MAX_ATTEMPTS = 3


class BaselineEntry(world.Entry):
    """Router that decides without the other routers."""

    def __init__(self, run: "BaselineRun", node: str) -> None:
        super().__init__(run, node)
        self.run = run
        self.serving = True
        self._zones_out: frozenset[str] = frozenset()
        self._next_poll = run.rng.uniform(0.0, POLL_S)
        self._running = dict.fromkeys(run.servers, 0)
        self._queue: list[world.Request] = []
        self._last_number = 0

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Polls the configuration and starts queued requests."""
        if now >= self._next_poll:
            self._next_poll = now + POLL_S
            self._zones_out = frozenset(self.run.zones_out)
        self._start_queued(now)
        return ()

    def arrive(self, req: world.Request, now: float) -> Sequence[core.Envelope]:
        """Accepts a request of a caller."""
        return self.request_permit(req, now)

    def request_permit(
        self, req: world.Request, now: float
    ) -> Sequence[core.Envelope]:
        """Queues a request and starts what the quotas allow."""
        self.requests[req.request_id] = req
        self._queue.append(req)
        self._start_queued(now)
        return ()

    def handle_attempt_end(
        self, req: world.Request, outcome: dispatch.Outcome, now: float
    ) -> Sequence[core.Envelope]:
        """Answers the caller, or retries a failed request."""
        self._running[req.avoid[-1]] -= 1
        failed = outcome is dispatch.Outcome.FAILED
        retry = req.route.idempotent and req.started < MAX_ATTEMPTS
        if failed and retry and now < req.due:
            return self.request_permit(req, now)
        self.end(req, "backend_failed" if failed else "ok", now, claimed=False)
        self._start_queued(now)
        return ()

    def _start_queued(self, now: float) -> None:
        for req in list(self._queue):
            if now >= req.due:
                self._queue.remove(req)
                self.end(req, "deadline", now, claimed=False)
                continue
            name = self._least_busy_server(req)
            if name:
                self._queue.remove(req)
                self._start_request(name, req, now)

    def _least_busy_server(self, req: world.Request) -> str:
        candidates = [
            (self._running[name], name)
            for name, server in self.run.servers.items()
            if server.record.service == req.service
            and server.record.zone not in self._zones_out
            and name not in req.avoid[-1:]
            and self._running[name] < self._quota(server)
        ]
        return min(candidates)[1] if candidates else ""

    def _quota(self, server: world.Server) -> int:
        return max(1, server.record.limit_warm // len(zone_run.ROUTERS))

    def _start_request(self, name: str, req: world.Request, now: float) -> None:
        self._last_number += 1
        self._running[name] += 1
        permit = dispatch.Permitted(
            req.request_id, "", name, 0, self._last_number, now + 1.0, 60.0
        )
        self.run.start(self, req, permit, now)


class BaselineRun(zone_run.ZoneRun):
    """Loss and return of the zone with baseline routers."""

    def __init__(self, seed: int, announced: bool) -> None:
        self.zones_out: set[str] = set()
        super().__init__(seed, announced)

    def start_router(self, node: str) -> None:
        """Starts a baseline router."""
        entry = BaselineEntry(self, node)
        self.entries[node] = entry
        self.bus.start(core.DeciderGroup(node, (entry,)))
        self.bus.at(self.bus.now + 1.0, lambda: self.up.add(node))

    def set_zone(self, out: bool) -> None:
        """Takes the zone out of service, or back into service."""
        update = self.zones_out.add if out else self.zones_out.discard
        update(zone_run.ZONE)


def run_one(seed: int, announced: bool) -> dict[str, object]:
    """Simulates one loss and return of the zone with the baseline."""
    run = BaselineRun(seed, announced)
    run.bus.run_until(zone_run.END_S + 5.0)
    return zone_run.summarize(run)
