"""Tests of the stored form of configuration."""

import contextlib
import zlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from tamarackbridge.components.configuration import const, stored

RECORD = stored.StoredRecord(b"{}", 1, "c1", "noor")

VALUES = st.binary(max_size=256) | st.recursive(
    st.none() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["generation", "data_key", "changes", "body", "x"]),
            inner,
            max_size=4,
        )
    ),
).map(msgspec.json.encode)


@hypothesis.given(VALUES, st.booleans())
def test_any_value_is_decoded_or_rejected(
    value: bytes, compressed: bool
) -> None:
    data = zlib.compress(value) if compressed else value
    for decode in (stored.decode_head, stored.decode_records):
        with contextlib.suppress(stored.ConfigurationError):
            decode(data)


def test_truncated_value_is_rejected() -> None:
    value = stored.encode_records({"zone/a": RECORD})
    for size in range(len(value)):
        with pytest.raises(stored.ConfigurationError):
            stored.decode_records(value[:size])


def test_decompression_bomb_is_rejected() -> None:
    """A small compressed value must not exhaust memory when decompressed."""
    bomb = zlib.compress(b" " * (const.MAX_PLAIN_BYTES + 1))
    assert len(bomb) < const.MAX_DATA_BYTES
    with pytest.raises(stored.ConfigurationError, match="more than"):
        stored.decode_records(bomb)


def test_records_too_large_to_decode_are_not_encoded() -> None:
    huge = stored.StoredRecord(b"x" * const.MAX_PLAIN_BYTES, 1, "c", "noor")
    with pytest.raises(stored.ConfigurationError, match="more than"):
        stored.encode_records({"zone/a": huge})
