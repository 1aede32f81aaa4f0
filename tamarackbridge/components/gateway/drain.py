"""Graceful shutdown of the router."""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any, Protocol

from tamarackbridge import core
from tamarackbridge.components.gateway import shutdown
from tamarackbridge.components.telemetry import events

BALANCER_NOTICE_S = 2.6
"""Time until the load balancer opens no new connections: it probes readiness
once a second, needs two failed probes, and a probe may take half a second."""

QUIET_S = 0.3
"""The shutdown completes once no request was in flight for this long. A
connection that the load balancer has just opened needs a few round trips until
its request arrives."""

MIN_LISTEN_S = shutdown.BALANCER_S + QUIET_S
"""Minimum time until the listener closes. A caller that the load balancer sends
here at the last moment needs a few round trips to open its connection."""

IN_FLIGHT_POLL_S = 0.05
"""Interval at which a shutdown checks for requests in flight."""


class Gateway(Protocol):
    """The part of the gateway that a shutdown controls.

    Attributes:
        shutdown: Schedule of the shutdown; None while the router is running.
    """

    shutdown: shutdown.ShutdownSchedule | None

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        ...

    def close_listener(self) -> None:
        """Stops accepting connections."""
        ...

    def close_idle(self) -> None:
        """Closes connections that have no request in flight."""
        ...

    def answer_unanswered(self) -> None:
        """Answers the requests in flight that have no answer yet."""
        ...


class Deregister(Protocol):
    """Removes this router from the list of routers in the store."""

    def __call__(self) -> Coroutine[Any, Any, None]:
        """Sends one request to the store, without retries."""
        ...


async def async_drain(
    gateway: Gateway,
    clock: core.Clock,
    shutdown_s: float,
    deregister: Deregister,
    signalled_at: float,
) -> None:
    """Stops accepting requests and waits for those in flight.

    Args:
        gateway: The gateway that is shut down.
        clock: Clock for the steps of the shutdown.
        shutdown_s: Time from the signal until the process would be killed.
        deregister: Removes this router from the list of routers in the store.
        signalled_at: Time of the signal.
    """
    now = clock.monotonic()
    schedule = shutdown.begin(signalled_at, shutdown_s)
    gateway.shutdown = schedule
    late_s = round(now - signalled_at, 4)
    events.write(events.Draining(gateway.in_flight, late_s))
    deregistration = asyncio.create_task(deregister())
    noticed_at = min(schedule.started + BALANCER_NOTICE_S, schedule.answer_by)
    await asyncio.sleep(max(noticed_at - now, 0.0))
    gateway.close_idle()
    await _async_wait_until_idle(
        gateway, clock, schedule.started + MIN_LISTEN_S, schedule.answer_by
    )
    gateway.close_listener()
    await _async_wait_until_idle(
        gateway, clock, schedule.started, schedule.answer_by
    )
    gateway.shutdown = dataclasses.replace(schedule, is_over=True)
    gateway.answer_unanswered()
    await _async_wait_until_idle(gateway, clock, schedule.started, schedule.end)
    gateway.close_idle()
    deregistration.cancel()


async def _async_wait_until_idle(
    gateway: Gateway, clock: core.Clock, earliest: float, latest: float
) -> None:
    """Waits until no request was in flight for `QUIET_S`, or time is up.

    Args:
        gateway: The gateway that is shut down.
        clock: Clock for the wait.
        earliest: Time before which the wait does not end.
        latest: Time at which it ends.
    """
    idle_since = clock.monotonic()
    while (now := clock.monotonic()) < latest:
        if gateway.in_flight:
            idle_since = now
        elif now - idle_since >= QUIET_S and now >= earliest:
            return
        await asyncio.sleep(IN_FLIGHT_POLL_S)
