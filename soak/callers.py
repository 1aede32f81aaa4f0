"""Clients of the routers, and the load balancer in front of them."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import re
import time

import aiohttp

from soak import environment, programs
from tamarackbridge.components.gateway import servers
from tamarackbridge.helpers import message_framing, response_limits, send_once

CALLER_TIMEOUT_S = 3.0
"""Client timeout, sent with each request."""

MEAN_PAUSE_S = 0.05
"""Mean pause between two requests of one caller."""

ABANDONED_FRACTION = 0.03
"""Fraction of requests that the caller abandons within 0.1 s."""

PROBE_INTERVAL_S = 0.5
"""Interval, and timeout, of the balancer's readiness probes."""

FAILED_PROBES_LIMIT = 2
"""Consecutive failed probes after which a router gets no new connections."""

RESUME_PAUSE_S = 0.1
"""Pause before a caller resumes a broken stream."""

MIN_RESUME_S = 0.3
"""Remaining time below which a caller gives a broken stream up."""

_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")


@dataclasses.dataclass(slots=True)
class ClientRequest:
    """A request as its caller saw it.

    Attributes:
        request_id: Value of its X-Request-Id header.
        route: Name of its route.
        key: API key that it carried.
        router: Name of the router that it was sent to.
        sent_at: Monotonic time at which it was sent.
        ended_at: Monotonic time at which its answer ended, or at which it
            failed or was abandoned; 0 before.
        status: HTTP status of the answer; 0 without one.
        answer_id: X-Request-Id of the answer; empty without one.
        body: Bytes of the answer's body that arrived.
        resumes: Request whose broken stream it is to go on with, if any.
        complete: Whether the answer ended where its HTTP framing says: without
            a length or chunks, where the connection is closed in good order.
        abandoned: Whether the caller closed the connection before the
            answer had ended.
        error: Error of the connection or of the client timeout, if any.
    """

    request_id: str
    route: str
    key: str
    router: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    answer_id: str = ""
    body: bytes = b""
    resumes: "ClientRequest | None" = None
    complete: bool = False
    abandoned: bool = False
    error: str = ""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route in ("stream", "resumed")

    @property
    def events(self) -> list[int]:
        """Numbers of the events that arrived in full, in order."""
        return [int(number) for number, _ in _EVENT.findall(self.body)]

    @property
    def joined_events(self) -> list[int]:
        """Numbers of the events of the streams that it resumes, and its own."""
        earlier = self.resumes.joined_events if self.resumes else []
        return earlier + (self.events if self.status == 200 else [])

    @property
    def is_whole_stream(self) -> bool:
        """Whether the answer is a stream that ended as if complete."""
        return self.is_stream and self.status == 200 and self.complete

    @property
    def is_broken_stream(self) -> bool:
        """Whether the answer is a stream that broke before its end."""
        return (
            self.is_stream
            and self.status == 200
            and not self.complete
            and not self.abandoned
        )


