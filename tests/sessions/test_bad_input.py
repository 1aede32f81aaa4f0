"""What a whole router does with input that is wrong, late or unread."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import hashlib
import json
import socket
from typing import Any

import aiohttp
import pytest

from standins import engine, object_api, plain_service
from tamarackbridge import router
from tamarackbridge.components.configuration import stored
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.object_api import messages as store
from tamarackbridge.components.operator import const as operator_const
from tamarackbridge.components.records import codec, models, schemas
from tamarackbridge.components.settings import models as settings

KEY = "k" * 32
TOKEN = "operator"
WAIT_S = 20.0
POLL_S = 0.05
BODY_LIMIT = 2048
HEADER_LIMIT = 1024
LIMITS = settings.LimitSettings(
    max_header_bytes=HEADER_LIMIT,
    max_body_bytes=BODY_LIMIT,
    header_timeout_s=0.2,
    body_timeout_s=0.2,
    write_stall_s=0.3,
    max_connections=8,
)


def digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def service(name: str, *routes: models.Route) -> models.Service:
    engines = name == "lm"
    return models.Service(
        name,
        models.Protocol.ENGINE if engines else models.Protocol.HTTP,
        models.CostRule.TOKENS if engines else models.CostRule.SERVER_MS,
        1.0,
        1e9,
        60.0,
        1,
        routes,
    )


def server(name: str, address: str) -> models.BackendServer:
    return models.BackendServer(
        f"{name}-1", name, "z", address, 8, 8, False, False, 1.0
    )


def put_records(api: object_api.ObjectApi, *found: schemas.Model) -> None:
    """Stores a configuration as a change would have."""
    records = {}
    for model in found:
        record = schemas.Record(1, model)
        body = codec.encode(record)
        key = f"{record.kind}/{model.name}"
        records[key] = stored.StoredRecord(body, 1, "c", "test")
    head = stored.Head(1, "config/1", ())
    values = {
        "config/1": stored.encode_records(records),
        membership_const.KEY_CONFIG: stored.encode_head(head),
    }
    for key, value in values.items():
        api.version += 1
        api.objects[key] = store.StoredObject(key, api.version, value)


async def async_until(check: Callable[[], Awaitable[bool]]) -> None:
    for _ in range(int(WAIT_S / POLL_S)):
        if await check():
            return
        await asyncio.sleep(POLL_S)
    pytest.fail(f"not reached: {check.__name__}")


class Place:
    """A router with its stand-ins."""

    def __init__(self) -> None:
        self.api = object_api.ObjectApi()
        self.app = plain_service.PlainService()
        fast = engine.EngineFaults(first_token_s=0.0, token_s=0.0)
        self.lm = engine.Engine(fast)
        self.router: router.Router
        self.port = 0
        self.operator = ""

    async def async_start(self, stack: contextlib.AsyncExitStack) -> None:
        for stand_in in (self.api, self.app, self.lm):
            await stack.enter_async_context(stand_in)
        fees = models.Route("fees", "POST", "/fees", False, 10.0, False)
        pens = models.Route("pens", "GET", "/pens/*", True, 10.0, False)
        talk = models.Route("go", "POST", "/v1/completions", True, 60.0, False)
        put_records(
            self.api,
            models.Zone("z", False),
            service("app", fees, pens),
            service("lm", talk),
            server("app", self.app.address),
            server("lm", self.lm.address),
            models.Workspace("w", 1.0, (digest(KEY),), 64, 64, ""),
        )
        cfg = settings.Settings(
            node="n",
            zone="z",
            caller=settings.ListenSettings(),
            peer=settings.ListenSettings(),
            operator=settings.OperatorSettings(token_hashes=(digest(TOKEN),)),
            platform=settings.PlatformSettings(
                object_api=self.api.url, vm_list=f"{self.api.url}/vms"
            ),
            limits=LIMITS,
        )
        self.router = router.Router(cfg)
        for svc in self.router.kernel.mode_services():
            await svc.start()
            stack.push_async_callback(svc.stop)
        self.port = self.router.kernel.get("entry").port
        port = self.router.kernel.get("operator").port
        self.operator = f"http://127.0.0.1:{port}"
        await async_until(self.async_ready)

    async def async_ready(self) -> bool:
        async with aiohttp.ClientSession(self.operator) as session:
            async with session.get(operator_const.PATH_READY) as resp:
                return resp.status == 200

    async def async_timed_out(self) -> bool:
        return self.router.kernel.get("entry").connections.timed_out > 0

    async def async_alone(self) -> bool:
        return self.router.kernel.get("entry").connections.open == 0


@pytest.fixture
async def place() -> AsyncIterator[Place]:
    made = Place()
    async with contextlib.AsyncExitStack() as stack:
        await made.async_start(stack)
        yield made


def request(
    method: str, path: str, *lines: str, key: str = KEY, body: str = ""
) -> bytes:
    head = [f"{method} {path} HTTP/1.1", "Host: x", *lines]
    if key:
        head.append(f"X-Api-Key: {key}")
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


async def async_send(port: int, data: bytes) -> tuple[int, dict[str, Any]]:
    """Sends bytes and reads until the answer is whole or the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(WAIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            sizes = [ln for ln in lines if ln.startswith("content-length:")]
            body = await reader.readexactly(int(sizes[0].partition(":")[2]))
    finally:
        writer.close()
    return int(head.split()[1]), json.loads(body)


TABLE = [
    ("no key", request("GET", "/app/pens/1", key=""), 401, "unauthorized"),
    ("wrong", request("GET", "/app/pens/1", key="no"), 401, "unauthorized"),
    ("no service", request("GET", "/none/pens/1"), 404, "unknown_route"),
    ("no route", request("GET", "/app/none"), 404, "unknown_route"),
    ("wrong method", request("PUT", "/app/pens/1"), 404, "unknown_route"),
    (
        "no idempotency key",
        request("POST", "/app/fees", "Content-Length: 0"),
        400,
        "key_required",
    ),
    (
        "large body",
        request(
            "POST",
            "/lm/v1/completions",
            f"Content-Length: {BODY_LIMIT + 1}",
            body="x" * (BODY_LIMIT + 1),
        ),
        413,
        "too_large",
    ),
    (
        "large header",
        request("GET", "/app/pens/1", "X-Long: " + "x" * 2 * HEADER_LIMIT),
        431,
        "header_too_large",
    ),
    (
        "large path",
        request("GET", "/app/pens/" + "x" * 2 * HEADER_LIMIT),
        431,
        "header_too_large",
    ),
    ("no HTTP", b"\x16\x03\x01\x00\r\n\r\n", 400, "bad_request"),
    (
        "two lengths",
        request("POST", "/app/fees", "Content-Length: 1", "Content-Length: 2"),
        400,
        "bad_request",
    ),
    ("half a header", b"GET /app/pens/1 HTT", 408, "timeout"),
    (
        "half a body",
        request(
            "POST", "/lm/v1/completions", "Content-Length: 99", body="half"
        ),
        408,
        "timeout",
    ),
]


async def test_wrong_requests_are_refused_and_reach_no_server(
    place: Place,
) -> None:
    for name, data, status, reason in TABLE:
        answer = await async_send(place.port, data)
        assert answer[0] == status, name
        assert (answer[1]["reason"], answer[1]["not_run"]) == (reason, "true")
    assert "serve" not in place.app.calls
    assert "completion" not in place.lm.calls
    right = request("GET", "/app/pens/1")
    assert (await async_send(place.port, right))[0] == 200


RECORDS = [
    (b"{", "JSON"),
    (
        b'{"records": [{"kind": "zone", "schema_version": 9, "name": "y"}]}',
        "schema_version",
    ),
    (
        b'{"records": [{"kind": "zone", "schema_version": 1, "name": 3}]}',
        "name",
    ),
]


async def test_wrong_records_change_nothing(place: Place) -> None:
    before = dict(place.api.objects)
    headers = {"Authorization": f"Bearer {TOKEN}"}
    async with aiohttp.ClientSession(place.operator, headers=headers) as http:
        for body, named in RECORDS:
            async with http.post(
                operator_const.PATH_RECORDS, data=body
            ) as resp:
                assert resp.status == 400
                assert named in (await resp.json())["detail"]
    config = membership_const.KEY_CONFIG
    assert place.api.objects[config] == before[config]


async def test_reader_that_stalls_holds_little_and_is_cut(
    place: Place,
) -> None:
    tokens = 1_000_000
    doc = {"prompt": "p", "max_tokens": tokens, "stream": True}
    body = json.dumps(doc)
    data = request(
        "POST",
        "/lm/v1/completions",
        f"Content-Length: {len(body)}",
        body=body,
    )
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", place.port))
    sock.sendall(data)
    await async_until(place.async_timed_out)
    await asyncio.wait_for(place.lm.idle.wait(), WAIT_S)
    sock.close()
    assert place.lm.cancelled == 1
    assert place.lm.tokens < tokens


async def test_more_connections_than_allowed_are_closed(place: Place) -> None:
    opened = [
        await asyncio.open_connection("127.0.0.1", place.port)
        for _ in range(LIMITS.max_connections)
    ]
    reader, writer = await asyncio.open_connection("127.0.0.1", place.port)
    assert await reader.read() == b""
    for _, held in [*opened, (reader, writer)]:
        held.close()
    await async_until(place.async_alone)
    right = request("GET", "/app/pens/1")
    assert (await async_send(place.port, right))[0] == 200
