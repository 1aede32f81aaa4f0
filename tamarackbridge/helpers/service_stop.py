"""Stops services one after the other within a time limit."""

import asyncio
from collections.abc import Sequence

from absl import logging
import mode


async def async_stop(services: Sequence[mode.Service], limit_s: float) -> None:
    """Stops services in reverse order; returns once the time is up.

    Each service begins to stop, also after that time: what it does before its
    first pause is always done.

    Args:
        services: The services, in the order in which they were started.
        limit_s: Seconds for all of them together.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    for svc in reversed(services):
        stopping = asyncio.create_task(svc.stop())
        await asyncio.wait({stopping}, timeout=max(end - loop.time(), 0.0))
        if stopping.done():
            stopping.result()
        else:
            stopping.cancel()
            logging.info({"event": "StopCutShort", "service": str(svc)})
