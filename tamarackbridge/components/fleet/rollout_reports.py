"""Converts what routers know of rollouts to and from their form in reports."""

from collections.abc import Iterable

from tamarackbridge.components.fleet import messages
from tamarackbridge.components.rollout import models


def encode(tallies: models.Tallies) -> tuple[messages.RolloutTally, ...]:
    """Returns tallies in the form of a report."""
    return tuple(
        messages.RolloutTally(
            *identity,
            phase=int(tally.phase),
            age_ms=tally.age_ms,
            routers=tally.routers,
            moved=tally.moved,
            in_flight_old=tally.in_flight_old,
            in_flight=tally.in_flight,
            cells=tuple(
                messages.RolloutCell(
                    *key,
                    responses=counts.responses,
                    bad=counts.bad,
                    crashed=counts.crashed,
                    first_event_ms=counts.first_event_ms,
                )
                for key, counts in tally.cells.items()
            ),
        )
        for identity, tally in tallies.items()
    )


def decode(
    encoded: Iterable[messages.RolloutTally], age_s: float
) -> dict[models.Identity, models.Tally]:
    """Returns the tallies of a report.

    Args:
        encoded: The form in the report.
        age_s: Time since it was sent, by which the orders are older now.
    """
    return {
        models.Identity(
            entry.service, entry.created, entry.target, entry.duration_ms
        ): models.Tally(
            _phase(entry.phase),
            entry.age_ms + int(age_s * 1000) if entry.age_ms >= 0 else -1,
            entry.routers,
            entry.moved,
            entry.in_flight_old,
            entry.in_flight,
            {
                models.CellKey(cell.route, cell.zone, cell.is_new): (
                    models.Counts(
                        cell.responses,
                        cell.bad,
                        cell.crashed,
                        cell.first_event_ms,
                    )
                )
                for cell in entry.cells
            },
        )
        for entry in encoded
    }


def _phase(number: int) -> models.Phase:
    """Returns a phase; `UNKNOWN` for those that no router reports."""
    if models.Phase.UNKNOWN <= number <= models.Phase.BAD:
        return models.Phase(number)
    return models.Phase.UNKNOWN
