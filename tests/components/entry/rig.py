"""Real entry listener before real stand-in servers, with permits for all."""

from collections.abc import Sequence
import contextlib
import dataclasses
import hashlib
import json
import random
import ssl
from typing import ClassVar

import aiohttp

from standins import backend
from tamarackbridge import const, core
from tamarackbridge.components.backend import client as backend_client
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import decider as entry_decider
from tamarackbridge.components.entry import forward, service, telemetry
from tamarackbridge.components.records import models
from tamarackbridge.components.settings import models as settings_models
from tamarackbridge.helpers import response_memory

KEY = "plain-key"
DRAIN_NOTICE_S = 0.3


class PermitGranter:
    """Grants a permit for each request, and a claim for each key.

    A permit is for the first server that the request does not avoid. Claims are
    not remembered: a key that is used again is granted again.

    Attributes:
        done: The ends of the attempts, in order.
        closed: The ends of the claims, in order.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        dispatch.Want,
        dispatch.Done,
        claims.ClaimWant,
        claims.ClaimClose,
    )

    def __init__(self, servers: Sequence[str], life_s: float) -> None:
        self.done: list[dispatch.Done] = []
        self.closed: list[claims.ClaimClose] = []
        self._servers = servers
        self._life_s = life_s

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        match delivery.msg:
            case dispatch.Want() as want:
                return [core.Envelope(const.LOCAL_NODE, self._grant(want, now))]
            case dispatch.Done() as done:
                self.done.append(done)
            case claims.ClaimWant(request_id=request_id):
                run = claims.ClaimAnswer.RUN
                claim_result = claims.ClaimResult(request_id, run, now + 30.0)
                return [core.Envelope(const.LOCAL_NODE, claim_result)]
            case claims.ClaimClose() as close:
                self.closed.append(close)
                stored = claims.ClaimClosed(close.request_id)
                return [core.Envelope(const.LOCAL_NODE, stored)]
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        return ()

    def _grant(
        self, want: dispatch.Want, now: float
    ) -> dispatch.Permitted | dispatch.Refused:
        free = [name for name in self._servers if name not in want.avoid]
        if not free:
            return dispatch.Refused(want.request_id, "no_capacity", 1.0)
        return dispatch.Permitted(
            want.request_id, "s/0", free[0], 1, 1, now + 1.0, self._life_s
        )


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller received.

    Attributes:
        status: HTTP status; 0 if the connection was cut.
        body: The bytes received.
        problem: The problem document of an error; empty otherwise.
        cut: Whether the connection ended before the answer was complete.
    """

    status: int
    body: bytes
    problem: dict[str, str]
    cut: bool


class Rig:
    """One entry before backend servers, which are tried in order."""

    def __init__(
        self,
        servers: Sequence[backend.Backend],
        *routes: models.Route,
        life_s: float = 10.0,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self._ssl_context = ssl_context
        self.servers = servers
        self.granter = PermitGranter(
            [str(n) for n in range(len(servers))], life_s
        )
        self.decider = entry_decider.EntryDecider()
        self._routes = routes
        self._group = core.DeciderGroup("r", (self.granter, self.decider))
        self._clock = core.SystemClock()
        self._stack = contextlib.AsyncExitStack()
        self.entry: service.EntryService
        self.memory: response_memory.MemoryBudget
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Rig":
        enter = self._stack.enter_async_context
        for server in self.servers:
            await enter(server)
        client = await enter(backend_client.BackendClient())
        self.inject(configuration.SnapshotInForce(self._snapshot()))
        self.inject(configuration.ServingChanged(True, ""))
        self.entry = await enter(self._create_service(client))
        self.session = await enter(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    def drain_servers(self) -> None:
        """Marks all servers as draining in the configuration in force."""
        snapshot = self._snapshot()
        servers = {
            name: dataclasses.replace(server, draining=True)
            for name, server in snapshot.servers.items()
        }
        drained = dataclasses.replace(snapshot, servers=servers)
        self.inject(configuration.SnapshotInForce(drained))

    def inject(self, msg: core.Message) -> None:
        self._group.handle(core.Delivery("r", msg), self._clock.monotonic())

    async def async_request(
        self, method: str = "GET", path: str = "/s/x", body: bytes = b""
    ) -> Reply:
        headers = {"X-Api-Key": KEY, "Idempotency-Key": "k"}
        url = f"http://127.0.0.1:{self.entry.port}{path}"
        received = b""
        try:
            async with self.session.request(
                method, url, headers=headers, data=body
            ) as resp:
                status = resp.status
                async for data in resp.content.iter_any():
                    received += data
                problem = json.loads(received) if status >= 400 else {}
        except aiohttp.ClientError:
            return Reply(0, received, {}, True)
        return Reply(status, received, problem, False)

    def _snapshot(self) -> models.Snapshot:
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        workspace = models.Workspace("w", 1.0, (digest,), 100, 100, "")
        svc = models.Service(
            name="s",
            protocol=models.Protocol.ENGINE,
            cost_rule=models.CostRule.TOKENS,
            output_weight=1.0,
            max_cost=1e6,
            max_request_s=10.0,
            shards=1,
            routes=self._routes,
        )
        servers = {
            str(index): models.BackendServer(
                name=str(index),
                service="s",
                zone="z",
                address=server.address,
                limit_warm=10,
                limit_cold=10,
                checks_fencing=False,
                draining=False,
                load_lag_s=0.0,
            )
            for index, server in enumerate(self.servers)
        }
        zones = {"z": models.Zone("z", False)}
        return models.Snapshot(1, {"w": workspace}, {"s": svc}, servers, zones)

    def _create_service(
        self, client: backend_client.BackendClient
    ) -> service.EntryService:
        listen = settings_models.ListenSettings()
        forwarder = forward.Forwarder(client)
        self.memory = forwarder._memory
        return service.EntryService(
            settings_models.Settings(
                node="r",
                zone="z",
                caller=listen,
                peer=listen,
                operator=settings_models.OperatorSettings(),
                platform=settings_models.PlatformSettings(
                    object_api="http://127.0.0.1:1", vm_list=""
                ),
                drain_notice_s=DRAIN_NOTICE_S,
            ),
            self._clock,
            self.decider,
            forwarder,
            random.Random(1),
            self.inject,
            telemetry.null(),
            self._ssl_context,
        )
