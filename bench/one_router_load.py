"""Open-loop load generator for one router: no wait for earlier answers."""

import asyncio
import collections
import dataclasses
import random
import time

from bench import one_router_world as world

PROMPT_TOKENS = 2_000
BODY_BYTES = 8_000
CALLER_TIMEOUT_S = 3.0
"""Time after which a caller disconnects if the answer is not complete."""

_BODY = b"x" * BODY_BYTES


@dataclasses.dataclass(slots=True)
class Counts:
    """Outcomes of one workspace's requests.

    Attributes:
        sent: Requests sent.
        served: Complete answers.
        in_time: Complete answers with the first byte within the target latency.
        timed_out: Requests without a complete answer within the caller timeout.
        failed: Truncated answers, and connections lost before an answer.
        rejected_s: Sum of the times from request to rejection.
        rejected: Rejections, by HTTP status.
    """

    sent: int = 0
    served: int = 0
    in_time: int = 0
    timed_out: int = 0
    failed: int = 0
    rejected_s: float = 0.0
    rejected: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Load:
    """Sends requests to one router.

    Attributes:
        idle_connections: Open connections without a request.
        timed_out_at: Monotonic time of each caller timeout, by request ID.
    """

    def __init__(self, host: str, port: int, seed: int, output: int) -> None:
        self._output = output
        self._host = host
        self._port = port
        self._rng = random.Random(seed)
        self._last_number = 0
        self.idle_connections: list[LoadConnection] = []
        self.timed_out_at: dict[str, float] = {}

    async def async_run(
        self, rates: dict[str, float], seconds: float, excluded_s: float
    ) -> dict[str, Counts]:
        """Sends requests as Poisson arrivals and waits for all of them.

        Args:
            rates: Requests a second by workspace.
            seconds: Time during which requests are sent.
            excluded_s: Requests due in this time at the start are not counted.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        counts = {name: Counts() for name in rates}
        excluded = {name: Counts() for name in rates}
        tasks: set[asyncio.Task[None]] = set()
        total = sum(rates.values())
        names = list(rates)
        due = began
        while due < began + seconds:
            await asyncio.sleep(max(due - loop.time(), 0.0))
            name = self._rng.choices(names, list(rates.values()))[0]
            selected = counts if due >= began + excluded_s else excluded
            task = asyncio.create_task(self._async_send(name, selected[name]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += self._rng.expovariate(total)
        await asyncio.gather(*tasks)
        return counts

    async def _async_send(self, workspace: str, counts: Counts) -> None:
        loop = asyncio.get_running_loop()
        self._last_number += 1
        number = self._last_number
        data = _request(workspace, number, self._output, self._rng)
        counts.sent += 1
        began = loop.time()
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                connection = await self._async_connection()
                await connection.async_request(data)
        except TimeoutError:
            counts.timed_out += 1
            self.timed_out_at[f"q{number}"] = time.monotonic()
            return
        except OSError:
            counts.failed += 1
            return
        took_s = (connection.first_byte_at or loop.time()) - began
        if connection.status == 200 and connection.complete:
            counts.served += 1
            counts.in_time += took_s <= world.TARGET_MS / 1000
        elif connection.status in (0, 200):
            counts.failed += 1
        else:
            counts.rejected[str(connection.status)] += 1
            counts.rejected_s += took_s
        if connection.reusable:
            self.idle_connections.append(connection)

    async def _async_connection(self) -> "LoadConnection":
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.reusable:
                return connection
        loop = asyncio.get_running_loop()
        _, opened = await loop.create_connection(
            LoadConnection, self._host, self._port
        )
        return opened


class LoadConnection(asyncio.Protocol):
    """HTTP/1.1 connection of a caller that carries one request at a time.

    Attributes:
        status: HTTP status of the current answer; 0 before its headers.
        first_byte_at: Loop time of the first bytes of the answer, if any.
        complete: Whether the current answer was received to its end.
        reusable: Whether another request can be sent on the connection.
    """

    def __init__(self) -> None:
        self.status = 0
        self.first_byte_at: float | None = None
        self.complete = False
        self.reusable = True
        self._received = b""
        self._transport: asyncio.Transport
        self._response_ended: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the request in flight, if any."""
        self.reusable = False
        self._finish()

    async def async_request(self, data: bytes) -> None:
        """Sends a request and waits for the end of the answer or connection."""
        self.status, self.first_byte_at, self.complete = 0, None, False
        self._received = b""
        self._response_ended = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            await self._response_ended
        finally:
            if not self.complete:
                self.reusable = False
                self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses the answer as far as it has been received."""
        if self.first_byte_at is None:
            self.first_byte_at = asyncio.get_running_loop().time()
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if not end:
            return
        self.status = int(head[9:12])
        lowered = head.lower()
        if b"transfer-encoding" in lowered:
            complete_now = body.endswith(b"0\r\n\r\n")
        else:
            found = lowered.partition(b"content-length: ")[2]
            complete_now = len(body) >= int(found.partition(b"\r\n")[0] or b"0")
        if complete_now:
            self.complete = True
            if b"connection: close" in lowered:
                self.reusable = False
                self._transport.close()
            self._finish()

    def _finish(self) -> None:
        if self._response_ended is not None and not self._response_ended.done():
            self._response_ended.set_result(None)


def _request(
    workspace: str, number: int, output: int, rng: random.Random
) -> bytes:
    prefix = rng.randrange(20)
    head = (
        f"POST /generate/1 HTTP/1.1\r\nHost: {world.HOST}\r\n"
        f"X-Request-Id: q{number}\r\nX-Api-Key: key-{workspace}\r\n"
        f"X-Deadline-Ms: {round(CALLER_TIMEOUT_S * 1000)}\r\n"
        f"X-Token-Usage: {PROMPT_TOKENS},{output}\r\n"
        f"X-Prompt-Prefix: s{prefix}:{PROMPT_TOKENS // 2},"
        f"o{number}:{PROMPT_TOKENS // 2}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {BODY_BYTES}\r\n\r\n"
    )
    return head.encode() + _BODY
