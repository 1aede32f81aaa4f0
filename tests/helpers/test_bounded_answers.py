"""What a client's connection takes for an answer."""

import asyncio

from tamarackbridge.helpers import bounded_answers

HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


def _begun() -> bounded_answers.BoundedProtocol:
    made = bounded_answers.BoundedProtocol(asyncio.get_running_loop())
    made.connection_made(asyncio.Transport())
    made.set_response_params(read_bufsize=256 * 1024)
    return made


async def test_small_chunks_that_wait_to_be_parsed_are_no_flood() -> None:
    """More chunks come at once than the parser takes before they are read."""
    parts = [b"%04d" % (number % 10_000) for number in range(40_000)]
    chunks = b"".join(b"4\r\n%b\r\n" % part for part in parts)
    conn = _begun()
    conn.data_received(HEAD + chunks + b"0\r\n\r\n")
    _, body = await conn.read()
    assert await body.read() == b"".join(parts)


async def test_next_request_begins_the_count_anew() -> None:
    conn = _begun()
    head = HEAD.replace(b"\r\n\r\n", b"\r\nX: " + b"y" * 8_000 + b"\r\n\r\n")
    for _ in range(2 * bounded_answers.MAX_FRAMING_BYTES // len(head)):
        conn.set_response_params()
        conn.data_received(head + b"0\r\n\r\n")
        _, body = await conn.read()
        assert await body.read() == b""
    assert not conn.should_close
