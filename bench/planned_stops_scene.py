"""Router, servers and callers of the measurement of planned stops."""

import asyncio
import contextlib
import dataclasses
import enum
import pathlib
import random
import time

import aiohttp

from soak import programs
from standins import platform_server, platform_store

HOST = "a.example"
KEY = "key-1"
DEADLINE_MS = 12_000
READY_S = 30.0
SERVERS = 3
EVENT_TOKENS = 7

FIRST_END_S = (0.5, 6.8)
"""Times after the signal at which the streams that began before it end."""

EXCUSED_SEND_S = 3.0
"""A request that is sent later than this after the signal has to get a complete
response, whatever its server does."""

EXCUSED_WORK = 5 / 6
"""Part of the shutdown time after which a server that still works excuses that
an earlier request is cut off."""

SLACK_S = 0.2
"""Time within which a request may cross the close of its connection."""


class Ending(enum.Enum):
    """How a request ended at its caller."""

    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A stream that a server is asked for.

    Attributes:
        route: Its route: `once` or `again`, which may be resumed.
        events: Number of its events.
        interval_s: Pause before each event.
        stall_s: Further pause before its second event, as of a server that
            preempts the request.
        tokens: Most output tokens that its caller announces; 0 for none.
    """

    route: str
    events: int
    interval_s: float
    stall_s: float = 0.0
    tokens: int = 0

    @property
    def path(self) -> str:
        """Path that tells the server what to do."""
        pauses = f"{self.interval_s:.3f}-{self.stall_s:.3f}"
        return f"/stream/{self.route}/{self.events}-{pauses}"


LATE_WORK = {
    "short": Work("again", 3, 0.05, tokens=21),
    "preempted": Work("again", 3, 0.05, stall_s=4.5, tokens=21),
    "preempted, once": Work("once", 3, 0.05, stall_s=4.5, tokens=21),
    "slow": Work("again", 6, 0.8, tokens=42),
    "long": Work("again", 60, 0.1, tokens=420),
    "without a size": Work("once", 40, 0.1),
}
"""What callers send on their connections after their first streams."""


@dataclasses.dataclass(slots=True)
class Sent:
    """A request, in seconds after the signal.

    Attributes:
        kind: What it asks for, for the report.
        sent_s: When it was sent.
        ended_s: When its response, or its connection, ended.
        ending: How.
        work_ended_s: When its server ended its work; infinite if it did not
            get the request.
    """

    kind: str
    sent_s: float
    ended_s: float = float("inf")
    ending: Ending = Ending.UNANSWERED
    work_ended_s: float | None = None


def is_lost(sent: Sent) -> bool:
    """Returns whether a request was lost, other than by its server's work."""
    if sent.ending not in (Ending.CUT, Ending.UNANSWERED):
        return False
    if sent.work_ended_s is None:
        return sent.ended_s - sent.sent_s > SLACK_S
    still_worked = sent.work_ended_s >= programs.GRACE_S * EXCUSED_WORK
    return not (still_worked and sent.sent_s <= EXCUSED_SEND_S)


