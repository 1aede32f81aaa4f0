"""Reading of event streams, however they are cut into chunks."""

import asyncio
import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from tamarackbridge.components.backend import exceptions
from tamarackbridge.components.entry import events

EVENTS = st.lists(st.binary(min_size=1, max_size=8).map(lambda b: b.hex()))
RESTS = st.sampled_from([b"", b"d", b"data: cut"])
ENDS = st.sampled_from(["\n\n", "\r\n\r\n"])


class Body:
    def __init__(self, chunks: list[bytes]) -> None:
        self.chunks = [chunk for chunk in chunks if chunk]

    async def readany(self) -> bytes:
        return self.chunks.pop(0) if self.chunks else b""


async def async_read(chunks: list[bytes]) -> list[bytes]:
    return [batch async for batch in events.async_batches(Body(chunks))]


@hypothesis.given(texts=EVENTS, end=ENDS, rest=RESTS, data=st.data())
def test_whole_lines_pass_and_a_cut_one_does_not(
    texts: list[str], end: str, rest: bytes, data: st.DataObject
) -> None:
    whole = b"".join(f"data: {text}{end}".encode() for text in texts)
    sent = whole + rest
    places = data.draw(st.lists(st.integers(0, len(sent)), max_size=6))
    ends = sorted({0, *places, len(sent)})
    chunks = [sent[a:b] for a, b in itertools.pairwise(ends)]
    found = asyncio.run(async_read(chunks))
    assert b"".join(found) == whole
    assert all(batch.endswith(events.END) for batch in found)


async def test_endless_line_is_an_error() -> None:
    chunk = b"x" * (events.MAX_LINE_BYTES // 2 + 1)
    with pytest.raises(exceptions.BackendError):
        await async_read([chunk, chunk])
