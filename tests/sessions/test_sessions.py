"""Golden sessions over the real deciders of whole routers."""

from collections.abc import Mapping
import dataclasses
import pathlib
import random

import pytest
import syrupy.assertion

from tamarackbridge import policy
from tamarackbridge.components.configuration import applier
from tamarackbridge.components.records import models
from tamarackbridge.components.records import snapshot as snapshots
from tests import fleet
from tests.sessions import session as sessions

Snapshot = syrupy.assertion.SnapshotAssertion
APPLY = "apply -f DIR/records.toml"

DAYS = {
    "mela": (
        ("mela-lm/dossier", "lahore-franchise"),
        ("mela-app/pen-lookup", "gate-desk"),
        ("mela-app/fee-posting", "jhang-farmers"),
    ),
    "asahikawa": (
        ("plate-llm/order-file", "sapporo-dealers"),
        ("order-app/press-check", "stamping-line"),
        ("order-app/supplier-payment", "supplier-desk"),
    ),
}


async def started(folder: pathlib.Path, name: str) -> sessions.Session:
    made = sessions.Session(folder, name)
    await made.operate(f"{name}-1", f"{APPLY} --output json")
    made.run(4.0)
    made.lines.clear()
    return made


@pytest.mark.parametrize("deployment", ["mela", "asahikawa"])
async def test_ordinary_day(
    deployment: str, tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    day = sessions.Session(tmp_path, deployment)
    nodes = list(day.cfg)
    day.title("the fleet starts empty; records are applied")
    await day.operate(nodes[0], "get zone", f"{APPLY} --dry-run", APPLY)
    day.run(4.0)
    day.title("morning: one request of each kind at each router")
    for node in nodes:
        for path, workspace in DAYS[deployment]:
            key = f"{node}-{workspace}"
            day.ask(node, workspace, path, key)
            day.run(0.2)
    day.run(3.0)
    day.title("noon: the largest workspace floods one router")
    day.loud = False
    (big, large), (quick, small), _ = DAYS[deployment]
    for number in range(120):
        day.ask(nodes[0], large, big, work_s=2.0)
        if number % 12 == 0:
            day.ask(nodes[1], small, big)
            day.ask(nodes[2], small, quick)
        day.run(0.05)
    await day.operate(nodes[0], f"explain {large}", f"explain {small}")
    day.run(30.0)
    day.tally()
    day.title("evening: a router is replaced, then all is quiet")
    day.start_router(nodes[2])
    day.run(8.0)
    await day.operate(nodes[0], "status", f"{APPLY} --output json")
    assert day.transcript() == snapshot


def mixed(played: sessions.Session, times: int) -> None:
    """Sends lookups and dossiers to every router in turn."""
    nodes = list(played.cfg)
    for number in range(times):
        node = nodes[number % len(nodes)]
        for path, workspace in DAYS[played.deployment][:2]:
            played.ask(node, workspace, path, work_s=0.6)
        played.run(0.1)


async def test_zone_leaves_and_returns(
    tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    played = await started(tmp_path, "asahikawa")
    played.loud = False
    gone = ["plate-llm-3", "order-app-3"]
    played.title("work before")
    mixed(played, 60)
    played.most_running()
    played.tally()
    played.title("obihiro is taken out, and its servers go away")
    await played.operate("asahikawa-1", "zone take-out obihiro")
    played.run(0.5)
    played.most_running()
    for name in gone:
        played.stop_server(name)
    mixed(played, 60)
    played.most_running()
    played.run(10.0)
    played.tally()
    await played.operate("asahikawa-2", "get zone", "explain stamping-line")
    played.title("its servers come back cold, and it is brought back")
    for name in gone:
        played.restart_server(name)
    await played.operate("asahikawa-2", "zone bring-back obihiro")
    for _ in range(3):
        mixed(played, 30)
        played.most_running()
    played.run(10.0)
    played.tally()
    assert played.transcript() == snapshot


async def test_payment_retried_over_three_routers(
    tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    played = await started(tmp_path, "asahikawa")
    payment = ("supplier-desk", "order-app/supplier-payment")
    played.title("a payment, repeated after its answer was lost on the way")
    for node in played.cfg:
        played.ask(node, *payment, key="steel-0412")
        played.run(2.0)
    played.title("a payment, repeated while the first attempt runs")
    for node in played.cfg:
        played.ask(node, *payment, key="paint-0413", work_s=1.5)
        played.run(0.4)
    played.run(4.0)
    played.title("a payment whose router dies while it runs")
    played.ask("asahikawa-1", *payment, key="bolts-0414", work_s=2.0)
    played.run(0.6)
    played.kill_router("asahikawa-1")
    for node in ("asahikawa-2", "asahikawa-3"):
        played.ask(node, *payment, key="bolts-0414")
        played.run(8.0)
    played.title("another payment goes on")
    played.ask("asahikawa-2", *payment, key="glass-0415")
    played.run(4.0)
    assert played.transcript() == snapshot


async def test_store_outage(tmp_path: pathlib.Path, snapshot: Snapshot) -> None:
    played = await started(tmp_path, "mela")
    _, lookup, fee = DAYS["mela"]
    played.title("a fee is paid, then the object API goes down")
    played.ask("mela-1", fee[1], fee[0], key="paid-before")
    played.run(2.0)
    played.store.down = True
    played.run(20.0)
    for node in played.cfg:
        played.ask(node, lookup[1], lookup[0])
        played.ask(node, fee[1], fee[0], key=f"{node}-fee")
        played.run(3.0)
    await played.operate(
        "mela-1", "zone take-out multan", "get zone multan", "status"
    )
    played.title("the fee that was paid is sent again")
    for node in played.cfg:
        played.ask(node, fee[1], fee[0], key="paid-before")
        played.run(3.0)
    played.title("a router that holds no shard restarts empty")
    played.start_router("mela-1")
    played.run(6.0)
    played.ask("mela-1", lookup[1], lookup[0])
    played.run(3.0)
    played.title("a router is cut off from the others as well")
    played.bus.faults.isolate(["mela-3"], ["mela-1", "mela-2"])
    played.run(6.0)
    for node in played.cfg:
        played.ask(node, lookup[1], lookup[0])
        played.run(1.0)
    played.title("all is back")
    played.bus.faults.heal()
    played.store.down = False
    played.run(6.0)
    for node in played.cfg:
        played.ask(node, lookup[1], lookup[0])
        played.ask(node, fee[1], fee[0], key=f"{node}-fee")
        played.run(2.0)
    await played.operate("mela-1", "zone take-out multan")
    assert played.transcript() == snapshot


class OldCodec(snapshots.SnapshotCodec):
    """Knows version 1 alone, as routers before version 2 did."""

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        for key, body in records.items():
            if b'"schema_version":2' in body:
                raise ValueError(f"{key}: schema_version: only 1 is known")
        return super().decode(generation, records)


class Upgrade(sessions.Session):
    """Routers that are old until they are upgraded."""

    upgraded: frozenset[str] = frozenset()

    def make_policy(self, node: str, rng: random.Random) -> policy.Policy:
        made = super().make_policy(node, rng)
        if node in self.upgraded:
            return made
        old = applier.Applier(node, rng, OldCodec())
        return dataclasses.replace(made, applier=old)

    def upgrade(self, node: str) -> None:
        """Replaces a router by one that knows version 2."""
        self.upgraded |= {node}
        self.start_router(node)
        self.run(6.0)


NEW = """\
[[records]]
kind = "workspace"
schema_version = 2
name = "gate-desk"
share = 1
key_hashes = ["{hash}"]
limits = {{ queued = 300, running = 20 }}
"""


async def test_rolling_upgrade_between_schema_versions(
    tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    played = Upgrade(tmp_path, "mela")
    old = (tmp_path / "records.toml").read_text()
    v1 = old.replace("schema_version = 2", "schema_version = 1")
    v1 = v1.replace("limits = { queued = 256, running = 16 }\n", "")
    v1 = v1.replace('end_user = { header = "X-Breeder" }\n', "")
    v1 = v1.replace('end_user = { header = "X-Farmer" }\n', "")
    (tmp_path / "records.toml").write_text(v1)
    (tmp_path / "new.toml").write_text(NEW.format(hash=fleet.HASH))
    played.title("old routers, records of version 1")
    await played.operate("mela-1", f"{APPLY} --output json")
    played.run(4.0)
    played.title("routers are upgraded one by one, work goes on")
    played.loud = False
    for node in played.cfg:
        mixed(played, 20)
        played.upgrade(node)
        played.tally()
    played.title("then a record of version 2 is written")
    await played.operate(
        "mela-2",
        "apply -f DIR/new.toml",
        "apply -f DIR/new.toml --new-schema-version",
        "get workspace gate-desk --output json",
        "get workspace gate-desk --schema-version 1 --output json",
        "get workspace jhang-farmers --output json",
        "get workspace jhang-farmers --schema-version 2 --output json",
    )
    played.run(4.0)
    mixed(played, 20)
    played.run(4.0)
    played.tally()
    await played.operate("mela-1", "status")
    assert played.transcript() == snapshot


async def test_version_2_before_the_upgrade_is_not_accepted(
    tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    played = Upgrade(tmp_path, "mela")
    text = (tmp_path / "records.toml").read_text()
    v1 = text.split('name = "sahiwal-breeders"')[0].rpartition("[[records]]")[0]
    (tmp_path / "records.toml").write_text(v1)
    (tmp_path / "new.toml").write_text(NEW.format(hash=fleet.HASH))
    await played.operate("mela-1", f"{APPLY} --output json")
    played.run(4.0)
    played.upgrade("mela-1")
    await played.operate(
        "mela-1",
        "apply -f DIR/new.toml",
        "apply -f DIR/new.toml --new-schema-version",
        "status",
    )
    mixed(played, 3)
    played.run(3.0)
    played.title("an old router restarts and can't read what is written")
    played.start_router("mela-3")
    played.run(6.0)
    played.ask("mela-2", "gate-desk", "mela-app/pen-lookup")
    played.ask("mela-1", "gate-desk", "mela-app/pen-lookup")
    played.run(3.0)
    await played.operate("mela-1", "status")
    played.title("the record is written in version 1 again")
    old = NEW.format(hash=fleet.HASH).replace("version = 2", "version = 1")
    (tmp_path / "old.toml").write_text(old.partition("limits")[0])
    await played.operate("mela-1", "apply -f DIR/old.toml", "status")
    played.ask("mela-2", "gate-desk", "mela-app/pen-lookup")
    played.run(3.0)
    played.title("the other routers are upgraded, then version 2 is written")
    played.upgrade("mela-2")
    played.upgrade("mela-3")
    await played.operate("mela-1", "apply -f DIR/new.toml --new-schema-version")
    mixed(played, 3)
    played.run(3.0)
    assert played.transcript() == snapshot
