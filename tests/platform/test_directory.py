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
