"""The store's client against a stand-in: a table of faults."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import gzip

import pytest
import result

from standins import platform_store
from tamarackbridge.components.knowledge import source
from tamarackbridge.platform import source as platform_source
from tamarackbridge.platform import store

Failure = store.Failure


async def _async_client(
    here: platform_store.PlatformStore,
) -> store.Store:
    client = store.Store(here.address)
    await client.start()
    return client


async def test_list_goes_on_over_pages() -> None:
    async with platform_store.PlatformStore() as here:
        names = [f"n{number:03}" for number in range(130)]
        for name in names:
            await here.async_put("servers", name, {})
        client = await _async_client(here)
        page = (await client.async_list("servers")).unwrap()
        assert [it.name for it in page.objects] == names
        assert page.revision == here.revision
        assert client.calls == 3
        await client.stop()


async def test_watch_gives_what_changed() -> None:
    async with platform_store.PlatformStore() as here:
        await here.async_put("servers", "a", {"x": 1})
        client = await _async_client(here)
        since = here.revision
        await here.async_put("servers", "b", {"x": 2})
        await here.async_remove("servers", "a")
        page = (await client.async_watch("servers", since, 1.0)).unwrap()
        found = [(it.name, it.deleted) for it in page.objects]
        assert found == [("b", False), ("a", True)]
        await client.stop()


async def test_forgotten_history_is_told_apart() -> None:
    async with platform_store.PlatformStore() as here:
        client = await _async_client(here)
        await here.async_put("servers", "a", {})
        here.forget_history()
        answer = await client.async_watch("servers", 1, 0.1)
        assert answer == result.Err(Failure.HISTORY_LOST)
        await client.stop()


@pytest.mark.parametrize(
    ("faults", "failure"),
    [
        (platform_store.StoreFaults(status=503), Failure.REFUSED),
        (platform_store.StoreFaults(status=429), Failure.REFUSED),
        (platform_store.StoreFaults(down=True), Failure.UNREACHABLE),
        (platform_store.StoreFaults(lose_answer=1.0), Failure.UNREACHABLE),
        (platform_store.StoreFaults(silent=True), Failure.UNREACHABLE),
        (platform_store.StoreFaults(slow_s=0.3), Failure.UNREACHABLE),
    ],
)
async def test_faults_give_no_knowledge(
    faults: platform_store.StoreFaults,
    failure: store.Failure,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    async with platform_store.PlatformStore() as here:
        client = await _async_client(here)
        here.set_faults(faults)
        answer = await client.async_watch("servers", here.revision, 0.05)
        assert answer == result.Err(failure)
        await client.stop()


async def test_entering_twice_leaves_one_object() -> None:
    async with platform_store.PlatformStore() as here:
        client = await _async_client(here)
        for _ in range(2):
            put = await client.async_put("own", "r1", {"address": "a"})
            assert isinstance(put, result.Ok)
        assert here.names("own") == ["r1"]
        await client.async_delete("own", "r1")
        assert here.names("own") == []
        await client.stop()


async def test_unreadable_registration_ends_the_known_one() -> None:
    async with platform_store.PlatformStore() as here:
        await here.async_put("servers", "a", "what another writer left")
        client = await _async_client(here)
        origin = platform_source.StoreSource(client)
        answer = (await origin.async_all(source.Kind.SERVERS)).unwrap()
        assert answer.facts == (source.ServerGone("a"),)
        assert origin.unreadable == 1
        await client.stop()


class Endless:
    """A store that sends bytes without end.

    Attributes:
        before: What it sends once, on each connection.
        again: What it sends again and again after that.
        sent: Bytes that the kernel took.
        ended: Connections that the client closed.
    """

    def __init__(self, before: bytes, again: bytes) -> None:
        self.before = before
        self.again = again * (65_536 // len(again))
        self.sent = 0
        self.ended = 0

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.before)
            await asyncio.sleep(0.02)
            while not writer.is_closing():
                writer.write(self.again)
                await writer.drain()
                self.sent += len(self.again)
                await asyncio.sleep(0)
        self.ended += 1


HEAD = b"HTTP/1.1 200 X\r\n"
KERNEL_BYTES = 12 * 1024 * 1024
"""More than the kernel's buffers of one connection."""


