"""The stored form of a shard's epoch."""

import msgspec

from tamarackbridge import const as core_const
from tamarackbridge.components.membership import const
from tamarackbridge.components.object_api import messages as store


class ShardValue(msgspec.Struct, frozen=True):
    """Who dispatches a shard.

    Attributes:
        shard: Name of the shard.
        epoch: Grows by one with each change of holder.
        holder: Node of the holder.
        attempt: Identifier of the write, to recognise it after a lost answer.
        released: Whether the holder before hands the shard over by this.
        lease_s: How long evidence lets this epoch's holder issue permits.
        fence_s: The longest lease of earlier epochs that may not have ended.
    """

    shard: str
    epoch: int
    holder: str
    attempt: str
    released: bool = False
    lease_s: float = core_const.LEASE_S
    fence_s: float = core_const.LEASE_S


def key(shard: str) -> str:
    """Returns the key of a shard's object."""
    return const.SHARD_PREFIX + shard.replace("/", ".")


def decode(obj: store.StoredObject) -> ShardValue | None:
    """Reads a shard's object; None when it is not readable."""
    try:
        return msgspec.json.decode(obj.value, type=ShardValue)
    except msgspec.MsgspecError:
        return None


def encode(value: ShardValue) -> bytes:
    """Serializes a shard's object."""
    return msgspec.json.encode(value)
