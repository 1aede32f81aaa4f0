"""Load generator: a mix of requests to the caller listeners of real routers."""

import asyncio
import collections
import dataclasses
import itertools
import json
import random
import time

import aiohttp

from bench import real_fleet

API_KEY_HEADER = "X-Api-Key"
END_MARK = b"data: [DONE]"
TOKEN_MARK = b'"index"'


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Kind of request.

    Attributes:
        kind: Name of the kind in reports.
        method: HTTP method.
        path: Path with the service; `{n}` is replaced by the request number.
        max_latency_s: Time to the complete answer up to which it is in time.
        stream: Whether the answer is a stream of tokens.
        keyed: Whether the request carries an idempotency key.
    """

    kind: str
    method: str
    path: str
    max_latency_s: float
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
    """Outcome of one request.

    Attributes:
        at: Start of the request, in seconds since the start of the load.
        took_s: Time from its start to its end.
        status: HTTP status; 0 if there was none.
        complete: Whether the answer was complete.
        not_run: `not_run` of a rejection; empty for answers.
        tokens: Tokens received.
        reason: `reason` of a rejection, or the name of the client's error.
    """

    work: Work
    workspace: str
    at: float
    took_s: float
    status: int
    complete: bool
    not_run: str
    tokens: int
    reason: str = ""

    @property
    def served(self) -> bool:
        """Whether the answer was complete and in time."""
        return self.complete and self.took_s <= self.work.max_latency_s


class Load:
    """Sends requests in closed loops, each to a random ready router.

    Attributes:
        results: Outcomes of all requests.
        arrivals: Time and number of received tokens, by workspace.
        ready_routers: Routers that requests are sent to.
    """

    def __init__(self, fleet: real_fleet.RealFleet, seed: int) -> None:
        self.results: list[Result] = []
        self.arrivals: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self.ready_routers = list(fleet.callers)
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._started_at = time.monotonic()
        self._numbers = itertools.count()

    def now(self) -> float:
        """Returns the seconds since the start of the load."""
        return time.monotonic() - self._started_at

    async def async_run(
        self, callers: dict[str, dict[str, int]], seconds: float
    ) -> None:
        """Runs closed loops and waits for their last answers.

        Args:
            callers: Number of loops by workspace and kind of request.
            seconds: Time after which no loop sends another request.
        """
        work_by_kind = {work.kind: work for work in MIX[self._fleet.deployment]}
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=90)
        end_at = self.now() + seconds
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            async with asyncio.TaskGroup() as group:
                for workspace, kinds in callers.items():
                    for kind, count in kinds.items():
                        for _ in range(count):
                            loop = self._async_loop(
                                session, workspace, work_by_kind[kind], end_at
                            )
                            group.create_task(loop)

    async def _async_loop(
        self,
        session: aiohttp.ClientSession,
        workspace: str,
        work: Work,
        end_at: float,
    ) -> None:
        while self.now() < end_at:
            result = await self._async_send(session, workspace, work)
            self.results.append(result)
            if not result.complete:
                await asyncio.sleep(0.2)
            elif not work.stream:
                await asyncio.sleep(self._rng.uniform(0.02, 0.1))

    async def _async_send(
        self, session: aiohttp.ClientSession, workspace: str, work: Work
    ) -> Result:
        number = next(self._numbers)
        base_url = self._fleet.callers[self._rng.choice(self.ready_routers)]
        headers = {API_KEY_HEADER: self._fleet.keys[workspace]}
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
        started_at = self.now()
        status, complete, not_run, received_tokens, reason = 0, False, "", 0, ""
        try:
            async with session.request(
                work.method,
                base_url + work.path.format(n=number),
                headers=headers,
                data=body,
            ) as resp:
                status = resp.status
                if work.stream and status == 200:
                    complete, received_tokens = await self._async_stream(
                        resp, workspace
                    )
                else:
                    data = await resp.read()
                    complete = status == 200 and bool(data)
                if status >= 400:
                    doc = json.loads(data)
                    not_run = str(doc.get("not_run", ""))
                    reason = str(doc.get("reason", ""))
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            complete = False
            reason = type(exc).__name__
        duration_s = self.now() - started_at
        return Result(
            work,
            workspace,
            started_at,
            duration_s,
            status,
            complete,
            not_run,
            received_tokens,
            reason,
        )

    async def _async_stream(
        self, resp: aiohttp.ClientResponse, workspace: str
    ) -> tuple[bool, int]:
        tokens = 0
        complete = False
        async for line in resp.content:
            if TOKEN_MARK in line:
                tokens += 1
                self.arrivals[workspace].append((self.now(), 1))
            complete = complete or line.startswith(END_MARK)
        return complete, tokens
