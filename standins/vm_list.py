"""Stand-in for the platform's list of VMs."""

import asyncio
import time
from typing import Any

from aiohttp import web
import msgspec

from standins import base


class Vm(msgspec.Struct, frozen=True):
    """One VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        address: Its IP address, which may have a port.
        state: `live`, or `leaving` once its shutdown is announced.
    """

    name: str
    zone: str
    address: str
    state: str = "live"


class Listing(msgspec.Struct, frozen=True):
    """Body of the answer to a list request."""

    vms: list[Vm]


class VmList(base.StandIn):
    """Serves the list of VMs with a delay.

    Attributes:
        vms: Current VMs by name.
        lag_s: Age of the list that is served.
    """

    def __init__(self, lag_s: float = 0.0, seed: int = 0) -> None:
        super().__init__(base.Faults(), seed)
        self.vms: dict[str, Vm] = {}
        self.lag_s = lag_s
        self._history: list[tuple[float, list[Vm]]] = []

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of the VM list."""
        router.add_get("/vms", self._async_list)
        router.add_put("/vms/{name}", self._async_put)
        router.add_delete("/vms/{name}", self._async_delete)

    def put(self, vm: Vm) -> None:
        """Adds or changes a VM."""
        self.vms[vm.name] = vm
        self._record()

    def remove(self, name: str) -> None:
        """Removes a VM."""
        self.vms.pop(name, None)
        self._record()

    def state(self) -> dict[str, Any]:
        """Returns the names of the current VMs."""
        return {"vms": sorted(self.vms)}

    def _record(self) -> None:
        self._history.append((time.monotonic(), list(self.vms.values())))

    async def _async_list(self, _: web.Request) -> web.Response:
        self.count("list")
        await asyncio.sleep(0)
        visible_vms: list[Vm] = []
        for at, vms in self._history:
            if at <= time.monotonic() - self.lag_s:
                visible_vms = vms
        return web.Response(
            body=msgspec.json.encode(Listing(visible_vms)),
            content_type="application/json",
        )

    async def _async_put(self, req: web.Request) -> web.Response:
        self.put(msgspec.json.decode(await req.read(), type=Vm))
        return web.Response()

    async def _async_delete(self, req: web.Request) -> web.Response:
        self.remove(req.match_info["name"])
        return web.Response()
