"""Router processes of the soak."""

import asyncio
import os
import pathlib
import signal
import sys
import threading

import pytest

from soak import programs
from tests.components.gateway import rig

_SILENT = "exec sleep 60"
_WRITES = "echo line; exec sleep 60"
_CATCHES = (
    "trap 'trap - TERM; kill -TERM $$' TERM; while :; do sleep 0.02; done"
)
_IMPORTS = f"exec {sys.executable} -c 'import time, msgspec; time.sleep(60)'"


def _patch(monkeypatch: pytest.MonkeyPatch, script: str) -> list[object]:
    """Lets a shell run instead of the router; returns the starts."""
    started: list[object] = []
    make = asyncio.create_subprocess_exec

    async def async_make(*words: str, **more: object) -> object:
        started.append(words)
        return await make("sh", "-c", script, **more)

    monkeypatch.setattr(asyncio, "create_subprocess_exec", async_make)
    return started


async def test_faults_that_overlap_start_a_router_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started = _patch(monkeypatch, _SILENT)
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await asyncio.gather(program.async_start(), program.async_start())
    assert len(started) == 1
    await program.async_close()


async def test_signal_to_an_ended_process_keeps_its_exit_status(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The thread that waits for the process is slow, as beside load."""
    wait = os.waitpid
    sent = threading.Event()

    def slow_wait(pid: int, options: int) -> tuple[int, int]:
        if threading.current_thread() is not threading.main_thread():
            sent.wait(10.0)
        return wait(pid, options)

    monkeypatch.setattr(os, "waitpid", slow_wait)
    _patch(monkeypatch, "exit 3")
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await program.async_start()
    process = program._incarnation.process
    await rig.async_wait_until(lambda: _state(process.pid) == "Z")
    program.send_signal(signal.SIGTERM)
    sent.set()
    assert await process.wait() == 3
    await program.async_close()


def _state(pid: int) -> str:
    """Returns the state of a process, Z for one that has ended."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return text.rpartition(")")[2].split()[0]


async def test_process_that_had_not_begun_may_end_by_the_signal(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seed 7601: the interpreter itself was still starting."""
    _patch(monkeypatch, _SILENT)
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    log = tmp_path / "vm-0.log"
    log.write_text("a line of the process before it\n")
    await program.async_start()
    # Faults overlap; the second finds a process that has ended.
    await asyncio.gather(program.async_terminate(), program.async_terminate())
    assert program.failures == []
    assert program.notes == ["vm-0: SIGTERM before any of its code ran"] * 2
    await program.async_close()


@pytest.mark.parametrize("script", [_WRITES, _CATCHES, _IMPORTS])
async def test_process_that_had_begun_may_not_end_by_the_signal(
    script: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    _patch(monkeypatch, script)
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await program.async_start()
    await rig.async_wait_until(lambda: program.has_run_code)
    await asyncio.gather(program.async_terminate(), program.async_terminate())
    assert program.failures == [f"vm-0: exit {-signal.SIGTERM}"] * 2
    assert program.notes == []
    await program.async_close()


async def test_process_that_had_not_begun_may_not_end_otherwise(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    _patch(monkeypatch, "exit 3")
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await program.async_start()
    await rig.async_wait_until(lambda: not program.running)
    await program.async_terminate()
    assert program.failures == ["vm-0: exit 3"]
    await program.async_close()


async def test_router_is_ended_at_any_time_of_its_start(
    tmp_path: pathlib.Path,
) -> None:
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    program.write_settings([])
    for wait_s in (0.0, 0.1, 0.2):
        await program.async_start()
        await asyncio.sleep(wait_s)
        await program.async_terminate()
    assert program.failures == []
    await program.async_close()
