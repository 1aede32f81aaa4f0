"""Callers that keep connections open and note what they are answered."""

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
PAUSE_S = 0.05
"""Mean pause of a caller between two requests."""

LEAVES = 0.03
"""Part of requests whose caller leaves at once."""

POLL_S = 0.5
"""Interval at which the balancer asks whether a router is ready."""

MISSES = 2
"""Answers other than 200 after which a router gets no new connections."""

_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request as its caller saw it.

    Attributes:
        request_id: Its identifier.
        route: First part of its path.
        key: The key that it carried.
        router: Name of the router that got it.
        sent_at: Time of its sending.
        ended_at: Time of the end of its answer, or of the failure.
        status: HTTP status; 0 without an answer.
        answer_id: Identifier that the answer carries.
        body: What arrived.
        whole: Whether the answer ended as its framing says.
        left: Whether the caller left before the answer.
        error: What failed on the way.
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
        """Whether the answer is a stream."""
        return self.route in ("stream", "resumed")

    @property
    def events(self) -> list[int]:
        """Numbers of the events that arrived whole."""
        return [int(number) for number, _ in _EVENT.findall(self.body)]


class Balancer:
    """Knows which routers are ready, as the platform's balancer does."""

    def __init__(self, found: list[programs.Program]) -> None:
        self._programs = found
        self._misses = {it.name: MISSES for it in found}

    def rotation(self) -> list[programs.Program]:
        """Returns the routers that get new connections."""
        ready = [it for it in self._programs if self._misses[it.name] < MISSES]
        return ready or self._programs

    @property
    def all_ready(self) -> bool:
        """Whether every router answered that it is ready."""
        return not any(self._misses.values())

    async def async_run(self) -> None:
        """Asks all routers again and again."""
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
    """Sends one request after another over a connection that it keeps."""

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
        """Sends until it is cancelled."""
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
        """Uses one connection until it fails or the caller moves on."""
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
