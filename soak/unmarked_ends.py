"""Fault injection: answers whose end nothing marks but their connection.

Drawn from a random source of their own, so that the seeds of `faults` draw what
they always drew.
"""

import asyncio
import random

from soak import environment, faults
from standins import platform_server, server_faults

MEAN_GAP_S = 0.7
"""Mean time between the starts of two faults."""

CRASH_S = (4.0, 6.0)
"""Shortest and longest time for which a crashed server refuses connections:
longer than any pause of a router, which then looks whether the server lives."""

CRASHED_STREAMS = 12
"""Streams that a server sends without a length before it crashes."""

STREAM_ENDS = (
    platform_server.Fault.UNFRAMED,
    platform_server.Fault.UNFRAMED,
    server_faults.EarlyEnd.UNFRAMED_CUT_EVENT,
    server_faults.EarlyEnd.UNFRAMED_RESET_BETWEEN,
)
"""Ends of streams without a length. A live server does not close one in good
order between two events before its end: no router could tell that where nobody
else can be asked. One that dies does."""


async def async_inject(
    env: environment.Environment, rng: random.Random, seconds: float
) -> None:
    """Starts faults for a time, and returns when the last has ended.

    Args:
        env: Servers and links.
        rng: Source of the faults and of their start times.
        seconds: Time during which new faults start.
    """
    await faults.async_start_actions(_ACTIONS, MEAN_GAP_S, env, rng, seconds)


async def _async_end_streams(
    env: environment.Environment, rng: random.Random
) -> None:
    server = env.servers[rng.choice(sorted(env.servers))]
    server.faults.extend(rng.choices(STREAM_ENDS, k=rng.randint(2, 8)))


async def _async_crash(
    env: environment.Environment, rng: random.Random
) -> None:
    """Lets a server crash in the middle of streams without a length."""
    name = rng.choice(sorted(env.servers))
    link = env.links[name]
    if not link.is_listening:
        return
    unframed = [platform_server.Fault.UNFRAMED] * CRASHED_STREAMS
    env.servers[name].faults[:0] = unframed
    await asyncio.sleep(rng.uniform(0.1, 0.4))
    if not link.is_listening:
        return
    env.kill_server(name)
    await asyncio.sleep(rng.uniform(*CRASH_S))
    await env.async_restart_server(name)


_ACTIONS: tuple[faults.Action, ...] = (
    _async_end_streams,
    _async_end_streams,
    _async_crash,
)
