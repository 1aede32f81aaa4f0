"""Tests that routers accept each other by mutual TLS only."""

import asyncio
import contextlib
import pathlib

import pytest

from tamarackbridge import core, peer_messages
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import peers
from tamarackbridge.components.transport import service
from tests import certificates

MSG = dispatch.ResyncAsk("s/0", 1)
TIMEOUT_S = 5.0
SILENCE_S = 0.5


def make_peer(
    node: str, tls: settings.TlsSettings
) -> tuple[service.PeerService, asyncio.Queue[core.Delivery]]:
    queue: asyncio.Queue[core.Delivery] = asyncio.Queue()
    peer_service = service.PeerService(
        node,
        len(node),
        "127.0.0.1",
        0,
        core.SystemClock(),
        queue.put_nowait,
        peer_messages.DECODER,
        peers.PeerCredentials(tls) if tls.certificate else None,
    )
    return peer_service, queue


@pytest.mark.parametrize("sender", ["ours", "strange", "plain"])
async def test_only_peers_of_the_same_authority_are_accepted(
    tmp_path: pathlib.Path, sender: str
) -> None:
    ours = certificates.Authority(tmp_path, "ours")
    strange = certificates.Authority(tmp_path, "strange")
    tls = {
        "ours": ours.issue("b", ours.path),
        "strange": strange.issue("c", ours.path),
        "plain": settings.TlsSettings(),
    }
    receiving, queue = make_peer("a", ours.issue("a", ours.path))
    sending, _ = make_peer("b", tls[sender])
    async with receiving, sending:
        sending.set_addresses({"a": f"127.0.0.1:{receiving.port}"})
        sending.post("a", MSG)
        if sender == "ours":
            delivery = await asyncio.wait_for(queue.get(), TIMEOUT_S)
            assert (delivery.src, delivery.msg) == ("b", MSG)
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(queue.get(), SILENCE_S)
            pytest.fail("accepted a message of an untrusted router")
