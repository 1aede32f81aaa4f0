"""Positions in the history of the platform's store.

The store may come back from an older copy of itself. It then counts its
revisions again from there, in a new era, so a revision alone does not tell
which of two states is newer. A position is one number that does: all positions
of a later era are higher.
"""

_ERA_SHIFT = 64
_MAX_REVISION = (1 << _ERA_SHIFT) - 1


def make(era: int, revision: int) -> int:
    """Returns the position of a revision in an era."""
    return (max(era, 0) << _ERA_SHIFT) | min(max(revision, 0), _MAX_REVISION)


def era(position: int) -> int:
    """Returns the era of a position."""
    return position >> _ERA_SHIFT


def revision(position: int) -> int:
    """Returns the revision of a position, within its era."""
    return position & _MAX_REVISION
