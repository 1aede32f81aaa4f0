"""The directory of routers in the platform's store."""

from standins import platform_store
from tamarackbridge.platform import const, directory, store


async def test_entry_without_an_address_is_ignored() -> None:
    async with platform_store.PlatformStore() as standin:
        for name in ("10.0.0.1_80", "10.0.0.1_99999", "10.0.0.1_x", "_80", "x"):
            await standin.async_put(const.KIND_MEMBERS, name, {"zone": "z1"})
        client = store.Store(standin.address)
        await client.start()
        found = await directory.StoreDirectory(client).async_routers()
        await client.stop()
    assert found == {"10.0.0.1:80": "z1"}


async def test_entry_after_a_lost_response_costs_one_call() -> None:
    """Guards against a replacement of an entry by its like."""
    async with platform_store.PlatformStore() as standin:
        await standin.async_put(const.KIND_MEMBERS, "10.0.0.1_80", {})
        client = store.Store(standin.address)
        await client.start()
        entries = directory.StoreDirectory(client)
        assert await entries.async_enter("10.0.0.1:80", "z1")
        assert client.calls == 1
        await entries.async_routers(allow_stale=True)
        assert await entries.async_enter("10.0.0.1:80", "z1")
        assert await entries.async_routers() == {"10.0.0.1:80": "z1"}
        await client.stop()
