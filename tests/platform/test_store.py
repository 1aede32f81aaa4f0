"""The store's client against a stand-in of the store with faults."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import gzip

from aiohttp import web
import pytest
import result

from standins import platform_store
from tamarackbridge.components.knowledge import source
from tamarackbridge.components.telemetry import events
from tamarackbridge.platform import source as platform_source
from tamarackbridge.platform import store

Failure = store.Failure


async def _async_client(
    stand_in: platform_store.PlatformStore,
) -> store.Store:
    client = store.Store(stand_in.address)
    await client.start()
    return client


async def test_list_reads_all_pages() -> None:
    async with platform_store.PlatformStore() as stand_in:
        names = [f"n{number:03}" for number in range(130)]
        for name in names:
            await stand_in.async_put("servers", name, {})
        client = await _async_client(stand_in)
        page = (await client.async_list("servers")).unwrap()
        assert [item.name for item in page.objects] == names
        assert page.revision == stand_in.revision
        assert client.calls == 3
        await client.stop()


async def test_watch_returns_the_changes() -> None:
    async with platform_store.PlatformStore() as stand_in:
        await stand_in.async_put("servers", "a", {"x": 1})
        client = await _async_client(stand_in)
        since = stand_in.revision
        await stand_in.async_put("servers", "b", {"x": 2})
        await stand_in.async_remove("servers", "a")
        page = (await client.async_watch("servers", since, 1.0)).unwrap()
        found = [(item.name, item.deleted) for item in page.objects]
        assert found == [("b", False), ("a", True)]
        await client.stop()


async def test_lost_history_is_a_failure_of_its_own() -> None:
    async with platform_store.PlatformStore() as stand_in:
        client = await _async_client(stand_in)
        await stand_in.async_put("servers", "a", {})
        stand_in.forget_history()
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
async def test_faults_are_failures(
    faults: platform_store.StoreFaults,
    failure: store.Failure,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    async with platform_store.PlatformStore() as stand_in:
        client = await _async_client(stand_in)
        stand_in.set_faults(faults)
        answer = await client.async_watch("servers", stand_in.revision, 0.05)
        assert answer == result.Err(failure)
        await client.stop()


async def test_entering_twice_leaves_one_object() -> None:
    async with platform_store.PlatformStore() as stand_in:
        client = await _async_client(stand_in)
        for _ in range(2):
            put = await client.async_put("own", "r1", {"address": "a"})
            assert isinstance(put, result.Ok)
        assert stand_in.names("own") == ["r1"]
        await client.async_delete("own", "r1")
        assert stand_in.names("own") == []
        await client.stop()


async def test_malformed_registration_counts_as_removed() -> None:
    async with platform_store.PlatformStore() as stand_in:
        await stand_in.async_put("servers", "a", "what another writer left")
        client = await _async_client(stand_in)
        origin = platform_source.StoreSource(client)
        answer = (await origin.async_all(source.Kind.SERVERS)).unwrap()
        assert answer.updates == (source.ServerRemoval("a"),)
        assert origin.unreadable == 1
        await client.stop()


class EndlessStore:
    """A store that sends bytes without end.

    Attributes:
        before: Bytes sent first on each connection.
        again: Bytes sent repeatedly after that.
        sent: Number of bytes that the kernel accepted.
        ended: Number of connections that the client closed.
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
"""More than the kernel buffers for one connection."""


