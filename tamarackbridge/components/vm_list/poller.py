"""Polls the VM list and passes it to the deciders."""

from collections.abc import Callable
import random

import mode
import result

from tamarackbridge import core
from tamarackbridge.components import vm_list
from tamarackbridge.components.membership import messages as membership

POLL_INTERVAL_S = 5.0


class VmListPoller(core.Service):
    """Polls the VM list; the name of a VM is the identifier of its router.

    Attributes:
        failed: Number of polls without a usable answer.
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
        answer = await self._source.async_list()
        if isinstance(answer, result.Err):
            self.failed += 1
            return
        names = tuple(vm.name for vm in answer.ok_value)
        if names:  # An empty list says nothing about this fleet.
            self._inject(membership.VmListRead(names))
