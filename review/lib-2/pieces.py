"""Clients that nobody controls: large bodies, whole or piece by piece.

Usage: pieces.py IP PORT FIRST COUNT SECONDS PIECE. Every third client sends its
body in chunks of PIECE bytes, the others at once. All stop just short of the
end and stay for some seconds. Then they come again.
"""

import asyncio
import collections
import sys
import time

BODY_BYTES = 100_000
WHOLE_BODY_BYTES = 200_000
MISSING_BYTES = 16
PIECES_EACH = 3
"""Every third client sends its body piece by piece."""

STAY_S = 6.0
PAUSE_S = 1.0
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"


def _head(number: int, attempt: int, deadline_ms: int, framing: str) -> bytes:
    return (
        "POST /lohu930/2f HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"X-Request-Id: {number:08x}{attempt:08x}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n"
        f"X-Api-Key: {KEY}\r\n"
        "X-Model: m\r\nX-Token-Usage: 900,84\r\n"
        f"X-Prompt-Prefix: 5c1e07a2:800,{number:x}:100\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


async def _async_attempt(ip: str, port: int, data: bytes) -> str:
    """Sends a request without its end; returns what came back."""
    writer = None
    try:
        async with asyncio.timeout(STAY_S):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            answer = await reader.read(4_096)
            return answer[9:12].decode("latin-1") or "closed"
    except TimeoutError:
        return "stayed"
    except OSError:
        return "closed"
    finally:
        if writer is not None:
            writer.transport.abort()


async def _async_client(
    ip: str,
    port: int,
    number: int,
    end: float,
    body: bytes,
    ends: collections.Counter[str],
) -> None:
    attempt = 0
    while time.monotonic() < end:
        attempt += 1
        if number % PIECES_EACH == 0:
            framing = "Transfer-Encoding: chunked"
            data = _head(number, attempt, 12_000, framing) + body
        else:
            framing = f"Content-Length: {WHOLE_BODY_BYTES}"
            data = _head(number, attempt, 2_500, framing)
            data += b"z" * (WHOLE_BODY_BYTES - MISSING_BYTES)
        ends[await _async_attempt(ip, port, data)] += 1
        await asyncio.sleep(PAUSE_S)


async def _async_main() -> None:
    ip = sys.argv[1]
    port, first, count = (int(word) for word in sys.argv[2:5])
    end = time.monotonic() + float(sys.argv[5])
    piece = int(sys.argv[6])
    chunk = f"{piece:x}\r\n".encode() + b"z" * piece + b"\r\n"
    body = chunk * (BODY_BYTES // piece)
    ends: collections.Counter[str] = collections.Counter()
    await asyncio.gather(
        *(
            _async_client(ip, port, first + number, end, body, ends)
            for number in range(count)
        )
    )
    print(dict(ends))


if __name__ == "__main__":
    asyncio.run(_async_main())
