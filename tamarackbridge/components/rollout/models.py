"""Data that the parts of a rollout exchange."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import NamedTuple

import msgspec

from tamarackbridge.components.knowledge import models as knowledge


class Identity(NamedTuple):
    """What distinguishes one order from all others.

    Attributes:
        service: Name of the service.
        created: Revision of the store at which the order was created.
        target: Version that the service is to be moved to.
        duration_ms: Time from the order to its deadline.
    """

    service: str
    created: int
    target: str
    duration_ms: int


def identity(order: knowledge.RolloutOrder) -> Identity:
    """Returns the identity of an order."""
    return Identity(
        order.service,
        order.created,
        order.target,
        round(order.duration_s * 1000),
    )


class Phase(enum.IntEnum):
    """How far an order is; only ever rises.

    Attributes:
        UNKNOWN: This router started during the order and knows no more.
        RUNNING: The new version gets canary requests.
        MOVING: The new version gets all requests.
        BAD: The new version was found bad and gets no requests.
        ROLLED_BACK: The stored status says so.
        SUCCEEDED: The stored status says so.
    """

    UNKNOWN = 0
    RUNNING = 1
    MOVING = 2
    BAD = 3
    ROLLED_BACK = 4
    SUCCEEDED = 5


class CellKey(NamedTuple):
    """What responses are counted by."""

    route: str
    zone: str
    is_new: bool


class Counts(msgspec.Struct, frozen=True, gc=False):
    """Counts of responses.

    Attributes:
        responses: Responses, complete or not, without refusals.
        bad: Those that failed or were slow, without crashes.
        crashed: Those that were lost because their server crashed.
        first_event_ms: Sum of the times to their first events.
    """

    responses: int = 0
    bad: int = 0
    crashed: int = 0
    first_event_ms: int = 0

    def plus(self, other: "Counts", sign: int = 1) -> "Counts":
        """Returns the sum, or the difference if `sign` is -1."""
        return Counts(
            self.responses + sign * other.responses,
            self.bad + sign * other.bad,
            self.crashed + sign * other.crashed,
            self.first_event_ms + sign * other.first_event_ms,
        )


NO_COUNTS = Counts()


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """What some routers know about one order.

    Attributes:
        phase: The highest of their phases.
        age_ms: The highest of their ages of the order; -1 if none knows it.
        routers: Number of these routers.
        moved: Number of those that place requests at new servers only.
        in_flight_old: Requests in flight at servers of other versions.
        in_flight: Requests in flight at all servers of the service.
        cells: Counts of responses.
    """

    phase: Phase = Phase.UNKNOWN
    age_ms: int = -1
    routers: int = 0
    moved: int = 0
    in_flight_old: int = 0
    in_flight: int = 0
    cells: Mapping[CellKey, Counts] = dataclasses.field(default_factory=dict)

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sum of the tallies of different routers."""
        cells = dict(self.cells)
        for key, counts in other.cells.items():
            cells[key] = cells.get(key, NO_COUNTS).plus(counts)
        return Tally(
            max(self.phase, other.phase),
            max(self.age_ms, other.age_ms),
            self.routers + other.routers,
            self.moved + other.moved,
            self.in_flight_old + other.in_flight_old,
            self.in_flight + other.in_flight,
            cells,
        )

    def minus(self, other: "Tally") -> "Tally":
        """Returns the counts without a part; phase and age stay."""
        cells = dict(self.cells)
        for key, counts in other.cells.items():
            cells[key] = cells.get(key, NO_COUNTS).plus(counts, -1)
        return dataclasses.replace(
            self,
            routers=self.routers - other.routers,
            moved=self.moved - other.moved,
            in_flight_old=self.in_flight_old - other.in_flight_old,
            in_flight=self.in_flight - other.in_flight,
            cells=cells,
        )


Tallies = Mapping[Identity, Tally]


def total(parts: "list[Tallies]") -> dict[Identity, Tally]:
    """Returns the sums of tallies of different routers, by order."""
    found: dict[Identity, Tally] = {}
    for part in parts:
        for key, tally in part.items():
            known = found.get(key)
            found[key] = tally if known is None else known.plus(tally)
    return found


def subtract(whole: Tallies, part: Tallies) -> dict[Identity, Tally]:
    """Returns the tallies of a sum without one of its parts."""
    return {
        key: tally.minus(part[key]) if key in part else tally
        for key, tally in whole.items()
    }
