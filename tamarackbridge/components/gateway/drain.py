"""The steps of a graceful shutdown."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from tamarackbridge import core
from tamarackbridge.components.gateway import shutdown
from tamarackbridge.components.telemetry import events

NOTICE_S = 2.6
"""Time until the balancer sends no new connections: it asks once a second and
needs two misses, and its question may wait for half a second."""

QUIET_S = 0.3
"""A shutdown ends when nothing was held for this long: a connection that the
balancer has just made needs a few round trips for its request."""

LISTEN_S = shutdown.TAKE_ALL_S + QUIET_S
"""Least time until the listener closes: a request that is sent while all are
taken needs a few round trips for its connection."""

HELD_POLL_S = 0.05
"""Interval at which a shutdown looks for what is still held."""


class Gateway(Protocol):
    """The callers' listener, as far as a shutdown needs it.

    Attributes:
        shutdown: The times of the shutdown; None while there is none.
    """

    shutdown: shutdown.Shutdown | None

    @property
    def held(self) -> int:
        """Requests under way."""
        ...

    def close_listener(self) -> None:
        """Takes no further connections."""
        ...

    def close_idle(self) -> None:
        """Closes connections that wait for a request."""
        ...


class Leave(Protocol):
    """Takes this router off the list of routers."""

    def __call__(self) -> Coroutine[Any, Any, None]:
        """Asks the store once."""
        ...


async def async_drain(
    gateway: Gateway, clock: core.Clock, shutdown_s: float, leave: Leave
) -> None:
    """Lets go of callers, then waits for what is held.

    Args:
        gateway: The callers' listener.
        clock: Measures the steps.
        shutdown_s: Time after which the process would be killed.
        leave: Takes this router off the list of routers.
    """
    times = shutdown.begin(clock.monotonic(), shutdown_s)
    gateway.shutdown = times
    events.write(events.Draining(gateway.held))
    leaving = asyncio.create_task(leave())
    left_s = max(times.end - clock.monotonic(), 0.0)
    await asyncio.sleep(min(NOTICE_S, left_s))
    gateway.close_idle()
    await _async_until_quiet(gateway, clock, times, times.began + LISTEN_S)
    gateway.close_listener()
    await _async_until_quiet(gateway, clock, times, times.began)
    gateway.close_idle()
    leaving.cancel()


async def _async_until_quiet(
    gateway: Gateway,
    clock: core.Clock,
    times: shutdown.Shutdown,
    earliest: float,
) -> None:
    """Waits until nothing was held for a while, or time is up.

    Args:
        gateway: The callers' listener.
        clock: Measures the wait.
        times: The times of the shutdown.
        earliest: Time before which the wait does not end.
    """
    quiet_since = clock.monotonic()
    while (now := clock.monotonic()) < times.end:
        if gateway.held:
            quiet_since = now
        elif now - quiet_since >= QUIET_S and now >= earliest:
            return
        await asyncio.sleep(HELD_POLL_S)
