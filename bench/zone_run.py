"""Simulates the loss and return of an availability zone.

The fleet has the size of Asahikawa: 7 routers, 3 zones, five engines and three
plain servers. The load is 75 % of the capacity that remains without the zone.

`announced`: An operator takes the zone out of service, and its VMs end later.
After their return all servers warm up, and the operator takes the zone back in.
`unannounced`: The VMs and servers are lost and return without an operator.
"""

import collections
from collections.abc import Sequence
import math

from bench import world
from tamarackbridge import core
from tamarackbridge.components.backend import client as backend_client
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import codec, models, schemas

ZONE = "asahikawa"
ROUTERS = {
    "r0": ZONE,
    "r1": ZONE,
    "r2": ZONE,
    "r3": "sapporo",
    "r4": "sapporo",
    "r5": "obihiro",
    "r6": "obihiro",
}
LOAD_FRACTION = 0.75
START_S = 60.0
STEADY_S = 80.0
LOSS_S = 95.0
VMS_END_S = 105.0
"""Time at which the VMs of a zone that was taken out of service end."""
RETURN_S = 135.0
ZONE_IN_S = 138.0
END_S = 165.0
BALANCER_RETRY_S = 0.5
"""Time after which the load balancer retries a lost call on another router."""
WARM_UP_S = 5.0
ENGINE_WORK_S = 0.8
PLAIN_WORK_S = 0.05
PLAIN_ROUTES = ("wording-check", "press-check", "order-status")

PHASES = (
    ("before", STEADY_S, LOSS_S),
    ("during", LOSS_S, LOSS_S + 10.0),
    ("out", LOSS_S + 10.0, RETURN_S),
    ("return", RETURN_S, END_S),
)


