"""The soak's checks of servers that leave by answers or are full."""

import types
from typing import cast

import pytest

from soak import callers, notices, programs, world


def _request(number: int, sent_at: float) -> callers.ClientRequest:
    return callers.ClientRequest(
        f"q{number}",
        "read",
        "key",
        "vm-0",
        sent_at,
        sent_at + 0.1,
        complete=True,
    )


def _broken(
    kind: str, at: list[float], disturbed: str = "", until: float = 20.0
) -> list[str]:
    """Returns what is found if requests reach `s` at some times."""
    changes = [world.Change(kind, "s", 10.0), world.Change("end", "s", until)]
    program = types.SimpleNamespace(name="vm-0", disturbances=[])
    if disturbed:
        found = programs.Disturbance(disturbed, 12.0, 12.5)
        program.disturbances.append(found)
    env = types.SimpleNamespace(
        changes=changes,
        routers=[program],
        arrivals=[
            world.RequestRecord(f"q{number}", "s", "z1", it + 0.01)
            for number, it in enumerate(at)
        ],
    )
    requests = [_request(number, it) for number, it in enumerate(at)]
    return list(notices.find_broken_promises(cast(world.World, env), requests))


@pytest.mark.parametrize(
    ("kind", "at", "disturbed", "broken"),
    [
        ("leaves", [11.0, 12.9], "", 0),
        ("leaves", [11.0, 14.0], "", 1),
        ("leaves", [14.0], "", 0),
        ("leaves", [11.0, 14.0], "kill", 0),
        ("leaves", [11.0, 14.0], "store", 1),
        ("leaves", [11.0, 21.0], "", 0),
        ("full", [11.0, 11.9, 11.95], "", 0),
        ("full", [11.0, 12.2, 12.3], "", 0),
        ("full", [11.0, 12.2, 12.3, 12.4], "", 1),
        ("full", [11.0, 12.2, 12.3, 12.4], "pause", 0),
        ("full", [11.0, 14.2, 14.3, 14.4], "", 0),
    ],
)
def test_what_is_broken(
    kind: str, at: list[float], disturbed: str, broken: int
) -> None:
    assert len(_broken(kind, at, disturbed)) == broken
