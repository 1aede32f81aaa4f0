"""A running router with TLS for its callers and operators."""

import contextlib
import pathlib
import ssl

import aiohttp
import pytest

from tamarackbridge.components.operator import const as operator_const
from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import contexts
from tests import certificates
from tests.sessions import environment as environments


async def async_get_status(
    url: str, context: ssl.SSLContext | bool, **headers: str
) -> int:
    connector = aiohttp.TCPConnector(ssl=context)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.get(url, headers=headers) as resp:
            return resp.status


async def test_callers_and_operators_must_meet_the_tls_settings(
    tmp_path: pathlib.Path,
) -> None:
    """A listener must not accept a connection that its TLS settings forbid.

    Callers need TLS and must trust the router's authority; plain HTTP fails,
    and so does TLS with the default authorities. Operators must also present
    a certificate of that authority.
    """
    authority = certificates.Authority(tmp_path, "ours")
    context_without_certificate = contexts.client_context(str(authority.path))
    operator_certificate = authority.issue("operator")
    context_with_certificate = contexts.client_context(
        str(authority.path),
        operator_certificate.certificate,
        operator_certificate.key,
    )
    env = environments.RouterEnvironment()
    env.caller_listen = settings.ListenSettings(tls=authority.issue("router"))
    env.operator_tls = authority.issue("desk", authority.path)
    env.operator_client_context = context_with_certificate
    async with contextlib.AsyncExitStack() as stack:
        await env.async_start(stack)
        pens_url = f"//127.0.0.1:{env.caller_port}/app/pens/1"
        ready_url = env.operator_url + operator_const.PATH_READY
        api_key = {"X-Api-Key": environments.API_KEY}

        assert (
            await async_get_status(
                f"https:{pens_url}", context_without_certificate, **api_key
            )
            == 200
        )
        assert (
            await async_get_status(ready_url, context_with_certificate) == 200
        )
        with pytest.raises(aiohttp.ClientError):
            await async_get_status(f"http:{pens_url}", True, **api_key)
        with pytest.raises(aiohttp.ClientError):
            await async_get_status(f"https:{pens_url}", True, **api_key)
        with pytest.raises(aiohttp.ClientError):
            await async_get_status(ready_url, context_without_certificate)
    assert env.plain_server.calls["serve"] == 1
