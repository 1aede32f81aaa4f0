"""Service that runs the deciders on the real clock and network."""

import asyncio
from collections.abc import Callable, Sequence
import contextlib

import mode

from tamarackbridge import const, core
from tamarackbridge.components import object_api

IDLE_TICK_S = 0.06
"""Longest interval between ticks while no messages arrive."""


class DeciderLoop(core.Service):
    """Service that passes messages and ticks to the deciders of one router."""

    def __init__(
        self,
        group: core.DeciderGroup,
        clock: core.Clock,
        store: object_api.ObjectApi,
        post: Callable[[str, core.Message], None],
    ) -> None:
        super().__init__()
        self._group = group
        self._clock = clock
        self._store = store
        self._post = post
        self._wake = asyncio.Event()

    def receive(self, delivery: core.Delivery) -> None:
        """Delivers one message from another router."""
        self._wake.set()
        now = self._clock.monotonic()
        self._send(self._group.handle(delivery, now))

    def inject(self, msg: core.Message) -> None:
        """Delivers one message from a service of this router."""
        self.receive(core.Delivery(self._group.node, msg))

    @mode.Service.task
    async def _async_tick(self) -> None:
        while not self.should_stop:
            self._send(self._group.tick(self._clock.monotonic()))
            self._wake.clear()
            await asyncio.sleep(const.TICK_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(IDLE_TICK_S - const.TICK_S):
                    await self._wake.wait()

    def _send(self, envs: Sequence[core.Envelope]) -> None:
        for env in envs:
            if env.to == const.STORE_NODE:
                self.add_future(self._async_call_store(env.msg))
            else:
                self._post(env.to, env.msg)

    async def _async_call_store(self, call: core.Message) -> None:
        sent = self._clock.monotonic()
        reply = await self._store.async_call(call)
        age_s = self._clock.monotonic() - sent
        self.receive(core.Delivery(const.STORE_NODE, reply, age_s))
