"""The service gap between workspaces stays below its bound.

The bound must hold for any arrivals and wrong cost hints, lost messages and the
loss of a dispatcher.
"""

import hypothesis
from hypothesis import strategies as st

from bench import fairness_meter
from tamarackbridge.components.dispatch import bound
from tests.components.dispatch import builders

MAX_COST = 100.0
SHARES = {"a": 1.0, "b": 2.0, "c": 1.0}
RUN_S = 12.0

costs = st.floats(20.0, MAX_COST)
hints = st.floats(0.1, 10.0)
arrivals = st.lists(
    st.tuples(
        st.sampled_from(sorted(SHARES)),
        st.integers(0, 2),
        st.floats(0.0, RUN_S),
        costs,
        hints,
    ),
    max_size=30,
)
backlogs = st.dictionaries(
    st.sampled_from(sorted(SHARES)),
    st.tuples(st.integers(0, 2), costs),
    min_size=2,
)


def _records(shards: int = 1) -> builders.models.Snapshot:
    return builders.snapshot(
        [
            builders.workspace(name, share=share, max_running=5)
            for name, share in SHARES.items()
        ],
        [builders.server("s0"), builders.server("s1")],
        shards=shards,
        max_cost=MAX_COST,
    )


class Meter:
    """Samples the service gap of a fleet while it runs."""

    def __init__(self, fleet: builders.Fleet) -> None:
        self.gap = fairness_meter.GapMeter()
        self._fleet = fleet
        self._sample()

    def _sample(self) -> None:
        fleet = self._fleet
        served = {name: fleet.served.get(name, 0.0) for name in SHARES}
        running = dict.fromkeys(SHARES, 0)
        for server in fleet.servers.values():
            for request_id in server.runs:
                name = fleet.workspaces[request_id]
                served[name] += server.used(request_id)
                running[name] += 1
        backlogged = {
            name
            for name in SHARES
            if fleet.waiting.get(name) and running[name] < 5
        }
        backlogged -= fleet.emptied
        fleet.emptied.clear()
        by_share = {name: cost / SHARES[name] for name, cost in served.items()}
        self.gap.sample(by_share, backlogged)
        fleet.bus.at(fleet.bus.now + 0.1, self._sample)


def _run_load(
    fleet: builders.Fleet,
    flows: dict[str, tuple[int, float]],
    singles: list[tuple[str, int, float, float, float]],
) -> Meter:
    meter = Meter(fleet)
    for name, (node, cost) in flows.items():
        fleet.flow(f"r{node}", name, 12, cost)
    for index, (name, node, at, cost, hint_ratio) in enumerate(singles):

        def arrive(
            name: str = name,
            node: int = node,
            index: int = index,
            cost: float = cost,
            hint_ratio: float = hint_ratio,
        ) -> None:
            if fleet.bus.alive(f"r{node}"):
                hint = cost * hint_ratio
                fleet.want(f"r{node}", f"x{index}", name, cost, hint_cost=hint)

        fleet.bus.at(at, arrive)
    fleet.run(RUN_S)
    return meter


@hypothesis.given(flows=backlogs, singles=arrivals)
@hypothesis.settings(max_examples=15)
def test_gap_under_adversarial_arrivals(
    flows: dict[str, tuple[int, float]],
    singles: list[tuple[str, int, float, float, float]],
) -> None:
    records = _records()
    fleet = builders.Fleet(records)
    meter = _run_load(fleet, flows, singles)

    service = records.services[builders.SERVICE]
    assert meter.gap.worst <= bound.service_gap(records, service)
    assert fleet.violations() == 0


@hypothesis.given(
    flows=backlogs,
    drop=st.floats(0.0, 0.02),
    duplicate=st.floats(0.0, 0.2),
    max_delay_s=st.floats(0.0, 0.2),
)
@hypothesis.settings(max_examples=8)
def test_gap_under_message_faults(
    flows: dict[str, tuple[int, float]],
    drop: float,
    duplicate: float,
    max_delay_s: float,
) -> None:
    records = _records()
    fleet = builders.Fleet(records)
    fleet.bus.faults.drop = drop
    fleet.bus.faults.duplicate = duplicate
    fleet.bus.faults.delay_s = (0.0, max_delay_s)
    meter = _run_load(fleet, flows, [])

    lost = fleet.unsettled() * MAX_COST / min(SHARES.values())
    service = records.services[builders.SERVICE]
    limit = bound.service_gap(records, service)
    assert meter.gap.worst <= limit + lost
    assert fleet.violations() == 0


@hypothesis.given(flows=backlogs, killed_at=st.floats(1.0, 6.0))
@hypothesis.settings(max_examples=8)
def test_gap_after_loss_of_a_dispatcher(
    flows: dict[str, tuple[int, float]], killed_at: float
) -> None:
    records = _records()
    fleet = builders.Fleet(records, nodes=4)
    fleet.leases.holders[builders.SHARD] = "r3"
    fleet.bus.at(killed_at, lambda: fleet.bus.kill("r3"))
    meter = _run_load(fleet, flows, [])

    service = records.services[builders.SERVICE]
    one_shard = bound.service_gap(records, service)
    assert meter.gap.worst <= bound.gap_after_losses(one_shard, 1)
    assert fleet.violations() == 0


@hypothesis.given(workspace_costs=st.lists(costs, min_size=3, max_size=3))
@hypothesis.settings(max_examples=6)
def test_gap_across_shards(workspace_costs: list[float]) -> None:
    records = _records(shards=2)
    fleet = builders.Fleet(records)
    flows = {
        name: (place, cost)
        for place, (name, cost) in enumerate(
            zip(sorted(SHARES), workspace_costs, strict=True)
        )
    }
    meter = _run_load(fleet, flows, [])

    service = records.services[builders.SERVICE]
    rate = 8 * builders.RATE
    extra = bound.exchange_term(records, rate, fleet.bus.faults.delay_s[1])
    assert meter.gap.worst <= bound.service_gap(records, service) + extra
    assert fleet.violations() == 0


def test_bound_follows_from_the_records() -> None:
    records = _records()
    service = records.services[builders.SERVICE]
    permits = bound.max_permits(records, service, "a")

    assert permits == 5
    assert bound.pair_gap(records, service, "a", "b") == (
        1.25 * permits * MAX_COST * (1 / SHARES["a"] + 1 / SHARES["b"])
    )
