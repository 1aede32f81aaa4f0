"""Assignment of keys to ranges and of ranges to keepers."""

from collections.abc import Iterable
import zlib

from tamarackbridge.components.claims import const
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.helpers import rendezvous


def range_of(key: str) -> int:
    """Returns the number of the range that contains `key`."""
    return zlib.crc32(key.encode()) % const.RANGE_COUNT


def keepers(roster: membership.RosterChanged) -> tuple[str, ...]:
    """Returns the routers that may keep ranges.

    Routers that are shutting down keep ranges only if no others are left.
    """
    staying = tuple(node for node in roster.live if node not in roster.leaving)
    return staying or roster.live


def keeper_of(range_number: int, nodes: Iterable[str]) -> str:
    """Returns the keeper of a range, or an empty string if there is none."""
    return rendezvous.owner(f"{const.KEY_PREFIX}/{range_number}", nodes)


def fallback_keeper(range_number: int, nodes: Iterable[str], rank: int) -> str:
    """Returns the router to ask after `rank` others did not answer."""
    ranked = rendezvous.rank(f"{const.KEY_PREFIX}/{range_number}", nodes)
    return ranked[rank % len(ranked)]


def tail_key(range_number: int) -> str:
    """Returns the object key of the tail, which takes the next records."""
    return f"{const.KEY_PREFIX}/{range_number}/tail"


def archive_key(range_number: int, segment_number: int) -> str:
    """Returns the object key of a sealed segment of a range."""
    return f"{const.KEY_PREFIX}/{range_number}/{segment_number:012d}"
