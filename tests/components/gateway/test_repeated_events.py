"""Servers that start over within one stream, as callers see them end."""

import pytest

from standins import platform_server, server_faults
from tests.components.gateway import raw_caller, rig

_EarlyEnd = server_faults.EarlyEnd
_End = raw_caller.End


def _events(count: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: piece {number}\n\n".encode()
        for number in range(count)
    )


_WHOLE = _events(platform_server.EVENTS)


async def test_stream_repeated_with_other_content_goes_on_elsewhere() -> None:
    """Its final chunk comes after events 0 1 2 1 2 of six."""
    async with rig.async_environment() as env:
        env.set_faults(_EarlyEnd.REPEAT_OTHER)
        answer = await raw_caller.async_send(env, "/stream/r/1")
        assert (answer.body, answer.end) == (_WHOLE, _End.FINAL_CHUNK)
        assert len(env.ran()) == 2


async def test_stream_repeated_with_other_content_is_not_complete() -> None:
    """No other server may go on with it: the caller must not see a mark."""
    async with rig.async_environment() as env:
        env.set_faults(_EarlyEnd.REPEAT_OTHER)
        answer = await raw_caller.async_send(env, "/stream/1")
        assert _events(3).startswith(answer.body)
        assert answer.end is not _End.FINAL_CHUNK
        assert len(env.ran()) == 1


@pytest.mark.parametrize("path", ["/stream/1", "/stream/r/1"])
async def test_stream_that_repeats_the_same_events_is_complete(
    path: str,
) -> None:
    async with rig.async_environment() as env:
        env.set_faults(_EarlyEnd.REPEAT_SAME)
        answer = await raw_caller.async_send(env, path)
        assert (answer.body, answer.end) == (_WHOLE, _End.FINAL_CHUNK)
        assert len(env.ran()) == 1
