"""Directory of the routers, kept in the platform's store."""

from typing import Any

import result

from tamarackbridge.platform import const, records, store


class StoreDirectory:
    """Directory with one object per router, named after its peer address."""

    def __init__(self, client: store.Store) -> None:
        self._client = client
        self._listed: dict[str, str] = {}

    async def async_enter(self, address: str, zone: str) -> bool:
        """Adds this router; returns whether it is certain to be listed.

        An entry that exists is replaced only if it was listed with another
        zone. Otherwise it is from the same address and zone: from before a
        restart, or from a call whose response was lost.
        """
        spec = {"zone": zone}
        write = self._client.async_create
        if self._listed.get(address, zone) != zone:
            write = self._client.async_put
        answer = await write(const.KIND_MEMBERS, _name(address), spec)
        return answer in (result.Ok(None), result.Err(store.Failure.CONFLICT))

    def era(self) -> int:
        """Returns the era that the store named last; 0 if it names none."""
        return self._client.era

    async def async_leave(self, address: str) -> None:
        """Removes a router."""
        await self._client.async_delete(const.KIND_MEMBERS, _name(address))

    async def async_routers(
        self, allow_stale: bool = False
    ) -> dict[str, str] | None:
        """Returns the listed routers' zones by address; None on failure.

        Args:
            allow_stale: Whether the list may be seconds old.
        """
        page = await self._client.async_list(const.KIND_MEMBERS, allow_stale)
        if isinstance(page, result.Err):
            return None
        zones = {
            _address(item.name): _zone(item.spec)
            for item in page.ok_value.objects
        }
        zones.pop("", None)
        self._listed = zones
        return zones


def _name(address: str) -> str:
    return address.replace(":", "_")


def _address(name: str) -> str:
    """Returns the address in an object's name; empty if there is none."""
    address = ":".join(name.rsplit("_", 1))
    return address if records.is_address(address) else ""


def _zone(spec: Any) -> str:
    """Returns the zone in an object's content; empty if there is none."""
    zone = spec.get("zone") if isinstance(spec, dict) else None
    return zone if isinstance(zone, str) else ""
