"""Watchdog that ends the process when one of its services has crashed."""

from collections.abc import Callable, Sequence

from absl import logging
import mode

from tamarackbridge import core

CHECK_INTERVAL_S = 0.5


class CrashWatch(core.Service):
    """Service that checks the others for crashes.

    A router without one of its services could keep the leases of shards that it
    no longer dispatches, so it stops and other routers take them over.
    """

    def __init__(
        self,
        services: Sequence[mode.Service],
        on_crash: Callable[[], None],
        interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        super().__init__()
        self._services = services
        self._on_crash = on_crash
        self._interval_s = interval_s

    @mode.Service.task
    async def _async_run(self) -> None:
        while not self.should_stop:
            crashed = [svc for svc in self._services if svc.crashed]
            for svc in crashed:
                logging.error("service crashed: %r", svc.crash_reason)
            if crashed:
                self._on_crash()
                return
            await self.sleep(self._interval_s)
