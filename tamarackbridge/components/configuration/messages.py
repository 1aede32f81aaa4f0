"""Messages about configuration."""

from tamarackbridge import core
from tamarackbridge.components.records import models


class SnapshotInForce(core.Message, frozen=True, tag=True):
    """Local news: a newer snapshot is in force on this router."""

    snapshot: models.Snapshot


class ServingChanged(core.Message, frozen=True, tag=True):
    """Local news: whether this router may start new work.

    Attributes:
        serving: False while this router can't know that its configuration
            is the accepted one.
        reason: Why not; empty while serving.
    """

    serving: bool
    reason: str
