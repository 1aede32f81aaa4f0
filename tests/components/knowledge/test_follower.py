"""The follower against a scripted source: outages and lost history."""

import asyncio
import collections
import dataclasses
import random

import result

from tamarackbridge.components.knowledge import (
    applier,
    const,
    follower,
    source,
    state,
)
from tests import clocks
from tests.components.knowledge import builders

UNREACHABLE: source.Answer = result.Err(source.Failure.UNREACHABLE)
HISTORY_LOST: source.Answer = result.Err(source.Failure.HISTORY_LOST)


class ScriptedSource:
    """Gives the answers of a script, each after some virtual time; then none.

    Attributes:
        calls: Calls so far.
        forgotten: Servers whose state was to be dropped.
        done: Set by the first call after the end of the script.
    """

    def __init__(
        self,
        clock: clocks.VirtualClock,
        script: list[tuple[float, source.Answer]],
    ) -> None:
        self.calls: list[str] = []
        self.forgotten: list[str] = []
        self.done = asyncio.Event()
        self._clock = clock
        self._script = collections.deque(script)

    async def async_all(self, kind: source.Kind) -> source.Answer:
        self.calls.append(f"all {kind.value}")
        return await self._async_next()

    async def async_changes(
        self, kind: source.Kind, revision: int, wait_s: float
    ) -> source.Answer:
        self.calls.append(f"after {revision}")
        return await self._async_next()

    async def _async_next(self) -> source.Answer:
        if not self._script:
            self.done.set()
            await asyncio.Event().wait()
        took_s, answer = self._script.popleft()
        self._clock.now += took_s
        return answer


def batch(revision: int, *updates: source.Update) -> source.Answer:
    return result.Ok(source.UpdateBatch(updates, revision))


async def _async_follow(
    kind: source.Kind, script: list[tuple[float, source.Answer]]
) -> tuple[state.LocalCopy, ScriptedSource, clocks.VirtualClock]:
    clock = clocks.VirtualClock()
    local_copy = state.LocalCopy(builders.BOUNDS)
    script_source = ScriptedSource(clock, script)
    update_applier = applier.Applier(
        local_copy, clock, lambda: None, script_source.forgotten.append
    )
    svc = follower.Follower(
        kind,
        script_source,
        local_copy,
        update_applier,
        clock,
        random.Random(1),
        lambda kind: False,
    )
    await svc.on_start()
    await script_source.done.wait()
    await svc.on_stop()
    return local_copy, script_source, clock


async def test_empty_answer_after_whole_wait_confirms_end_of_wait() -> None:
    cfg = source.ConfigurationUpdate(builders.configuration(3))
    local_copy, _, clock = await _async_follow(
        source.Kind.CONFIGURATION, [(0.1, batch(5, cfg)), (1.05, batch(5))]
    )
    assert abs(local_copy.configuration_age(clock.now) - 0.05) < 1e-6


async def test_early_empty_answer_confirms_start_of_call() -> None:
    cfg = source.ConfigurationUpdate(builders.configuration(3))
    local_copy, _, clock = await _async_follow(
        source.Kind.CONFIGURATION, [(0.1, batch(5, cfg)), (0.4, batch(5))]
    )
    assert abs(local_copy.configuration_age(clock.now) - 0.4) < 1e-6


async def test_failed_calls_confirm_nothing() -> None:
    cfg = source.ConfigurationUpdate(builders.configuration(3))
    script = [(0.1, batch(5, cfg)), (1.8, UNREACHABLE), (1.8, UNREACHABLE)]
    local_copy, _, clock = await _async_follow(
        source.Kind.CONFIGURATION, script
    )
    assert local_copy.configuration_age(clock.now) >= 3.6
    assert not local_copy.may_reject_unknown(clock.now)


async def test_all_data_is_read_again_at_once_after_lost_history() -> None:
    s1 = source.ServerUpdate(builders.server("s1"))
    s2 = source.ServerUpdate(builders.server("s2"))
    local_copy, script_source, _ = await _async_follow(
        source.Kind.SERVERS,
        [(0.1, batch(5, s1)), (0.1, HISTORY_LOST), (0.1, batch(9, s2))],
    )
    assert script_source.calls == [
        "all servers",
        "after 5",
        "all servers",
        "after 9",
    ]
    assert list(local_copy.servers) == ["s2"]


