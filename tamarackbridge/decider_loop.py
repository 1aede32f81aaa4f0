"""Runs the deciders of one router on the real clock and network."""

from collections.abc import Callable, Sequence

import mode

from tamarackbridge import const, core
from tamarackbridge.components import object_api


class DeciderLoop(core.Service):
    """Owns the decider group; everything that happens passes through it."""

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

    def receive(self, delivery: core.Delivery) -> None:
        """Delivers one message from another router."""
        now = self._clock.monotonic()
        self._send(self._group.handle(delivery, now))

    def inject(self, msg: core.Message) -> None:
        """Delivers one message from a service of this router."""
        self.receive(core.Delivery(self._group.node, msg))

    @mode.Service.task
    async def _async_tick(self) -> None:
        while not self.should_stop:
            self._send(self._group.tick(self._clock.monotonic()))
            await self.sleep(const.TICK_S)

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
