"""Checks of the soak test for shutdowns of routers and ends of streams."""

import pytest

from soak import callers, checks, programs, stream_counts


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


def _stream(
    route: str,
    events: list[int],
    complete: bool,
    resumes: callers.ClientRequest | None = None,
) -> callers.ClientRequest:
    """Returns a request whose answer is a stream."""
    request = callers.ClientRequest("q1", route, "key-0", "vm-0", 0.0, 1.0)
    request.status, request.answer_id = 200, "q1"
    request.complete, request.resumes = complete, resumes
    request.body = b"".join(
        f"id: {number}\ndata: piece {number}\n\n".encode() for number in events
    )
    return request


@pytest.mark.parametrize("route", ["stream", "resumed"])
@pytest.mark.parametrize("events", range(6))
def test_short_stream_may_not_end_as_if_complete(
    events: int, route: str
) -> None:
    """Whatever its server did: the caller would take it for whole."""
    request = _stream(route, list(range(events)), complete=True)
    (line,) = checks.check_answer(request)
    assert line.endswith("ended as if complete")


@pytest.mark.parametrize(
    ("events", "complete"),
    [
        ([0, 1, 2, 3, 4, 5], True),
        ([0, 1, 2, 3, 4, 5], False),
        ([0, 1], False),
        ([], False),
    ],
)
def test_stream_may_be_whole_or_told_as_cut(
    events: list[int], complete: bool
) -> None:
    request = _stream("stream", events, complete)
    assert not list(checks.check_answer(request))


@pytest.mark.parametrize(
    ("parts", "complete", "broken"),
    [
        ([[0, 1], [2, 3, 4, 5]], True, 0),
        ([[0, 1], [2, 3], [4, 5]], True, 0),
        ([[0, 1], [], [2, 3, 4, 5]], True, 0),
        ([[0, 1, 2, 3, 4, 5], []], True, 0),
        ([[], [0, 1, 2, 3, 4, 5]], True, 0),
        ([[0, 1], [2, 3]], False, 0),
        ([[0, 1], [2, 3]], True, 1),  # Too early.
        ([[0, 1], []], True, 1),
        ([[0, 1], [3, 4, 5]], False, 1),  # A gap.
        ([[0, 1], [3, 4, 5]], True, 2),
        ([[0, 1], [1, 2, 3, 4, 5]], False, 1),  # A duplicate.
        ([[0, 1, 2, 3, 4, 5], [5]], False, 1),
        ([[0, 1], [3, 2, 4, 5]], False, 1),  # Another order.
        ([[0, 1], [0, 1, 2, 3, 4, 5]], False, 1),
    ],
)
def test_resumed_stream_is_joined_without_gap_or_duplicate(
    parts: list[list[int]], complete: bool, broken: int
) -> None:
    request = None
    for events in parts[:-1]:
        request = _stream("resumed", events, False, request)
    request = _stream("resumed", parts[-1], complete, request)
    assert len(list(checks.check_answer(request))) == broken


def test_events_of_failures_do_not_count_as_resumed() -> None:
    broken = _stream("resumed", [0, 1], complete=False)
    refused = _stream("resumed", [2, 3], True, broken)
    refused.status = 503
    resumed = _stream("resumed", [2, 3, 4, 5], True, refused)
    assert not list(checks.check_answer(resumed))


def test_stream_ends_are_counted() -> None:
    all_events = checks.COMPLETE_STREAM
    broken = _stream("resumed", [0, 1], complete=False)
    abandoned = _stream("stream", [0], complete=False)
    abandoned.abandoned = True
    refused = _stream("stream", [], complete=True)
    refused.status = 503
    running = _stream("stream", [0], complete=False)
    running.ended_at = 0.0
    counts = stream_counts.count(
        [
            _stream("stream", all_events, complete=True),
            broken,
            _stream("resumed", [2, 3, 4, 5], True, broken),
            _stream("stream", all_events, complete=False),
            abandoned,
            refused,
            running,
        ]
    )
    assert counts == stream_counts.StreamCounts(
        whole=2, cut=1, whole_told_cut=1, resumed=1
    )
    assert stream_counts.total([counts, counts]) == stream_counts.StreamCounts(
        whole=4, cut=2, whole_told_cut=2, resumed=2
    )