async def test_registrations_that_expired_in_an_outage_get_grace_time() -> None:
    s1 = source.ServerUpdate(builders.server("s1"))
    gone = source.ServerRemoval("s1")
    local_copy, _, clock = await _async_follow(
        source.Kind.SERVERS,
        [
            (0.1, batch(5, s1)),
            (1.8, UNREACHABLE),
            (1.8, UNREACHABLE),
            (0.1, batch(9, gone)),
        ],
    )
    assert local_copy.usable("lm", clock.now + 1.0)
    assert not local_copy.usable("lm", clock.now + 2.3)


async def test_outage_for_all_after_a_local_failure_gives_grace_time() -> None:
    """A failure of this router alone must not hide an outage that follows.

    The store answers the other routers until 0.1 s after this router's first
    failed call; from then on, no router can reach it.
    """
    s1 = source.ServerUpdate(builders.server("s1"))
    clock = clocks.VirtualClock()
    local_copy = state.LocalCopy(builders.BOUNDS)
    gone = batch(9, source.ServerRemoval("s1"))
    script = [(0.1, batch(5, s1)), (0.05, UNREACHABLE)]
    script += [(1.8, UNREACHABLE)] * 3 + [(0.1, gone)]
    failed_at = clock.now + 0.15
    script_source = ScriptedSource(clock, script)
    update_applier = applier.Applier(
        local_copy, clock, lambda: None, script_source.forgotten.append
    )

    def is_relayed(kind: source.Kind) -> bool:
        if local_copy.unreachable and clock.now < failed_at + 0.5:
            local_copy.confirm(kind, failed_at + 0.1)
        return False

    svc = follower.Follower(
        source.Kind.SERVERS,
        script_source,
        local_copy,
        update_applier,
        clock,
        random.Random(1),
        is_relayed,
    )
    await svc.on_start()
    await script_source.done.wait()
    await svc.on_stop()
    assert local_copy.usable("lm", clock.now + 1.0)


async def test_registration_that_ends_in_a_local_outage_has_no_grace_time() -> (
    None
):
    s1 = source.ServerUpdate(builders.server("s1"))
    clock = clocks.VirtualClock()
    local_copy = state.LocalCopy(builders.BOUNDS)
    gone = batch(9, source.ServerRemoval("s1"))
    script = [
        (0.1, batch(5, s1)),
        (1.8, UNREACHABLE),
        (1.8, UNREACHABLE),
        (0.1, gone),
    ]
    script_source = ScriptedSource(clock, script)
    update_applier = applier.Applier(
        local_copy, clock, lambda: None, script_source.forgotten.append
    )

    def is_relayed(kind: source.Kind) -> bool:
        """Confirms the copy as another router's reports do; relays nothing."""
        local_copy.confirm(kind, clock.now)
        return False

    svc = follower.Follower(
        source.Kind.SERVERS,
        script_source,
        local_copy,
        update_applier,
        clock,
        random.Random(1),
        is_relayed,
    )
    await svc.on_start()
    await script_source.done.wait()
    await svc.on_stop()
    assert not local_copy.servers


async def test_registration_that_ends_without_outage_is_removed_at_once() -> (
    None
):
    s1 = source.ServerUpdate(builders.server("s1"))
    local_copy, _, _ = await _async_follow(
        source.Kind.SERVERS,
        [(0.1, batch(5, s1)), (0.1, batch(6, source.ServerRemoval("s1")))],
    )
    assert not local_copy.servers


async def test_evacuated_zones_are_replaced_when_all_data_is_read_again() -> (
    None
):
    local_copy, _, _ = await _async_follow(
        source.Kind.ZONES,
        [
            (0.1, batch(5, source.ZoneEvacuation("z1"))),
            (0.1, HISTORY_LOST),
            (0.1, batch(8, source.ZoneEvacuation("z2"))),
        ],
    )
    assert local_copy.zones_out == frozenset(("z2",))


async def test_older_configuration_after_a_reconnect_changes_nothing() -> None:
    new = source.ConfigurationUpdate(builders.configuration(9))
    old = source.ConfigurationUpdate(builders.configuration(4))
    local_copy, _, _ = await _async_follow(
        source.Kind.CONFIGURATION,
        [(0.1, batch(5, new)), (0.1, HISTORY_LOST), (0.1, batch(3, old))],
    )
    assert local_copy.configuration is not None
    assert local_copy.configuration.version == 9


async def test_state_of_a_restarted_server_is_dropped() -> None:
    """A new process under the same name has lost its prompt blocks."""
    old = builders.server("s1")
    new = dataclasses.replace(old, started_ms=1_700_000_000_000)
    draining = dataclasses.replace(old, draining=True)
    _, script_source, _ = await _async_follow(
        source.Kind.SERVERS,
        [
            (0.1, batch(5, source.ServerUpdate(old))),
            (0.1, batch(6, source.ServerUpdate(draining))),
            (0.1, batch(7, source.ServerUpdate(new))),
        ],
    )
    assert script_source.forgotten == ["s1"]


