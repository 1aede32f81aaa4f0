"""Callers of one router, at a steady rate that does not wait for answers."""

import asyncio
import collections
import dataclasses
import random
import time

from bench import one_router_world as world

PROMPT = 2_000
BODY_BYTES = 8_000
PATIENCE_S = 3.0
"""Time after which a caller leaves without an answer."""

_BODY = b"x" * BODY_BYTES


@dataclasses.dataclass(slots=True)
class Counts:
    """What became of one workspace's requests.

    Attributes:
        sent: Requests.
        served: Answers that were whole.
        in_time: Those whose first event came within the target.
        refused: Refusals, by status.
        left: Callers that left without an answer.
        failed: Answers that were cut, or connections that ended without one.
        refused_s: Sum of the times to a refusal.
    """

    sent: int = 0
    served: int = 0
    in_time: int = 0
    left: int = 0
    failed: int = 0
    refused_s: float = 0.0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Load:
    """Sends requests to one router.

    Attributes:
        idle: Connections that may be used again.
        left_at: When callers left without an answer, by request.
    """

    def __init__(self, host: str, port: int, seed: int, output: int) -> None:
        self._output = output
        self._host = host
        self._port = port
        self._rng = random.Random(seed)
        self._number = 0
        self.idle: list[Caller] = []
        self.left_at: dict[str, float] = {}

    async def async_run(
        self, rates: dict[str, float], seconds: float, skipped_s: float
    ) -> dict[str, Counts]:
        """Sends at these rates of workspaces for a time.

        Args:
            rates: Requests a second by workspace.
            seconds: How long.
            skipped_s: Time at the beginning that does not count.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        counts = {name: Counts() for name in rates}
        unseen = {name: Counts() for name in rates}
        tasks: set[asyncio.Task[None]] = set()
        total = sum(rates.values())
        names = list(rates)
        due = began
        while due < began + seconds:
            await asyncio.sleep(max(due - loop.time(), 0.0))
            name = self._rng.choices(names, list(rates.values()))[0]
            into = counts if due >= began + skipped_s else unseen
            task = asyncio.create_task(self._async_one(name, into[name]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += self._rng.expovariate(total)
        await asyncio.gather(*tasks)
        return counts

    async def _async_one(self, workspace: str, counts: Counts) -> None:
        loop = asyncio.get_running_loop()
        self._number += 1
        number = self._number
        data = _request(workspace, number, self._output, self._rng)
        counts.sent += 1
        began = loop.time()
        try:
            async with asyncio.timeout(PATIENCE_S):
                caller = await self._async_caller()
                await caller.async_ask(data)
        except TimeoutError:
            counts.left += 1
            self.left_at[f"q{number}"] = time.monotonic()
            return
        except OSError:
            counts.failed += 1
            return
        took_s = (caller.first_at or loop.time()) - began
        if caller.status == 200 and caller.whole:
            counts.served += 1
            counts.in_time += took_s <= world.TARGET_MS / 1000
        elif caller.status in (0, 200):
            counts.failed += 1
        else:
            counts.refused[str(caller.status)] += 1
            counts.refused_s += took_s
        if caller.reusable:
            self.idle.append(caller)

    async def _async_caller(self) -> "Caller":
        while self.idle:
            caller = self.idle.pop()
            if caller.reusable:
                return caller
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(Caller, self._host, self._port)
        return made


class Caller(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
        status: Status of the present answer; 0 if there is none.
        first_at: Time of its first bytes; None before them.
        whole: Whether it came to its end.
        reusable: Whether another request may be sent.
    """

    def __init__(self) -> None:
        self.status = 0
        self.first_at: float | None = None
        self.whole = False
        self.reusable = True
        self._bytes = b""
        self._transport: asyncio.Transport
        self._ended: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the request under way."""
        self.reusable = False
        self._end()

    async def async_ask(self, data: bytes) -> None:
        """Sends a request and waits for the end of its answer."""
        self.status, self.first_at, self.whole = 0, None, False
        self._bytes = b""
        self._ended = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            await self._ended
        finally:
            if not self.whole:
                self.reusable = False
                self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Takes a part of the answer."""
        if self.first_at is None:
            self.first_at = asyncio.get_running_loop().time()
        self._bytes += data
        head, end, body = self._bytes.partition(b"\r\n\r\n")
        if not end:
            return
        self.status = int(head[9:12])
        lowered = head.lower()
        if b"transfer-encoding" in lowered:
            done = body.endswith(b"0\r\n\r\n")
        else:
            found = lowered.partition(b"content-length: ")[2]
            done = len(body) >= int(found.partition(b"\r\n")[0] or b"0")
        if done:
            self.whole = True
            if b"connection: close" in lowered:
                self.reusable = False
                self._transport.close()
            self._end()

    def _end(self) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)


def _request(
    workspace: str, number: int, output: int, rng: random.Random
) -> bytes:
    shared = rng.randrange(20)
    head = (
        f"POST /generate/1 HTTP/1.1\r\nHost: {world.HOST}\r\n"
        f"X-Request-Id: q{number}\r\nX-Api-Key: key-{workspace}\r\n"
        f"X-Deadline-Ms: {round(PATIENCE_S * 1000)}\r\n"
        f"X-Token-Usage: {PROMPT},{output}\r\n"
        f"X-Prompt-Prefix: s{shared}:{PROMPT // 2},o{number}:{PROMPT // 2}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {BODY_BYTES}\r\n\r\n"
    )
    return head.encode() + _BODY
