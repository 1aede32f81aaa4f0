"""Service while an availability zone leaves and returns.

Asahikawa's size: 7 routers, 3 zones, five engines and three plain servers,
with a load of 75 % of what remains without the zone. `announced`: operators
take the zone out, its VMs leave later, all return cold, operators take it in.
`unannounced`: VMs and servers vanish and return, and no operator does a thing.
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
LOAD = 0.75
START_S = 60.0
STEADY_S = 80.0
LEAVE_S = 95.0
VMS_GONE_S = 105.0
"""When the VMs of a zone that was taken out end."""
RETURN_S = 135.0
ZONE_IN_S = 138.0
END_S = 165.0
BALANCER_LAG_S = 0.5
"""Time after which the balancer tries another router for a lost call."""
COLD_S = 5.0
ENGINE_WORK_S = 0.8
PLAIN_WORK_S = 0.05
PLAIN_ROUTES = ("wording-check", "press-check", "order-status")

PHASES = (
    ("before", STEADY_S, LEAVE_S),
    ("during", LEAVE_S, LEAVE_S + 10.0),
    ("out", LEAVE_S + 10.0, RETURN_S),
    ("return", RETURN_S, END_S),
)


class ZoneRun(world.World):
    """One departure and return."""

    def __init__(self, seed: int, announced: bool) -> None:
        super().__init__(seed, dict(ROUTERS))
        self.announced = announced
        self.connect_lost_s = backend_client.CONNECT_TIMEOUT_S
        self.limit_violations = 0
        self.cold_violations = 0
        self.tried: list[tuple[float, str]] = []
        self.busy: list[tuple[float, dict[str, int]]] = []
        self.changed_at: dict[str, float] = {}
        self.sent: list[world.Request] = []
        self.up = set(ROUTERS)
        self._count = 0
        self._lost = 0
        self._edits = self.load_records()
        self._routes = self._read_routes()
        self._start_fleet()
        self._plan()

    def _start_fleet(self) -> None:
        for node in ROUTERS:
            self.start_router(node)
        ask = configuration.ChangeAsk("first", "operator", self._edits)
        self.bus.at(3.0, lambda: self.bus.inject("r3", ask))

    def _plan(self) -> None:
        self.bus.at(START_S, self._next_engine)
        self.bus.at(START_S, self._next_plain)
        self.bus.at(START_S, self._sample)
        if self.announced:
            self.bus.at(LEAVE_S, lambda: self.set_zone(out=True))
            self.bus.at(VMS_GONE_S - 5.0, self._drain)
            self.bus.at(VMS_GONE_S, self._vanish_zone)
            self.bus.at(ZONE_IN_S, lambda: self.set_zone(out=False))
        else:
            self.bus.at(LEAVE_S, self._vanish_zone)
        self.bus.at(RETURN_S, self._return_zone)

    def _read_routes(self) -> dict[str, models.Route]:
        bodies = {edit.name: edit.body for edit in self._edits}
        found: dict[str, models.Route] = {}
        for name in ("plate-llm", "order-app"):
            record = codec.decode(bodies[f"service/{name}"]).unwrap()
            assert isinstance(record.model, models.Service)
            found |= {route.name: route for route in record.model.routes}
        return found

    # The zone.

    def _inside(self) -> list[str]:
        return [node for node, zone in ROUTERS.items() if zone == ZONE]

    def set_zone(self, out: bool) -> None:
        """Has an operator take the zone out, or in again."""
        record = schemas.Record(1, models.Zone(ZONE, out))
        edit = configuration.RecordEdit(f"zone/{ZONE}", codec.encode(record))
        name = "out" if out else "in"
        ask = configuration.ChangeAsk(name, "operator", (edit,))
        self.bus.inject("r3", ask)

    def _drain(self) -> None:
        for node in self._inside():
            self.up.discard(node)
            self.bus.inject(node, membership.LeaveFleet())

    def _vanish_zone(self) -> None:
        for name, server in self.servers.items():
            if server.record.zone == ZONE:
                self.stop_server(name)
        for node in self._inside():
            self.kill_router(node)
        at = self.bus.now + BALANCER_LAG_S
        self.bus.at(at, lambda: self.up.difference_update(self._inside()))

    def _return_zone(self) -> None:
        for name, server in self.servers.items():
            if server.record.zone == ZONE:
                self.restart_server(name)
                self.start_warm_up(name, COLD_S)
        for node in self._inside():
            self.start_router(node)

    # Callers.

    def _next_engine(self) -> None:
        slots = self._slots_left("plate-llm")
        rate = LOAD * slots / ENGINE_WORK_S
        self._send("plate-llm", "order-file", ENGINE_WORK_S)
        self._again(rate, self._next_engine)

    def _next_plain(self) -> None:
        slots = self._slots_left("order-app")
        rate = LOAD * slots / PLAIN_WORK_S
        route = self.rng.choice(PLAIN_ROUTES)
        if self.rng.random() < 0.05:
            route = "supplier-payment"
        self._send("order-app", route, PLAIN_WORK_S)
        self._again(rate, self._next_plain)

    def _again(self, rate: float, action: world.Action) -> None:
        if self.bus.now < END_S:
            self.bus.at(self.bus.now + self.rng.expovariate(rate), action)

    def _slots_left(self, service: str) -> int:
        return sum(
            server.record.limit_warm
            for server in self.servers.values()
            if server.record.service == service and server.record.zone != ZONE
        )

    def _send(self, service: str, name: str, work_s: float) -> None:
        route = self._routes[name]
        self._count += 1
        workspace = self.rng.choice(("stamping-line", "otaru-dealers"))
        req = world.Request(
            f"q{self._count}",
            service,
            route,
            workspace,
            work_s * self.rng.uniform(0.5, 1.5),
            self.bus.now + route.deadline_s,
            "" if route.idempotent else f"key-{self._count}",
        )
        req.sent_at = self.bus.now
        self.sent.append(req)
        self.call(self._balance(), req)

    def _balance(self) -> str:
        up = [node for node in sorted(self.up) if self.entries[node].serving]
        return self.rng.choice(up or sorted(self.up))

    def answered(self, req: world.Request, answer: str, now: float) -> None:
        """Lets the balancer retry a call whose router was lost."""
        if answer == "connection_lost" and req.route.idempotent:
            at = now + BALANCER_LAG_S
            if at < req.due:
                self._lost += 1
                req.request_id = f"{req.request_id}.{self._lost}"
                self.bus.at(at, lambda: self.call(self._balance(), req))
                return
        super().answered(req, answer, now)

    # What is seen.

    def observe(
        self, entry: world.Entry, msg: core.Message, now: float
    ) -> None:
        """Notes when changes are accepted, and routers that serve again."""
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
        """Notes each attempt to start work, also on a server that is gone."""
        if server.record.zone == ZONE:
            self.tried.append((now, server.record.name))

    def started(
        self,
        entry: world.Entry,
        req: world.Request,
        server: world.Server,
        now: float,
    ) -> None:
        """Counts starts above what the server bears."""
        count = len(server.running)
        self.limit_violations += count > server.record.limit_warm
        cold = server.cold_since + 1.5 < now < server.cold_until
        self.cold_violations += cold and count > server.record.limit_cold

    def _sample(self) -> None:
        counts = {n: len(srv.running) for n, srv in self.servers.items()}
        self.busy.append((self.bus.now, counts))
        self.bus.at(self.bus.now + 0.1, self._sample)


def summarize(run: ZoneRun) -> dict[str, object]:
    """Returns the figures of one run."""
    routes = {req.route.name: req.route for req in run.sent}
    p99 = {
        phase: {
            name: _p99(
                [r for r in _sent_in(run, low, high) if r.route.name == name]
            )
            for name in routes
        }
        for phase, low, high in PHASES
    }
    window = [req for req in _sent_in(run, LEAVE_S - 5.0, END_S) if not req.key]
    good = [req for req in window if _whole_and_timely(req)]
    ratios = [
        p99[phase][name] / p99["before"][name]
        for phase in ("during", "out", "return")
        for name in routes
        if p99["before"][name]
    ]
    answers = collections.Counter(
        f"{req.route.name}:{req.answer or 'none'}"
        for req in window
        if not _whole_and_timely(req)
    )
    return {
        "whole_and_timely_ratio": round(len(good) / len(window), 6),
        "requests": len(window),
        "failed_by_phase": _failed_by_phase(run),
        "failures": dict(answers),
        "last_new_work_s": _last_new_work(run),
        "limit_violations": run.limit_violations,
        "cold_limit_violations": run.cold_violations,
        "p99_ratio_to_steady": round(max(ratios), 3),
        "recovery_s": _recovery(run),
        "payments": dict(
            collections.Counter(r.answer for r in run.sent if r.key)
        ),
        "p99_s_by_phase": p99,
    }


def _sent_in(run: ZoneRun, low: float, high: float) -> list[world.Request]:
    return [req for req in run.sent if low <= req.sent_at < high]


def _whole_and_timely(req: world.Request) -> bool:
    return req.answer == "ok" and req.answered_at <= req.due


def _p99(requests: Sequence[world.Request]) -> float:
    """Returns the 99th percentile; a failure counts with its deadline."""
    took = sorted(
        req.answered_at - req.sent_at
        if _whole_and_timely(req)
        else req.route.deadline_s
        for req in requests
    )
    if not took:
        return 0.0
    return round(took[math.ceil(0.99 * len(took)) - 1], 4)


def _failed_by_phase(run: ZoneRun) -> dict[str, int]:
    return {
        phase: sum(
            not _whole_and_timely(req) and not req.key
            for req in _sent_in(run, low, high)
        )
        for phase, low, high in PHASES
    }


def _last_new_work(run: ZoneRun) -> float:
    """Returns the last attempt in the zone, in seconds after the departure.

    Announced: after the operator asked for it. Unannounced: attempts that
    probe a lost server count too.
    """
    end = RETURN_S if run.announced else RETURN_S - 1.0
    found = [at for at, _ in run.tried if LEAVE_S <= at < end]
    return round(max(found, default=LEAVE_S) - LEAVE_S, 3)


def _recovery(run: ZoneRun) -> float:
    """Returns when the returned servers carry 80 % of the others' load.

    In seconds after the zone's return, by the mean of one second.
    """
    begin = ZONE_IN_S if run.announced else RETURN_S
    for at, _ in run.busy:
        if at < begin:
            continue
        window = [counts for when, counts in run.busy if at <= when < at + 1.0]
        inside = _mean_busy(run, window, inside=True)
        outside = _mean_busy(run, window, inside=False)
        if inside >= 0.8 * outside:
            return round(at - begin, 2)
    return 1e9


def _mean_busy(
    run: ZoneRun, window: Sequence[dict[str, int]], inside: bool
) -> float:
    limits = {
        name: srv.record.limit_warm
        for name, srv in run.servers.items()
        if srv.record.service == "plate-llm"
        and (srv.record.zone == ZONE) == inside
    }
    total = sum(counts[name] for counts in window for name in limits)
    return total / max(len(window) * sum(limits.values()), 1)


def run_one(seed: int, announced: bool) -> dict[str, object]:
    """Runs one departure and return with the product."""
    run = ZoneRun(seed, announced)
    run.bus.run_until(END_S + 5.0)
    return summarize(run)
