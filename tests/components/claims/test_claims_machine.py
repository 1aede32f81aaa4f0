"""Claims under random sequences of faults.

Guards against a key that runs twice, a request that is rejected as not run
although it ran, and an answer with the body of another key.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tamarackbridge.components.claims import messages
from tests.components.claims import fleet as fleet_lib

_nodes = st.sampled_from(fleet_lib.NODES)
_STATE = messages.ClaimState
KEYS = ("k1", "k2")


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Routers, store and network with all faults that claims must tolerate."""

    @stateful.initialize(seed=st.integers(0, 2**16), apart=st.booleans())
    def begin(self, seed: int, apart: bool) -> None:
        self.fleet = fleet_lib.Fleet(seed)
        self.request_ids: list[str] = []
        self.rosters(apart)

    @stateful.rule(
        nodes=st.lists(_nodes, min_size=1, max_size=3, unique=True),
        key=st.sampled_from(KEYS),
        body=st.sampled_from(["b1", "b1", "b2"]),
        wait_s=st.sampled_from([0.05, 1.0, 10.0]),
    )
    def pay(self, nodes: list[str], key: str, body: str, wait_s: float) -> None:
        for node in nodes:
            self.request_ids.append(self.fleet.pay(node, key, body, wait_s))

    @stateful.precondition(lambda self: self.request_ids)
    @stateful.rule(node=_nodes, data=st.data())
    def caller_leaves(self, node: str, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(self.request_ids))
        if request_id not in {r for rs in self.fleet.runs.values() for r in rs}:
            close = messages.ClaimClose(request_id, _STATE.ABANDONED)
            self.fleet.bus.inject(node, close)

    @stateful.rule(seconds=st.sampled_from([0.002, 0.02, 0.3, 1.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.advance(seconds)

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
        """Makes each router keep all ranges by itself, or shares them out."""
        for node in self.fleet.nodes:
            live = (node,) if apart else self.fleet.nodes
            self.fleet.announce_roster(node, live)

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
        self.fleet.work_refused = refuse
        self.fleet.outcome_state, self.fleet.run_s = end, run_s

    @stateful.invariant()
    def each_key_ran_at_most_once(self) -> None:
        assert all(len(runs) <= 1 for runs in self.fleet.runs.values())

    @stateful.invariant()
    def refusals_and_answers_are_true(self) -> None:
        assert not self.fleet.false_rejections
        assert not self.fleet.wrong_bodies()

    def teardown(self) -> None:
        """After all faults end, a new key runs and old keys get an answer."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        self.store(False, 0.0, 0.0)
        self.network(0.0, 0.0, 0.0015)
        self.work(False, _STATE.FINISHED, 0.05)
        for node in fleet.nodes:
            fleet.bus.resume(node)
        self.rosters(False)
        fleet.advance(15)
        again = [fleet.pay("r1", key, "b1", 1.0) for key in KEYS]
        new = fleet.pay("r2", "new", "b1", 1.0)
        fleet.advance(3)
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
