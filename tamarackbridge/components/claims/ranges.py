"""Which range a key falls in, and which router keeps a range."""

from collections.abc import Iterable
import zlib

from tamarackbridge.components.claims import const
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.helpers import rendezvous


def range_of(key: str) -> int:
    """Returns the number of the range that holds `key`."""
    return zlib.crc32(key.encode()) % const.RANGES


def keepers(roster: membership.RosterChanged) -> tuple[str, ...]:
    """Returns the routers that may keep ranges."""
    staying = tuple(n for n in roster.live if n not in roster.leaving)
    return staying or roster.live


def keeper_of(number: int, nodes: Iterable[str]) -> str:
    """Returns the router that keeps a range, or an empty string for none."""
    return rendezvous.owner(f"{const.KEY_PREFIX}/{number}", nodes)


def stand_in(number: int, nodes: Iterable[str], place: int) -> str:
    """Returns the router that is asked after `place` others did not answer."""
    ranked = rendezvous.rank(f"{const.KEY_PREFIX}/{number}", nodes)
    return ranked[place % len(ranked)]


def tail_key(number: int) -> str:
    """Returns the key of the object that takes a range's next records."""
    return f"{const.KEY_PREFIX}/{number}/tail"


def archive_key(number: int, segment: int) -> str:
    """Returns the key of one full segment of a range."""
    return f"{const.KEY_PREFIX}/{number}/{segment:012d}"
