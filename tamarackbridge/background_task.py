"""Tasks that last as long as their service.

Load pattern: one odd value or one late callback raises an error in a task on
which readiness or service depends. Nobody awaits such a task, so without a
restart the router would go on with its last values for good.
"""

import asyncio
from collections.abc import Callable, Coroutine
import traceback
from typing import Any

from tamarackbridge.components.telemetry import events

RESTART_MIN_S = 0.25
"""Pause before the first restart: several failures a second would take
processor time from requests."""

RESTART_MAX_S = 4.0
"""Pause that repeated failures lead to, in seconds."""

HEALTHY_S = 60.0
"""Time without a failure after which the pause begins anew."""


def start(
    name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> "asyncio.Task[None]":
    """Starts a task that is run again, after a pause, if it fails.

    Each failure leaves a `TaskFailed` event. The task ends when `run` returns,
    or when it is cancelled.

    Args:
        name: Name of the task in the log.
        run: Makes the coroutine to run.
    """
    return asyncio.create_task(_async_run(name, run), name=name)


async def _async_run(
    name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    loop = asyncio.get_running_loop()
    failures = 0
    pause_s = RESTART_MIN_S
    while True:
        began = loop.time()
        try:
            await run()
        except Exception as exc:
            failures += 1
            if loop.time() - began >= HEALTHY_S:
                pause_s = RESTART_MIN_S
            events.write(
                events.TaskFailed(name, _describe(exc), failures, pause_s)
            )
        else:
            return
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, RESTART_MAX_S)


def _describe(exc: Exception) -> str:
    """Returns an error with the place where it was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    place = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return f"{type(exc).__name__}: {exc}{place}"
