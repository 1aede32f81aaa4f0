"""What a desk decides with."""

from collections.abc import Collection
import dataclasses
from typing import Protocol

from tamarackbridge.components.admission import pressure, shares
from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    choose,
    cold,
    estimate,
    health,
    ledger,
    notices,
    parts,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The parts of this router that a desk reads and keeps up to date."""

    bounds: fleet.Bounds
    known: state.LocalCopy
    work: ledger.Ledger
    held: parts.HeldParts
    breakers: health.Health
    estimator: estimate.Estimator
    limiter: cold.ColdLimiter
    told: notices.Notices
    chooser: choose.Chooser


class Others(Protocol):
    """What the other routers of the fleet told, and how they are told."""

    def routers(self) -> Collection[str]:
        """Returns the routers that may be sending, this one among them."""
        ...

    def others_use(self) -> dict[str, shares.Use]:
        """Returns the use of workspaces at the other routers."""
        ...

    def others_seen(self) -> pressure.Seen:
        """Returns how busy the other routers see the engines."""
        ...

    def use_age_s(self) -> float:
        """Returns the age of the oldest use that `others_use` counts."""
        ...

    def note_change(self) -> None:
        """Notes that the others should soon hear of this router's work."""
        ...