class ZoneRun(world.World):
    """One loss and return of the zone, with the product.

    Attributes:
        connect_lost_s: Time until a connection attempt to a lost server fails.
        limit_violations: Starts above the warm limit of a server.
        warm_up_violations: Starts above the limit of a warming server.
        attempts: Time and server of attempts to start work in the zone.
        busy_samples: Time and number of running requests by server.
        changed_at: When a configuration change was accepted, by its ID.
        sent: All requests of callers.
        up: Routers that the load balancer considers as running.
    """

    def __init__(self, seed: int, announced: bool) -> None:
        super().__init__(seed, dict(ROUTERS))
        self.announced = announced
        self.connect_lost_s = backend_client.CONNECT_TIMEOUT_S
        self.limit_violations = 0
        self.warm_up_violations = 0
        self.attempts: list[tuple[float, str]] = []
        self.busy_samples: list[tuple[float, dict[str, int]]] = []
        self.changed_at: dict[str, float] = {}
        self.sent: list[world.Request] = []
        self.up = set(ROUTERS)
        self._last_number = 0
        self._balancer_retries = 0
        self._edits = self.load_records()
        self._routes = self._read_routes()
        self._start_fleet()
        self._schedule_events()

    def _start_fleet(self) -> None:
        for node in ROUTERS:
            self.start_router(node)
        ask = configuration.ChangeAsk("first", "operator", self._edits)
        self.bus.at(3.0, lambda: self.bus.inject("r3", ask))

    def _schedule_events(self) -> None:
        self.bus.at(START_S, self._send_engine_request)
        self.bus.at(START_S, self._send_plain_request)
        self.bus.at(START_S, self._sample)
        if self.announced:
            self.bus.at(LOSS_S, lambda: self.set_zone(out=True))
            self.bus.at(VMS_END_S - 5.0, self._drain)
            self.bus.at(VMS_END_S, self._lose_zone)
            self.bus.at(ZONE_IN_S, lambda: self.set_zone(out=False))
        else:
            self.bus.at(LOSS_S, self._lose_zone)
        self.bus.at(RETURN_S, self._restore_zone)

    def _read_routes(self) -> dict[str, models.Route]:
        bodies = {edit.name: edit.body for edit in self._edits}
        found: dict[str, models.Route] = {}
        for name in ("plate-llm", "order-app"):
            record = codec.decode(bodies[f"service/{name}"]).unwrap()
            assert isinstance(record.model, models.Service)
            found |= {route.name: route for route in record.model.routes}
        return found

    # Events of the zone.

    def _nodes_in_zone(self) -> list[str]:
        return [node for node, zone in ROUTERS.items() if zone == ZONE]

    def set_zone(self, out: bool) -> None:
        """Submits an operator's change that takes the zone out, or back in."""
        record = schemas.Record(1, models.Zone(ZONE, out))
        edit = configuration.RecordEdit(f"zone/{ZONE}", codec.encode(record))
        name = "out" if out else "in"
        ask = configuration.ChangeAsk(name, "operator", (edit,))
        self.bus.inject("r3", ask)

    def _drain(self) -> None:
        for node in self._nodes_in_zone():
            self.up.discard(node)
            self.bus.inject(node, membership.LeaveFleet())

    def _lose_zone(self) -> None:
        for name, server in self.servers.items():
            if server.record.zone == ZONE:
                self.stop_server(name)
        for node in self._nodes_in_zone():
            self.kill_router(node)
        at = self.bus.now + BALANCER_RETRY_S
        self.bus.at(
            at, lambda: self.up.difference_update(self._nodes_in_zone())
        )

    def _restore_zone(self) -> None:
        for name, server in self.servers.items():
            if server.record.zone == ZONE:
                self.restart_server(name)
                self.start_warm_up(name, WARM_UP_S)
        for node in self._nodes_in_zone():
            self.start_router(node)

    # Requests of callers.

    def _send_engine_request(self) -> None:
        slots = self._slots_in_other_zones("plate-llm")
        rate = LOAD_FRACTION * slots / ENGINE_WORK_S
        self._send("plate-llm", "order-file", ENGINE_WORK_S)
        self._schedule_next(rate, self._send_engine_request)

    def _send_plain_request(self) -> None:
        slots = self._slots_in_other_zones("order-app")
        rate = LOAD_FRACTION * slots / PLAIN_WORK_S
        route = self.rng.choice(PLAIN_ROUTES)
        if self.rng.random() < 0.05:
            route = "supplier-payment"
        self._send("order-app", route, PLAIN_WORK_S)
        self._schedule_next(rate, self._send_plain_request)

    def _schedule_next(self, rate: float, action: world.Action) -> None:
        if self.bus.now < END_S:
            self.bus.at(self.bus.now + self.rng.expovariate(rate), action)

    def _slots_in_other_zones(self, service: str) -> int:
        return sum(
            server.record.limit_warm
            for server in self.servers.values()
            if server.record.service == service and server.record.zone != ZONE
        )

    def _send(self, service: str, name: str, work_s: float) -> None:
        route = self._routes[name]
        self._last_number += 1
        workspace = self.rng.choice(("stamping-line", "otaru-dealers"))
        req = world.Request(
            f"q{self._last_number}",
            service,
            route,
            workspace,
            work_s * self.rng.uniform(0.5, 1.5),
            self.bus.now + route.deadline_s,
            "" if route.idempotent else f"key-{self._last_number}",
        )
        req.sent_at = self.bus.now
        self.sent.append(req)
        self.call(self._choose_router(), req)

    def _choose_router(self) -> str:
        up = [node for node in sorted(self.up) if self.entries[node].serving]
        return self.rng.choice(up or sorted(self.up))

    def answered(self, req: world.Request, answer: str, now: float) -> None:
        """Retries an idempotent call on another router if its own was lost."""
        if answer == "connection_lost" and req.route.idempotent:
            at = now + BALANCER_RETRY_S
            if at < req.due:
                self._balancer_retries += 1
                req.request_id = f"{req.request_id}.{self._balancer_retries}"
                self.bus.at(at, lambda: self.call(self._choose_router(), req))
                return
        super().answered(req, answer, now)

    # Recorded observations.

    def observe(
        self, entry: world.Entry, msg: core.Message, now: float
    ) -> None:
        """Records accepted changes and routers that serve again."""
        match msg:
            case configuration.ChangeReport():
                accepted = configuration.ChangeState.ACCEPTED
                if msg.state is accepted:
                    self.changed_at[msg.change_id] = now
            case configuration.ServingChanged(serving=True):
                self.up.add(entry.node)

    def tried_start(
        self, entry: world.Entry, server: world.Server, now: float
    ) -> None:
        """Records an attempt to start work in the zone, successful or not."""
        if server.record.zone == ZONE:
            self.attempts.append((now, server.record.name))

    def started(
        self,
        entry: world.Entry,
        req: world.Request,
        server: world.Server,
        now: float,
    ) -> None:
        """Counts starts above the limit of the server."""
        count = len(server.running)
        self.limit_violations += count > server.record.limit_warm
        warming = server.cold_since + 1.5 < now < server.cold_until
        self.warm_up_violations += warming and count > server.record.limit_cold

    def _sample(self) -> None:
        counts = {n: len(srv.running) for n, srv in self.servers.items()}
        self.busy_samples.append((self.bus.now, counts))
        self.bus.at(self.bus.now + 0.1, self._sample)


