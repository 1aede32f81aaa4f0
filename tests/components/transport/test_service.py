"""Links between routers that die, come back, or say nothing."""

import asyncio

from tamarackbridge import core
from tamarackbridge import messages as codec
from tamarackbridge.components.fleet import messages
from tamarackbridge.components.transport import const, service

LONG_S = 10.0


def report(server: str) -> messages.Report:
    work = (messages.ServerWork(server, 1, 0, 0),)
    return messages.Report(messages.Direction.ACROSS, work=work)


class Peer:
    def __init__(self, node: str, port: int = 0) -> None:
        self.heard: asyncio.Queue[core.Delivery] = asyncio.Queue()
        self.service = service.PeerService(
            node,
            len(node),
            "127.0.0.1",
            port,
            core.SystemClock(),
            self.heard.put_nowait,
            codec.Decoder(messages.PEER_MESSAGES),
        )

    async def async_hear(self) -> core.Message:
        async with asyncio.timeout(LONG_S):
            return (await self.heard.get()).msg


async def test_messages_of_one_turn_leave_in_one_batch() -> None:
    sending, receiving = Peer("a"), Peer("b")
    async with receiving.service, sending.service:
        address = f"127.0.0.1:{receiving.service.port}"
        sending.service.set_addresses({"b": address})
        for number in range(3):
            sending.service.post("b", report(f"s{number}"))
        for number in range(3):
            assert await receiving.async_hear() == report(f"s{number}")
        assert receiving.service.received_batches == 1


async def test_peer_that_comes_back_is_reached_again() -> None:
    sending, receiving = Peer("a"), Peer("b")
    async with sending.service:
        async with receiving.service:
            port = receiving.service.port
            sending.service.set_addresses({"b": f"127.0.0.1:{port}"})
            sending.service.post("b", report("s1"))
            assert await receiving.async_hear() == report("s1")
        again = Peer("b", port)
        async with again.service:
            while again.heard.empty():
                sending.service.post("b", report("s2"))
                await asyncio.sleep(0.05)
            assert await again.async_hear() == report("s2")


async def test_peer_that_accepts_and_says_nothing_is_tried_again() -> None:
    """A frozen process holds connections open without answering."""
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
        async with asyncio.timeout(LONG_S):
            first = await accepted.get()
            second = await accepted.get()
    first.close()
    second.close()
    server.close()


def test_silent_connections_are_found_out_in_time() -> None:
    assert const.PING_INTERVAL_S * 1.5 < 3.0