class _Server(platform_server.PlatformServer):
    """Sends streams as their paths say."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.started_ms = 1
        self.work_ended: dict[str, float] = {}

    async def _async_answer(
        self,
        seen: platform_server.ReceivedRequest,
        fault: platform_server.AnyFault,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = seen.headers["X-Request-Id"]
        self.work_ended[request_id] = float("inf")
        events, interval_s, stall_s = seen.target.rpartition("/")[2].split("-")
        first = int(seen.headers.get("Last-Event-Id", "-1")) + 1
        try:
            writer.write(self._stream_head(request_id, 200).encode())
            for number in range(first, int(events)):
                pause_s = float(interval_s)
                if number == 1:
                    pause_s += float(stall_s)
                await asyncio.sleep(pause_s)
                if writer.transport.is_closing():
                    return False
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.work_ended[request_id] = time.monotonic()
        return True


class _Caller:
    """A caller with one connection.

    Attributes:
        is_open: Whether another request may be sent on it.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.is_open = True

    async def async_send(self, work: Work, request_id: str) -> Ending:
        """Sends a request; returns how its response ended."""
        head = (
            f"POST {work.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Api-Key: {KEY}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n"
        )
        if work.tokens:
            head += f"X-Token-Usage: 100,{work.tokens}\r\n"
        request = f"{head}Content-Length: 8\r\n\r\nquestion".encode()
        status = 0
        try:
            if self._writer is None or self._reader is None:
                host, _, port = self._address.rpartition(":")
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
            self._writer.write(request)
            status = await self._async_read_answer(self._reader)
        except (OSError, asyncio.IncompleteReadError) as exc:
            self.is_open = False
            is_begun = status or (
                isinstance(exc, asyncio.IncompleteReadError) and exc.partial
            )
            return Ending.CUT if is_begun else Ending.UNANSWERED
        if status == 200:
            return Ending.COMPLETE
        return Ending.REFUSED if status in (429, 503) else Ending.FAILED

    async def _async_read_answer(self, reader: asyncio.StreamReader) -> int:
        """Reads one answer to its end; returns its status."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = head.lower()
        status = int(head.split(" ", 2)[1])
        if "connection: close" in fields:
            self.is_open = False
        if "transfer-encoding: chunked" in fields:
            try:
                while size := int(await reader.readline(), 16):
                    await reader.readexactly(size + 2)
                await reader.readexactly(2)
            except ValueError as exc:  # The connection ended within the body.
                raise asyncio.IncompleteReadError(b"head", None) from exc
            except asyncio.IncompleteReadError as exc:
                raise asyncio.IncompleteReadError(b"head", None) from exc
        else:
            length = fields.partition("content-length: ")[2].split("\r\n")[0]
            await reader.readexactly(int(length or "0"))
        return status

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


class Stop:
    """One stop of one router."""

    def __init__(self, seed: int, callers: int) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._callers = callers
        self._servers = [_Server(f"s-{number}") for number in range(SERVERS)]
        self._signalled = 0.0
        self._sent: dict[str, Sent] = {}

    async def async_play(
        self, folder: pathlib.Path
    ) -> tuple[list[Sent], float]:
        """Plays it; returns all requests, and how long the stop took."""
        async with contextlib.AsyncExitStack() as stack:
            for server in self._servers:
                await stack.enter_async_context(server)
            store = await self._async_store()
            await stack.enter_async_context(store)
            router = programs.RouterProcess(
                f"vm-{self._seed}", "z1", store.address, folder
            )
            stack.push_async_callback(router.async_close)
            router.write_settings([])
            await router.async_start()
            await _async_wait_ready(router.readiness_url)
            self._signalled = time.monotonic() + 1.0
            calls = [
                asyncio.create_task(self._async_keep(router, number))
                for number in range(self._callers)
            ]
            calls += [
                asyncio.create_task(self._async_open_new(router, number))
                for number in range(self._callers)
            ]
            await asyncio.sleep(self._signalled - time.monotonic())
            late_s = time.monotonic() - self._signalled
            await router.async_terminate()
            took_s = time.monotonic() - self._signalled
            await asyncio.gather(*calls)
        self._signalled += late_s
        for sent in self._sent.values():
            sent.sent_s -= late_s
            sent.ended_s -= late_s
        for server in self._servers:
            for request_id, ended in server.work_ended.items():
                self._sent[request_id].work_ended_s = ended - self._signalled
        return list(self._sent.values()), took_s

    async def _async_store(self) -> platform_store.PlatformStore:
        store = platform_store.PlatformStore()
        routes = [
            {
                "name": route,
                "host": HOST,
                "path_prefix": f"/stream/{route}/",
                "kind": "streaming",
                "timeout_ms": DEADLINE_MS,
                "target_latency_ms": 2000,
                "target_gap_ms": 300,
                "max_attempts": 2,
                "service": "s",
                "resumable": route == "again",
            }
            for route in ("once", "again")
        ]
        configuration = {
            "version": 1,
            "routes": routes,
            "services": [
                {
                    "name": "s",
                    "max_connections": 500,
                    "engine": {
                        "slots": 100,
                        "kv_capacity_tokens": 1_000_000,
                        "stride": EVENT_TOKENS,
                    },
                }
            ],
            "limits": {"max_body_bytes": 2000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "w", "api_keys": [KEY]}],
        }
        await store.async_put("config", "main", configuration)
        for server in self._servers:
            spec = {
                "born": 1,
                "service": "s",
                "address": server.address,
                "zone": "z1",
                "slots": 100,
                "state": "ready",
            }
            await store.async_put("servers", server.name, spec)
        return store

    async def _async_keep(
        self, router: programs.RouterProcess, number: int
    ) -> None:
        """Sends a stream before the signal, and then others as it ends."""
        caller = _Caller(router.front_address)
        await asyncio.sleep(self._rng.uniform(0.0, 0.8))
        now_s = time.monotonic() - self._signalled
        ends_s = self._rng.uniform(*FIRST_END_S)
        first = Work("again", 10, (ends_s - now_s) / 10)
        await self._async_call(caller, first, f"k{number}", "first")
        repeat = 0
        while caller.is_open and repeat < 5:
            kind = self._rng.choice(sorted(LATE_WORK))
            repeat += 1
            await self._async_call(
                caller, LATE_WORK[kind], f"k{number}-{repeat}", f"kept, {kind}"
            )
        caller.close()

    async def _async_open_new(
        self, router: programs.RouterProcess, number: int
    ) -> None:
        """Sends a request on a new connection until 5 s after the signal."""
        await asyncio.sleep(self._rng.uniform(0.5, 6.0))
        kind = self._rng.choice(sorted(LATE_WORK))
        caller = _Caller(router.front_address)
        await self._async_call(
            caller, LATE_WORK[kind], f"n{number}", f"new, {kind}"
        )
        caller.close()

    async def _async_call(
        self, caller: _Caller, work: Work, name: str, kind: str
    ) -> None:
        request_id = f"{self._seed}-{name}"
        sent = Sent(kind, time.monotonic() - self._signalled)
        self._sent[request_id] = sent
        sent.ending = await caller.async_send(work, request_id)
        sent.ended_s = time.monotonic() - self._signalled


async def _async_wait_ready(url: str) -> None:
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(READY_S):
            while True:
                await asyncio.sleep(0.05)
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as resp:
                        if resp.status == 200:
                            return
