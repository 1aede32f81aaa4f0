"""A router process whose output nobody reads."""

import asyncio
import collections
from collections.abc import Iterator
import json
import os
import pathlib
import random
import signal
import sys
import types

import aiohttp
import pytest

from soak import programs, world
from tamarackbridge.components.telemetry import queue_log
from tamarackbridge.platform import __main__ as entry
from tamarackbridge.platform import start

CALLERS = 16


async def _async_call(
    session: aiohttp.ClientSession,
    program: programs.Program,
    numbers: Iterator[int],
    statuses: collections.Counter[int],
) -> None:
    for number in numbers:
        headers = {
            "Host": world.HOST,
            "X-Request-Id": f"q{number}",
            "X-Api-Key": "key-0",
            "X-Deadline-Ms": "30000",
        }
        url = f"http://{program.callers}/read/1"
        async with session.get(url, headers=headers) as resp:
            await resp.read()
            statuses[resp.status] += 1


async def _async_ready(program: programs.Program) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(program.readiness) as resp:
                    if resp.status == 200:
                        return
            except aiohttp.ClientError:
                pass  # It does not listen yet.
            await asyncio.sleep(0.05)


def test_reload_during_a_start_is_ignored(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The settings are read after it."""
    reached = []

    def import_router() -> types.SimpleNamespace:
        os.kill(os.getpid(), signal.SIGHUP)
        return types.SimpleNamespace(run=lambda cfg, tracer: 0)

    monkeypatch.setattr(start, "_import_router", import_router)
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    program.write_settings([])
    for name, value in program.environment.items():
        monkeypatch.setenv(name, value)
    before = signal.signal(signal.SIGHUP, lambda *_: reached.append(1))
    end = signal.getsignal(signal.SIGTERM)
    try:
        assert entry.main() == 0
    finally:
        signal.signal(signal.SIGHUP, before)
        signal.signal(signal.SIGTERM, end)
    assert reached == []


_ENDED_EARLY = """
import os, signal, sys
from tamarackbridge.platform import __main__ as entry
from tamarackbridge.platform import start
start._import_router = lambda: os.kill(os.getpid(), signal.SIGTERM)
sys.exit(entry.main() or 5)
"""


async def test_router_that_is_ended_during_its_start_ends_in_good_order() -> (
    None
):
    """The soak saw one end by the signal itself (seed 7401)."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", _ENDED_EARLY, cwd=programs.ROOT
    )
    assert await process.wait() == 0


_ENDED_AT_FIRST_IMPORT = """
import os, runpy, signal, sys

package, *words = sys.argv[1:]
early = {
    "tamarackbridge",
    package,
    f"{package}.__main__",
    "tamarackbridge.helpers",
    "tamarackbridge.helpers.start_signals",
}

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name not in early:
            os.kill(os.getpid(), int(os.environ["SIGNAL"]))

sys.argv[1:] = words
sys.meta_path.insert(0, Finder())
runpy.run_module(package, run_name="__main__", alter_sys=True)
"""

_PLATFORM_ROUTER = ("tamarackbridge", "platform-router", "--settings", "none")


async def _async_end_at_first_import(
    words: tuple[str, ...], number: signal.Signals
) -> int:
    """Sends signals whenever something that costs time is imported."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        _ENDED_AT_FIRST_IMPORT,
        *words,
        cwd=programs.ROOT,
        env={
            **os.environ,
            "SIGNAL": str(int(number)),
            "TAMARACKBRIDGE_SETTINGS": "none",
        },
        stderr=asyncio.subprocess.DEVNULL,
    )
    return await process.wait()


@pytest.mark.parametrize(
    "words",
    [
        ("tamarackbridge.platform",),
        _PLATFORM_ROUTER,
        ("tamarackbridge", "router", "--settings", "none"),
    ],
)
async def test_router_ends_in_good_order_from_its_first_import_on(
    words: tuple[str, ...],
) -> None:
    """The soak saw one end by the signal itself (seed 7601)."""
    assert await _async_end_at_first_import(words, signal.SIGTERM) == 0


@pytest.mark.parametrize(
    "words", [("tamarackbridge.platform",), _PLATFORM_ROUTER]
)
async def test_reload_is_ignored_from_the_first_import_on(
    words: tuple[str, ...],
) -> None:
    code = await _async_end_at_first_import(words, signal.SIGHUP)
    assert code == start.USAGE_EXIT_CODE


async def test_command_of_an_operator_ends_by_the_signal_itself() -> None:
    """An exit code of 0 would say that it had done its work."""
    words = ("tamarackbridge", "check", "--settings", "none")
    code = await _async_end_at_first_import(words, signal.SIGTERM)
    assert code == -signal.SIGTERM


_ENDED_AGAIN = """
import atexit, os, signal, sys
from tamarackbridge import platform_router
from tamarackbridge.components.telemetry import queue_log
from tamarackbridge.platform import __main__ as entry

Router = platform_router.PlatformRouter
start = Router.async_start
stop = queue_log.QueuedLog.stop

def signal_again():
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        os.kill(os.getpid(), number)

async def async_start(router):
    await start(router)
    os.kill(os.getpid(), signal.SIGTERM)

def end(log):
    signal_again()
    return stop(log)

def check():
    # The interpreter gives what is not ignored its default action back.
    if signal.getsignal(signal.SIGTERM) is not signal.SIG_IGN:
        os._exit(7)

Router.async_start = async_start
queue_log.QueuedLog.stop = end
atexit.register(check)
sys.exit(entry.main())
"""


async def test_signals_after_the_event_loop_is_closed_do_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """Soak seed 7601: a second SIGTERM came as the process ended."""
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    program.write_settings([])
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        _ENDED_AGAIN,
        cwd=programs.ROOT,
        env={**os.environ, **program.environment},
        stdout=asyncio.subprocess.DEVNULL,
    )
    assert await process.wait() == 0
    await program.async_close()


@pytest.mark.parametrize(
    "requests",
    [
        300,  # Their lines fill a pipe.
        2_400,  # Their lines fill the queue as well.
    ],
)
async def test_router_serves_and_ends_while_nobody_reads_its_log(
    requests: int, tmp_path: pathlib.Path
) -> None:
    statuses: collections.Counter[int] = collections.Counter()
    unread, output = os.pipe()
    async with world.World(0, tmp_path, random.Random(1)) as place:
        program = programs.Program("vm-0", "z1", place.store.address, tmp_path)
        program.write_settings([])
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tamarackbridge.platform",
            cwd=programs.ROOT,
            env={**os.environ, **program.environment},
            stdout=output,
        )
        os.close(output)
        try:
            await _async_ready(program)
            numbers = iter(range(requests))
            async with aiohttp.ClientSession() as session:
                await asyncio.gather(
                    *(
                        _async_call(session, program, numbers, statuses)
                        for _ in range(CALLERS)
                    )
                )
            assert statuses == {200: requests}
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
            await program.async_close()
    with os.fdopen(unread, "rb") as pipe:
        whole_lines = pipe.read().splitlines()[:-1]
    assert "Started" in {json.loads(it)["event"] for it in whole_lines}
    assert 50 < len(whole_lines) < queue_log.MAX_QUEUED
