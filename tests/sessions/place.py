"""A whole router in this process, with stand-ins around it."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import hashlib
import ssl

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
        self.caller = settings.ListenSettings()
        self.operator_tls = settings.TlsSettings()
        self.operator_context: ssl.SSLContext | bool = True

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
            caller=self.caller,
            peer=settings.ListenSettings(),
            operator=settings.OperatorSettings(
                tls=self.operator_tls, token_hashes=(digest(TOKEN),)
            ),
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
        scheme = "https" if self.operator_tls.certificate else "http"
        self.operator = f"{scheme}://127.0.0.1:{port}"
        await async_until(self.async_ready)

    async def async_ready(self) -> bool:
        connector = aiohttp.TCPConnector(ssl=self.operator_context)
        async with aiohttp.ClientSession(connector=connector) as session:
            ready = self.operator + operator_const.PATH_READY
            async with session.get(ready) as resp:
                return resp.status == 200

    async def async_timed_out(self) -> bool:
        return self.router.kernel.get("entry").connections.timed_out > 0

    async def async_alone(self) -> bool:
        return self.router.kernel.get("entry").connections.open == 0
