"""Tests of links to peers that restart or stop answering."""

import asyncio

import pytest

from tamarackbridge import core, platform_router
from tamarackbridge import messages as codec
from tamarackbridge.components.fleet import messages
from tamarackbridge.components.transport import const, service

TIMEOUT_S = 10.0


def report(server: str) -> messages.Report:
    work = (messages.ServerWork(server, 1, 0, 0),)
    return messages.Report(messages.Direction.ACROSS, work=work)


class Peer:
    def __init__(
        self, node: str, port: int = 0, is_remote: bool = False
    ) -> None:
        self.received: asyncio.Queue[core.Delivery] = asyncio.Queue()
        self.service = service.PeerService(
            node,
            len(node),
            "127.0.0.1",
            port,
            core.SystemClock(),
            self.received.put_nowait,
            codec.Decoder(messages.PEER_MESSAGES),
            is_remote=lambda _: is_remote,
        )

    async def async_receive(self) -> core.Message:
        async with asyncio.timeout(TIMEOUT_S):
            return (await self.received.get()).msg


async def test_messages_posted_together_are_sent_in_one_batch() -> None:
    sending, receiving = Peer("a"), Peer("b")
    async with receiving.service, sending.service:
        address = f"127.0.0.1:{receiving.service.port}"
        sending.service.set_addresses({"b": address})
        for number in range(3):
            sending.service.post("b", report(f"s{number}"))
        for number in range(3):
            assert await receiving.async_receive() == report(f"s{number}")
        assert receiving.service.received_batches == 1


class Link:
    """Forwards connections to a port and counts the bytes sent there."""

    def __init__(self, port: int) -> None:
        self.sent_bytes = 0
        self._port = port

    async def async_handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        to_reader, to_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )

        async def async_return() -> None:
            while data := await to_reader.read(65_536):
                writer.write(data)

        returning = asyncio.create_task(async_return())
        while data := await reader.read(65_536):
            self.sent_bytes += len(data)
            to_writer.write(data)
        returning.cancel()
        to_writer.close()
        writer.close()


@pytest.mark.parametrize("is_remote", [False, True])
async def test_reports_to_another_zone_are_compressed(is_remote: bool) -> None:
    """Guards against paying for reports that repeat most of the last one."""
    sending, receiving = Peer("a", is_remote=is_remote), Peer("b")
    work = tuple(
        messages.ServerWork(f"i-{number:08x}", number, 7 * number, 90 * number)
        for number in range(70)
    )
    sent = messages.Report(messages.Direction.ACROSS, work=work)
    async with receiving.service, sending.service:
        link = Link(receiving.service.port)
        server = await asyncio.start_server(link.async_handle, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            sending.service.set_addresses({"b": f"127.0.0.1:{port}"})
            for _ in range(20):
                sending.service.post("b", sent)
                assert await receiving.async_receive() == sent
            _, plain_bytes = sending.service.sent()
            assert (link.sent_bytes < plain_bytes / 4) == is_remote
            await sending.service.stop()


async def test_link_reconnects_to_a_restarted_peer() -> None:
    sending, receiving = Peer("a"), Peer("b")
    async with sending.service:
        async with receiving.service:
            port = receiving.service.port
            sending.service.set_addresses({"b": f"127.0.0.1:{port}"})
            sending.service.post("b", report("s1"))
            assert await receiving.async_receive() == report("s1")
        restarted = Peer("b", port)
        async with restarted.service:
            while restarted.received.empty():
                sending.service.post("b", report("s2"))
                await asyncio.sleep(0.05)
            assert await restarted.async_receive() == report("s2")


async def test_stop_does_not_wait_for_peers_to_close() -> None:
    """Guards against stops that are cut short while a peer's link is open."""
    sending, receiving = Peer("a"), Peer("b")
    async with sending.service:
        await receiving.service.start()
        address = f"127.0.0.1:{receiving.service.port}"
        sending.service.set_addresses({"b": address})
        sending.service.post("b", report("s1"))
        await receiving.async_receive()
        async with asyncio.timeout(5 * platform_router.STOP_S):
            await receiving.service.stop()


async def test_link_reconnects_to_a_peer_that_accepts_but_does_not_answer() -> (
    None
):
    """A frozen process keeps connections open without answering."""
    accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def async_hold(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.put_nowait(writer)

    server = await asyncio.start_server(async_hold, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    sending = Peer("a")
    async with sending.service:
        sending.service.set_addresses({"b": f"127.0.0.1:{port}"})
        sending.service.post("b", report("s1"))
        async with asyncio.timeout(TIMEOUT_S):
            first = await accepted.get()
            second = await accepted.get()
    first.close()
    second.close()
    server.close()


def test_silent_connections_are_detected_in_time() -> None:
    assert const.PING_INTERVAL_S * 1.5 < 3.0
