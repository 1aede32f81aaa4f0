"""The list of routers, kept as objects of the system's own kind."""

from typing import Any

import result

from tamarackbridge.platform import const, records, store


class StoreDirectory:
    """One object for each router, named by its peer address."""

    def __init__(self, client: store.Store) -> None:
        self._client = client

    async def async_enter(self, address: str, zone: str) -> bool:
        """Adds this router; says whether it is certainly in."""
        answer = await self._client.async_put(
            const.KIND_MEMBERS, _name(address), {"zone": zone}
        )
        return isinstance(answer, result.Ok)

    async def async_leave(self, address: str) -> None:
        """Removes this router."""
        await self._client.async_delete(const.KIND_MEMBERS, _name(address))

    async def async_routers(self) -> dict[str, str] | None:
        """Returns routers' addresses and zones; None if they can't be read."""
        page = await self._client.async_list(const.KIND_MEMBERS)
        if isinstance(page, result.Err):
            return None
        found = {
            _address(item.name): _zone(item.spec)
            for item in page.ok_value.objects
        }
        found.pop("", None)
        return found


def _name(address: str) -> str:
    return address.replace(":", "_")


def _address(name: str) -> str:
    """Returns the address that a name stands for; empty where it is none."""
    address = ":".join(name.rsplit("_", 1))
    return address if records.is_address(address) else ""


def _zone(spec: Any) -> str:
    """Returns the zone of an entry; empty where it is not told."""
    zone = spec.get("zone") if isinstance(spec, dict) else None
    return zone if isinstance(zone, str) else ""
