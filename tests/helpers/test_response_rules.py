"""Invalid responses to each HTTP client but that of callers' requests.

They guard against a status that is none, or a response that belongs to no
request, on which a router or an operator acts.
"""

import asyncio
from collections.abc import Awaitable, Callable
import random
import types
from typing import Any

import pytest
import result

from tamarackbridge import core
from tamarackbridge.components.backend import client as backend_client
from tamarackbridge.components.backend import load_poller
from tamarackbridge.components.client import const as client_const
from tamarackbridge.components.client import http as client_http
from tamarackbridge.components.gateway import exceptions, servers
from tamarackbridge.components.object_api import http as object_http
from tamarackbridge.components.object_api import messages as object_messages
from tamarackbridge.components.operator import messages as operator_messages
from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.vm_list import http as vm_http
from tamarackbridge.platform import store as platform_store
from tests.helpers import invalid_responses

CASES = pytest.mark.parametrize("case", invalid_responses.CASES)
LISTING = b'{"as_of":7,"items":[],"has_more":false}'


async def _async_list(address: str) -> bool:
    async with platform_store.Store(address) as client:
        found = await client.async_list("servers")
        return found != result.Err(platform_store.Failure.UNREACHABLE)


async def _async_put(address: str) -> bool:
    async with platform_store.Store(address) as client:
        written = await client.async_put("servers", "i-0", {})
        return written != result.Err(platform_store.Failure.UNREACHABLE)


async def _async_delete(address: str) -> bool:
    async with platform_store.Store(address) as client:
        written = await client.async_delete("servers", "i-0")
        return written != result.Err(platform_store.Failure.UNREACHABLE)


async def _async_report(address: str) -> bool:
    async with servers.ServerClient() as client:
        try:
            await client.async_get_report(address, "/report", 0.0)
        except exceptions.GatewayError:
            return False
        return True


async def _async_load(address: str) -> bool:
    injected: list[core.Message] = []
    server: Any = types.SimpleNamespace(
        name="i-0", address=address, load_lag_s=0.1
    )
    async with backend_client.BackendClient() as client:
        poller = load_poller.LoadPoller(
            load_poller.LoadPort(),
            client,
            core.SystemClock(),
            random.Random(1),
            injected.append,
        )
        await poller._async_poll(server)
    return bool(injected)


def _platform(address: str) -> settings.PlatformSettings:
    return settings.PlatformSettings(
        object_api=f"http://{address}",
        vm_list=f"http://{address}/vms",
        timeout_s=1.0,
    )


def _object_call(call: core.Message) -> Callable[[str], Awaitable[bool]]:
    async def async_run(address: str) -> bool:
        async with object_http.HttpObjectApi(_platform(address)) as client:
            reply = await client.async_call(call)
            return reply.status is not object_messages.StoreStatus.UNKNOWN

    return async_run


async def _async_vms(address: str) -> bool:
    async with vm_http.HttpVmList(_platform(address)) as client:
        return isinstance(await client.async_list(), result.Ok)


async def _async_operator(address: str) -> bool:
    access = client_http.Access((f"http://{address}",))
    call = client_http.Call("POST", "/v1/records")
    kind = operator_messages.ChangeReply
    answer = await asyncio.to_thread(
        client_http.Client(access).call, call, kind
    )
    if isinstance(answer, result.Ok):
        return True
    return answer.err_value.exit_code is not client_const.Exit.UNKNOWN


_CREATE = object_messages.CREATE
CLIENTS: dict[str, tuple[Callable[[str], Awaitable[bool]], bytes]] = {
    "store-list": (_async_list, LISTING),
    "store-put": (_async_put, b"{}"),
    "store-delete": (_async_delete, b"{}"),
    "report": (_async_report, b'{"born":1}'),
    "load": (_async_load, b'{"in_flight":3}'),
    "object-get": (_object_call(object_messages.StoreGet("a/1", "t")), b"x"),
    "object-list": (
        _object_call(object_messages.StoreList("a/", "t")),
        b'{"objects":[]}',
    ),
    "object-put": (
        _object_call(object_messages.StorePut("a/1", b"x", _CREATE, "t")),
        b"",
    ),
    "vm-list": (_async_vms, b'{"vms":[]}'),
    "operator": (
        _async_operator,
        b'{"dry_run":false,"generation":4,"changes":[]}',
    ),
}
"""Calls, each with a body that it accepts; they return whether it did."""

_FIELDS = b'X-Store-Version: 1\r\nETag: "1"\r\n'


@CASES
@pytest.mark.parametrize("name", CLIENTS)
async def test_invalid_response_is_no_answer(name: str, case: str) -> None:
    """A write may have taken effect; a read has told nothing."""
    async_call, body = CLIENTS[name]
    data = invalid_responses.make(case, body or b" ", _FIELDS)
    async with invalid_responses.async_serve(data) as address:
        assert not await async_call(address)


@pytest.mark.parametrize("case", invalid_responses.SECOND)
@pytest.mark.parametrize("name", CLIENTS)
async def test_response_is_an_answer_if_another_follows(
    name: str, case: str
) -> None:
    """Guards against a write that counts as unknown although it was made."""
    async_call, body = CLIENTS[name]
    data = invalid_responses.make(case, body, _FIELDS)
    async with invalid_responses.async_serve(data) as address:
        assert await async_call(address)


@pytest.mark.parametrize("name", CLIENTS)
async def test_valid_response_is_an_answer(name: str) -> None:
    """Guards against cases above that fail for another reason."""
    async_call, body = CLIENTS[name]
    data = b"HTTP/1.1 200 X\r\n%bContent-Length: %d\r\n\r\n%b" % (
        _FIELDS,
        len(body),
        body,
    )
    async with invalid_responses.async_serve(data) as address:
        assert await async_call(address)


@pytest.mark.parametrize("status", [204, 404, 500, 503])
async def test_load_is_read_only_from_a_success(status: int) -> None:
    """Guards against the load in an error that a server repeats."""
    body = b"" if status == 204 else b'{"in_flight":3}'
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    data = head.encode() + body
    async with invalid_responses.async_serve(data) as address:
        assert not await _async_load(address)
