"""Fault injection: overlapping faults, drawn from a seeded random source.

The number and the order of the draws decide what a seed does: a change to
either makes the seeds that once failed meaningless.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import random
import signal
from typing import TypeAlias

from soak import environment, programs, proxy
from standins import platform_server, platform_store

MEAN_GAP_S = 0.9
"""Mean time between the starts of two faults. Most faults last longer, so that
they overlap."""

DURATION_S = (0.2, 3.0)
"""Shortest and longest duration of a fault."""

_UNCHECKABLE_FAULTS = frozenset(
    (
        platform_server.Fault.PLAIN,
        platform_server.Fault.SHORT_RESTART,
        platform_server.Fault.NO_NUMBERS,
    )
)
"""Faults that the soak test can't use: the server's answer is complete and is
relayed unchanged, but lacks the event numbers that the checks look for."""

SERVER_FAULTS = tuple(
    fault for fault in platform_server.Fault if fault not in _UNCHECKABLE_FAULTS
)
"""Faulty answers that the soak test lets servers give."""

Action: TypeAlias = Callable[
    [environment.Environment, random.Random], Awaitable[None]
]


async def async_inject(
    env: environment.Environment, rng: random.Random, seconds: float
) -> None:
    """Starts faults for a time, and returns when the last has ended.

    Args:
        env: Store, servers, links and routers.
        rng: Source of the faults and of their start times.
        seconds: Time during which new faults start.
    """
    await async_start_actions(_ACTIONS, MEAN_GAP_S, env, rng, seconds)


async def async_start_actions(
    actions: Sequence[Action],
    mean_gap_s: float,
    env: environment.Environment,
    rng: random.Random,
    seconds: float,
) -> None:
    """Starts faults for a time, and returns when the last has ended.

    Args:
        actions: Faults that are drawn.
        mean_gap_s: Mean time between the starts of two of them.
        env: Store, servers, links and routers.
        rng: Source of the faults and of their start times.
        seconds: Time during which new faults start.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(1 / mean_gap_s))
            action = rng.choice(actions)
            own_rng = random.Random(rng.randrange(2**32))
            group.create_task(async_run_action(action, env, own_rng))


async def async_run_action(
    action: Action, env: environment.Environment, rng: random.Random
) -> None:
    """Runs one fault until it has ended."""
    await action(env, rng)


def _draw_router(
    env: environment.Environment, rng: random.Random
) -> programs.RouterProcess:
    return rng.choice(env.routers)


def _draw_duration_s(rng: random.Random) -> float:
    return rng.uniform(*DURATION_S)


async def _async_kill(env: environment.Environment, rng: random.Random) -> None:
    router = _draw_router(env, rng)
    if not router.running:
        return
    disturbance = router.begin_disturbance("kill")
    await router.async_kill()
    await asyncio.sleep(_draw_duration_s(rng))
    await router.async_start()
    await asyncio.sleep(1.0)
    disturbance.end = asyncio.get_running_loop().time()


async def _async_terminate(
    env: environment.Environment, rng: random.Random
) -> None:
    router = _draw_router(env, rng)
    if not router.running:
        return
    disturbance = router.begin_disturbance("term")
    await router.async_terminate()
    await router.async_start()
    disturbance.end = asyncio.get_running_loop().time()


async def _async_pause(
    env: environment.Environment, rng: random.Random
) -> None:
    router = _draw_router(env, rng)
    disturbance = router.begin_disturbance("pause")
    router.send_signal(signal.SIGSTOP)
    await asyncio.sleep(_draw_duration_s(rng))
    router.send_signal(signal.SIGCONT)
    disturbance.end = asyncio.get_running_loop().time()


async def _async_reload_settings(
    env: environment.Environment, rng: random.Random
) -> None:
    router = _draw_router(env, rng)
    seeds = [peer.control_address for peer in env.routers[:3]]
    router.write_settings(seeds, revoke_ms=rng.choice((4_500, 5_000)))
    router.send_signal(signal.SIGHUP)


async def _async_disturb_link(
    env: environment.Environment, rng: random.Random
) -> None:
    """Delays or drops the bytes of one link, then resets its connections.

    The link may lead to the store, to a router's callers or to a server.
    """
    name = rng.choice(sorted(env.links))
    link = env.links[name]
    kind = "store" if name.startswith("store-") else "link"
    disturbances = [
        router.begin_disturbance(kind)
        for router in env.routers
        if name in (f"store-{router.name}", f"callers-{router.name}")
    ]
    env.record_link_disturbance(name)
    link.fault = rng.choice(
        (
            proxy.LinkFault(delay_s=rng.uniform(0.02, 0.4)),
            proxy.LinkFault(dropped_direction=proxy.Direction.BOTH),
            proxy.LinkFault(dropped_direction=proxy.Direction.TO_TARGET),
            proxy.LinkFault(dropped_direction=proxy.Direction.FROM_TARGET),
        )
    )
    await asyncio.sleep(_draw_duration_s(rng))
    link.fault = proxy.NO_FAULT
    link.reset()
    env.record_link_disturbance(name)
    for disturbance in disturbances:
        disturbance.end = asyncio.get_running_loop().time()


