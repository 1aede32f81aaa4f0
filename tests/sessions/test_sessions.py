"""Golden transcripts of sessions with the real deciders of several routers.

Each test plays one session on the virtual clock and compares its transcript
with a stored one, so that any change of what callers, operators and backend
servers observe is seen in review.
"""

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
APPLY_RECORDS = "apply -f DIR/records.toml"

# Route and workspace of each kind of request: a request to an engine, a short
# read and a payment, which needs an idempotency key.
WORKLOADS = {
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


async def start_session(folder: pathlib.Path, name: str) -> sessions.Session:
    """Starts a fleet, applies its records and clears the transcript."""
    session = sessions.Session(folder, name)
    await session.run_commands(f"{name}-1", f"{APPLY_RECORDS} --output json")
    session.run(4.0)
    session.lines.clear()
    return session


@pytest.mark.parametrize("deployment", ["mela", "asahikawa"])
async def test_ordinary_day(
    deployment: str, tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    """A deployment from its first records to the replacement of a router.

    Guards the everyday behaviour: the first records are applied, each router
    serves each kind of request, and smaller workspaces are served while a
    large one sends 120 requests within 6 s to one router.
    """
    session = sessions.Session(tmp_path, deployment)
    nodes = list(session.cfg)
    session.add_heading("the fleet starts empty; records are applied")
    await session.run_commands(
        nodes[0], "get zone", f"{APPLY_RECORDS} --dry-run", APPLY_RECORDS
    )
    session.run(4.0)
    session.add_heading("morning: one request of each kind at each router")
    for node in nodes:
        for path, workspace in WORKLOADS[deployment]:
            key = f"{node}-{workspace}"
            session.send_request(node, workspace, path, key)
            session.run(0.2)
    session.run(3.0)
    session.add_heading("noon: the largest workspace floods one router")
    session.lists_requests = False
    (heavy_path, large), (light_path, small), _ = WORKLOADS[deployment]
    for number in range(120):
        session.send_request(nodes[0], large, heavy_path, work_s=2.0)
        if number % 12 == 0:
            session.send_request(nodes[1], small, heavy_path)
            session.send_request(nodes[2], small, light_path)
        session.run(0.05)
    await session.run_commands(nodes[0], f"explain {large}", f"explain {small}")
    session.run(30.0)
    session.add_outcome_counts()
    session.add_heading("evening: a router is replaced, then all is quiet")
    session.start_router(nodes[2])
    session.run(8.0)
    await session.run_commands(
        nodes[0], "status", f"{APPLY_RECORDS} --output json"
    )
    assert session.transcript() == snapshot


def send_mixed_requests(session: sessions.Session, steps: int) -> None:
    """Sends requests of two workspaces to the routers in turn.

    Each step sends both requests to one router.
    """
    nodes = list(session.cfg)
    for number in range(steps):
        node = nodes[number % len(nodes)]
        for path, workspace in WORKLOADS[session.deployment][:2]:
            session.send_request(node, workspace, path, work_s=0.6)
        session.run(0.1)


async def test_zone_leaves_and_returns(
    tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    """A zone is taken out, loses its servers and is brought back.

    Guards against requests that are sent to the servers of the zone while it
    is out, and against requests that fail because the servers vanish or
    come back in need of a warm-up.
    """
    session = await start_session(tmp_path, "asahikawa")
    session.lists_requests = False
    zone_servers = ["plate-llm-3", "order-app-3"]
    session.add_heading("work before")
    send_mixed_requests(session, 60)
    session.add_running_counts()
    session.add_outcome_counts()
    session.add_heading("obihiro is taken out, and its servers go away")
    await session.run_commands("asahikawa-1", "zone take-out obihiro")
    session.run(0.5)
    session.add_running_counts()
    for name in zone_servers:
        session.stop_server(name)
    send_mixed_requests(session, 60)
    session.add_running_counts()
    session.run(10.0)
    session.add_outcome_counts()
    await session.run_commands(
        "asahikawa-2", "get zone", "explain stamping-line"
    )
    session.add_heading("its servers come back cold, and it is brought back")
    for name in zone_servers:
        session.restart_server(name)
    await session.run_commands("asahikawa-2", "zone bring-back obihiro")
    for _ in range(3):
        send_mixed_requests(session, 30)
        session.add_running_counts()
    session.run(10.0)
    session.add_outcome_counts()
    assert session.transcript() == snapshot


async def test_payment_retried_over_three_routers(
    tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    """A payment must run at most once, whichever router gets its retries.

    A caller retries with the same key after it lost the response, while the
    first attempt runs, or after the router of the first attempt crashed. In
    the last case no router knows whether the payment ran.
    """
    session = await start_session(tmp_path, "asahikawa")
    payment = ("supplier-desk", "order-app/supplier-payment")
    session.add_heading(
        "a payment, repeated after its answer was lost on the way"
    )
    for node in session.cfg:
        session.send_request(node, *payment, key="steel-0412")
        session.run(2.0)
    session.add_heading("a payment, repeated while the first attempt runs")
    for node in session.cfg:
        session.send_request(node, *payment, key="paint-0413", work_s=1.5)
        session.run(0.4)
    session.run(4.0)
    session.add_heading("a payment whose router dies while it runs")
    session.send_request("asahikawa-1", *payment, key="bolts-0414", work_s=2.0)
    session.run(0.6)
    session.kill_router("asahikawa-1")
    for node in ("asahikawa-2", "asahikawa-3"):
        session.send_request(node, *payment, key="bolts-0414")
        session.run(8.0)
    session.add_heading("another payment goes on")
    session.send_request("asahikawa-2", *payment, key="glass-0415")
    session.run(4.0)
    assert session.transcript() == snapshot


async def test_store_outage(tmp_path: pathlib.Path, snapshot: Snapshot) -> None:
    """Without the object API, routers go on from their local state.

    Lookups are served, and a payment made before is replayed. New payments
    and changes of the configuration are rejected, as they can't be stored.
    A router that is cut off from the others as well stops serving.
    """
    session = await start_session(tmp_path, "mela")
    _, lookup, fee = WORKLOADS["mela"]
    session.add_heading("a fee is paid, then the object API goes down")
    session.send_request("mela-1", fee[1], fee[0], key="paid-before")
    session.run(2.0)
    session.store.down = True
    session.run(20.0)
    for node in session.cfg:
        session.send_request(node, lookup[1], lookup[0])
        session.send_request(node, fee[1], fee[0], key=f"{node}-fee")
        session.run(3.0)
    await session.run_commands(
        "mela-1", "zone take-out multan", "get zone multan", "status"
    )
    session.add_heading("the fee that was paid is sent again")
    for node in session.cfg:
        session.send_request(node, fee[1], fee[0], key="paid-before")
        session.run(3.0)
    session.add_heading("a router that holds no shard restarts empty")
    session.start_router("mela-1")
    session.run(6.0)
    session.send_request("mela-1", lookup[1], lookup[0])
    session.run(3.0)
    session.add_heading("a router is cut off from the others as well")
    session.bus.faults.isolate(["mela-3"], ["mela-1", "mela-2"])
    session.run(6.0)
    for node in session.cfg:
        session.send_request(node, lookup[1], lookup[0])
        session.run(1.0)
    session.add_heading("all is back")
    session.bus.faults.heal()
    session.store.down = False
    session.run(6.0)
    for node in session.cfg:
        session.send_request(node, lookup[1], lookup[0])
        session.send_request(node, fee[1], fee[0], key=f"{node}-fee")
        session.run(2.0)
    await session.run_commands("mela-1", "zone take-out multan")
    assert session.transcript() == snapshot


class Version1Codec(snapshots.SnapshotCodec):
    """Decodes schema version 1 only, as routers did before version 2."""

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        for key, body in records.items():
            if b'"schema_version":2' in body:
                raise ValueError(f"{key}: schema_version: only 1 is known")
        return super().decode(generation, records)


class UpgradeSession(sessions.Session):
    """A session whose routers know schema version 1 only until upgraded."""

    upgraded: frozenset[str] = frozenset()

    def make_policy(self, node: str, rng: random.Random) -> policy.Policy:
        made = super().make_policy(node, rng)
        if node in self.upgraded:
            return made
        version_1_applier = applier.Applier(node, rng, Version1Codec())
        return dataclasses.replace(made, applier=version_1_applier)

    def upgrade(self, node: str) -> None:
        """Restarts a router with a release that knows schema version 2."""
        self.upgraded |= {node}
        self.start_router(node)
        self.run(6.0)


VERSION_2_RECORD = """\
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
    """Routers of two releases serve the same configuration side by side.

    Requests are sent while routers are upgraded one at a time. The first
    record of version 2 is accepted only with `--new-schema-version`, and
    records can be read in either version afterwards.
    """
    session = UpgradeSession(tmp_path, "mela")
    old = (tmp_path / "records.toml").read_text()
    v1 = old.replace("schema_version = 2", "schema_version = 1")
    v1 = v1.replace("limits = { queued = 256, running = 16 }\n", "")
    v1 = v1.replace('end_user = { header = "X-Breeder" }\n', "")
    v1 = v1.replace('end_user = { header = "X-Farmer" }\n', "")
    (tmp_path / "records.toml").write_text(v1)
    (tmp_path / "new.toml").write_text(VERSION_2_RECORD.format(hash=fleet.HASH))
    session.add_heading("old routers, records of version 1")
    await session.run_commands("mela-1", f"{APPLY_RECORDS} --output json")
    session.run(4.0)
    session.add_heading("routers are upgraded one by one, work goes on")
    session.lists_requests = False
    for node in session.cfg:
        send_mixed_requests(session, 20)
        session.upgrade(node)
        session.add_outcome_counts()
    session.add_heading("then a record of version 2 is written")
    await session.run_commands(
        "mela-2",
        "apply -f DIR/new.toml",
        "apply -f DIR/new.toml --new-schema-version",
        "get workspace gate-desk --output json",
        "get workspace gate-desk --schema-version 1 --output json",
        "get workspace jhang-farmers --output json",
        "get workspace jhang-farmers --schema-version 2 --output json",
    )
    session.run(4.0)
    send_mixed_requests(session, 20)
    session.run(4.0)
    session.add_outcome_counts()
    await session.run_commands("mela-1", "status")
    assert session.transcript() == snapshot


async def test_version_2_before_the_upgrade_is_not_accepted(
    tmp_path: pathlib.Path, snapshot: Snapshot
) -> None:
    """A record of version 2 must not take effect before routers can read it.

    An operator forces such a record although only one of three routers is
    upgraded. The record is written but not confirmed by a majority, and an
    old router that restarts can't load the configuration until the record is
    written in version 1 again.
    """
    session = UpgradeSession(tmp_path, "mela")
    text = (tmp_path / "records.toml").read_text()
    # All records before this one are of version 1.
    v1 = text.split('name = "sahiwal-breeders"')[0].rpartition("[[records]]")[0]
    (tmp_path / "records.toml").write_text(v1)
    (tmp_path / "new.toml").write_text(VERSION_2_RECORD.format(hash=fleet.HASH))
    await session.run_commands("mela-1", f"{APPLY_RECORDS} --output json")
    session.run(4.0)
    session.upgrade("mela-1")
    await session.run_commands(
        "mela-1",
        "apply -f DIR/new.toml",
        "apply -f DIR/new.toml --new-schema-version",
        "status",
    )
    send_mixed_requests(session, 3)
    session.run(3.0)
    session.add_heading("an old router restarts and can't read what is written")
    session.start_router("mela-3")
    session.run(6.0)
    session.send_request("mela-2", "gate-desk", "mela-app/pen-lookup")
    session.send_request("mela-1", "gate-desk", "mela-app/pen-lookup")
    session.run(3.0)
    await session.run_commands("mela-1", "status")
    session.add_heading("the record is written in version 1 again")
    old = VERSION_2_RECORD.format(hash=fleet.HASH).replace(
        "version = 2", "version = 1"
    )
    (tmp_path / "old.toml").write_text(old.partition("limits")[0])
    await session.run_commands("mela-1", "apply -f DIR/old.toml", "status")
    session.send_request("mela-2", "gate-desk", "mela-app/pen-lookup")
    session.run(3.0)
    session.add_heading(
        "the other routers are upgraded, then version 2 is written"
    )
    session.upgrade("mela-2")
    session.upgrade("mela-3")
    await session.run_commands(
        "mela-1", "apply -f DIR/new.toml --new-schema-version"
    )
    send_mixed_requests(session, 3)
    session.run(3.0)
    assert session.transcript() == snapshot
