"""The follower against a source that plays an outage or a lost history."""

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

AWAY: source.Answer = result.Err(source.Trouble.AWAY)
LOST: source.Answer = result.Err(source.Trouble.HISTORY_LOST)


class ScriptedSource:
    """Answers as told, each after some virtual time; then never again."""

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


def facts(revision: int, *found: source.Fact) -> source.Answer:
    return result.Ok(source.Facts(found, revision))


async def _async_play(
    kind: source.Kind, script: list[tuple[float, source.Answer]]
) -> tuple[state.Knowledge, ScriptedSource, clocks.VirtualClock]:
    clock = clocks.VirtualClock()
    known = state.Knowledge(builders.BOUNDS)
    origin = ScriptedSource(clock, script)
    taking = applier.Applier(
        known, clock, lambda: None, origin.forgotten.append
    )
    svc = follower.Follower(
        kind, origin, known, taking, clock, random.Random(1), lambda kind: False
    )
    await svc.on_start()
    await origin.done.wait()
    await svc.on_stop()
    return known, origin, clock


async def test_silence_for_the_whole_wait_confirms_its_end() -> None:
    cfg = source.ConfigurationIs(builders.configuration(3))
    known, _, clock = await _async_play(
        source.Kind.CONFIGURATION, [(0.1, facts(5, cfg)), (1.05, facts(5))]
    )
    assert abs(known.configuration_age(clock.now) - 0.05) < 1e-6


async def test_early_silence_confirms_only_the_call() -> None:
    cfg = source.ConfigurationIs(builders.configuration(3))
    known, _, clock = await _async_play(
        source.Kind.CONFIGURATION, [(0.1, facts(5, cfg)), (0.4, facts(5))]
    )
    assert abs(known.configuration_age(clock.now) - 0.4) < 1e-6


async def test_unanswered_calls_confirm_nothing() -> None:
    cfg = source.ConfigurationIs(builders.configuration(3))
    script = [(0.1, facts(5, cfg)), (1.8, AWAY), (1.8, AWAY)]
    known, _, clock = await _async_play(source.Kind.CONFIGURATION, script)
    assert known.configuration_age(clock.now) >= 3.6
    assert not known.may_deny(clock.now)


async def test_lost_history_is_read_anew_at_once() -> None:
    s1 = source.ServerIs(builders.server("s1"))
    s2 = source.ServerIs(builders.server("s2"))
    known, origin, _ = await _async_play(
        source.Kind.SERVERS,
        [(0.1, facts(5, s1)), (0.1, LOST), (0.1, facts(9, s2))],
    )
    assert origin.calls == ["all servers", "after 5", "all servers", "after 9"]
    assert list(known.servers) == ["s2"]


async def test_registrations_that_lapsed_in_an_outage_get_a_grace() -> None:
    s1 = source.ServerIs(builders.server("s1"))
    gone = source.ServerGone("s1")
    known, _, clock = await _async_play(
        source.Kind.SERVERS,
        [(0.1, facts(5, s1)), (1.8, AWAY), (1.8, AWAY), (0.1, facts(9, gone))],
    )
    assert known.usable("lm", clock.now + 1.0)
    assert not known.usable("lm", clock.now + 2.3)


async def test_outage_for_all_after_a_refusal_here_gives_a_grace() -> None:
    """Others were answered last 0.1 s after this router was refused first."""
    s1 = source.ServerIs(builders.server("s1"))
    clock = clocks.VirtualClock()
    known = state.Knowledge(builders.BOUNDS)
    gone = facts(9, source.ServerGone("s1"))
    script = [(0.1, facts(5, s1)), (0.05, AWAY)]
    script += [(1.8, AWAY)] * 3 + [(0.1, gone)]
    refused_at = clock.now + 0.15
    origin = ScriptedSource(clock, script)
    taking = applier.Applier(
        known, clock, lambda: None, origin.forgotten.append
    )

    def is_told(kind: source.Kind) -> bool:
        if known.away and clock.now < refused_at + 0.5:
            known.confirm(kind, refused_at + 0.1)
        return False

    made = follower.Follower(
        source.Kind.SERVERS,
        origin,
        known,
        taking,
        clock,
        random.Random(1),
        is_told,
    )
    await made.on_start()
    await origin.done.wait()
    await made.on_stop()
    assert known.usable("lm", clock.now + 1.0)


async def test_registration_that_ends_while_others_read_has_no_grace() -> None:
    s1 = source.ServerIs(builders.server("s1"))
    clock = clocks.VirtualClock()
    known = state.Knowledge(builders.BOUNDS)
    gone = facts(9, source.ServerGone("s1"))
    script = [(0.1, facts(5, s1)), (1.8, AWAY), (1.8, AWAY), (0.1, gone)]
    origin = ScriptedSource(clock, script)
    taking = applier.Applier(
        known, clock, lambda: None, origin.forgotten.append
    )

    def is_told(kind: source.Kind) -> bool:
        """Another router confirms all the while, and is not relied on."""
        known.confirm(kind, clock.now)
        return False

    svc = follower.Follower(
        source.Kind.SERVERS,
        origin,
        known,
        taking,
        clock,
        random.Random(1),
        is_told,
    )
    await svc.on_start()
    await origin.done.wait()
    await svc.on_stop()
    assert not known.servers


