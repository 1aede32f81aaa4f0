"""A whole router whose callers and operators come by TLS."""

import contextlib
import pathlib
import ssl

import aiohttp
import pytest

from tamarackbridge.components.operator import const as operator_const
from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import contexts
from tests import certificates
from tests.sessions import place as places


async def async_get(
    url: str, context: ssl.SSLContext | bool, **headers: str
) -> int:
    connector = aiohttp.TCPConnector(ssl=context)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.get(url, headers=headers) as resp:
            return resp.status


async def test_callers_and_operators_need_what_the_settings_say(
    tmp_path: pathlib.Path,
) -> None:
    authority = certificates.Authority(tmp_path, "ours")
    trusted = contexts.client_context(str(authority.path))
    mine = authority.issue("operator")
    known = contexts.client_context(
        str(authority.path), mine.certificate, mine.key
    )
    place = places.Place()
    place.caller = settings.ListenSettings(tls=authority.issue("router"))
    place.operator_tls = authority.issue("desk", authority.path)
    place.operator_context = known
    async with contextlib.AsyncExitStack() as stack:
        await place.async_start(stack)
        pens = f"//127.0.0.1:{place.port}/app/pens/1"
        ready = place.operator + operator_const.PATH_READY
        key = {"X-Api-Key": places.KEY}

        assert await async_get(f"https:{pens}", trusted, **key) == 200
        assert await async_get(ready, known) == 200
        with pytest.raises(aiohttp.ClientError):
            await async_get(f"http:{pens}", True, **key)
        with pytest.raises(aiohttp.ClientError):
            await async_get(f"https:{pens}", True, **key)
        with pytest.raises(aiohttp.ClientError):
            await async_get(ready, trusted)
    assert place.app.calls["serve"] == 1
