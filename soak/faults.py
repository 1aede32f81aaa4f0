"""Fault injection: overlapping faults, drawn from a seeded random source.

The number and the order of the draws decide what a seed does: a change to
either makes the seeds that once failed meaningless.
"""

import asyncio
from collections.abc import Awaitable, Callable
import random
import signal
from typing import TypeAlias

from soak import programs, proxy, world
from standins import platform_server, platform_store

GAP_S = 0.9
"""Mean time between the starts of two faults. Most faults last longer, so that
they overlap."""

LASTS_S = (0.2, 3.0)
"""Shortest and longest duration of a fault."""

_WHOLE_IN_THEMSELVES = frozenset(
    (
        platform_server.Fault.PLAIN,
        platform_server.Fault.SHORT_RESTART,
        platform_server.Fault.NO_NUMBERS,
    )
)
"""Faults that the soak test can't use: the server's answer is complete and is
relayed unchanged, but lacks the event numbers that the checks look for."""

SERVER_FAULTS = tuple(
    it for it in platform_server.Fault if it not in _WHOLE_IN_THEMSELVES
)
"""Faulty answers that the soak test lets servers give."""

Play: TypeAlias = Callable[[world.World, random.Random], Awaitable[None]]


async def async_inject(
    place: world.World, rng: random.Random, seconds: float
) -> None:
    """Starts faults for a time, and returns when the last has ended.

    Args:
        place: The deployment.
        rng: Source of the faults and of their start times.
        seconds: Time during which new faults start.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(1 / GAP_S))
            play = rng.choice(_PLAYS)
            own = random.Random(rng.randrange(2**32))
            group.create_task(_async_play(play, place, own))


async def _async_play(
    play: Play, place: world.World, rng: random.Random
) -> None:
    await play(place, rng)


def _router(place: world.World, rng: random.Random) -> programs.Program:
    return rng.choice(place.programs)


def _lasts(rng: random.Random) -> float:
    return rng.uniform(*LASTS_S)


async def _async_kill(place: world.World, rng: random.Random) -> None:
    program = _router(place, rng)
    if not program.running:
        return
    found = program.disturb("kill")
    await program.async_kill()
    await asyncio.sleep(_lasts(rng))
    await program.async_start()
    await asyncio.sleep(1.0)
    found.end = asyncio.get_running_loop().time()


async def _async_terminate(place: world.World, rng: random.Random) -> None:
    program = _router(place, rng)
    if not program.running:
        return
    found = program.disturb("term")
    await program.async_terminate()
    await program.async_start()
    found.end = asyncio.get_running_loop().time()


async def _async_pause(place: world.World, rng: random.Random) -> None:
    program = _router(place, rng)
    found = program.disturb("pause")
    program.send(signal.SIGSTOP)
    await asyncio.sleep(_lasts(rng))
    program.send(signal.SIGCONT)
    found.end = asyncio.get_running_loop().time()


async def _async_reload(place: world.World, rng: random.Random) -> None:
    program = _router(place, rng)
    seeds = [it.peers for it in place.programs[:3]]
    program.write_settings(seeds, revoke_ms=rng.choice((4_500, 5_000)))
    program.send(signal.SIGHUP)


async def _async_link(place: world.World, rng: random.Random) -> None:
    """Delays or drops the bytes of one link, then resets its connections.

    The link may lead to the store, to a router's callers or to a server.
    """
    name = rng.choice(sorted(place.links))
    link = place.links[name]
    kind = "store" if name.startswith("store-") else "link"
    found = [
        it.disturb(kind)
        for it in place.programs
        if name in (f"store-{it.name}", f"callers-{it.name}")
    ]
    link.trouble = rng.choice(
        (
            proxy.Trouble(delay_s=rng.uniform(0.02, 0.4)),
            proxy.Trouble(silent=proxy.Way.BOTH),
            proxy.Trouble(silent=proxy.Way.THERE),
            proxy.Trouble(silent=proxy.Way.BACK),
        )
    )
    await asyncio.sleep(_lasts(rng))
    link.trouble = proxy.CALM
    link.reset()
    for it in found:
        it.end = asyncio.get_running_loop().time()


async def _async_reset(place: world.World, rng: random.Random) -> None:
    name = rng.choice(sorted(place.links))
    found = [
        it.disturb("link")
        for it in place.programs
        if name == f"callers-{it.name}"
    ]
    place.links[name].reset()
    for it in found:
        it.end = asyncio.get_running_loop().time()


async def _async_store(place: world.World, rng: random.Random) -> None:
    faults = rng.choice(
        (
            platform_store.StoreFaults(status=503),
            platform_store.StoreFaults(status=429),
            platform_store.StoreFaults(silent=True),
            platform_store.StoreFaults(down=True),
            platform_store.StoreFaults(slow_s=0.3),
            platform_store.StoreFaults(lose_answer=0.3),
        )
    )
    found = [it.disturb("store") for it in place.programs]
    place.store.set_faults(faults)
    await asyncio.sleep(2 * _lasts(rng))
    place.store.set_faults(platform_store.StoreFaults())
    for it in found:
        it.end = asyncio.get_running_loop().time()


async def _async_forget(place: world.World, rng: random.Random) -> None:
    del rng
    place.store.forget_history()


async def _async_bad_answers(place: world.World, rng: random.Random) -> None:
    server = place.servers[rng.choice(sorted(place.servers))]
    server.faults.extend(rng.choices(SERVER_FAULTS, k=rng.randint(1, 6)))


async def _async_drain(place: world.World, rng: random.Random) -> None:
    name = rng.choice(sorted(place.servers))
    server = place.servers[name]
    if not server.calm:
        return
    server.state = "draining"
    await place.async_register(name)
    place.note("drain", name)
    await asyncio.sleep(3.0 + _lasts(rng))
    server.state = "ready"
    place.note("undrain", name)
    await place.async_register(name)


async def _async_leave_by_answer(
    place: world.World, rng: random.Random
) -> None:
    """Lets a server announce its shutdown in its answers alone.

    Later it registers again with a new incarnation.
    """
    name = rng.choice(sorted(place.servers))
    server = place.servers[name]
    if not server.calm:
        return
    server.says = {"Server-Leaving": "1"}
    place.note("leaves", name)
    await asyncio.sleep(4.0 + _lasts(rng))
    place.note("stays", name)
    server.says = {}
    server.born += 1
    await place.async_register(name)


async def _async_fill(place: world.World, rng: random.Random) -> None:
    """Lets a server reject all requests with a Retry-After header."""
    name = rng.choice(sorted(place.servers))
    server = place.servers[name]
    if not server.calm:
        return
    server.says = {"Retry-After": str(world.ADVICE_S)}
    server.refuses = True
    place.note("full", name)
    await asyncio.sleep(_lasts(rng))
    server.refuses = False
    server.says = {}
    place.note("room", name)


async def _async_evacuate(place: world.World, rng: random.Random) -> None:
    zone = rng.choice(world.ZONES)
    if place.store.names("evacuations"):
        return
    await place.store.async_put("evacuations", zone, {})
    place.note("out", zone)
    await asyncio.sleep(6.0 + _lasts(rng))
    place.note("back", zone)
    await place.store.async_remove("evacuations", zone)


async def _async_revoke(place: world.World, rng: random.Random) -> None:
    if len(place.keys) < 3:
        return
    key = place.keys.pop(rng.randrange(len(place.keys)))
    await place.async_configure()
    place.note("revoke", key)


async def _async_add_route(place: world.World, rng: random.Random) -> None:
    del rng
    place.routes.append(f"more-{len(place.routes)}")
    await place.async_configure()


_PLAYS: tuple[Play, ...] = (
    _async_kill,
    _async_terminate,
    _async_terminate,
    _async_pause,
    _async_reload,
    _async_link,
    _async_link,
    _async_reset,
    _async_store,
    _async_forget,
    _async_bad_answers,
    _async_bad_answers,
    _async_drain,
    _async_leave_by_answer,
    _async_fill,
    _async_evacuate,
    _async_revoke,
    _async_add_route,
)
