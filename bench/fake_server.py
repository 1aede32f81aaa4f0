"""Fake backend servers and a fake entry service in the harness."""

from collections.abc import Callable
import dataclasses
from typing import ClassVar

from bench import harness
from tamarackbridge import const, core
from tamarackbridge.components.dispatch import messages
from tamarackbridge.components.records import models

LOAD_REPORT_INTERVAL_S = 0.2
COST_REPORT_INTERVAL_S = 0.2
Outcome = messages.Outcome
OnEnd = Callable[[float, messages.Outcome], None]


@dataclasses.dataclass(slots=True)
class RunningRequest:
    """One request on a server."""

    started_at: float
    cost: float
    end: OnEnd


class FakeServer:
    """A backend server that processes each request at a fixed rate.

    Attributes:
        rate: Cost that one request uses in a second.
        cold_until: End of the warm-up.
        failing: Whether each request fails soon after its start.
        violations: Starts above the concurrency limit although a load report
            of the present limit had time to arrive.
        unwarned: Starts above the concurrency limit before a load report of
            the present limit could arrive.
        fenced: Requests rejected for an old epoch.
        failed: Requests that failed.
        worst_ratio: Maximum ratio of running requests to the concurrency
            limit.
        listeners: Returns the nodes that receive load reports.
    """

    def __init__(
        self,
        bus: harness.Harness,
        record: models.BackendServer,
        rate: float,
        cold_s: float = 0.0,
    ) -> None:
        self.record = record
        self.rate = rate
        self.cold_until = bus.now + cold_s
        self.failing = False
        self.runs: dict[str, RunningRequest] = {}
        self.violations = self.unwarned = self.fenced = self.failed = 0
        self.worst_ratio = 0.0
        self.listeners: Callable[[], list[str]] = list
        self._warm_up_since = float("-inf")
        self._boot = self._epoch = 0
        self._bus = bus
        if record.load_lag_s:
            self._report_load()

    def concurrency_limit(self) -> int:
        """Returns the present concurrency limit."""
        warming = self._bus.now < self.cold_until
        return self.record.limit_cold if warming else self.record.limit_warm

    def start_warm_up(self, seconds: float, restart: bool = True) -> None:
        """Starts a warm-up unannounced; a restart ends all running requests."""
        self.cold_until = self._bus.now + seconds
        self._warm_up_since = self._bus.now
        if restart:
            self._boot += 1
            for request_id in list(self.runs):
                self.stop(request_id, Outcome.COLD)

    def used(self, request_id: str) -> float:
        """Returns the cost that a running request has used so far."""
        run = self.runs[request_id]
        return min(run.cost, (self._bus.now - run.started_at) * self.rate)

    def start(
        self, request_id: str, epoch: int, cost: float, end: OnEnd
    ) -> None:
        """Starts one request; with fencing, rejects one of an old epoch."""
        if self.record.checks_fencing and epoch < self._epoch:
            self.fenced += 1
            end(0.0, Outcome.UNUSED)
            return
        self._epoch = max(self._epoch, epoch)
        run = RunningRequest(self._bus.now, cost, end)
        self.runs[request_id] = run
        self._check_limit()
        ends_at = self._bus.now + (0.05 if self.failing else cost / self.rate)
        self._bus.at(ends_at, lambda: self._finish(request_id, run))

    def stop(self, request_id: str, outcome: messages.Outcome) -> None:
        """Ends a running request."""
        used = self.used(request_id)
        self.runs.pop(request_id).end(used, outcome)

    def _finish(self, request_id: str, run: RunningRequest) -> None:
        if self.runs.get(request_id) is run:
            self.failed += self.failing
            outcome = Outcome.FAILED if self.failing else Outcome.OK
            self.stop(request_id, outcome)

    def _check_limit(self) -> None:
        self.worst_ratio = max(
            self.worst_ratio, len(self.runs) / self.concurrency_limit()
        )
        if len(self.runs) <= self.concurrency_limit():
            return
        reported_by = (
            self._warm_up_since
            + self.record.load_lag_s
            + 2 * LOAD_REPORT_INTERVAL_S
        )
        if self._warm_up_since <= self._bus.now < reported_by:
            self.unwarned += 1
        else:
            self.violations += 1

    def _report_load(self) -> None:
        lag_s = self.record.load_lag_s
        warming = self._bus.now < self.cold_until
        report = messages.LoadReport(
            self.record.name, len(self.runs), warming, lag_s, str(self._boot)
        )
        self._bus.at(
            self._bus.now + lag_s * 0.9, lambda: self._deliver_report(report)
        )
        self._bus.at(self._bus.now + LOAD_REPORT_INTERVAL_S, self._report_load)

    def _deliver_report(self, report: messages.LoadReport) -> None:
        for node in self.listeners():
            self._bus.inject(node, report)


class FakeEntry:
    """Starts permitted requests on fake servers and reports their cost.

    Attributes:
        costs: Real cost of each open request.
        permitted: Called at each start with the request and the server.
        ended: Called at each end with the request, the used cost and the
            reason.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.Permitted,
        messages.Refused,
    )

    def __init__(
        self, bus: harness.Harness, node: str, servers: dict[str, FakeServer]
    ) -> None:
        self.costs: dict[str, float] = {}
        self.permitted: Callable[[str, str], None] = lambda *_: None
        self.ended: Callable[[str, float, str], None] = lambda *_: None
        self._bus = bus
        self._node = node
        self._servers = servers
        self._running: dict[str, FakeServer] = {}
        self._next_report_at = 0.0

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> list[core.Envelope]:
        """Starts a permitted request; drops a rejected one."""
        msg = delivery.msg
        if isinstance(msg, messages.Refused):
            self.costs.pop(msg.request_id, None)
            self.ended(msg.request_id, 0.0, msg.reason)
        if isinstance(msg, messages.Permitted):
            self._start(msg)
        return []

    def tick(self, now: float) -> list[core.Envelope]:
        """Reports the used cost of running requests."""
        if now < self._next_report_at:
            return []
        self._next_report_at = now + COST_REPORT_INTERVAL_S
        return [
            core.Envelope(
                const.LOCAL_NODE,
                messages.Used(request_id, server.used(request_id)),
            )
            for request_id, server in self._running.items()
        ]

    def _start(self, msg: messages.Permitted) -> None:
        name = msg.request_id
        server = self._servers[msg.server]
        self._running[name] = server

        def end(used: float, outcome: messages.Outcome) -> None:
            self._running.pop(name, None)
            self.costs.pop(name, None)
            self.ended(name, used, outcome.value)
            done = messages.Done(name, used, outcome)
            self._bus.at(
                self._bus.now, lambda: self._bus.inject(self._node, done)
            )

        self.permitted(name, msg.server)
        server.start(name, msg.epoch, self.costs[name], end)
