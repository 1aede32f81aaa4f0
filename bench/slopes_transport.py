"""Cost of the links between routers by batch size and number of links."""

import asyncio
import contextlib
import time

from tamarackbridge import const, core, peer_messages
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.transport import service

BATCH_COUNT = 100
_MESSAGE = dispatch.Finish("lm/0", 7, 1234, 300.0, dispatch.Outcome.OK, 0.1)


def batch(size: int) -> dict[str, float]:
    """Measures two routers in this process with `size` messages per batch."""
    return asyncio.run(_async_batch(size))


async def _async_batch(size: int) -> dict[str, float]:
    received: list[core.Delivery] = []
    clock = core.SystemClock()
    receiver = service.PeerService(
        "a", 1, "127.0.0.1", 0, clock, received.append, peer_messages.DECODER
    )
    sender = service.PeerService(
        "b", 2, "127.0.0.1", 0, clock, received.append, peer_messages.DECODER
    )
    async with receiver, sender:
        sender.set_addresses({"a": f"127.0.0.1:{receiver.port}"})
        sender.post("a", _MESSAGE)
        await asyncio.sleep(1.0)
        idle = await _async_cpu(sender, 0)
        busy = await _async_cpu(sender, size)
        batches = receiver.received_batches - 1
        size_bytes = receiver.received_bytes
    cpu_us = (busy - idle) / BATCH_COUNT * 1e6
    return {
        "send_and_receive_cpu_us": cpu_us,
        "bytes_per_batch": size_bytes / (batches + 1),
    }


def links(size: int) -> dict[str, float]:
    """Measures a router that repeatedly sends a message to each peer."""
    return asyncio.run(_async_links(size))


async def _async_links(size: int) -> dict[str, float]:
    received: list[core.Delivery] = []
    clock = core.SystemClock()
    peers = [
        service.PeerService(
            f"p{i}",
            i + 3,
            "127.0.0.1",
            0,
            clock,
            received.append,
            peer_messages.DECODER,
        )
        for i in range(size)
    ]
    sender = service.PeerService(
        "b", 2, "127.0.0.1", 0, clock, received.append, peer_messages.DECODER
    )
    async with contextlib.AsyncExitStack() as stack:
        for peer in [*peers, sender]:
            await stack.enter_async_context(peer)
        addresses = {
            f"p{i}": f"127.0.0.1:{peer.port}" for i, peer in enumerate(peers)
        }
        sender.set_addresses(addresses)
        for name in addresses:
            sender.post(name, _MESSAGE)
        await asyncio.sleep(1.0)
        cpu_s = []
        for targets in ((), tuple(addresses)):
            began = time.process_time()
            for _ in range(BATCH_COUNT):
                for name in targets:
                    sender.post(name, _MESSAGE)
                await asyncio.sleep(const.TICK_S * 1.5)
            cpu_s.append(time.process_time() - began)
    cpu_us = (cpu_s[1] - cpu_s[0]) / BATCH_COUNT * 1e6
    return {
        "send_and_receive_cpu_us": cpu_us,
        "cpu_us_per_link": cpu_us / size,
        "received": float(len(received)),
    }


async def _async_cpu(sender: service.PeerService, count: int) -> float:
    began = time.process_time()
    for _ in range(BATCH_COUNT):
        for _ in range(count):
            sender.post("a", _MESSAGE)
        await asyncio.sleep(const.TICK_S * 1.5)
    return time.process_time() - began
