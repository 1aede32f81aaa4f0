"""The client of the path measurement."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import time

import aiohttp

_BODY = {"prompt": "a b c d", "stream": True}
MANY_TOKENS = 100_000


@dataclasses.dataclass(slots=True)
class Lookups:
    """Plain requests of one round."""

    took_s: float = 0.0
    failed: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def count(self) -> int:
        """How many answers were whole."""
        return len(self.latencies_s)

    @property
    def per_s(self) -> float:
        """Whole answers a second."""
        return self.count / self.took_s

    def quantile_ms(self, quantile: float) -> float:
        """Returns a quantile of the latency."""
        return _quantile(self.latencies_s, quantile) * 1000


@dataclasses.dataclass(slots=True)
class Streams:
    """Streams of one round."""

    tokens: int = 0
    failed: int = 0
    gaps_s: list[float] = dataclasses.field(default_factory=list)

    def gap_ms(self, quantile: float) -> float:
        """Returns a quantile of the time between tokens."""
        return _quantile(self.gaps_s, quantile) * 1000


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)]


class PathLoad:
    """Sends plain requests and streams to one base URL."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def async_lookups(
        self, url: str, callers: int, seconds: float
    ) -> Lookups:
        """Runs closed loops of callers."""
        found = Lookups()
        started = time.monotonic()

        async def async_loop() -> None:
            while time.monotonic() < started + seconds:
                began = time.monotonic()
                if await self._async_lookup(f"{url}/pens/1"):
                    found.latencies_s.append(time.monotonic() - began)
                else:
                    found.failed += 1

        await _async_all(async_loop, callers)
        found.took_s = time.monotonic() - started
        return found

    async def _async_lookup(self, url: str) -> bool:
        try:
            async with self._session.get(url) as resp:
                return bool(await resp.read()) and resp.status == 200
        except aiohttp.ClientError:
            return False

    async def async_streams(
        self, url: str, streams: int, tokens: int
    ) -> Streams:
        """Runs streams to their end."""
        found = Streams()

        async def async_one() -> None:
            body = _BODY | {"max_tokens": tokens}
            last = 0.0
            got = 0
            async with self._session.post(
                f"{url}/v1/completions", json=body
            ) as resp:
                async for line in resp.content:
                    if b'"index"' not in line:
                        continue
                    now = time.monotonic()
                    if last:
                        found.gaps_s.append(now - last)
                    last = now
                    got += 1
            found.tokens += got
            found.failed += got != tokens

        await _async_all(async_one, streams)
        return found

    async def async_open(
        self, url: str, streams: int
    ) -> list[asyncio.Task[None]]:
        """Opens streams and returns once each gave its first token."""
        begun = [asyncio.Event() for _ in range(streams)]

        async def async_one(event: asyncio.Event) -> None:
            body = _BODY | {"max_tokens": MANY_TOKENS}
            async with self._session.post(
                f"{url}/v1/completions", json=body
            ) as resp:
                async for _ in resp.content:
                    event.set()

        tasks = [asyncio.create_task(async_one(event)) for event in begun]
        for event in begun:
            await asyncio.wait_for(event.wait(), 60)
        return tasks


async def _async_all(make: Callable[[], Awaitable[None]], count: int) -> None:
    await asyncio.gather(*(make() for _ in range(count)))