def summarize(run: ZoneRun) -> dict[str, object]:
    """Returns the figures of one run."""
    routes = {req.route.name: req.route for req in run.sent}
    p99 = {
        phase: {
            name: _p99(
                [
                    r
                    for r in _sent_between(run, start_s, end_s)
                    if r.route.name == name
                ]
            )
            for name in routes
        }
        for phase, start_s, end_s in PHASES
    }
    window = [
        req for req in _sent_between(run, LOSS_S - 5.0, END_S) if not req.key
    ]
    in_time = [req for req in window if _is_in_time(req)]
    ratios = [
        p99[phase][name] / p99["before"][name]
        for phase in ("during", "out", "return")
        for name in routes
        if p99["before"][name]
    ]
    answers = collections.Counter(
        f"{req.route.name}:{req.answer or 'none'}"
        for req in window
        if not _is_in_time(req)
    )
    return {
        "whole_and_timely_ratio": round(len(in_time) / len(window), 6),
        "requests": len(window),
        "failed_by_phase": _failed_by_phase(run),
        "failures": dict(answers),
        "last_new_work_s": _last_attempt(run),
        "limit_violations": run.limit_violations,
        "cold_limit_violations": run.warm_up_violations,
        "p99_ratio_to_steady": round(max(ratios), 3),
        "recovery_s": _recovery_time(run),
        "payments": dict(
            collections.Counter(r.answer for r in run.sent if r.key)
        ),
        "p99_s_by_phase": p99,
    }


def _sent_between(
    run: ZoneRun, start_s: float, end_s: float
) -> list[world.Request]:
    return [req for req in run.sent if start_s <= req.sent_at < end_s]


def _is_in_time(req: world.Request) -> bool:
    return req.answer == "ok" and req.answered_at <= req.due


def _p99(requests: Sequence[world.Request]) -> float:
    """Returns the 99th percentile of the latency in seconds.

    Requests without an answer in time count with the deadline of their route.
    """
    took = sorted(
        req.answered_at - req.sent_at
        if _is_in_time(req)
        else req.route.deadline_s
        for req in requests
    )
    if not took:
        return 0.0
    return round(took[math.ceil(0.99 * len(took)) - 1], 4)


def _failed_by_phase(run: ZoneRun) -> dict[str, int]:
    return {
        phase: sum(
            not _is_in_time(req) and not req.key
            for req in _sent_between(run, start_s, end_s)
        )
        for phase, start_s, end_s in PHASES
    }


def _last_attempt(run: ZoneRun) -> float:
    """Returns the seconds from the loss to the last attempt in the zone.

    An announced loss begins with the operator's request. After an unannounced
    one, attempts that probe a lost server count too.
    """
    end = RETURN_S if run.announced else RETURN_S - 1.0
    found = [at for at, _ in run.attempts if LOSS_S <= at < end]
    return round(max(found, default=LOSS_S) - LOSS_S, 3)


def _recovery_time(run: ZoneRun) -> float:
    """Returns the seconds from the zone's return to its recovery.

    The zone has recovered when the utilisation of its engines, averaged over
    one second, reaches 80 % of that of the others. 1e9 if it never does.
    """
    recovery_start = ZONE_IN_S if run.announced else RETURN_S
    for at, _ in run.busy_samples:
        if at < recovery_start:
            continue
        window = [
            counts for when, counts in run.busy_samples if at <= when < at + 1.0
        ]
        inside = _mean_busy(run, window, inside=True)
        outside = _mean_busy(run, window, inside=False)
        if inside >= 0.8 * outside:
            return round(at - recovery_start, 2)
    return 1e9


def _mean_busy(
    run: ZoneRun, window: Sequence[dict[str, int]], inside: bool
) -> float:
    """Returns the mean utilisation of the engines inside or outside it."""
    limits = {
        name: srv.record.limit_warm
        for name, srv in run.servers.items()
        if srv.record.service == "plate-llm"
        and (srv.record.zone == ZONE) == inside
    }
    total = sum(counts[name] for counts in window for name in limits)
    return total / max(len(window) * sum(limits.values()), 1)


def run_one(seed: int, announced: bool) -> dict[str, object]:
    """Simulates one loss and return of the zone with the product."""
    run = ZoneRun(seed, announced)
    run.bus.run_until(END_S + 5.0)
    return summarize(run)
