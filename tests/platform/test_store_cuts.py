"""Answers of the store that end early, with neither a length nor chunks."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest
import result

from tamarackbridge.platform import store

LIST = (
    b'{"as_of":7,"items":[{"metadata":{"name":"a","revision":1},"spec":{}},'
    b'{"metadata":{"name":"b","revision":2},"spec":[1]}],"has_more":false}'
)
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
DEEP = b'{"as_of":7,"items":[{"metadata":{"name":"a"},"spec":' + b"[" * 5_000


@contextlib.asynccontextmanager
async def _async_responding(*bodies: bytes) -> AsyncIterator[store.Store]:
    """Yields a client of a store that closes after each of these bodies."""
    remaining = list(bodies)

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + remaining.pop(0))
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    client = store.Store(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
    await client.start()
    try:
        yield client
    finally:
        await client.stop()
        listener.close()


async def test_no_part_of_a_list_is_taken_for_the_whole() -> None:
    parts = [LIST[:size] for size in range(0, len(LIST), 7)]
    async with _async_responding(*parts, LIST) as client:
        for _ in parts:
            answer = await client.async_list("servers")
            assert answer == result.Err(store.Failure.UNREADABLE)
        assert len((await client.async_list("servers")).unwrap().objects) == 2


async def test_list_cut_within_a_deep_entry_is_unreadable() -> None:
    """Guards against an error that ends the task that follows the store."""
    async with _async_responding(DEEP) as client:
        answer = await client.async_list("servers")
        assert answer == result.Err(store.Failure.UNREADABLE)


@pytest.mark.parametrize(
    "items", ["[]", '[{"metadata":{}}]'], ids=["empty", "nameless"]
)
async def test_list_that_cant_be_continued_is_not_whole(items: str) -> None:
    """Guards against objects of later pages that count as removed.

    The store says that there are more, and the page names none to go on from.
    """
    page = f'{{"as_of":7,"items":{items},"has_more":true}}'
    async with _async_responding(page.encode()) as client:
        answer = await client.async_list("servers")
        assert isinstance(answer, result.Err)
