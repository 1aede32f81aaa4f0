"""A router in this process, with stand-ins for everything it connects to."""

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

API_KEY = "k" * 32
OPERATOR_TOKEN = "operator"
STATE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
BODY_LIMIT = 2048
HEADER_LIMIT = 1024
# Short timeouts, so that a test of a slow caller does not take long.
CALLER_LIMITS = settings.LimitSettings(
    max_header_bytes=HEADER_LIMIT,
    max_body_bytes=BODY_LIMIT,
    header_timeout_s=0.2,
    body_timeout_s=0.2,
    write_stall_s=0.3,
    max_connections=8,
)


def sha256_hex(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def make_service(name: str, *routes: models.Route) -> models.Service:
    is_engine = name == "lm"
    return models.Service(
        name,
        models.Protocol.ENGINE if is_engine else models.Protocol.HTTP,
        models.CostRule.TOKENS if is_engine else models.CostRule.SERVER_MS,
        1.0,
        1e9,
        60.0,
        1,
        routes,
    )


def make_server(name: str, address: str) -> models.BackendServer:
    return models.BackendServer(
        f"{name}-1", name, "z", address, 8, 8, False, False, 1.0
    )


def put_records(
    api: object_api.ObjectApi, *record_models: schemas.Model
) -> None:
    """Stores a configuration in the layout that routers write.

    The object store gets the encoded records of generation 1 and a head that
    refers to them.
    """
    records = {}
    for model in record_models:
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
    """Waits for a condition, and fails the test after `STATE_TIMEOUT_S`."""
    for _ in range(int(STATE_TIMEOUT_S / POLL_INTERVAL_S)):
        if await check():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    pytest.fail(f"condition not met in time: {check.__name__}")


class RouterEnvironment:
    """One router between stand-ins for the object API and the servers.

    Listeners and TLS are set before `async_start`.

    Attributes:
        object_api: Stand-in for the store of the configuration.
        plain_server: Backend server of the service `app`.
        engine: Backend server of the service `lm`.
        router: The router, from `async_start` on.
        caller_port: The port that callers connect to.
        operator_url: The base URL of the operator interface.
        caller_listen: The listener for callers.
        operator_tls: TLS of the operator interface; plain HTTP by default.
        operator_client_context: TLS context of the readiness probe.
    """

    def __init__(self) -> None:
        self.object_api = object_api.ObjectApi()
        self.plain_server = plain_service.PlainService()
        no_delays = engine.EngineFaults(first_token_s=0.0, token_s=0.0)
        self.engine = engine.Engine(no_delays)
        self.router: router.Router
        self.caller_port = 0
        self.operator_url = ""
        self.caller_listen = settings.ListenSettings()
        self.operator_tls = settings.TlsSettings()
        self.operator_client_context: ssl.SSLContext | bool = True

    async def async_start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts all parts and waits until the router is ready.

        Leaving the stack stops the router, then the stand-ins.
        """
        for stand_in in (self.object_api, self.plain_server, self.engine):
            await stack.enter_async_context(stand_in)
        fees_route = models.Route("fees", "POST", "/fees", False, 10.0, False)
        pens_route = models.Route("pens", "GET", "/pens/*", True, 10.0, False)
        completions_route = models.Route(
            "go", "POST", "/v1/completions", True, 60.0, False
        )
        put_records(
            self.object_api,
            models.Zone("z", False),
            make_service("app", fees_route, pens_route),
            make_service("lm", completions_route),
            make_server("app", self.plain_server.address),
            make_server("lm", self.engine.address),
            models.Workspace("w", 1.0, (sha256_hex(API_KEY),), 64, 64, ""),
        )
        cfg = settings.Settings(
            node="n",
            zone="z",
            caller=self.caller_listen,
            peer=settings.ListenSettings(),
            operator=settings.OperatorSettings(
                tls=self.operator_tls,
                token_hashes=(sha256_hex(OPERATOR_TOKEN),),
            ),
            platform=settings.PlatformSettings(
                object_api=self.object_api.url,
                vm_list=f"{self.object_api.url}/vms",
            ),
            limits=CALLER_LIMITS,
        )
        self.router = router.Router(cfg)
        for svc in self.router.kernel.mode_services():
            await svc.start()
            stack.push_async_callback(svc.stop)
        self.caller_port = self.router.kernel.get("entry").port
        port = self.router.kernel.get("operator").port
        scheme = "https" if self.operator_tls.certificate else "http"
        self.operator_url = f"{scheme}://127.0.0.1:{port}"
        await async_until(self.async_is_ready)

    async def async_is_ready(self) -> bool:
        connector = aiohttp.TCPConnector(ssl=self.operator_client_context)
        async with aiohttp.ClientSession(connector=connector) as session:
            ready_url = self.operator_url + operator_const.PATH_READY
            async with session.get(ready_url) as resp:
                return resp.status == 200

    async def async_has_timed_out_connection(self) -> bool:
        return self.router.kernel.get("entry").connections.timed_out > 0

    async def async_has_no_connections(self) -> bool:
        return self.router.kernel.get("entry").connections.open == 0
