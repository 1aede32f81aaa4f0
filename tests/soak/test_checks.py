"""Checks of the soak test for shutdowns of routers and ends of streams."""

import pytest

from soak import callers, checks, programs


def test_further_sigterm_does_not_start_the_shutdown_anew() -> None:
    """With seed 7609 the soak test reported requests without an answer.

    A second SIGTERM came 3 s after the first, when the listener was already
    closed, and was counted as the start of another shutdown.
    """
    disturbances = [
        programs.Disturbance("term", 10.0, 16.0),
        programs.Disturbance("store", 11.0, 12.0),
        programs.Disturbance("term", 13.0, 16.1),
        programs.Disturbance("term", 20.0),
        programs.Disturbance("term", 21.0),
    ]
    assert checks.find_shutdown_starts(disturbances) == [
        disturbances[0],
        disturbances[3],
    ]


@pytest.mark.parametrize(
    ("events", "unmarked", "complete", "broken"),
    [
        (6, False, True, False),
        (6, True, True, False),
        (2, False, False, False),
        (2, True, False, False),
        (2, False, True, True),
        (2, True, True, False),
        (3, True, True, True),
    ],
)
def test_short_stream_may_end_in_good_order_only_where_its_server_closed_it(
    events: int, unmarked: bool, complete: bool, broken: bool
) -> None:
    request = callers.ClientRequest("q1", "stream", "key-0", "vm-0", 0.0)
    request.answer_id = "q1"
    request.unmarked, request.complete = unmarked, complete
    request.body = b"".join(
        f"id: {number}\ndata: piece {number}\n\n".encode()
        for number in range(events)
    )
    lines = list(checks.check_answer(request, {"q1": {2}, "q2": {3}}))
    assert bool(lines) == broken
