"""A router process: signals during start and exit, and unread output."""

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

from soak import environment, programs
from tamarackbridge.components.telemetry import queue_log
from tamarackbridge.platform import __main__ as entry
from tamarackbridge.platform import start

CALLERS = 16


async def _async_call(
    session: aiohttp.ClientSession,
    program: programs.RouterProcess,
    numbers: Iterator[int],
    statuses: collections.Counter[int],
) -> None:
    for number in numbers:
        headers = {
            "Host": environment.HOST,
            "X-Request-Id": f"q{number}",
            "X-Api-Key": "key-0",
            "X-Deadline-Ms": "30000",
        }
        url = f"http://{program.front_address}/read/1"
        async with session.get(url, headers=headers) as resp:
            await resp.read()
            statuses[resp.status] += 1


async def _async_ready(program: programs.RouterProcess) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(program.readiness_url) as resp:
                    if resp.status == 200:
                        return
            except aiohttp.ClientError:
                pass  # The router does not listen yet.
            await asyncio.sleep(0.05)


def test_reload_during_a_start_is_ignored(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a router that is killed by a reload during its start.

    The settings are loaded after the signal anyway.
    """
    handled = []

    def import_router() -> types.SimpleNamespace:
        os.kill(os.getpid(), signal.SIGHUP)
        return types.SimpleNamespace(run=lambda cfg, tracer: 0)

    monkeypatch.setattr(start, "_import_router", import_router)
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    program.write_settings([])
    for name, value in program.environment.items():
        monkeypatch.setenv(name, value)
    before = signal.signal(signal.SIGHUP, lambda *_: handled.append(1))
    end = signal.getsignal(signal.SIGTERM)
    try:
        assert entry.main() == 0
    finally:
        signal.signal(signal.SIGHUP, before)
        signal.signal(signal.SIGTERM, end)
    assert handled == []


_STOPPED_DURING_START = """
import os, signal, sys
from tamarackbridge.platform import __main__ as entry
from tamarackbridge.platform import start
start._import_router = lambda: os.kill(os.getpid(), signal.SIGTERM)
sys.exit(entry.main() or 5)
"""


async def test_router_that_is_stopped_during_its_start_exits_with_0() -> None:
    """Guards against a router that SIGTERM kills while it starts.

    Seen in the soak test with seed 7401.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", _STOPPED_DURING_START, cwd=programs.ROOT
    )
    assert await process.wait() == 0


_SIGNALLED_AT_FIRST_IMPORT = """
import os, runpy, signal, sys

package, *arguments = sys.argv[1:]
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

sys.argv[1:] = arguments
sys.meta_path.insert(0, Finder())
runpy.run_module(package, run_name="__main__", alter_sys=True)
"""

_PLATFORM_ROUTER = ("tamarackbridge", "platform-router", "--settings", "none")


async def _async_signal_at_first_import(
    arguments: tuple[str, ...], number: signal.Signals
) -> int:
    """Runs a process that signals itself at each import that takes long."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        _SIGNALLED_AT_FIRST_IMPORT,
        *arguments,
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
    "arguments",
    [
        ("tamarackbridge.platform",),
        _PLATFORM_ROUTER,
        ("tamarackbridge", "router", "--settings", "none"),
    ],
)
async def test_router_exits_with_0_from_its_first_import_on(
    arguments: tuple[str, ...],
) -> None:
    """Guards against a router that SIGTERM kills before it handles signals.

    Seen in the soak test with seed 7601, during the first imports.
    """
    assert await _async_signal_at_first_import(arguments, signal.SIGTERM) == 0


@pytest.mark.parametrize(
    "arguments", [("tamarackbridge.platform",), _PLATFORM_ROUTER]
)
async def test_reload_is_ignored_from_the_first_import_on(
    arguments: tuple[str, ...],
) -> None:
    code = await _async_signal_at_first_import(arguments, signal.SIGHUP)
    assert code == start.USAGE_EXIT_CODE


async def test_operator_command_is_killed_by_the_signal() -> None:
    """An exit code of 0 would mean that the command had succeeded."""
    arguments = ("tamarackbridge", "check", "--settings", "none")
    code = await _async_signal_at_first_import(arguments, signal.SIGTERM)
    assert code == -signal.SIGTERM


_SIGNALLED_DURING_EXIT = """
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
    """Guards against a router that a second SIGTERM kills while it exits.

    Seen in the soak test with seed 7601.
    """
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    program.write_settings([])
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        _SIGNALLED_DURING_EXIT,
        cwd=programs.ROOT,
        env={**os.environ, **program.environment},
        stdout=asyncio.subprocess.DEVNULL,
    )
    assert await process.wait() == 0
    await program.async_close()


@pytest.mark.parametrize(
    "requests",
    [
        300,  # Their log lines fill the pipe.
        2_400,  # Their log lines fill the queue as well.
    ],
)
async def test_router_serves_and_exits_while_nothing_reads_its_log(
    requests: int, tmp_path: pathlib.Path
) -> None:
    statuses: collections.Counter[int] = collections.Counter()
    unread, output = os.pipe()
    async with environment.Environment(
        0, tmp_path, random.Random(1)
    ) as platform:
        program = programs.RouterProcess(
            "vm-0", "z1", platform.store.address, tmp_path
        )
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
    assert "Started" in {json.loads(line)["event"] for line in whole_lines}
    assert 50 < len(whole_lines) < queue_log.MAX_QUEUED
