"""Reads the VM list now and then and tells the deciders."""

from collections.abc import Callable
import random

import mode
import result

from tamarackbridge import core
from tamarackbridge.components import vm_list
from tamarackbridge.components.membership import messages as membership

POLL_INTERVAL_S = 5.0


class VmListPoller(core.Service):
    """Polls the VM list; the name of a VM is its router's identifier.

    Attributes:
        failed: How often the list gave no usable answer.
    """

    def __init__(
        self,
        source: vm_list.VmList,
        rng: random.Random,
        inject: Callable[[core.Message], None],
    ) -> None:
        super().__init__()
        self.failed = 0
        self._source = source
        self._rng = rng
        self._inject = inject

    @mode.Service.task
    async def _async_run(self) -> None:
        while not self.should_stop:
            await self._async_poll()
            await self.sleep(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def _async_poll(self) -> None:
        read = await self._source.async_list()
        if isinstance(read, result.Err):
            self.failed += 1
            return
        names = tuple(vm.name for vm in read.ok_value)
        if names:  # A list without any VM tells nothing about this fleet.
            self._inject(membership.VmListRead(names))
