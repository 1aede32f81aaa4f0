"""The codec of the messages that routers exchange."""

from typing import Union

import msgspec

from tamarackbridge import core, exceptions

Raw = msgspec.Raw
"""One serialized message."""

MAX_BATCH_BYTES = 4 * 1024 * 1024
"""Largest batch that a router accepts, in bytes."""


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Messages that one router sends to another in one tick.

    Attributes:
        src: Identifier of the sending router.
        boot: Identifier of the sender's process life.
        sent_at: Sender's monotonic time, in seconds, at which the oldest of
            the messages was posted.
        echo_boot: The receiver's `boot` that `echo` came with.
        echo: The highest `sent_at` received from the receiver; 0 for none.
        hold_s: Seconds from receiving `echo` to `sent_at`; below zero when
            `echo` came later.
        msgs: The messages, each serialized with its type.
    """

    src: str
    boot: int
    sent_at: float
    echo_boot: int
    echo: float
    hold_s: float
    msgs: tuple[Raw, ...]


_BATCH_DECODER = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(msg: core.Message) -> msgspec.Raw:
    """Serializes one message."""
    return msgspec.Raw(_ENCODER.encode(msg))


def encode_batch(batch: Batch) -> bytes:
    """Serializes a batch."""
    return _ENCODER.encode(batch)


def decode_batch(data: bytes) -> Batch:
    """Reads a batch.

    Raises:
        CodecError: The bytes are too many or are no batch.
    """
    if len(data) > MAX_BATCH_BYTES:
        raise exceptions.CodecError(f"batch of {len(data)} bytes is too large")
    try:
        return _BATCH_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise exceptions.CodecError(str(exc)) from exc


class Decoder:
    """Reads the messages of a batch."""

    def __init__(self, kinds: tuple[type[core.Message], ...]) -> None:
        """Takes the message types that may cross between routers."""
        self._decoder = msgspec.msgpack.Decoder(Union[kinds])  # noqa: UP007

    def decode(self, raw: msgspec.Raw) -> core.Message:
        """Reads one message.

        Raises:
            CodecError: The bytes are no message of a known type; a router of
                a newer version may send those, and they are dropped singly.
        """
        try:
            msg: core.Message = self._decoder.decode(raw)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise exceptions.CodecError(str(exc)) from exc
        return msg
