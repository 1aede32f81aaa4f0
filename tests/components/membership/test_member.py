"""Tests of joining, configuration and leases in a simulated fleet."""

from tests.components.membership import fleet


def _start_fleet(size: int, seed: int = 1) -> fleet.Fleet:
    flt = fleet.Fleet(seed, size)
    flt.run(4.0)
    flt.change("r0", "c1", fleet.service_edit("lm", 3))
    flt.run(6.0)
    return flt


def test_all_join_apply_and_hold_shards() -> None:
    """A new fleet forms a roster, serves and spreads the shards evenly."""
    flt = _start_fleet(3)

    for node in flt.nodes:
        seen = flt.seen[node]
        assert seen.roster.live == ("r0", "r1", "r2")
        assert seen.serving.serving
        assert seen.generation == 1
    assert flt.seen["r0"].reports[0].state.value == "accepted"
    held = [shard for node in flt.nodes for shard in flt.seen[node].held]
    assert sorted(held) == ["lm/0", "lm/1", "lm/2"]
    assert {len(flt.seen[node].held) for node in flt.nodes} == {1}


def test_dead_holder_is_replaced() -> None:
    """The shards of a router that died don't stay without a holder."""
    flt = _start_fleet(5)
    victim = flt.seen["r1"].holders["lm/0"].holder
    flt.bus.kill(victim)
    flt.run(6.0)

    others = [node for node in flt.nodes if node != victim]
    held = [shard for node in others for shard in flt.seen[node].held]
    assert sorted(held) == ["lm/0", "lm/1", "lm/2"]
    assert all(victim not in flt.seen[node].roster.live for node in others)
