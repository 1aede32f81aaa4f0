"""Checks of the soak test for shutdown notices and Retry-After headers."""

import types
from typing import cast

import pytest

from soak import callers, environment, notices, programs


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


def _find_broken_promises(
    kind: str, at: list[float], disturbed: str = "", until: float = 20.0
) -> list[str]:
    """Returns the broken promises if requests reach server `s` at some times.

    Args:
        kind: The notice that the server gives from 10.0 on.
        at: Times at which requests are sent.
        disturbed: Kind of a disturbance of the router from 12.0 to 12.5, or
            empty.
        until: Time at which the notice ends.
    """
    changes = [
        environment.Change(kind, "s", 10.0),
        environment.Change("end", "s", until),
    ]
    router = types.SimpleNamespace(name="vm-0", disturbances=[])
    if disturbed:
        disturbance = programs.Disturbance(disturbed, 12.0, 12.5)
        router.disturbances.append(disturbance)
    env = types.SimpleNamespace(
        changes=changes,
        routers=[router],
        arrivals=[
            environment.RequestRecord(f"q{number}", "s", "z1", sent_at + 0.01)
            for number, sent_at in enumerate(at)
        ],
    )
    requests = [_request(number, sent_at) for number, sent_at in enumerate(at)]
    return list(
        notices.find_broken_promises(
            cast(environment.Environment, env), requests
        )
    )


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
def test_broken_promises(
    kind: str, at: list[float], disturbed: str, broken: int
) -> None:
    assert len(_find_broken_promises(kind, at, disturbed)) == broken
