"""Clients that nobody controls: large bodies that stop just short of the end.

Usage: crowd.py IP PORT NUMBER COUNT WAVES BEGIN. In each wave every client
opens a connection, sends a request of legal size but for its last bytes at the
same moment as the others, and stays. BEGIN is a monotonic time.
"""

import asyncio
import collections
import random
import sys
import time

BODY_BYTES = 200_000
MISSING_BYTES = 16
COOKIE_BYTES = 8_000
CONNECT_S = 3.0
STAY_S = 6.0
WAVE_S = 13.0
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"


def _request(number: int, attempt: int) -> bytes:
    """Returns the head of a request; it takes half of `max_header_bytes`."""
    return (
        "POST /lohu930/2f HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"X-Request-Id: {number:010x}{attempt:06x}\r\n"
        "X-Deadline-Ms: 12000\r\n"
        f"X-Api-Key: {KEY}\r\n"
        "X-Model: m\r\nX-Token-Usage: 900,84\r\n"
        f"X-Prompt-Prefix: 5c1e07a2:800,{number:x}:100\r\n"
        f"Cookie: c={'c' * COOKIE_BYTES}\r\n"
        f"Content-Length: {BODY_BYTES}\r\n\r\n"
    ).encode()


async def _async_client(
    ip: str, port: int, number: int, begin: float, wave: int
) -> str:
    """Connects, and sends at the same moment as all others; then stays."""
    body = b"z" * (BODY_BYTES - MISSING_BYTES)
    writer = None
    try:
        await asyncio.sleep(random.random() * CONNECT_S)
        reader, writer = await asyncio.open_connection(ip, port)
        await asyncio.sleep(max(begin - time.monotonic(), 0.0))
        writer.write(_request(number, wave) + body)
        answer = b""
        async with asyncio.timeout(STAY_S):
            while data := await reader.read(65_536):
                answer = answer or data
        return answer[9:12].decode("latin-1") or "closed"
    except TimeoutError:
        return "stayed"
    except OSError:
        return "closed"
    finally:
        if writer is not None:
            writer.transport.abort()


async def _async_main() -> None:
    ip = sys.argv[1]
    port, first, count, waves = (int(word) for word in sys.argv[2:6])
    begin = float(sys.argv[6])
    for wave in range(waves):
        await asyncio.sleep(max(begin - CONNECT_S - time.monotonic(), 0.0))
        ends = await asyncio.gather(
            *(
                _async_client(ip, port, first + number, begin, wave)
                for number in range(count)
            )
        )
        print(wave, dict(collections.Counter(ends)), flush=True)
        begin += WAVE_S


if __name__ == "__main__":
    asyncio.run(_async_main())