@contextlib.asynccontextmanager
async def _async_endless(
    before: bytes,
    again: bytes,
    max_sent: int = store.MAX_ANSWER_BYTES + KERNEL_BYTES,
) -> AsyncIterator[tuple[Endless, store.Store]]:
    here = Endless(before, again)
    listener = await asyncio.start_server(here.async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = store.Store(f"127.0.0.1:{port}")
    await client.start()
    yield here, client
    for _ in range(400):
        if here.ended:
            break
        await asyncio.sleep(0.005)
    assert here.ended == 1
    assert here.sent < max_sent
    await client.stop()
    listener.close()


@pytest.mark.parametrize(
    ("before", "again"),
    [
        (HEAD, b"X: y\r\n"),
        (b"", b"HTTP/1.1 102 X\r\n\r\n"),
        (HEAD + b"\r\n", b" "),
        (HEAD + b"Content-Length: 99999999999\r\n\r\n", b" "),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", b" "),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    ],
)
async def test_answer_without_end_is_none(before: bytes, again: bytes) -> None:
    async with _async_endless(before, again) as (_, client):
        answer = await client.async_list("servers")
        assert answer == result.Err(Failure.UNREACHABLE)


async def test_bytes_without_end_after_an_answer_close_the_connection() -> None:
    body = b'{"items":[],"as_of":1}'
    before = HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    again = b"HTTP/1.1 204 X\r\n\r\n"
    async with _async_endless(before, again, 2**20) as (_, client):
        answer = await client.async_list("servers")
        assert answer == result.Ok(store.Page((), 1))


async def test_answer_that_unpacks_without_end_is_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store, "MAX_ANSWER_BYTES", 10_000)
    body = gzip.compress(b" " * 20_000)
    before = HEAD + b"Content-Encoding: gzip\r\n"
    before += f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    async with _async_endless(before, b"x") as (_, client):
        answer = await client.async_list("servers")
        assert answer == result.Err(Failure.UNREACHABLE)


def _entry(name: str, spec: str) -> str:
    return f'{{"metadata":{{"name":"{name}","revision":1}},"spec":{spec}}}'


@contextlib.asynccontextmanager
async def _async_saying(body: str) -> AsyncIterator[store.Store]:
    """Yields a client of a store that gives one answer."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode()
        writer.write(head.replace(b" X", b" OK", 1) + body.encode())
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    client = store.Store(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
    await client.start()
    yield client
    await client.stop()
    listener.close()


ODD = (
    "[" * 100_000 + "]" * 100_000,
    '{"a":' * 5_000 + "1" + "}" * 5_000,
    '{"slots":1e999}',
    '{"slots":' + "9" * 5_000 + "}",
    '{"text":"[[[[\\"","deep":' + "[" * 5_000 + "]" * 5_000 + "}",
)


@pytest.mark.parametrize("odd", ODD, ids=range(len(ODD)))
async def test_odd_entry_does_not_hide_the_others(odd: str) -> None:
    """One entry of another writer must not end the following of the list."""
    items = f"[{_entry('a', '{}')},{_entry('odd', odd)},{_entry('b', '{}')}]"
    async with _async_saying(f'{{"as_of":7,"items":{items}}}') as client:
        page = (await client.async_list("servers")).ok_value
    assert [it.name for it in page.objects] == ["a", "odd", "b"]
    assert [it.spec for it in page.objects] == [{}, None, {}]
    assert page.revision == 7


@pytest.mark.parametrize("odd", ODD, ids=range(len(ODD)))
async def test_odd_entry_does_not_hide_other_changes(odd: str) -> None:
    found = (
        f'{{"object":{it}}}' for it in (_entry("odd", odd), _entry("b", "{}"))
    )
    body = f'{{"as_of":8,"events":[{",".join(found)}]}}'
    async with _async_saying(body) as client:
        page = (await client.async_watch("servers", 7, 0.0)).ok_value
    assert [(it.name, it.spec) for it in page.objects] == [
        ("odd", None),
        ("b", {}),
    ]


async def test_entry_without_a_name_is_left_out() -> None:
    items = f'[{{"metadata":{{}}}},3,{_entry("b", "{}")}]'
    async with _async_saying(f'{{"as_of":7,"items":{items}}}') as client:
        page = (await client.async_list("servers")).ok_value
    assert [it.name for it in page.objects] == ["b"]
