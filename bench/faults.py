"""Random schedules of faults in a simulated fleet."""

from collections.abc import Sequence
import dataclasses
import random

from bench import world
from tamarackbridge import const
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import codec, models, schemas

ZONES = ("asahikawa", "sapporo", "obihiro")
ROUTERS = 6
WARM_UP_S = 12.0
"""Time before the first fault, in which the fleet gets its records."""

FAULTS_S = 30.0
"""Time in which faults start; all of them end with it."""

RECOVERY_S = 25.0
"""Time after the faults, in which the fleet must recover."""

KINDS = (
    "cut_both",
    "cut_one_way",
    "mute",
    "split",
    "kill",
    "restart",
    "replace",
    "pause",
    "store_down",
    "store_slow",
    "store_lossy",
    "store_cut",
    "zone_out",
    "server_cold",
    "server_gone",
    "race",
    "flood",
    "lossy_network",
)


Undo = world.Action


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule.

    Attributes:
        at: Start in virtual time.
        kind: One of `KINDS`; names the method that injects the fault.
        lasts_s: Duration.
        pick: Seed of the random choice of its targets.
    """

    at: float
    kind: str
    lasts_s: float
    pick: int


def schedule(seed: int) -> list[Fault]:
    """Returns the faults of a seed, which may repeat and overlap."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(3, 14)):
        start = WARM_UP_S + rng.uniform(0, FAULTS_S)
        lasts_s = min(rng.expovariate(1 / 6.0) + 0.2, 20.0)
        kind = rng.choice(KINDS)
        faults.append(Fault(start, kind, lasts_s, rng.getrandbits(30)))
    return sorted(faults, key=lambda fault: fault.at)