@contextlib.asynccontextmanager
async def _async_endless(
    before: bytes,
    again: bytes,
    max_sent: int = store.MAX_ANSWER_BYTES + KERNEL_BYTES,
) -> AsyncIterator[tuple[EndlessStore, store.Store]]:
    stand_in = EndlessStore(before, again)
    listener = await asyncio.start_server(stand_in.async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = store.Store(f"127.0.0.1:{port}")
    await client.start()
    yield stand_in, client
    for _ in range(400):
        if stand_in.ended:
            break
        await asyncio.sleep(0.005)
    assert stand_in.ended == 1
    assert stand_in.sent < max_sent
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
async def test_endless_response_is_a_failure(
    before: bytes, again: bytes
) -> None:
    async with _async_endless(before, again) as (_, client):
        answer = await client.async_list("servers")
        assert answer == result.Err(Failure.UNREACHABLE)


async def test_endless_bytes_after_a_response_close_the_connection() -> None:
    body = b'{"items":[],"as_of":1}'
    before = HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    again = b"HTTP/1.1 204 X\r\n\r\n"
    async with _async_endless(before, again, 2**20) as (_, client):
        answer = await client.async_list("servers")
        assert answer == result.Ok(store.Page((), 1))


async def test_response_that_is_too_large_decompressed_is_a_failure(
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
async def _async_responding(body: str) -> AsyncIterator[store.Store]:
    """Yields a client of a store that sends one response.

    Surrogates from U+DC80 on in its body stand for bytes that are no UTF-8.
    """
    data = body.encode(errors="surrogateescape")

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = HEAD + f"Content-Length: {len(data)}\r\n\r\n".encode()
        writer.write(head.replace(b" X", b" OK", 1) + data)
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    client = store.Store(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
    await client.start()
    yield client
    await client.stop()
    listener.close()


MALFORMED = (
    "[" * 100_000 + "]" * 100_000,
    '{"a":' * 5_000 + "1" + "}" * 5_000,
    '{"slots":1e999}',
    '{"slots":' + "9" * 5_000 + "}",
    '{"text":"[[[[\\"","deep":' + "[" * 5_000 + "]" * 5_000 + "}",
    # Half of a surrogate pair, no escape, no UTF-8, and a control character.
    '{"service":"backup-\\ud800agent"}',
    '{"backup-\\ud800agent" : 1}',
    '{"service":"\\q"}',
    '{"service":"\udcff"}',
    '{"\udcff":{"a":["\udcff"]}}',
    '{"service":"\x01"}',
    '{"service":"\\ud800","deep":' + "[" * 5_000 + "]" * 5_000 + "}",
)


@pytest.mark.parametrize("malformed", MALFORMED, ids=range(len(MALFORMED)))
async def test_malformed_entry_does_not_hide_others(malformed: str) -> None:
    """Guards against a list that can't be followed due to one bad entry.

    Another writer of the store stores an entry that is nested too deeply or
    holds a number that can't be decoded.
    """
    items = (
        f"[{_entry('a', '{}')},{_entry('odd', malformed)},{_entry('b', '{}')}]"
    )
    async with _async_responding(f'{{"as_of":7,"items":{items}}}') as client:
        page = (await client.async_list("servers")).ok_value
    assert [item.name for item in page.objects] == ["a", "odd", "b"]
    assert [item.spec for item in page.objects] == [{}, None, {}]
    assert page.revision == 7


@pytest.mark.parametrize("malformed", MALFORMED, ids=range(len(MALFORMED)))
async def test_malformed_entry_does_not_hide_other_changes(
    malformed: str,
) -> None:
    found = (
        f'{{"object":{entry}}}'
        for entry in (_entry("odd", malformed), _entry("b", "{}"))
    )
    body = f'{{"as_of":8,"events":[{",".join(found)}]}}'
    async with _async_responding(body) as client:
        page = (await client.async_watch("servers", 7, 0.0)).ok_value
    assert [(item.name, item.spec) for item in page.objects] == [
        ("odd", None),
        ("b", {}),
    ]


@pytest.mark.parametrize("order", [(0, 5, 6), (6, 5, 0)])
async def test_entries_that_are_malformed_in_different_ways(
    order: tuple[int, ...],
) -> None:
    entries = [_entry(f"odd{each}", MALFORMED[each]) for each in order]
    items = ",".join((*entries, _entry("b", "{}")))
    async with _async_responding(f'{{"as_of":7,"items":[{items}]}}') as client:
        page = (await client.async_list("servers")).ok_value
    assert [item.spec for item in page.objects] == [None, None, None, {}]


async def test_name_that_cant_be_decoded_hides_its_entry_alone() -> None:
    items = ",".join(_entry(name, "{}") for name in ("a", "\\ud800", "b"))
    async with _async_responding(f'{{"as_of":7,"items":[{items}]}}') as client:
        page = (await client.async_list("servers")).ok_value
    assert [item.name for item in page.objects] == ["a", "b"]


async def test_entry_without_a_name_is_skipped() -> None:
    items = f'[{{"metadata":{{}}}},3,{_entry("b", "{}")}]'
    async with _async_responding(f'{{"as_of":7,"items":{items}}}') as client:
        page = (await client.async_list("servers")).ok_value
    assert [item.name for item in page.objects] == ["b"]


async def _async_eras(
    *headers: str,
) -> tuple[list[result.Result[store.Page, Failure]], store.Store]:
    """Lists objects once for each value of the header that names the era."""
    remaining = list(headers)

    async def async_answer(req: web.Request) -> web.Response:
        text = remaining.pop(0)
        named = {"Store-Era": text} if text else {}
        return web.json_response({"items": [], "as_of": 7}, headers=named)

    app = web.Application()
    app.router.add_get("/objects/{kind}", async_answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    client = store.Store(f"127.0.0.1:{runner.addresses[0][1]}")
    await client.start()
    answers = [await client.async_list("servers") for _ in headers]
    await client.stop()
    await runner.cleanup()
    return answers, client


@pytest.mark.parametrize(
    "text", ["-1", "x", "2.0", "9" * 30, "1000000", "\u0662"]
)
async def test_era_that_cant_be_right_is_logged_once_and_ignored(
    text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    log: list[events.Event] = []
    monkeypatch.setattr(events, "write", log.append)
    answers, client = await _async_eras("3", text, text, "4")
    assert [answer.unwrap().era for answer in answers] == [3, 3, 3, 4]
    assert client.era == 4
    assert len(log) == 1
    assert isinstance(log[0], events.StoreEraUnreadable)


async def test_answer_without_an_era_is_of_the_known_one() -> None:
    answers, _ = await _async_eras("", "2", "")
    assert [answer.unwrap().era for answer in answers] == [0, 2, 2]


async def test_answer_of_an_earlier_era_is_dropped() -> None:
    answers, client = await _async_eras("3", "2", "3")
    assert answers[1] == result.Err(Failure.OLD_ERA)
    assert client.era == 3


async def test_all_answers_name_the_era() -> None:
    async with platform_store.PlatformStore() as stand_in:
        client = await _async_client(stand_in)
        for era, call in enumerate(
            (
                client.async_delete("x", "none"),
                client.async_watch("x", 1, 0.0),
                client.async_put("x", "n", {}),
            ),
            start=1,
        ):
            stand_in.era = era
            stand_in.faults.status = 0 if era != 2 else 429
            await call
            assert client.era == era
        await client.stop()


async def test_same_revision_of_another_era_is_lost_history() -> None:
    async with platform_store.PlatformStore() as stand_in:
        stand_in.era = 1
        saved = stand_in.copy()
        await stand_in.async_put("servers", "a", {"x": 1})
        client = await _async_client(stand_in)
        page = (await client.async_list("servers")).unwrap()
        await stand_in.async_restore(saved)
        await stand_in.async_put("servers", "b", {"x": 2})
        assert stand_in.revision == page.revision
        answer = await client.async_watch(
            "servers", page.revision, 0.0, page.era
        )
        assert answer == result.Err(Failure.HISTORY_LOST)
        await client.stop()
