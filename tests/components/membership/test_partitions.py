"""Tests of splits, losses and replacements of whole parts of the fleet."""

from tamarackbridge import const
from tamarackbridge.components.membership import messages
from tests.components.membership import fleet


def _ready(size: int, shards: int = 1, seed: int = 1) -> fleet.Fleet:
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
    flt = _ready(6, shards=6)
    flt.cut("r0", "r1", "r2")
    flt.run(15.0)

    assert all(seen.serving.serving for seen in flt.seen.values())
    epochs = {
        shard: news.epoch for shard, news in flt.seen["r0"].holders.items()
    }
    assert set(epochs.values()) == {1}
    assert all(len(_holders(flt, shard)) == 1 for shard in epochs)


def test_even_split_without_store_stops_both_sides_and_recovers() -> None:
    flt = _ready(6)
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
    flt = _ready(5)
    (old,) = _holders(flt, "lm/0")
    flt.cut(old, store=True)
    for _ in range(500):
        flt.run(const.TICK_S)
        assert len(_holders(flt, "lm/0")) <= 1
    (new,) = _holders(flt, "lm/0")
    assert new != old


def test_paused_holder_finds_its_lease_lapsed() -> None:
    flt = _ready(5)
    (old,) = _holders(flt, "lm/0")
    flt.bus.pause(old)
    flt.run(8.0)
    assert flt.seen[old].held["lm/0"].until < flt.bus.now
    flt.bus.resume(old)
    flt.run(1.0)
    (new,) = _holders(flt, "lm/0")
    assert new != old


def test_half_the_fleet_gone_for_good_is_counted_by_the_vm_list() -> None:
    flt = _ready(6, shards=6)
    left = ("r0", "r1", "r2")
    for node in ("r3", "r4", "r5"):
        flt.bus.kill(node)
    flt.run(4.0)
    flt.change("r0", "c2", fleet.zone_edit("a", False))
    flt.run(10.0)
    assert flt.seen["r0"].reports[-1].state.value == "written"

    for node in left:
        flt.bus.inject(node, messages.VmListRead(left))
    flt.run(12.0)
    flt.change("r0", "c3", fleet.zone_edit("a", True))
    flt.run(6.0)

    assert flt.seen["r0"].reports[-1].state.value == "accepted"
    members = flt.seen["r0"].roster.members
    assert [member.node for member in members] == list(left)
    shards = flt.seen["r0"].holders
    assert all(news.holder in left for news in shards.values())


def test_a_fleet_of_new_vms_replaces_one_that_is_all_gone() -> None:
    flt = _ready(3)
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
    flt = _ready(7)
    flt.store.down = True
    flt.run(60.0)
    assert all(seen.serving.serving for seen in flt.seen.values())
    during = sum(flt.store.calls.values())
    flt.run(30.0)
    per_second = (sum(flt.store.calls.values()) - during) / 30.0 / 7
    assert per_second < 0.5
    assert len(_holders(flt, "lm/0")) == 1


def test_leaving_member_hands_over_without_a_gap() -> None:
    flt = _ready(5)
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
