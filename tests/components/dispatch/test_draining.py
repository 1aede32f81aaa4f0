"""Test of a backend server that drains, itself or with its zone."""

import dataclasses

import pytest

from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages
from tamarackbridge.components.records import models
from tests.components.dispatch import builders

LIMIT = 2


def _draining_records(records: models.Snapshot, scope: str) -> models.Snapshot:
    servers = dict(records.servers)
    zones = dict(records.zones)
    if scope == "server":
        servers["s0"] = dataclasses.replace(servers["s0"], draining=True)
    else:
        zones["multan"] = models.Zone("multan", True)
    return dataclasses.replace(
        records, generation=2, servers=servers, zones=zones
    )


@pytest.mark.parametrize("scope", ["server", "zone"])
def test_draining_server_gets_no_new_work_and_finishes_its_work(
    scope: str,
) -> None:
    base = builders.snapshot(
        [builders.workspace("a")],
        [
            builders.server("s0", zone="multan", limit_cold=LIMIT),
            builders.server("s1", limit_cold=LIMIT),
        ],
    )
    zones = {**base.zones, "multan": models.Zone("multan", False)}
    records = dataclasses.replace(base, zones=zones)
    fleet = builders.Fleet(records)
    placed: list[tuple[float, str]] = []
    fleet.bus.taps.append(
        lambda _, env, now: (
            placed.append((now, env.msg.server))
            if isinstance(env.msg, messages.Grant)
            else None
        )
    )
    for number in range(12):
        fleet.want("r1", f"q{number}", "a", cost=100.0)
    fleet.run(0.2)
    assert "s0" in {server for _, server in placed}

    drained_at = fleet.bus.now
    change = configuration.SnapshotInForce(_draining_records(records, scope))
    for node in fleet.nodes:
        fleet.bus.inject(node, change)
    fleet.run(30.0)

    later_servers = {server for at, server in placed if at > drained_at}
    assert later_servers == {"s1"}
    assert set(fleet.ended.values()) == {"ok"}
    assert len(fleet.ended) == 12
