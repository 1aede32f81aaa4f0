"""Fault injection: unmarked ends of streams that no other server confirms.

A server sends streams without a length, or dies within them, and for a time the
servers that are asked whether those go on cut, refuse, fail or hang. Drawn from
a random source of its own, so that earlier seeds draw what they always drew.
"""

import asyncio
import random

from soak import environment, faults
from standins import platform_server, server_faults

MEAN_GAP_S = 1.2
"""Mean time between the starts of two faults."""

CONFIRMATION_S = (0.3, 1.3)
"""Shortest and longest time for which no server confirms ends: a router waits
for up to one second."""

GATHER_S = (0.2, 0.6)
"""Shortest and longest time in which streams gather at a server that is to cut
them all at once."""

SLOW_EVENT_INTERVAL_S = 0.12
"""Pause after each event of streams that gather."""

FIRST_ENDS: tuple[platform_server.AnyFault, ...] = (
    platform_server.Fault.UNFRAMED,
    platform_server.Fault.UNFRAMED,
    server_faults.EarlyEnd.UNFRAMED_CUT_EVENT,
)
"""Streams without a length: whole, or cut within an event."""

CONTINUED_ENDS: tuple[platform_server.AnyFault, ...] = (
    platform_server.Fault.NONE,
    platform_server.Fault.UNFRAMED,
    server_faults.EarlyEnd.UNFRAMED_EMPTY,
    server_faults.EarlyEnd.UNFRAMED_CUT_EVENT,
    platform_server.Fault.CUT_BETWEEN,
    platform_server.Fault.REFUSE,
    platform_server.Fault.FAIL,
    platform_server.Fault.LOSE,
    platform_server.Fault.HANG,
)
"""Answers of a server that is to go on with a stream of another."""


async def async_inject(
    env: environment.Environment, rng: random.Random, seconds: float
) -> None:
    """Starts faults for a time, and returns when the last has ended.

    The first begins at once, when no router knows how servers end streams.

    Args:
        env: Servers and links.
        rng: Source of the faults and of their start times.
        seconds: Time during which new faults start.
    """
    first_rng = random.Random(rng.randrange(2**32))
    await asyncio.gather(
        faults.async_run_action(rng.choice(_ACTIONS), env, first_rng),
        faults.async_start_actions(_ACTIONS, MEAN_GAP_S, env, rng, seconds),
    )


async def _async_end_each(
    env: environment.Environment, rng: random.Random
) -> None:
    """Lets a server end each of its streams without a mark."""
    server = env.servers[rng.choice(sorted(env.servers))]
    server.stream_fault = rng.choice(FIRST_ENDS)
    await _async_disturb_confirmations(env, rng)
    server.stream_fault = platform_server.Fault.NONE


async def _async_cut_at_once(
    env: environment.Environment, rng: random.Random
) -> None:
    """Lets a server die within all its streams at once.

    It is back at once, or after a while.
    """
    name = rng.choice(sorted(env.servers))
    server, link = env.servers[name], env.links[name]
    down_s = rng.choice((0.0, 0.5))
    server.stream_fault = platform_server.Fault.UNFRAMED
    server.event_interval_s = SLOW_EVENT_INTERVAL_S
    await asyncio.sleep(rng.uniform(*GATHER_S))
    server.stream_fault = platform_server.Fault.NONE
    server.event_interval_s = environment.EVENT_INTERVAL_S
    if link.is_listening:
        env.kill_server(name)
        await asyncio.sleep(down_s)
        await env.async_restart_server(name)
    await _async_disturb_confirmations(env, rng)


async def _async_disturb_confirmations(
    env: environment.Environment, rng: random.Random
) -> None:
    """Draws for each server how it goes on with streams, for a time."""
    for name in sorted(env.servers):
        env.servers[name].continued_fault = rng.choice(CONTINUED_ENDS)
    await asyncio.sleep(rng.uniform(*CONFIRMATION_S))
    for server in env.servers.values():
        server.continued_fault = platform_server.Fault.NONE


_ACTIONS: tuple[faults.Action, ...] = (_async_end_each, _async_cut_at_once)