async def test_state_of_a_removed_server_is_dropped() -> None:
    s1 = source.ServerUpdate(builders.server("s1"))
    _, script_source, _ = await _async_follow(
        source.Kind.SERVERS,
        [(0.1, batch(5, s1)), (0.1, batch(6, source.ServerRemoval("s1")))],
    )
    assert script_source.forgotten == ["s1"]


async def test_follower_reads_the_store_only_if_relayed_data_is_too_old() -> (
    None
):
    cfg = source.ConfigurationUpdate(builders.configuration(3))
    kind = source.Kind.CONFIGURATION
    clock = clocks.VirtualClock()
    local_copy = state.LocalCopy(builders.BOUNDS)
    script_source = ScriptedSource(clock, [(0.1, batch(5, cfg))])
    read = asyncio.Event()
    update_applier = applier.Applier(
        local_copy, clock, read.set, script_source.forgotten.append
    )
    svc = follower.Follower(
        kind,
        script_source,
        local_copy,
        update_applier,
        clock,
        random.Random(1),
        lambda kind: True,
    )
    await svc.on_start()
    await read.wait()
    await asyncio.sleep(2 * const.RELAYED_CHECK_INTERVAL_S)
    assert script_source.calls == ["all configuration"]
    clock.now += local_copy.watch_wait_s(kind) + const.RELAY_AGE_MARGIN_S
    await script_source.done.wait()
    await svc.on_stop()
    assert script_source.calls == ["all configuration", "after 5"]


async def test_follower_with_relayed_data_reports_no_failure() -> None:
    """Guards against needless reads by the routers that rely on this one.

    They would read the store themselves if this router kept reporting its last
    failed call.
    """
    kind = source.Kind.SERVERS
    clock = clocks.VirtualClock()
    local_copy = state.LocalCopy(builders.BOUNDS)
    script_source = ScriptedSource(clock, [(0.1, batch(5)), (0.1, UNREACHABLE)])
    update_applier = applier.Applier(
        local_copy, clock, lambda: None, script_source.forgotten.append
    )
    relayed: set[source.Kind] = set()
    svc = follower.Follower(
        kind,
        script_source,
        local_copy,
        update_applier,
        clock,
        random.Random(1),
        relayed.__contains__,
    )
    await svc.on_start()
    await asyncio.sleep(const.RETRY_MIN_S / 4)
    assert local_copy.unreachable == {kind}
    relayed.add(kind)
    await asyncio.sleep(const.RETRY_MIN_S)
    await svc.on_stop()
    assert not local_copy.unreachable


async def test_renewed_registration_updates_the_warm_up_time() -> None:
    s1 = builders.server("s1", cold_s=5.0)
    renewed = dataclasses.replace(s1, cold_s=4.0)
    local_copy, _, clock = await _async_follow(
        source.Kind.SERVERS,
        [
            (0.1, batch(5, source.ServerUpdate(s1))),
            (0.1, batch(6, source.ServerUpdate(renewed))),
        ],
    )
    assert abs(local_copy.servers["s1"].warm_at - clock.now - 4.0) < 1e-6


async def test_first_list_does_not_replace_newer_data_of_another_router() -> (
    None
):
    """Guards against a list that is overtaken by a snapshot.

    The router waits for both at its start.
    """
    clock = clocks.VirtualClock()
    local_copy = state.LocalCopy(builders.BOUNDS)
    s1, s2 = (source.ServerUpdate(builders.server(it)) for it in ("s1", "s2"))
    update_applier = applier.Applier(
        local_copy, clock, lambda: None, lambda name: None
    )

    class OvertakenSource(ScriptedSource):
        async def async_all(self, kind: source.Kind) -> source.Answer:
            update_applier.replace(kind, (s2,), 0.0)
            local_copy.record_full_read(kind, 9)
            return await super().async_all(kind)

    script_source = OvertakenSource(clock, [(0.1, batch(5, s1))])
    svc = follower.Follower(
        source.Kind.SERVERS,
        script_source,
        local_copy,
        update_applier,
        clock,
        random.Random(1),
        lambda kind: False,
    )
    await svc.on_start()
    await script_source.done.wait()
    await svc.on_stop()
    assert script_source.calls == ["all servers", "after 9"]
    assert list(local_copy.servers) == ["s2"]
