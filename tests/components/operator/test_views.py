"""Tests of the status and request views, with a real dispatcher."""

import pathlib
import random

import result
import syrupy.assertion

from tamarackbridge import const, core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import dispatcher, messages
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.operator import request_view, status_view
from tamarackbridge.components.records import files, models, snapshot

SHARD = "mela-app/0"
LARGE, SMALL = "lahore-franchise", "gate-desk"


class Clock:
    """Clock with a fixed time."""

    now = 10.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def mela_snapshot() -> models.Snapshot:
    loaded = files.load(pathlib.Path("examples/mela/records.toml"))
    assert isinstance(loaded, result.Ok)
    return snapshot.build(1, loaded.ok_value)


def make_view() -> tuple[core.DeciderGroup, status_view.StatusView]:
    local_dispatcher = dispatcher.Dispatcher("a", random.Random(1))
    view = status_view.StatusView(
        "a", "lahore", Clock(), local_dispatcher, lambda node: node != "b"
    )
    return core.DeciderGroup("a", [local_dispatcher, view]), view


def deliver(group: core.DeciderGroup, *msgs: core.Message) -> None:
    for msg in msgs:
        group.handle(core.Delivery("a", msg), Clock.now)


def ask(workspace: str, number: int) -> messages.Ask:
    request_id = f"{workspace}-{number}"
    return messages.Ask(SHARD, request_id, workspace, "", "r", 1.0, 9.0)


def add_backlog(group: core.DeciderGroup) -> None:
    members = (
        membership.Member("a", "lahore", "127.0.0.1:1", 1),
        membership.Member("b", "multan", "127.0.0.1:2", 1),
    )
    deliver(
        group,
        configuration.SnapshotInForce(mela_snapshot()),
        configuration.ServingChanged(True, ""),
        membership.RosterChanged(members, ("a",)),
        messages.ShardHolder(SHARD, 1, "a"),
        messages.LeaseHeld(SHARD, 1, Clock.now + const.LEASE_S, True),
        *(ask(LARGE, number) for number in range(6)),
        *(ask(SMALL, number) for number in range(2)),
    )


def test_router_is_ready_once_configuration_is_in_force() -> None:
    group, view = make_view()
    assert not view.ready()
    deliver(group, configuration.ServingChanged(True, ""))
    assert not view.ready()
    deliver(group, configuration.SnapshotInForce(mela_snapshot()))
    assert view.ready()
    deliver(group, configuration.ServingChanged(False, "no fresh evidence"))
    assert not view.ready()


def test_status_and_explanations(
    snapshot: syrupy.assertion.SnapshotAssertion,
) -> None:
    group, view = make_view()
    assert view.explain(SMALL) == ()
    add_backlog(group)
    assert view.status() == snapshot(name="status")
    assert view.explain("no-such-workspace") == ()
    for workspace in (LARGE, SMALL, "goat-judges"):
        assert view.explain(workspace) == snapshot(name=workspace)


def test_explanation_names_servers_in_a_zone_taken_out() -> None:
    group, view = make_view()
    add_backlog(group)
    current = mela_snapshot()
    zones = {**current.zones, "multan": models.Zone("multan", out=True)}
    deliver(
        group,
        configuration.SnapshotInForce(
            models.Snapshot(
                2, current.workspaces, current.services, current.servers, zones
            )
        ),
    )
    (found,) = view.explain(SMALL)
    assert "drained or in a zone taken out: mela-app-3" in found.reasons


def test_request_is_found_while_it_runs_and_after_its_end() -> None:
    view = request_view.RequestView("a", Clock())
    want = messages.Want("mela-app", "r1", SMALL, "", "fee-posting", 0.0, 9.0)
    steps: list[tuple[core.Message, str]] = [
        (want, "waiting"),
        (
            messages.Permitted("r1", SHARD, "mela-app-1", 3, 7, 10.5, 10.0),
            "running",
        ),
        (messages.Done("r1", 1.0, messages.Outcome.FAILED), "ended: failed"),
        (want, "waiting"),
        (messages.Refused("r1", "deadline", 1.0), "refused: deadline"),
        (messages.GiveUp("r1"), "refused: deadline"),
    ]
    for msg, state in steps:
        view.handle(core.Delivery("a", msg), 9.0)
        (found,) = view.find("r1")
        assert (found.state, found.age_s) == (state, 1.0)
    assert "0.000 s: permit 7 of epoch 3, mela-app-1" in found.events
    assert view.find("r2") == ()


def test_request_that_ended_first_is_dropped_first() -> None:
    view = request_view.RequestView("a", Clock())
    for number in range(request_view.MAX_ENDED + 1):
        name = f"r{number}"
        want = messages.Want("mela-app", name, SMALL, "", "r", 0.0, 9.0)
        view.handle(core.Delivery("a", want), 9.0)
        view.handle(core.Delivery("a", messages.GiveUp(name)), 9.0)
    assert view.find("r0") == ()
    assert view.find("r1") != ()
