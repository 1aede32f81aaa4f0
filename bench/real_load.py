"""Mixed work through the callers' side of real routers."""

import asyncio
import collections
import dataclasses
import itertools
import json
import random
import time

import aiohttp

from bench import real_fleet

KEY = "X-Api-Key"
WHOLE_MARK = b"data: [DONE]"
TOKEN_MARK = b'"index"'


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One kind of request.

    Attributes:
        kind: What it is called in the report.
        method: HTTP method.
        path: Path with service; `{n}` becomes a running number.
        timely_s: Time within which its answer must be whole.
        stream: Whether the answer is a stream of tokens.
        keyed: Whether it carries an idempotency key.
    """

    kind: str
    method: str
    path: str
    timely_s: float
    stream: bool = False
    keyed: bool = False


MIX: dict[str, tuple[Work, ...]] = {
    "mela": (
        Work("dossier", "POST", "/mela-lm/v1/completions", 60, stream=True),
        Work("pen-lookup", "GET", "/mela-app/pens/{n}", 2.0),
        Work("fee-posting", "POST", "/mela-app/fees", 15.0, keyed=True),
    ),
    "asahikawa": (
        Work(
            "order-file", "POST", "/plate-llm/v1/completions", 60, stream=True
        ),
        Work("wording-check", "GET", "/order-app/wording/{n}", 1.0),
        Work("press-check", "GET", "/order-app/press/{n}", 1.0),
        Work("order-status", "GET", "/order-app/orders/{n}", 2.0),
        Work("payment", "POST", "/order-app/payments", 15.0, keyed=True),
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How one request ended.

    Attributes:
        at: Time of its start, in seconds since the load's start.
        took_s: Time until its end.
        status: HTTP status; 0 when the connection broke.
        whole: Whether the answer was whole.
        not_run: What a refusal said; empty for answers.
        tokens: Tokens received.
    """

    work: Work
    workspace: str
    at: float
    took_s: float
    status: int
    whole: bool
    not_run: str
    tokens: int
    reason: str = ""

    @property
    def served(self) -> bool:
        """Whether the answer was whole and in time."""
        return self.whole and self.took_s <= self.work.timely_s


class Load:
    """Closed loops of callers, spread over the routers by a balancer."""

    def __init__(self, fleet: real_fleet.RealFleet, seed: int) -> None:
        self.results: list[Result] = []
        self.arrivals: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self.balanced = list(fleet.callers)
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._started = time.monotonic()
        self._numbers = itertools.count()

    def now(self) -> float:
        """Returns seconds since the load's start."""
        return time.monotonic() - self._started

    async def async_run(
        self, callers: dict[str, dict[str, int]], seconds: float
    ) -> None:
        """Runs loops of callers for some time.

        Args:
            callers: Loops by workspace and kind of work.
            seconds: After which no loop starts another request.
        """
        works = {work.kind: work for work in MIX[self._fleet.deployment]}
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=90)
        end = self.now() + seconds
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            async with asyncio.TaskGroup() as group:
                for workspace, kinds in callers.items():
                    for kind, count in kinds.items():
                        for _ in range(count):
                            loop = self._async_loop(
                                session, workspace, works[kind], end
                            )
                            group.create_task(loop)

    async def _async_loop(
        self,
        session: aiohttp.ClientSession,
        workspace: str,
        work: Work,
        end: float,
    ) -> None:
        while self.now() < end:
            one = await self._async_one(session, workspace, work)
            self.results.append(one)
            if not one.whole:
                await asyncio.sleep(0.2)
            elif not work.stream:
                await asyncio.sleep(self._rng.uniform(0.02, 0.1))

    async def _async_one(
        self, session: aiohttp.ClientSession, workspace: str, work: Work
    ) -> Result:
        number = next(self._numbers)
        base = self._fleet.callers[self._rng.choice(self.balanced)]
        headers = {KEY: self._fleet.keys[workspace]}
        body = b""
        if work.stream:
            tokens = int(min(400, 10 + self._rng.paretovariate(1.1) * 20))
            prompt = f"draft {number} " * self._rng.randint(1, 40)
            doc = {
                "model": "m",
                "prompt": prompt,
                "max_tokens": tokens,
                "stream": True,
            }
            body = json.dumps(doc).encode()
            headers["Content-Type"] = "application/json"
        if work.keyed:
            headers["Idempotency-Key"] = f"{workspace}-{number}"
            body = json.dumps({"fee": number}).encode()
        started = self.now()
        status, whole, not_run, got, reason = 0, False, "", 0, ""
        try:
            async with session.request(
                work.method,
                base + work.path.format(n=number),
                headers=headers,
                data=body,
            ) as resp:
                status = resp.status
                if work.stream and status == 200:
                    whole, got = await self._async_stream(resp, workspace)
                else:
                    data = await resp.read()
                    whole = status == 200 and bool(data)
                if status >= 400:
                    doc = json.loads(data)
                    not_run = str(doc.get("not_run", ""))
                    reason = str(doc.get("reason", ""))
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            whole = False
            reason = type(exc).__name__
        took = self.now() - started
        return Result(
            work, workspace, started, took, status, whole, not_run, got, reason
        )

    async def _async_stream(
        self, resp: aiohttp.ClientResponse, workspace: str
    ) -> tuple[bool, int]:
        tokens = 0
        whole = False
        async for line in resp.content:
            if TOKEN_MARK in line:
                tokens += 1
                self.arrivals[workspace].append((self.now(), 1))
            whole = whole or line.startswith(WHOLE_MARK)
        return whole, tokens
