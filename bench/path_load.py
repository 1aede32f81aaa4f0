"""Load generator of the path measurement."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import time

import aiohttp

_STREAM_REQUEST = {"prompt": "a b c d", "stream": True}
UNREACHED_TOKENS = 100_000
"""Tokens requested of streams that are cancelled long before their end."""


@dataclasses.dataclass(slots=True)
class Lookups:
    """Outcome of the plain requests of one round.

    Attributes:
        took_s: Duration of the round.
        failed: Requests without a complete answer.
        latencies_s: Times to the complete answers.
    """

    took_s: float = 0.0
    failed: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def count(self) -> int:
        """Number of complete answers."""
        return len(self.latencies_s)

    @property
    def per_s(self) -> float:
        """Complete answers a second."""
        return self.count / self.took_s

    def quantile_ms(self, quantile: float) -> float:
        """Returns a quantile of the latency."""
        return _quantile(self.latencies_s, quantile) * 1000


@dataclasses.dataclass(slots=True)
class Streams:
    """Outcome of the streams of one round.

    Attributes:
        tokens: Tokens received.
        failed: Streams with another number of tokens than requested.
        gaps_s: Times between successive tokens of a stream.
    """

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
    """Sends plain requests and streams to a base URL."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def async_lookups(
        self, url: str, callers: int, seconds: float
    ) -> Lookups:
        """Runs callers that send the next request after each answer."""
        result = Lookups()
        started = time.monotonic()

        async def async_loop() -> None:
            while time.monotonic() < started + seconds:
                began = time.monotonic()
                if await self._async_lookup(f"{url}/pens/1"):
                    result.latencies_s.append(time.monotonic() - began)
                else:
                    result.failed += 1

        await _async_gather(async_loop, callers)
        result.took_s = time.monotonic() - started
        return result

    async def _async_lookup(self, url: str) -> bool:
        try:
            async with self._session.get(url) as resp:
                return bool(await resp.read()) and resp.status == 200
        except aiohttp.ClientError:
            return False

    async def async_streams(
        self, url: str, streams: int, tokens: int
    ) -> Streams:
        """Runs parallel streams to their end."""
        result = Streams()

        async def async_one() -> None:
            body = _STREAM_REQUEST | {"max_tokens": tokens}
            last_token_at = 0.0
            received = 0
            async with self._session.post(
                f"{url}/v1/completions", json=body
            ) as resp:
                async for line in resp.content:
                    if b'"index"' not in line:
                        continue
                    now = time.monotonic()
                    if last_token_at:
                        result.gaps_s.append(now - last_token_at)
                    last_token_at = now
                    received += 1
            result.tokens += received
            result.failed += received != tokens

        await _async_gather(async_one, streams)
        return result

    async def async_open(
        self, url: str, streams: int
    ) -> list[asyncio.Task[None]]:
        """Opens streams and returns once each has received data.

        The caller has to cancel the tasks.
        """
        first_token_events = [asyncio.Event() for _ in range(streams)]

        async def async_one(event: asyncio.Event) -> None:
            body = _STREAM_REQUEST | {"max_tokens": UNREACHED_TOKENS}
            async with self._session.post(
                f"{url}/v1/completions", json=body
            ) as resp:
                async for _ in resp.content:
                    event.set()

        tasks = [
            asyncio.create_task(async_one(event))
            for event in first_token_events
        ]
        for event in first_token_events:
            await asyncio.wait_for(event.wait(), 60)
        return tasks


async def _async_gather(
    start: Callable[[], Awaitable[None]], count: int
) -> None:
    await asyncio.gather(*(start() for _ in range(count)))
