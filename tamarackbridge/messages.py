"""Codec of the messages between routers."""

from typing import Union

import msgspec

from tamarackbridge import core, exceptions

Raw = msgspec.Raw
"""A serialized message."""

MAX_BATCH_BYTES = 4 * 1024 * 1024
"""Largest batch that a router accepts, in bytes."""


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Messages that one router sends to another at once.

    Attributes:
        src: Identifier of the sending router.
        boot: Identifier of the sender's process, new at each start.
        sent_at: Time at which the oldest of the messages was posted, in
            seconds on the sender's monotonic clock.
        echo_boot: The receiver's `boot` from the batch with `echo`.
        echo: Highest `sent_at` received from the receiver; 0 for none.
        hold_s: Seconds from the arrival of `echo` to `sent_at`; negative if
            `echo` arrived later.
        msgs: The serialized messages, each with its type.
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
    """Deserializes a batch.

    Raises:
        CodecError: The batch is too large or malformed.
    """
    if len(data) > MAX_BATCH_BYTES:
        raise exceptions.CodecError(
            f"batch is too large: {len(data)} bytes, limit {MAX_BATCH_BYTES}"
        )
    try:
        return _BATCH_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise exceptions.CodecError(str(exc)) from exc


class Decoder:
    """Deserializes the messages of a batch."""

    def __init__(self, kinds: tuple[type[core.Message], ...]) -> None:
        """Initializes the decoder with the message types that it accepts."""
        self._decoder = msgspec.msgpack.Decoder(Union[kinds])  # noqa: UP007

    def decode(self, raw: msgspec.Raw) -> core.Message:
        """Deserializes one message.

        Raises:
            CodecError: The bytes are no message of an accepted type. A router
                of a newer version may send such a message; only this one is to
                be dropped, not the batch.
        """
        try:
            msg: core.Message = self._decoder.decode(raw)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise exceptions.CodecError(str(exc)) from exc
        return msg
