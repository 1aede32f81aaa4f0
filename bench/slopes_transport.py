"""Slopes of the links between two routers."""

import asyncio
import contextlib
import time

from tamarackbridge import const, core, peer_messages
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.transport import service

BATCHES = 100
_FINISH = dispatch.Finish("lm/0", 7, 1234, 300.0, dispatch.Outcome.OK, 0.1)


def batch(size: int) -> dict[str, float]:
    """Two routers in this process: `size` messages in each batch."""
    return asyncio.run(_async_batch(size))


async def _async_batch(size: int) -> dict[str, float]:
    taken: list[core.Delivery] = []
    clock = core.SystemClock()
    receiving = service.PeerService(
        "a", 1, "127.0.0.1", 0, clock, taken.append, peer_messages.DECODER
    )
    sending = service.PeerService(
        "b", 2, "127.0.0.1", 0, clock, taken.append, peer_messages.DECODER
    )
    async with receiving, sending:
        sending.set_addresses({"a": f"127.0.0.1:{receiving.port}"})
        sending.post("a", _FINISH)
        await asyncio.sleep(1.0)
        idle = await _async_cpu(sending, 0)
        busy = await _async_cpu(sending, size)
        batches = receiving.received_batches - 1
        size_bytes = receiving.received_bytes
    used = (busy - idle) / BATCHES * 1e6
    return {
        "send_and_receive_cpu_us": used,
        "bytes_per_batch": size_bytes / (batches + 1),
    }


def links(size: int) -> dict[str, float]:
    """One router sends one message to each of `size` peers at a time."""
    return asyncio.run(_async_links(size))


async def _async_links(size: int) -> dict[str, float]:
    taken: list[core.Delivery] = []
    clock = core.SystemClock()
    peers = [
        service.PeerService(
            f"p{i}",
            i + 3,
            "127.0.0.1",
            0,
            clock,
            taken.append,
            peer_messages.DECODER,
        )
        for i in range(size)
    ]
    sending = service.PeerService(
        "b", 2, "127.0.0.1", 0, clock, taken.append, peer_messages.DECODER
    )
    async with contextlib.AsyncExitStack() as stack:
        for peer in [*peers, sending]:
            await stack.enter_async_context(peer)
        addresses = {
            f"p{i}": f"127.0.0.1:{peer.port}" for i, peer in enumerate(peers)
        }
        sending.set_addresses(addresses)
        for name in addresses:
            sending.post(name, _FINISH)
        await asyncio.sleep(1.0)
        spent = []
        for wanted in ((), tuple(addresses)):
            began = time.process_time()
            for _ in range(BATCHES):
                for name in wanted:
                    sending.post(name, _FINISH)
                await asyncio.sleep(const.TICK_S * 1.5)
            spent.append(time.process_time() - began)
    used_us = (spent[1] - spent[0]) / BATCHES * 1e6
    return {
        "send_and_receive_cpu_us": used_us,
        "cpu_us_per_link": used_us / size,
        "received": float(len(taken)),
    }


async def _async_cpu(sending: service.PeerService, count: int) -> float:
    began = time.process_time()
    for _ in range(BATCHES):
        for _ in range(count):
            sending.post("a", _FINISH)
        await asyncio.sleep(const.TICK_S * 1.5)
    return time.process_time() - began
