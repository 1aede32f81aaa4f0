"""Many routers with one order on one virtual clock, with late reports."""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
from typing import TypeAlias, cast

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.gateway import models as gateway
from tamarackbridge.components.knowledge import models, source, state
from tamarackbridge.components.placement import ledger
from tamarackbridge.components.rollout import gate
from tamarackbridge.components.rollout import models as rollout
from tests.components.knowledge import builders

SHARE, SLACK = 0.1, 50.0
STEP_S = 0.05
BOUNDS = dataclasses.replace(
    builders.BOUNDS, exposure_share=SHARE, exposure_slack=SLACK
)
ROUTES = tuple(
    dataclasses.replace(builders.route(service="app"), name=name)
    for name in ("a", "b", "c")
)
STATES = models.RolloutState

Response: TypeAlias = tuple[float, jobs.Outcome]
Respond: TypeAlias = Callable[[random.Random, "Sent"], Response]
"""Returns the time that an attempt takes, and its outcome."""


@dataclasses.dataclass(frozen=True)
class Sent:
    """An attempt that was sent."""

    server: models.BackendServer
    route: str
    at: float
    in_flight: int

    @property
    def is_new(self) -> bool:
        return self.server.version == "v2"


def order(
    revision: int = 10, state: STATES = STATES.NONE, target: str = "v2"
) -> models.RolloutOrder:
    return models.RolloutOrder("app", "app", target, 12.0, 10, revision, state)


class Router:
    """One router's gate with its local copy."""

    def __init__(self, fleet: "Fleet", address: str) -> None:
        self.address = address
        self.local_copy = state.LocalCopy(BOUNDS)
        self.local_copy.configuration = builders.configuration()
        self.work = ledger.ReservationLedger()
        self.gate = gate.Gate(
            address, BOUNDS, self.local_copy, self.work, fleet.rng
        )
        self.is_alone = False
        self.is_first = False
        self.gate.set_fleet(
            lambda: len(fleet.routers) - 1,
            lambda: [address] if self.is_first else list(fleet.routers),
            lambda: None,
        )
        for server in fleet.servers:
            self.local_copy.register(server, -100.0)

    def learn(self, item: models.RolloutOrder | None, now: float) -> None:
        self.local_copy.rollouts = {} if item is None else {item.name: item}
        self.local_copy.record_revision(source.Kind.ROLLOUTS, 1, True)
        self.gate.sync(now)

    @property
    def phase(self) -> rollout.Phase:
        return self.gate.orders["app"].phase


class Fleet:
    """Routers, servers and callers; the store applies writes at once.

    Attributes:
        sent: All attempts.
        bad_at: Times of the new version's bad responses.
        writes: States that were stored.
    """

    def __init__(
        self,
        respond: Respond,
        routers: int = 16,
        rate: float = 600.0,
        seed: int = 1,
        slots: int = 64,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.servers = [
            dataclasses.replace(
                builders.server(
                    f"{version}-{i}", "app", f"z{i % 3}", slots=slots
                ),
                version=version,
            )
            for version in ("v1", "v2")
            for i in range(12)
        ]
        self.routers: dict[str, Router] = {}
        for i in range(routers):
            self.start(f"r{i}")
        self.sent: list[Sent] = []
        self.bad_at: list[float] = []
        self.writes: list[models.RolloutState] = []
        self.store_is_up = True
        self.stored = order()
        self._respond = respond
        self._load: dict[str, int] = {}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._steps = itertools.count()
        self._report_at = 0.0

    @property
    def identity(self) -> rollout.Identity:
        return rollout.identity(self.stored)

    def start(self, address: str) -> Router:
        self.routers[address] = Router(self, address)
        return self.routers[address]

    def begin(self) -> None:
        """Lets the order appear at all routers."""
        for router in self.routers.values():
            router.learn(None, self.now)
            router.learn(self.stored, self.now)

    def run(self, until: float) -> None:
        while self.now < until:
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            if next(self._steps) % 2 == 0:
                for router in list(self.routers.values()):
                    router.gate.tick(self.now)
                    self._write(router)
            if self.now >= self._report_at:
                self._report_at = self.now + 0.25
                self._share()
            expected = self.rate * STEP_S
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                self.send(self.rng.choice(list(self.routers.values())))
            self.now += STEP_S

    def at(self, due: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (due, next(self._count), act))

    def arrived_new(self, since: float = 0.0) -> int:
        return sum(sent.is_new and sent.at >= since for sent in self.sent)

    def send(self, router: Router) -> Sent | None:
        """Sends one request as the selector would."""
        route = self.rng.choice(ROUTES)
        job = jobs.Job(
            cast(gateway.Request, None),
            route,
            builders.plain_service(),
            "",
            self.now,
            self.now + 12,
        )
        usable = router.local_copy.usable("app", self.now)
        servers = router.gate.permitted("app", usable, self.now)
        if router.gate.prefers_canary(job, self.now):
            servers = router.gate.canaries("app", usable, self.now) or servers
        if not servers:
            return None
        server = self.rng.choice(servers).server
        reservation = ledger.Reservation(server, "", 0, 0, self.now)
        router.work.begin(reservation)
        router.gate.record_sent(job, reservation, self.now)
        load = self._load[server.name] = self._load.get(server.name, 0) + 1
        sent = Sent(server, route.name, self.now, load)
        self.sent.append(sent)
        took_s, outcome = self._respond(self.rng, sent)

        def end() -> None:
            self._load[server.name] -= 1
            if outcome in (jobs.Outcome.SERVED, jobs.Outcome.FAILED):
                router.gate.record_head(reservation, self.now)
            router.work.end(reservation, self.now)
            router.gate.record_end(reservation, outcome, self.now)
            if sent.is_new and outcome is not jobs.Outcome.SERVED:
                self.bad_at.append(self.now)

        self.at(self.now + took_s, end)
        return sent

    def _share(self) -> None:
        """Sends each router the sum of what the others report, late."""
        reporting = [r for r in self.routers.values() if not r.is_alone]
        own = {router.address: router.gate.report() for router in reporting}
        whole = rollout.total(list(own.values()))
        for router in reporting:
            rest = rollout.subtract(whole, own[router.address])

            def deliver(
                router: Router = router, rest: rollout.Tallies = rest
            ) -> None:
                router.gate.apply_report("hub", rest, 0.0, self.now)

            self.at(self.now + self.rng.uniform(0.05, 0.25), deliver)

    def _write(self, router: Router) -> None:
        """Makes the writes that are due, conditional on the revision."""
        for item, new_state in router.gate.due_writes(self.now):
            if not self.store_is_up or item.revision != self.stored.revision:
                continue
            self.stored = dataclasses.replace(
                self.stored, revision=item.revision + 1, state=new_state
            )
            self.writes.append(new_state)
            for other in self.routers.values():
                learn = functools.partial(other.learn, self.stored, self.now)
                self.at(self.now + self.rng.uniform(0.02, 0.2), learn)
