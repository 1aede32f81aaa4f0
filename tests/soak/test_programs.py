"""Router processes of the soak."""

import asyncio
import pathlib

import pytest

from soak import programs


async def test_faults_that_overlap_start_a_router_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started = []
    make = asyncio.create_subprocess_exec

    async def async_make(*words: str, **more: object) -> object:
        started.append(words)
        return await make("sleep", "60")

    monkeypatch.setattr(asyncio, "create_subprocess_exec", async_make)
    program = programs.Program("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await asyncio.gather(program.async_start(), program.async_start())
    assert len(started) == 1
    await program.async_close()
