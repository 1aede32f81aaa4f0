"""HTTP client of the VM list."""

from typing import Any

import aiohttp
import msgspec
import result

from tamarackbridge import core
from tamarackbridge.components import vm_list
from tamarackbridge.components.settings import models as settings
from tamarackbridge.helpers import response_limits

MAX_BODY_BYTES = 4 * 1024 * 1024


_FAILURES = (
    TimeoutError,
    aiohttp.ClientError,
    msgspec.MsgspecError,
    OSError,
)


class _Listing(msgspec.Struct, frozen=True):
    vms: tuple[vm_list.Vm, ...]


_LISTING = msgspec.json.Decoder(_Listing)


class HttpVmList(core.Service):
    """Reads the platform's VM list."""

    def __init__(self, cfg: settings.PlatformSettings, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._cfg = cfg
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Opens the connection pool."""
        timeout = aiohttp.ClientTimeout(total=self._cfg.timeout_s)
        connector = aiohttp.TCPConnector()
        response_limits.bind(connector)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=timeout
        )

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_list(
        self,
    ) -> result.Result[tuple[vm_list.Vm, ...], vm_list.VmListError]:
        """Returns the VMs that the platform lists, possibly outdated."""
        try:
            return result.Ok(_LISTING.decode(await self._async_read()).vms)
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.MsgspecError,
            OSError,
        ) as exc:
            reason = f"{type(exc).__name__}: {exc}"
            return result.Err(vm_list.VmListError(reason))

    async def _async_read(self) -> bytes:
        if self._session is None:
            raise aiohttp.ClientConnectionError("VM list client is not started")
        async with self._session.get(
            self._cfg.vm_list, allow_redirects=False
        ) as resp:
            resp.raise_for_status()
            body = await resp.content.read(MAX_BODY_BYTES)
            response_limits.check_valid(resp)
            return body
