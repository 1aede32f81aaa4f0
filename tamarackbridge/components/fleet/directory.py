"""Enters a router in the stored directory of routers, and reads it."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from tamarackbridge import core

RETRY_S = 1.0
"""Interval between attempts to enter the directory and to read it; a call to
the store takes that long when it fails."""

REREAD_S = (3.0, 10.0)
"""Times after the start at which the directory is read again. Routers that
start together enter it within 3 s; a stale read may lack the last seconds, so a
second one follows."""

ALONE_S = 1.0
"""Time after the start at which a router that has heard no other one reads the
directory without stale data: its seeds may be gone, and the others may have
entered too late for its first read."""


class Directory(Protocol):
    """The stored list of routers, read by each router at its start."""

    async def async_enter(self, address: str, zone: str) -> bool:
        """Adds this router; returns whether it is certain to be listed."""
        ...

    def era(self) -> int:
        """Returns the era that the store named last; 0 if it names none."""
        ...

    async def async_leave(self, address: str) -> None:
        """Removes a router."""
        ...

    async def async_routers(
        self, allow_stale: bool = False
    ) -> dict[str, str] | None:
        """Returns the listed routers' zones by address; None on failure.

        Args:
            allow_stale: Whether the list may be seconds old.
        """
        ...


class Entry:
    """Enters the directory, and adds the routers that it lists.

    A router that the directory lists already, from before its restart, is not
    entered again: most routers of a fleet that was killed are.

    Attributes:
        era: Era of the store in which this router was entered; None before.
        was_listed: Whether this router was listed before it entered. The list
            is then one of the fleet before a restart, and names most routers.
    """

    def __init__(
        self,
        directory: Directory,
        address: str,
        zone: str,
        clock: core.Clock,
        on_listed: Callable[[Mapping[str, str]], None],
        is_alone: Callable[[], bool],
    ) -> None:
        """Initializes the entry.

        Args:
            directory: The stored directory.
            address: This router.
            zone: Its zone.
            clock: Clock of the intervals.
            on_listed: Called with the zones of the listed routers.
            is_alone: Returns whether no other router has been heard.
        """
        self.era: int | None = None
        self.was_listed = False
        self._directory = directory
        self._address = address
        self._zone = zone
        self._clock = clock
        self._on_listed = on_listed
        self._is_alone = is_alone
        self._is_entered = False
        self._has_left = False

    async def async_run(self) -> None:
        """Enters the directory and reads it, and ends when both are done."""
        began = self._clock.monotonic()
        listed = await self._async_read(allow_stale=True)
        self.was_listed = self._is_in(listed)
        await self._async_enter_unless_in(listed)
        await self._async_sleep_until(began + ALONE_S)
        if self._is_alone():
            await self._async_read(allow_stale=False)
        for reread_s in REREAD_S:
            await self._async_sleep_until(began + reread_s)
            listed = await self._async_read(allow_stale=True)
            await self._async_enter_unless_in(listed)

    async def async_enter(self) -> None:
        """Enters the directory; repeats this until it is certain."""
        while not self._has_left:
            if await self._directory.async_enter(self._address, self._zone):
                self._is_entered = True
                return
            await asyncio.sleep(RETRY_S)

    async def async_leave(self) -> None:
        """Removes this router; it does not enter again after that."""
        self._has_left = True
        await self._directory.async_leave(self._address)

    async def _async_enter_unless_in(self, listed: Mapping[str, str]) -> None:
        """Enters the directory, unless this router is in it.

        An entry in a list that may be stale is not taken for certain: the
        process before may have removed it. A later list shows that.
        """
        if not self._is_entered and not self._is_in(listed):
            await self.async_enter()
        if self.era is None:
            self.era = self._directory.era()

    def _is_in(self, listed: Mapping[str, str]) -> bool:
        return listed.get(self._address) == self._zone

    async def _async_read(self, allow_stale: bool) -> dict[str, str]:
        while True:
            listed = await self._directory.async_routers(allow_stale)
            if listed is not None:
                self._on_listed(listed)
                return listed
            await asyncio.sleep(RETRY_S)

    async def _async_sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(at - self._clock.monotonic(), 0.0))