async def _async_reset_link(
    env: environment.Environment, rng: random.Random
) -> None:
    name = rng.choice(sorted(env.links))
    disturbances = [
        router.begin_disturbance("link")
        for router in env.routers
        if name == f"callers-{router.name}"
    ]
    env.links[name].reset()
    env.record_link_disturbance(name)
    for disturbance in disturbances:
        disturbance.end = asyncio.get_running_loop().time()


async def _async_disturb_store(
    env: environment.Environment, rng: random.Random
) -> None:
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
    disturbances = [router.begin_disturbance("store") for router in env.routers]
    env.store.set_faults(faults)
    await asyncio.sleep(2 * _draw_duration_s(rng))
    env.store.set_faults(platform_store.StoreFaults())
    for disturbance in disturbances:
        disturbance.end = asyncio.get_running_loop().time()


async def _async_forget_history(
    env: environment.Environment, rng: random.Random
) -> None:
    del rng
    env.store.forget_history()


async def _async_bad_answers(
    env: environment.Environment, rng: random.Random
) -> None:
    server = env.servers[rng.choice(sorted(env.servers))]
    server.faults.extend(rng.choices(SERVER_FAULTS, k=rng.randint(1, 6)))


async def _async_drain(
    env: environment.Environment, rng: random.Random
) -> None:
    name = rng.choice(sorted(env.servers))
    server = env.servers[name]
    if not server.is_normal:
        return
    server.state = "draining"
    await env.async_register(name)
    env.record_change("drain", name)
    await asyncio.sleep(3.0 + _draw_duration_s(rng))
    server.state = "ready"
    env.record_change("undrain", name)
    await env.async_register(name)


async def _async_announce_shutdown(
    env: environment.Environment, rng: random.Random
) -> None:
    """Lets a server announce its shutdown in its answers alone.

    Later it registers again with a new incarnation.
    """
    name = rng.choice(sorted(env.servers))
    server = env.servers[name]
    if not server.is_normal:
        return
    server.extra_headers = {"Server-Leaving": "1"}
    env.record_change("leaves", name)
    await asyncio.sleep(4.0 + _draw_duration_s(rng))
    env.record_change("stays", name)
    server.extra_headers = {}
    if env.links[name].is_listening:
        env.kill_server(name)
        await env.async_restart_server(name)
    await env.async_register(name)


async def _async_reject_all(
    env: environment.Environment, rng: random.Random
) -> None:
    """Lets a server reject all requests with a Retry-After header."""
    name = rng.choice(sorted(env.servers))
    server = env.servers[name]
    if not server.is_normal:
        return
    server.extra_headers = {"Retry-After": str(environment.RETRY_AFTER_S)}
    server.rejects_all = True
    env.record_change("full", name)
    await asyncio.sleep(_draw_duration_s(rng))
    server.rejects_all = False
    server.extra_headers = {}
    env.record_change("room", name)


async def _async_evacuate(
    env: environment.Environment, rng: random.Random
) -> None:
    zone = rng.choice(environment.ZONES)
    if env.store.names("evacuations"):
        return
    await env.store.async_put("evacuations", zone, {})
    env.record_change("out", zone)
    await asyncio.sleep(6.0 + _draw_duration_s(rng))
    env.record_change("back", zone)
    await env.store.async_remove("evacuations", zone)


async def _async_revoke(
    env: environment.Environment, rng: random.Random
) -> None:
    if len(env.keys) < 3:
        return
    key = env.keys.pop(rng.randrange(len(env.keys)))
    await env.async_configure()
    env.record_change("revoke", key)


async def _async_add_route(
    env: environment.Environment, rng: random.Random
) -> None:
    del rng
    env.routes.append(f"more-{len(env.routes)}")
    await env.async_configure()


_ACTIONS: tuple[Action, ...] = (
    _async_kill,
    _async_terminate,
    _async_terminate,
    _async_pause,
    _async_reload_settings,
    _async_disturb_link,
    _async_disturb_link,
    _async_reset_link,
    _async_disturb_store,
    _async_forget_history,
    _async_bad_answers,
    _async_bad_answers,
    _async_drain,
    _async_announce_shutdown,
    _async_reject_all,
    _async_evacuate,
    _async_revoke,
    _async_add_route,
)