async def test_registration_that_ends_in_calm_is_gone_at_once() -> None:
    s1 = source.ServerIs(builders.server("s1"))
    known, _, _ = await _async_play(
        source.Kind.SERVERS,
        [(0.1, facts(5, s1)), (0.1, facts(6, source.ServerGone("s1")))],
    )
    assert not known.servers


async def test_zones_out_are_forgotten_when_all_is_read_anew() -> None:
    known, _, _ = await _async_play(
        source.Kind.ZONES,
        [
            (0.1, facts(5, source.ZoneOut("z1"))),
            (0.1, LOST),
            (0.1, facts(8, source.ZoneOut("z2"))),
        ],
    )
    assert known.zones_out == frozenset(("z2",))


async def test_older_configuration_after_a_reconnect_changes_nothing() -> None:
    new = source.ConfigurationIs(builders.configuration(9))
    old = source.ConfigurationIs(builders.configuration(4))
    known, _, _ = await _async_play(
        source.Kind.CONFIGURATION,
        [(0.1, facts(5, new)), (0.1, LOST), (0.1, facts(3, old))],
    )
    assert known.configuration is not None
    assert known.configuration.version == 9


async def test_server_that_starts_anew_under_its_name_is_forgotten() -> None:
    """It holds nothing of what it held in the life before."""
    old = builders.server("s1")
    new = dataclasses.replace(old, started_ms=1_700_000_000_000)
    draining = dataclasses.replace(old, draining=True)
    _, origin, _ = await _async_play(
        source.Kind.SERVERS,
        [
            (0.1, facts(5, source.ServerIs(old))),
            (0.1, facts(6, source.ServerIs(draining))),
            (0.1, facts(7, source.ServerIs(new))),
        ],
    )
    assert origin.forgotten == ["s1"]


async def test_gone_servers_are_forgotten() -> None:
    s1 = source.ServerIs(builders.server("s1"))
    _, origin, _ = await _async_play(
        source.Kind.SERVERS,
        [(0.1, facts(5, s1)), (0.1, facts(6, source.ServerGone("s1")))],
    )
    assert origin.forgotten == ["s1"]


async def test_follower_rests_while_it_is_told_and_reads_when_it_is_not() -> (
    None
):
    cfg = source.ConfigurationIs(builders.configuration(3))
    kind = source.Kind.CONFIGURATION
    clock = clocks.VirtualClock()
    known = state.Knowledge(builders.BOUNDS)
    origin = ScriptedSource(clock, [(0.1, facts(5, cfg))])
    read = asyncio.Event()
    taking = applier.Applier(known, clock, read.set, origin.forgotten.append)
    svc = follower.Follower(
        kind, origin, known, taking, clock, random.Random(1), lambda kind: True
    )
    await svc.on_start()
    await read.wait()
    await asyncio.sleep(2 * const.RELAYED_CHECK_INTERVAL_S)
    assert origin.calls == ["all configuration"]
    clock.now += known.wait_s(kind) + const.RELAY_AGE_MARGIN_S
    await origin.done.wait()
    await svc.on_stop()
    assert origin.calls == ["all configuration", "after 5"]


async def test_follower_that_is_told_is_not_away() -> None:
    """Its own followers would read the store for themselves."""
    kind = source.Kind.SERVERS
    clock = clocks.VirtualClock()
    known = state.Knowledge(builders.BOUNDS)
    origin = ScriptedSource(clock, [(0.1, facts(5)), (0.1, AWAY)])
    taking = applier.Applier(
        known, clock, lambda: None, origin.forgotten.append
    )
    told: set[source.Kind] = set()
    svc = follower.Follower(
        kind, origin, known, taking, clock, random.Random(1), told.__contains__
    )
    await svc.on_start()
    await asyncio.sleep(const.RETRY_MIN_S / 4)
    assert known.away == {kind}
    told.add(kind)
    await asyncio.sleep(const.RETRY_MIN_S)
    await svc.on_stop()
    assert not known.away


async def test_renewed_registration_tells_what_is_left_of_being_cold() -> None:
    s1 = builders.server("s1", cold_s=5.0)
    renewed = dataclasses.replace(s1, cold_s=4.0)
    known, _, clock = await _async_play(
        source.Kind.SERVERS,
        [
            (0.1, facts(5, source.ServerIs(s1))),
            (0.1, facts(6, source.ServerIs(renewed))),
        ],
    )
    assert abs(known.servers["s1"].cold_until - clock.now - 4.0) < 1e-6
