"""Claims under any order of faults: never two runs, no false refusal."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tamarackbridge.components.claims import messages
from tests.components.claims import fleet as fleet_lib

_nodes = st.sampled_from(fleet_lib.NODES)
_STATE = messages.ClaimState
KEYS = ("k1", "k2")


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Routers, a store and a network with every fault of the brief."""

    @stateful.initialize(seed=st.integers(0, 2**16), apart=st.booleans())
    def begin(self, seed: int, apart: bool) -> None:
        self.fleet = fleet_lib.Fleet(seed)
        self.asked: list[str] = []
        self.rosters(apart)

    @stateful.rule(
        nodes=st.lists(_nodes, min_size=1, max_size=3, unique=True),
        key=st.sampled_from(KEYS),
        body=st.sampled_from(["b1", "b1", "b2"]),
        wait_s=st.sampled_from([0.05, 1.0, 10.0]),
    )
    def pay(self, nodes: list[str], key: str, body: str, wait_s: float) -> None:
        for node in nodes:
            self.asked.append(self.fleet.pay(node, key, body, wait_s))

    @stateful.precondition(lambda self: self.asked)
    @stateful.rule(node=_nodes, data=st.data())
    def caller_leaves(self, node: str, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(self.asked))
        if request_id not in {r for rs in self.fleet.runs.values() for r in rs}:
            close = messages.ClaimClose(request_id, _STATE.ABANDONED)
            self.fleet.bus.inject(node, close)

    @stateful.rule(seconds=st.sampled_from([0.002, 0.02, 0.3, 1.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.pass_s(seconds)

    @stateful.rule(node=_nodes)
    def restart(self, node: str) -> None:
        self.fleet.bus.kill(node)
        self.fleet.start(node)

    @stateful.rule(node=_nodes)
    def pause(self, node: str) -> None:
        self.fleet.bus.pause(node)

    @stateful.rule(node=_nodes)
    def resume(self, node: str) -> None:
        self.fleet.bus.resume(node)

    @stateful.rule(apart=st.booleans())
    def rosters(self, apart: bool) -> None:
        """Has each router keep all ranges for itself, or share them."""
        for node in self.fleet.nodes:
            live = (node,) if apart else self.fleet.nodes
            self.fleet.roster(node, live)

    @stateful.rule(
        drop=st.sampled_from([0.0, 0.3]),
        duplicate=st.sampled_from([0.0, 0.5]),
        delay=st.sampled_from([0.0015, 0.1, 6.0]),
    )
    def network(self, drop: float, duplicate: float, delay: float) -> None:
        faults = self.fleet.bus.faults
        faults.drop, faults.duplicate = drop, duplicate
        faults.delay_s = (0.0005, delay)

    @stateful.rule(
        down=st.booleans(),
        slow_s=st.sampled_from([0.0, 2.0, 8.0]),
        lose=st.sampled_from([0.0, 0.5]),
    )
    def store(self, down: bool, slow_s: float, lose: float) -> None:
        store = self.fleet.store
        store.down, store.slow_s, store.lose_answer = down, slow_s, lose

    @stateful.rule(
        refuse=st.booleans(),
        end=st.sampled_from([_STATE.FINISHED, _STATE.UNKNOWN]),
        run_s=st.sampled_from([0.0, 0.05, 2.0]),
    )
    def work(
        self, refuse: bool, end: messages.ClaimState, run_s: float
    ) -> None:
        self.fleet.refuse = refuse
        self.fleet.end, self.fleet.run_s = end, run_s

    @stateful.invariant()
    def each_key_ran_at_most_once(self) -> None:
        assert all(len(runs) <= 1 for runs in self.fleet.runs.values())

    @stateful.invariant()
    def refusals_and_answers_are_true(self) -> None:
        assert not self.fleet.false_refusals
        assert not self.fleet.crossed()

    def teardown(self) -> None:
        """After all faults end, a new key runs and old ones stay decided."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        self.store(False, 0.0, 0.0)
        self.network(0.0, 0.0, 0.0015)
        self.work(False, _STATE.FINISHED, 0.05)
        for node in fleet.nodes:
            fleet.bus.resume(node)
        self.rosters(False)
        fleet.pass_s(15)
        again = [fleet.pay("r1", key, "b1", 1.0) for key in KEYS]
        new = fleet.pay("r2", "new", "b1", 1.0)
        fleet.pass_s(3)
        assert fleet.answer(new) == "run"
        assert all(fleet.answer(request_id) for request_id in again)
        self.each_key_ran_at_most_once()
        self.refusals_and_answers_are_true()
        for node in fleet.nodes:
            assert fleet.clients[node].open_attempts == 0


ClaimsMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=25
)
TestClaims = ClaimsMachine.TestCase