class FaultyWorld(world.World):
    """A simulated fleet in which a schedule of faults is injected.

    Attributes:
        nodes: Names of the routers in the VM list.
        zone_changes: Zone and requested state of zone changes, by change id.
    """

    def __init__(self, seed: int, plan: Sequence[Fault]) -> None:
        self.nodes = [f"r{index}" for index in range(ROUTERS)]
        zones = {node: ZONES[i % 3] for i, node in enumerate(self.nodes)}
        super().__init__(seed, zones)
        self.zone_changes: dict[str, tuple[str, bool]] = {}
        self._changes = 0
        edits = self.load_records()
        for node in self.nodes:
            self.start_router(node)
        initial = configuration.ChangeAsk("first", "operator", edits)
        self.bus.at(3.0, lambda: self.bus.inject("r0", initial))
        for fault in plan:
            self.bus.at(fault.at, self._injector(fault))
        self.bus.at(WARM_UP_S + FAULTS_S, self._heal)

    def flood(self, node: str) -> None:
        """Sends many requests of one workspace to one router at once."""

    def submit_change(self, node: str, *edits: configuration.RecordEdit) -> str:
        """Submits a configuration change to a router; returns its id."""
        self._changes += 1
        change_id = f"change-{self._changes}"
        ask = configuration.ChangeAsk(change_id, "operator", edits)
        if self.bus.alive(node):
            self.bus.inject(node, ask)
        return change_id

    def set_zone(self, node: str, zone: str, out: bool) -> None:
        """Submits the change that takes a zone out or brings it back."""
        record = schemas.Record(1, models.Zone(zone, out))
        body = codec.encode(record)
        if not out:
            self.on_zone_return(zone)
        change_id = self.submit_change(
            node, configuration.RecordEdit(f"zone/{zone}", body)
        )
        self.zone_changes[change_id] = (zone, out)

    def on_zone_return(self, zone: str) -> None:
        """Called before a change that brings a zone back is submitted."""

    # One method for each kind of fault; it returns what undoes the fault.

    def _injector(self, fault: Fault) -> Undo:
        def inject() -> None:
            undo = getattr(self, f"_{fault.kind}")(random.Random(fault.pick))
            end = min(fault.at + fault.lasts_s, WARM_UP_S + FAULTS_S)
            self.bus.at(end, undo)

        return inject

    def _heal(self) -> None:
        self.bus.faults.heal()
        self.bus.faults.drop = 0.0
        self.bus.faults.duplicate = 0.0
        self.store.down = False
        self.store.slow_s = 0.0
        self.store.lose_answer = 0.0
        for zone in ZONES:
            self.set_zone("r0", zone, out=False)
        for node in self.nodes:
            if self.bus.alive(node):
                self.bus.resume(node)
            else:
                self.start_router(node)

    def _cut(self, pairs: set[tuple[str, str]]) -> Undo:
        self.bus.faults.cut |= pairs

        def undo() -> None:
            self.bus.faults.cut -= pairs

        return undo

    def _cut_both(self, rng: random.Random) -> Undo:
        a, b = rng.sample(self.nodes, 2)
        return self._cut({(a, b), (b, a)})

    def _cut_one_way(self, rng: random.Random) -> Undo:
        a, b = rng.sample([*self.nodes, const.STORE_NODE], 2)
        return self._cut({(a, b)})

    def _mute(self, rng: random.Random) -> Undo:
        """Drops all that one router sends to the others; it still receives."""
        node = rng.choice(self.nodes)
        others = [other for other in self.nodes if other != node]
        return self._cut({(node, other) for other in others})

    def _split(self, rng: random.Random) -> Undo:
        inside = rng.sample(self.nodes, rng.randint(1, ROUTERS // 2))
        outside = [node for node in self.nodes if node not in inside]
        if rng.random() < 0.5:
            outside.append(const.STORE_NODE)
        pairs = {(a, b) for a in inside for b in outside}
        return self._cut(pairs | {(b, a) for a, b in pairs})

    def _store_cut(self, rng: random.Random) -> Undo:
        nodes = rng.sample(self.nodes, rng.randint(1, ROUTERS))
        pairs = {(node, const.STORE_NODE) for node in nodes}
        return self._cut(pairs | {(b, a) for a, b in pairs})

    def _kill(self, rng: random.Random) -> Undo:
        node = rng.choice(self.nodes)
        if self.bus.alive(node):
            self.kill_router(node)

        def undo() -> None:
            if not self.bus.alive(node):
                self.start_router(node)

        return undo

    def _replace(self, rng: random.Random) -> Undo:
        """Replaces a VM permanently; the routers read the new VM list later."""
        node = rng.choice(self.nodes)
        if self.bus.alive(node):
            self.kill_router(node)
        new_node = f"{node}n"
        self.zone[new_node] = self.zone[node]
        self.nodes[self.nodes.index(node)] = new_node
        del self.entries[node]
        self.start_router(new_node)
        vms = membership.VmListRead(tuple(self.nodes))
        for other in self.nodes:
            self.bus.at(
                self.bus.now + rng.uniform(1.0, 8.0),
                lambda to=other: self.bus.inject(to, vms),  # type: ignore[misc]
            )
        return lambda: None

    def _restart(self, rng: random.Random) -> Undo:
        node = rng.choice(self.nodes)
        if self.bus.alive(node):
            self.kill_router(node)
        self.start_router(node)
        return lambda: None

    def _pause(self, rng: random.Random) -> Undo:
        node = rng.choice(self.nodes)
        self.bus.pause(node)
        return lambda: self.bus.resume(node)

    def _store_down(self, rng: random.Random) -> Undo:
        self.store.down = True

        def undo() -> None:
            self.store.down = False

        return undo

    def _store_slow(self, rng: random.Random) -> Undo:
        self.store.slow_s = rng.uniform(0.05, 3.0)

        def undo() -> None:
            self.store.slow_s = 0.0

        return undo

    def _store_lossy(self, rng: random.Random) -> Undo:
        self.store.lose_answer = rng.uniform(0.1, 0.9)

        def undo() -> None:
            self.store.lose_answer = 0.0

        return undo

    def _zone_out(self, rng: random.Random) -> Undo:
        zone = rng.choice(ZONES)
        self.set_zone(rng.choice(self.nodes), zone, out=True)
        node = rng.choice(self.nodes)
        return lambda: self.set_zone(node, zone, out=False)

    def _server_cold(self, rng: random.Random) -> Undo:
        self.start_warm_up(
            rng.choice(sorted(self.servers)), rng.uniform(1.0, 6.0)
        )
        return lambda: None

    def _server_gone(self, rng: random.Random) -> Undo:
        name = rng.choice(sorted(self.servers))
        self.stop_server(name)
        return lambda: self.restart_server(name)

    def _race(self, rng: random.Random) -> Undo:
        zone = rng.choice(ZONES)
        for node in rng.sample(self.nodes, 2):
            self.set_zone(node, zone, out=rng.random() < 0.3)
        return lambda: self.set_zone(rng.choice(self.nodes), zone, out=False)

    def _flood(self, rng: random.Random) -> Undo:
        self.flood(rng.choice(self.nodes))
        return lambda: None

    def _lossy_network(self, rng: random.Random) -> Undo:
        self.bus.faults.drop = rng.uniform(0.01, 0.3)
        self.bus.faults.duplicate = rng.uniform(0.0, 0.2)

        def undo() -> None:
            self.bus.faults.drop = 0.0
            self.bus.faults.duplicate = 0.0

        return undo
