"""The codec of the messages between routers."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from tamarackbridge import exceptions, messages, peer_messages
from tamarackbridge.components.dispatch import messages as dispatch


def test_batch_round_trip() -> None:
    withdraw = dispatch.Withdraw("lm/0", "r1")
    raw = messages.encode_message(withdraw)
    batch = messages.Batch("a", 1, 1.0, 2, 0.5, 0.1, (raw,))

    read = messages.decode_batch(messages.encode_batch(batch))

    assert read.src == "a"
    assert peer_messages.DECODER.decode(read.msgs[0]) == withdraw


@hypothesis.given(st.binary(max_size=512))
def test_malformed_bytes_raise_a_codec_error(data: bytes) -> None:
    try:
        batch = messages.decode_batch(data)
        for raw in batch.msgs:
            peer_messages.DECODER.decode(raw)
    except exceptions.CodecError:
        pass


def test_message_of_an_unknown_type_raises_a_codec_error() -> None:
    raw = msgspec.Raw(msgspec.msgpack.encode({"type": "FromTheFuture"}))
    with pytest.raises(exceptions.CodecError):
        peer_messages.DECODER.decode(raw)


def test_oversize_batch_is_rejected() -> None:
    with pytest.raises(exceptions.CodecError, match="too large"):
        messages.decode_batch(b"\0" * (messages.MAX_BATCH_BYTES + 1))
