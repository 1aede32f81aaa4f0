"""Tests of TLS settings, reloading of certificates and mutual TLS."""

import asyncio
import pathlib
import shutil
import ssl
from typing import Any

import aiohttp
from aiohttp import web
import pytest

from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import (
    contexts,
    exceptions,
    peers,
    reloader,
)
from tests import certificates


@pytest.fixture
def authority(tmp_path: pathlib.Path) -> certificates.Authority:
    return certificates.Authority(tmp_path, "ours")


@pytest.fixture
def stranger(tmp_path: pathlib.Path) -> certificates.Authority:
    return certificates.Authority(tmp_path, "strange")


TLS = settings.TlsSettings(certificate="c", key="k")


@pytest.mark.parametrize(
    ("listen", "error"),
    [
        ({"host": "127.0.0.1"}, ""),
        ({"host": "::1"}, ""),
        ({"host": "10.0.0.1", "allow_plain_text": True}, ""),
        ({"host": "10.0.0.1", "tls": TLS}, ""),
        ({"host": "10.0.0.1"}, "caller.allow_plain_text"),
        ({"host": "example.org"}, "caller.allow_plain_text"),
        (
            {"tls": settings.TlsSettings(certificate="c")},
            "certificate and key",
        ),
        ({"tls": settings.TlsSettings(client_ca="a")}, "client_ca needs"),
    ],
)
def test_unsafe_listener_settings_are_rejected(
    listen: dict[str, Any], error: str
) -> None:
    cfg = settings.ListenSettings(**listen)
    if not error:
        contexts.check_listener("caller", cfg)
        return
    with pytest.raises(exceptions.TlsError, match=error):
        contexts.check_listener("caller", cfg)


def test_unusable_files_raise_tls_error(
    authority: certificates.Authority,
) -> None:
    one, other = authority.issue("one"), authority.issue("other")
    wrong = settings.TlsSettings(certificate=one.certificate, key=other.key)
    for bad in (wrong, settings.TlsSettings(certificate="/no", key="/no")):
        with pytest.raises(exceptions.TlsError):
            contexts.server_context(bad)


async def async_serial(port: int, context: ssl.SSLContext) -> str:
    """Connects, and returns the serial number of the server's certificate."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, ssl=context
    )
    try:
        # TLS 1.3 reports a rejected client certificate at the first read.
        if await reader.read(2) != b"ok":
            raise ConnectionError("closed in the handshake")
        cert = writer.get_extra_info("peercert")
        return str(cert["serialNumber"])
    finally:
        writer.close()


async def async_greet(
    _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(b"ok")
    writer.close()


async def test_certificate_and_authority_change_without_restart(
    authority: certificates.Authority, stranger: certificates.Authority
) -> None:
    served = authority.issue("server", client_ca=authority.path)
    ours, strange = authority.issue("a"), stranger.issue("b")
    reloading = reloader.ReloadingContext(served)
    server = await asyncio.start_server(
        async_greet, "127.0.0.1", 0, ssl=reloading.context
    )
    port = server.sockets[0].getsockname()[1]
    trusted = str(authority.path)
    as_ours = contexts.client_context(trusted, ours.certificate, ours.key)
    as_strange = contexts.client_context(
        trusted, strange.certificate, strange.key
    )
    async with server:
        first = await async_serial(port, as_ours)
        for rejected in (as_strange, contexts.client_context(trusted)):
            with pytest.raises((ssl.SSLError, ConnectionError)):
                await async_serial(port, rejected)

        shutil.copy(served.certificate, served.key)
        reloading.reload()
        assert (reloading.reloads, reloading.failures) == (0, 1)
        assert await async_serial(port, as_ours) == first

        authority.issue("server")
        shutil.copy(stranger.path, served.client_ca)
        reloading.reload()
        assert reloading.reloads == 1
        assert await async_serial(port, as_strange) != first
        with pytest.raises((ssl.SSLError, ConnectionError)):
            await async_serial(port, as_ours)


async def async_certificate(port: int, context: ssl.SSLContext) -> str:
    """Returns the serial number of a listener's certificate."""
    _, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    cert = writer.get_extra_info("peercert")
    writer.close()
    return str(cert["serialNumber"])


async def async_call(port: int, context: ssl.SSLContext) -> int:
    connector = aiohttp.TCPConnector(ssl=context)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.get(f"https://127.0.0.1:{port}/") as resp:
            return resp.status


async def test_peers_must_trust_each_other_s_authority(
    authority: certificates.Authority, stranger: certificates.Authority
) -> None:
    ours = peers.PeerCredentials(authority.issue("a", authority.path))
    strange = peers.PeerCredentials(stranger.issue("b", authority.path))
    runner = web.AppRunner(web.Application())
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, ssl_context=ours.server())
    await site.start()
    port = runner.addresses[0][1]
    try:
        assert await async_call(port, ours.client()) == 404
        with pytest.raises((aiohttp.ClientError, OSError)):
            await async_call(port, strange.client())
        authority.issue("a", authority.path)
        assert await async_call(port, ours.client()) == 404
        before = await async_certificate(port, ours.client())
        authority.issue("a", authority.path)
        reloading = reloader.ReloadService()
        reloading.register(ours)
        reloading.reload()
        assert await async_certificate(port, ours.client()) != before
    finally:
        await runner.cleanup()


def test_peer_credentials_require_an_authority(
    authority: certificates.Authority,
) -> None:
    with pytest.raises(exceptions.TlsError, match="client_ca"):
        peers.PeerCredentials(authority.issue("a"))
