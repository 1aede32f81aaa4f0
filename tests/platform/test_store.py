"""The store's client against a stand-in: a table of faults."""

import pytest
import result

from standins import platform_store
from tamarackbridge.components.knowledge import source
from tamarackbridge.platform import source as platform_source
from tamarackbridge.platform import store

Failure = store.Failure


async def _async_client(
    here: platform_store.PlatformStore,
) -> store.Store:
    client = store.Store(here.address)
    await client.start()
    return client


async def test_list_goes_on_over_pages() -> None:
    async with platform_store.PlatformStore() as here:
        names = [f"n{number:03}" for number in range(130)]
        for name in names:
            await here.async_put("servers", name, {})
        client = await _async_client(here)
        page = (await client.async_list("servers")).unwrap()
        assert [it.name for it in page.objects] == names
        assert page.revision == here.revision
        assert client.calls == 3
        await client.stop()


async def test_watch_gives_what_changed() -> None:
    async with platform_store.PlatformStore() as here:
        await here.async_put("servers", "a", {"x": 1})
        client = await _async_client(here)
        since = here.revision
        await here.async_put("servers", "b", {"x": 2})
        await here.async_remove("servers", "a")
        page = (await client.async_watch("servers", since, 1.0)).unwrap()
        found = [(it.name, it.deleted) for it in page.objects]
        assert found == [("b", False), ("a", True)]
        await client.stop()


async def test_forgotten_history_is_told_apart() -> None:
    async with platform_store.PlatformStore() as here:
        client = await _async_client(here)
        await here.async_put("servers", "a", {})
        here.forget_history()
        answer = await client.async_watch("servers", 1, 0.1)
        assert answer == result.Err(Failure.HISTORY_LOST)
        await client.stop()


@pytest.mark.parametrize(
    ("faults", "failure"),
    [
        (platform_store.StoreFaults(status=503), Failure.REFUSED),
        (platform_store.StoreFaults(status=429), Failure.REFUSED),
        (platform_store.StoreFaults(down=True), Failure.UNREACHABLE),
        (platform_store.StoreFaults(lose_answer=1.0), Failure.UNREACHABLE),
        (platform_store.StoreFaults(silent=True), Failure.UNREACHABLE),
        (platform_store.StoreFaults(slow_s=0.3), Failure.UNREACHABLE),
    ],
)
async def test_faults_give_no_knowledge(
    faults: platform_store.StoreFaults,
    failure: store.Failure,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    async with platform_store.PlatformStore() as here:
        client = await _async_client(here)
        here.set_faults(faults)
        answer = await client.async_watch("servers", here.revision, 0.05)
        assert answer == result.Err(failure)
        await client.stop()


async def test_entering_twice_leaves_one_object() -> None:
    async with platform_store.PlatformStore() as here:
        client = await _async_client(here)
        for _ in range(2):
            put = await client.async_put("own", "r1", {"address": "a"})
            assert isinstance(put, result.Ok)
        assert here.names("own") == ["r1"]
        await client.async_delete("own", "r1")
        assert here.names("own") == []
        await client.stop()


async def test_unreadable_registration_ends_the_known_one() -> None:
    async with platform_store.PlatformStore() as here:
        await here.async_put("servers", "a", "what another writer left")
        client = await _async_client(here)
        origin = platform_source.StoreSource(client)
        answer = (await origin.async_all(source.Kind.SERVERS)).unwrap()
        assert answer.facts == (source.ServerGone("a"),)
        assert origin.unreadable == 1
        await client.stop()
