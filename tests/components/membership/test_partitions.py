"""Tests of network partitions and of the loss of many routers at once."""

from tamarackbridge import const
from tamarackbridge.components.membership import messages
from tests.components.membership import fleet


def _start_fleet(size: int, shards: int = 1, seed: int = 1) -> fleet.Fleet:
    flt = fleet.Fleet(seed, size)
    flt.run(4.0)
    flt.change("r0", "c1", fleet.service_edit("lm", shards))
    flt.run(6.0)
    return flt


def _holders(flt: fleet.Fleet, shard: str) -> list[str]:
    return [
        node
        for node, seen in flt.seen.items()
        if shard in seen.held and seen.held[shard].until > flt.bus.now
    ]


def test_even_split_keeps_holders_and_takes_nothing_over() -> None:
    """Neither half has a majority, so no shard may be taken over.

    Holders keep their leases by reading the store, which both halves reach.
    """
    flt = _start_fleet(6, shards=6)
    flt.cut("r0", "r1", "r2")
    flt.run(15.0)

    assert all(seen.serving.serving for seen in flt.seen.values())
    epochs = {
        shard: announced.epoch
        for shard, announced in flt.seen["r0"].holders.items()
    }
    assert set(epochs.values()) == {1}
    assert all(len(_holders(flt, shard)) == 1 for shard in epochs)


def test_even_split_without_store_stops_both_sides_and_recovers() -> None:
    """Without majority and store there is no evidence: routers must stop.

    They resume when the partition heals, with the store still unavailable.
    """
    flt = _start_fleet(6)
    flt.store.down = True
    flt.cut("r0", "r1", "r2")
    flt.run(6.0)
    assert not any(seen.serving.serving for seen in flt.seen.values())
    assert _holders(flt, "lm/0") == []

    flt.bus.faults.heal()
    flt.run(2.0)
    assert all(seen.serving.serving for seen in flt.seen.values())
    assert len(_holders(flt, "lm/0")) == 1


def test_cut_off_holder_stops_before_the_next_begins() -> None:
    """An isolated holder and its successor never hold a shard together."""
    flt = _start_fleet(5)
    (old,) = _holders(flt, "lm/0")
    flt.cut(old, store=True)
    for _ in range(500):
        flt.run(const.TICK_S)
        assert len(_holders(flt, "lm/0")) <= 1
    (new,) = _holders(flt, "lm/0")
    assert new != old


def test_paused_holder_finds_its_lease_expired() -> None:
    """A router that was suspended must not continue a lease that expired.

    While it was paused, another router has taken the shard over.
    """
    flt = _start_fleet(5)
    (old,) = _holders(flt, "lm/0")
    flt.bus.pause(old)
    flt.run(8.0)
    assert flt.seen[old].held["lm/0"].until < flt.bus.now
    flt.bus.resume(old)
    flt.run(1.0)
    (new,) = _holders(flt, "lm/0")
    assert new != old


def test_half_the_fleet_gone_for_good_is_counted_by_the_vm_list() -> None:
    """Half of the fleet can continue when the VMs of the other are gone.

    Until the VM list shows this, changes are written but not accepted.
    """
    flt = _start_fleet(6, shards=6)
    remaining = ("r0", "r1", "r2")
    for node in ("r3", "r4", "r5"):
        flt.bus.kill(node)
    flt.run(4.0)
    flt.change("r0", "c2", fleet.zone_edit("a", False))
    flt.run(10.0)
    assert flt.seen["r0"].reports[-1].state.value == "written"

    for node in remaining:
        flt.bus.inject(node, messages.VmListRead(remaining))
    flt.run(12.0)
    flt.change("r0", "c3", fleet.zone_edit("a", True))
    flt.run(6.0)

    assert flt.seen["r0"].reports[-1].state.value == "accepted"
    members = flt.seen["r0"].roster.members
    assert [member.node for member in members] == list(remaining)
    shards = flt.seen["r0"].holders
    assert all(announced.holder in remaining for announced in shards.values())


def test_a_fleet_of_new_vms_replaces_one_that_is_all_gone() -> None:
    """New routers replace a roster whose members are all gone.

    No majority of the old roster is left that could accept the new members.
    """
    flt = _start_fleet(3)
    for node in flt.nodes:
        flt.bus.kill(node)
        del flt.seen[node]
    flt.nodes = ["n0", "n1", "n2"]
    flt.zone = dict.fromkeys(flt.nodes, "a")
    for node in flt.nodes:
        flt.start(node)
        flt.bus.inject(node, messages.VmListRead(tuple(flt.nodes)))
    flt.run(30.0)

    for node in flt.nodes:
        assert flt.seen[node].roster.live == ("n0", "n1", "n2")
        assert flt.seen[node].generation == 1
        assert flt.seen[node].serving.serving


def test_store_outage_is_survived_and_its_return_meets_few_calls() -> None:
    """Routers serve through a store outage and back off their calls.

    Frequent retries of the whole fleet would overload a recovering store.
    """
    flt = _start_fleet(7)
    flt.store.down = True
    flt.run(60.0)
    assert all(seen.serving.serving for seen in flt.seen.values())
    calls_before = sum(flt.store.calls.values())
    flt.run(30.0)
    per_second = (sum(flt.store.calls.values()) - calls_before) / 30.0 / 7
    assert per_second < 0.5
    assert len(_holders(flt, "lm/0")) == 1


def test_leaving_member_hands_over_without_a_gap() -> None:
    """A planned shutdown leaves a shard without a holder for under 0.1 s.

    The next holder must not wait for the lease, as after a failure.
    """
    flt = _start_fleet(5)
    (old,) = _holders(flt, "lm/0")
    flt.bus.inject(old, messages.LeaveFleet())
    gap = 0
    for _ in range(150):
        flt.run(const.TICK_S)
        assert len(_holders(flt, "lm/0")) <= 1
        gap += not _holders(flt, "lm/0")
    (new,) = _holders(flt, "lm/0")
    assert new != old
    assert gap * const.TICK_S < 0.1
