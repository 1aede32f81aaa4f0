"""Clients of the routers, and the load balancer in front of them."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import re
import time

import aiohttp

from soak import programs, world
from tamarackbridge.helpers import send_once

DEADLINE_S = 3.0
"""Client timeout, sent with each request."""

PAUSE_S = 0.05
"""Mean pause between two requests of one caller."""

LEAVES = 0.03
"""Fraction of requests that the caller abandons within 0.1 s."""

POLL_S = 0.5
"""Interval, and timeout, of the balancer's readiness probes."""

MISSES = 2
"""Consecutive failed probes after which a router gets no new connections."""

_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")


@dataclasses.dataclass(slots=True)
class Attempt:
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
        whole: Whether the answer ended where its HTTP framing says.
        left: Whether the caller abandoned the request before its answer had
            ended.
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
    whole: bool = False
    left: bool = False
    error: str = ""

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route in ("stream", "resumed")

    @property
    def events(self) -> list[int]:
        """Numbers of the events that arrived in full, in order."""
        return [int(number) for number, _ in _EVENT.findall(self.body)]


class Balancer:
    """Probes the readiness of routers, as the platform's load balancer does."""

    def __init__(self, found: list[programs.Program]) -> None:
        self._programs = found
        self._misses = {it.name: MISSES for it in found}

    def rotation(self) -> list[programs.Program]:
        """Returns the routers that get new connections.

        These are the ready ones, or all of them when none is ready.
        """
        ready = [it for it in self._programs if self._misses[it.name] < MISSES]
        return ready or self._programs

    @property
    def all_ready(self) -> bool:
        """Whether the last probe of every router found it ready."""
        return not any(self._misses.values())

    async def async_run(self) -> None:
        """Probes all routers periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(total=POLL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                asked = (self._async_ask(session, it) for it in self._programs)
                await asyncio.gather(*asked)
                await asyncio.sleep(POLL_S)

    async def _async_ask(
        self, session: aiohttp.ClientSession, program: programs.Program
    ) -> None:
        ready = False
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.get(program.readiness) as resp:
                ready = resp.status == 200
        misses = 0 if ready else self._misses[program.name] + 1
        self._misses[program.name] = misses


class Caller:
    """Sends requests one after another, many over each connection."""

    def __init__(
        self,
        place: world.World,
        balancer: Balancer,
        attempts: list[Attempt],
        numbers: "itertools.count[int]",
        rng: random.Random,
    ) -> None:
        self._place = place
        self._balancer = balancer
        self._attempts = attempts
        self._numbers = numbers
        self._rng = rng

    async def async_run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            program = self._rng.choice(self._balancer.rotation())
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=30)
            async with aiohttp.ClientSession(
                connector=connector,
                middlewares=(send_once.async_send_once,),
                timeout=aiohttp.ClientTimeout(total=2 * DEADLINE_S),
            ) as session:
                await self._async_use(session, program)

    async def _async_use(
        self, session: aiohttp.ClientSession, program: programs.Program
    ) -> None:
        """Sends up to 40 requests over one connection, or until one fails."""
        for _ in range(self._rng.randint(3, 40)):
            attempt = self._next(program)
            self._attempts.append(attempt)
            await self._async_attempt(session, attempt)
            if not attempt.whole:
                return
            await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))

    def _next(self, program: programs.Program) -> Attempt:
        routes = ["read", "pay", "stream", "resumed", *self._place.routes]
        return Attempt(
            request_id=f"q{next(self._numbers)}",
            route=self._rng.choice(routes),
            key=f"key-{self._rng.randrange(world.KEYS)}",
            router=program.name,
            sent_at=time.monotonic(),
        )

    async def _async_attempt(
        self, session: aiohttp.ClientSession, attempt: Attempt
    ) -> None:
        address = self._place.links[f"callers-{attempt.router}"].address
        prefix = "/stream" if attempt.streams else ""
        url = f"http://{address}{prefix}/{attempt.route}/1"
        leave_s = None
        if self._rng.random() < LEAVES:
            leave_s = self._rng.uniform(0.0, 0.1)
        sending = asyncio.create_task(self._async_send(session, url, attempt))
        try:
            _, pending = await asyncio.wait({sending}, timeout=leave_s)
        finally:
            sending.cancel()
        attempt.left = bool(pending)
        attempt.ended_at = time.monotonic()

    async def _async_send(
        self, session: aiohttp.ClientSession, url: str, attempt: Attempt
    ) -> None:
        headers = {
            "Host": world.HOST,
            "X-Request-Id": attempt.request_id,
            "X-Api-Key": attempt.key,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        method = "GET" if attempt.route == "read" else "POST"
        data = None if method == "GET" else b"question"
        try:
            async with session.request(
                method, url, headers=headers, data=data
            ) as resp:
                attempt.status = resp.status
                attempt.answer_id = resp.headers.get("X-Request-Id", "")
                async for chunk in resp.content.iter_any():
                    attempt.body += chunk
                attempt.whole = True
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            attempt.error = f"{type(exc).__name__}: {exc}"