class Balancer:
    """Probes the readiness of routers, as the platform's load balancer does."""

    def __init__(self, routers: list[programs.RouterProcess]) -> None:
        self._routers = routers
        self._failed_probes = {
            router.name: FAILED_PROBES_LIMIT for router in routers
        }

    def rotation(self) -> list[programs.RouterProcess]:
        """Returns the routers that get new connections.

        These are the ready ones, or all of them when none is ready.
        """
        ready = [
            router
            for router in self._routers
            if self._failed_probes[router.name] < FAILED_PROBES_LIMIT
        ]
        return ready or self._routers

    @property
    def all_ready(self) -> bool:
        """Whether the last probe of every router found it ready."""
        return not any(self._failed_probes.values())

    async def async_run(self) -> None:
        """Probes all routers periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                probes = (
                    self._async_probe(session, router)
                    for router in self._routers
                )
                await asyncio.gather(*probes)
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def _async_probe(
        self, session: aiohttp.ClientSession, router: programs.RouterProcess
    ) -> None:
        ready = False
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.get(router.readiness_url) as resp:
                ready = resp.status == 200
        failed_probes = 0 if ready else self._failed_probes[router.name] + 1
        self._failed_probes[router.name] = failed_probes


class Caller:
    """Sends requests one after another, many over each connection.

    Args:
        env: Links to the routers, and the routes.
        balancer: Names the routers that get new connections.
        requests: List that gets the requests.
        request_numbers: Source of the identifiers of requests.
        rng: Source of all draws but those for resumed streams.
        resume_rng: Source of the routers at which streams are resumed.
        version: HTTP version of the requests.
    """

    def __init__(
        self,
        env: environment.Environment,
        balancer: Balancer,
        requests: list[ClientRequest],
        request_numbers: "itertools.count[int]",
        rng: random.Random,
        resume_rng: random.Random,
        version: aiohttp.HttpVersion,
    ) -> None:
        self._env = env
        self._balancer = balancer
        self._requests = requests
        self._request_numbers = request_numbers
        self._rng = rng
        self._resume_rng = resume_rng
        self._version = version

    async def async_run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            router = self._rng.choice(self._balancer.rotation())
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=30)
            response_limits.bind(connector, servers.ServerProtocol)
            async with aiohttp.ClientSession(
                connector=connector,
                middlewares=(send_once.async_send_once,),
                timeout=aiohttp.ClientTimeout(total=2 * CALLER_TIMEOUT_S),
                version=self._version,
            ) as session:
                await self._async_use_connection(session, router)

    async def _async_use_connection(
        self, session: aiohttp.ClientSession, router: programs.RouterProcess
    ) -> None:
        """Sends up to 40 requests over one connection, or until one fails."""
        for _ in range(self._rng.randint(3, 40)):
            request = self._create_request(router)
            self._requests.append(request)
            await self._async_send_or_abandon(session, request)
            if request.route == "resumed" and request.is_broken_stream:
                await self._async_resume(session, request)
            if not request.complete:
                return
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))

    def _create_request(self, router: programs.RouterProcess) -> ClientRequest:
        routes = ["read", "pay", "stream", "resumed", *self._env.routes]
        return ClientRequest(
            request_id=f"q{next(self._request_numbers)}",
            route=self._rng.choice(routes),
            key=f"key-{self._rng.randrange(environment.KEY_COUNT)}",
            router=router.name,
            sent_at=time.monotonic(),
        )

    async def _async_send_or_abandon(
        self, session: aiohttp.ClientSession, request: ClientRequest
    ) -> None:
        abandon_after_s = None
        if self._rng.random() < ABANDONED_FRACTION:
            abandon_after_s = self._rng.uniform(0.0, 0.1)
        send_task = asyncio.create_task(
            self._async_send(session, request, CALLER_TIMEOUT_S)
        )
        try:
            _, pending = await asyncio.wait(
                {send_task}, timeout=abandon_after_s
            )
        finally:
            send_task.cancel()
        request.abandoned = bool(pending)
        request.ended_at = time.monotonic()

    async def _async_resume(
        self, session: aiohttp.ClientSession, broken: ClientRequest
    ) -> None:
        """Resumes a broken stream until it is whole or its time is over."""
        deadline = broken.sent_at + CALLER_TIMEOUT_S
        request = broken
        while not request.is_whole_stream:
            await asyncio.sleep(RESUME_PAUSE_S)
            remaining_s = deadline - time.monotonic()
            if remaining_s < MIN_RESUME_S:
                return
            router = self._resume_rng.choice(self._balancer.rotation())
            request = ClientRequest(
                request_id=f"q{next(self._request_numbers)}",
                route=broken.route,
                key=broken.key,
                router=router.name,
                sent_at=time.monotonic(),
                resumes=request,
            )
            self._requests.append(request)
            await self._async_send(session, request, remaining_s)
            request.ended_at = time.monotonic()

    async def _async_send(
        self,
        session: aiohttp.ClientSession,
        request: ClientRequest,
        timeout_s: float,
    ) -> None:
        address = self._env.links[f"callers-{request.router}"].address
        prefix = "/stream" if request.is_stream else ""
        url = f"http://{address}{prefix}/{request.route}/1"
        headers = {
            "Host": environment.HOST,
            "X-Request-Id": request.request_id,
            "X-Api-Key": request.key,
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        if request.joined_events:
            headers["Last-Event-Id"] = str(request.joined_events[-1])
        method = "GET" if request.route == "read" else "POST"
        data = None if method == "GET" else b"question"
        try:
            async with session.request(
                method, url, headers=headers, data=data
            ) as resp:
                request.status = resp.status
                request.answer_id = resp.headers.get("X-Request-Id", "")
                framing = message_framing.of_response(resp)
                is_unmarked = framing is message_framing.Framing.CLOSE
                async for chunk in resp.content.iter_any():
                    request.body += chunk
                if is_unmarked and response_limits.ended_by_reset(resp):
                    request.error = "connection was reset"
                    return
                request.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            request.error = f"{type(exc).__name__}: {exc}"
