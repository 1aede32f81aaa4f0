"""Evidence against prompt blocks outlives a stop of all routers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from standins import platform_store
from tamarackbridge.components.fleet import evidence_keeper
from tamarackbridge.components.placement import crash_evidence, quarantine
from tamarackbridge.platform import const, evidence_store, store
from tests import clocks

DEADLY = frozenset(("dd",))


class _WallClock(clocks.VirtualClock):
    """Virtual clock whose time of day is independent of its seconds."""

    def __init__(self, now: float, wall_s: float) -> None:
        super().__init__(now)
        self.wall_s = wall_s

    def wall(self) -> float:
        return self.wall_s


@contextlib.asynccontextmanager
async def _async_keeper(
    standin: platform_store.PlatformStore, now: float, wall_s: float
) -> AsyncIterator[quarantine.BlockQuarantine]:
    """Runs the keeper of a router that just started."""
    evidence = quarantine.BlockQuarantine("r1")
    client = store.Store(standin.address)
    await client.start()
    keeper = evidence_keeper.EvidenceKeeper(
        evidence_store.StoreEvidence(client), evidence, _WallClock(now, wall_s)
    )
    await keeper.on_start()
    yield evidence
    await keeper.on_stop()
    await client.stop()


def _suspect(
    server: str, crashed_at: float, blocks: frozenset[str] = DEADLY
) -> crash_evidence.Suspect:
    return crash_evidence.Suspect(
        server, 5, blocks, True, crashed_at - 0.1, crashed_at
    )


def _remaining_s(evidence: quarantine.BlockQuarantine, now: float) -> float:
    return evidence.remaining_s(lambda: DEADLY, lambda: ("r1", "r2"), now)


async def _async_wait_until_stored(
    standin: platform_store.PlatformStore, count: int
) -> None:
    for _ in range(500):
        stored = standin._objects.get(const.KIND_QUARANTINES, {})
        if len(stored) == count:
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"never {count} objects")


@pytest.mark.parametrize("clock_error_s", [0.0, 2.0, -2.0])
async def test_quarantine_outlives_a_stop_of_all_routers(
    clock_error_s: float,
) -> None:
    async with platform_store.PlatformStore() as standin:
        async with _async_keeper(standin, 1_000.0, 5e8) as evidence:
            evidence.record_suspects((_suspect("i-1", 999.0),), 999.0)
            evidence.record_own_crash(_suspect("i-2", 1_000.0), 1_000.0)
            await _async_wait_until_stored(standin, 1)
        wall_s = 5e8 + 10.0 + clock_error_s
        async with _async_keeper(standin, 20.0, wall_s) as evidence:
            for _ in range(500):
                if _remaining_s(evidence, 20.0):
                    break
                await asyncio.sleep(0.01)
            left_s = _remaining_s(evidence, 20.0)
            expected_s = quarantine.QUARANTINE_S - 10.0 - clock_error_s
            assert left_s == pytest.approx(expected_s, abs=0.1)


async def test_clock_that_was_set_back_does_not_lose_a_quarantine() -> None:
    async with platform_store.PlatformStore() as standin:
        async with _async_keeper(standin, 1_000.0, 5e8) as evidence:
            evidence.record_suspects((_suspect("i-1", 999.0),), 999.0)
            evidence.record_own_crash(_suspect("i-2", 1_000.0), 1_000.0)
            await _async_wait_until_stored(standin, 1)
        async with _async_keeper(standin, 20.0, 5e8 - 100.0) as evidence:
            for _ in range(500):
                if _remaining_s(evidence, 20.0):
                    break
                await asyncio.sleep(0.01)
            assert _remaining_s(evidence, 20.0) == quarantine.QUARANTINE_S


async def test_evidence_without_a_quarantine_is_not_saved() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    evidence.record_own_crash(_suspect("i-1", 1.0), 1.0)
    assert evidence.pop_unsaved() == ()
    # What another router quarantines is saved there.
    evidence.record_suspects((_suspect("i-2", 2.0),), 2.0)
    assert _remaining_s(evidence, 2.0) > 0
    assert evidence.pop_unsaved() == ()


async def test_expired_and_malformed_evidence_is_no_obstacle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(evidence_keeper, "RELOAD_S", 0.05)
    async with platform_store.PlatformStore() as standin:
        kind = const.KIND_QUARANTINES
        await standin.async_put(kind, "i-8", {"suspects": [{"server": 1}]})
        await standin.async_put(kind, "i-9", {"suspects": []})
        async with _async_keeper(standin, 1_000.0, 5e8) as evidence:
            evidence.record_suspects((_suspect("i-1", 999.0),), 999.0)
            evidence.record_own_crash(_suspect("i-2", 1_000.0), 1_000.0)
            await _async_wait_until_stored(standin, 3)
        async with _async_keeper(standin, 20.0, 6e8) as evidence:
            # The malformed one may be another version's, and is left.
            await _async_wait_until_stored(standin, 1)
            assert not _remaining_s(evidence, 20.0)
