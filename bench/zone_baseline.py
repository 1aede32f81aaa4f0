"""A baseline for zones: polled configuration, fixed quotas and retries.

Each router reads the configuration every five seconds and owns a fixed part
of each backend server's limit, at least one request. A request waits for the
least busy server of the router's own part; a failure is tried elsewhere.
"""

from collections.abc import Sequence

from bench import world, zone_run
from tamarackbridge import core
from tamarackbridge.components.dispatch import messages as dispatch

POLL_S = 5.0
MAX_TRIES = 3


class BaselineEntry(world.Entry):
    """A router that decides alone."""

    def __init__(self, run: "BaselineRun", node: str) -> None:
        super().__init__(run, node)
        self.run = run
        self.serving = True
        self._out: frozenset[str] = frozenset()
        self._next_poll = run.rng.uniform(0.0, POLL_S)
        self._busy = dict.fromkeys(run.servers, 0)
        self._waiting: list[world.Request] = []
        self._numbers = 0

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Polls the configuration and starts what waits."""
        if now >= self._next_poll:
            self._next_poll = now + POLL_S
            self._out = frozenset(self.run.zones_out)
        self._start_waiting(now)
        return ()

    def arrive(self, req: world.Request, now: float) -> Sequence[core.Envelope]:
        """Takes a caller's request."""
        return self.request_permit(req, now)

    def request_permit(
        self, req: world.Request, now: float
    ) -> Sequence[core.Envelope]:
        """Lets a request wait for its turn."""
        self.requests[req.request_id] = req
        self._waiting.append(req)
        self._start_waiting(now)
        return ()

    def handle_attempt_end(
        self, req: world.Request, outcome: dispatch.Outcome, now: float
    ) -> Sequence[core.Envelope]:
        """Answers, or tries again."""
        self._busy[req.avoid[-1]] -= 1
        failed = outcome is dispatch.Outcome.FAILED
        retry = req.route.idempotent and req.started < MAX_TRIES
        if failed and retry and now < req.due:
            return self.request_permit(req, now)
        self.end(req, "backend_failed" if failed else "ok", now, claimed=False)
        self._start_waiting(now)
        return ()

    def _start_waiting(self, now: float) -> None:
        for req in list(self._waiting):
            if now >= req.due:
                self._waiting.remove(req)
                self.end(req, "deadline", now, claimed=False)
                continue
            name = self._choose(req)
            if name:
                self._waiting.remove(req)
                self._start_on(name, req, now)

    def _choose(self, req: world.Request) -> str:
        free = [
            (self._busy[name], name)
            for name, server in self.run.servers.items()
            if server.record.service == req.service
            and server.record.zone not in self._out
            and name not in req.avoid[-1:]
            and self._busy[name] < self._quota(server)
        ]
        return min(free)[1] if free else ""

    def _quota(self, server: world.Server) -> int:
        return max(1, server.record.limit_warm // len(zone_run.ROUTERS))

    def _start_on(self, name: str, req: world.Request, now: float) -> None:
        self._numbers += 1
        self._busy[name] += 1
        permit = dispatch.Permitted(
            req.request_id, "", name, 0, self._numbers, now + 1.0, 60.0
        )
        self.run.start(self, req, permit, now)


class BaselineRun(zone_run.ZoneRun):
    """The same departure and return, with baseline routers."""

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
        """Takes the zone out, or in again."""
        change = self.zones_out.add if out else self.zones_out.discard
        change(zone_run.ZONE)


def run_one(seed: int, announced: bool) -> dict[str, object]:
    """Runs one departure and return with the baseline."""
    run = BaselineRun(seed, announced)
    run.bus.run_until(zone_run.END_S + 5.0)
    return zone_run.summarize(run)
