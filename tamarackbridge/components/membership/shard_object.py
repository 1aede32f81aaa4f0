"""The object that stores the epoch and holder of a shard."""

import msgspec

from tamarackbridge import const as core_const
from tamarackbridge.components.membership import const
from tamarackbridge.components.object_api import messages as store


class ShardValue(msgspec.Struct, frozen=True):
    """Epoch and holder of a shard.

    Attributes:
        shard: Name of the shard.
        epoch: Number that increases by one with each write.
        holder: Node of the router that dispatches the shard.
        attempt: Identifier of the write, by which its writer recognises it
            even if the store's answer was lost.
        released: Whether the previous holder wrote this epoch to hand the
            shard over.
        lease_s: Time in seconds for which evidence lets the holder of this
            epoch issue permits.
        fence_s: Longest lease, in seconds, of earlier epochs that may not
            have ended when this epoch was written.
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
    """Decodes a shard's object, None if it is invalid."""
    try:
        return msgspec.json.decode(obj.value, type=ShardValue)
    except msgspec.MsgspecError:
        return None


def encode(value: ShardValue) -> bytes:
    """Encodes a shard's object."""
    return msgspec.json.encode(value)
