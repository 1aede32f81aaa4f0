"""Checks of streamed and plain answers.

They guard against tokens that are lost, repeated or of another request. This
happens when a stream is cut at any byte and the next engine resumes it, starts
it over, or sends no token indexes.
"""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from tamarackbridge.components.entry import answer_check, attempts, stream_check

_DONE = b"data: [DONE]\n\n"


def _event(index: int, request_id: str = "r") -> bytes:
    doc = {"id": request_id, "index": index, "choices": [{"text": f"t{index}"}]}
    return b"data: " + json.dumps(doc).encode() + b"\n\n"


def _events(start: int, end: int) -> bytes:
    return b"".join(_event(index) for index in range(start, end))


@hypothesis.given(
    tokens=st.integers(0, 8),
    cuts=st.lists(st.integers(0, 600), max_size=4),
    resumes=st.lists(st.booleans(), min_size=4, max_size=4),
    chunk=st.integers(1, 80),
)
def test_caller_gets_each_token_once_however_often_it_is_cut(
    tokens: int, cuts: list[int], resumes: list[bool], chunk: int
) -> None:
    check = stream_check.StreamCheck("r")
    forwarded = b""
    for cut, resumes_now in [
        *zip(cuts, resumes, strict=False),
        (10**6, True),
    ]:
        check.begin()
        start = check.offset if resumes_now else 0
        sent = (_events(start, tokens) + _DONE)[:cut]
        for start_at in range(0, len(sent), chunk):
            forwarded += check.feed(sent[start_at : start_at + chunk])
        if check.complete:
            break

    assert check.complete
    assert not check.broken
    assert forwarded == _events(0, tokens) + _DONE


@pytest.mark.parametrize(
    ("data", "wrong_request"),
    [
        (_event(2), False),
        (_event(0, "other"), True),
        (b"data: {nonsense\n\n", False),
        (b"x" * (stream_check.MAX_EVENT_BYTES + 1), False),
    ],
    ids=["skipped token", "another's", "no json", "endless event"],
)
def test_wrong_event_is_not_passed_on(data: bytes, wrong_request: bool) -> None:
    check = stream_check.StreamCheck("r")

    forwarded = check.feed(data) + check.feed(_DONE)

    assert forwarded == b""
    assert check.broken
    assert check.wrong_request == wrong_request
    assert not check.complete


def test_stream_without_numbers_is_not_resumed() -> None:
    check = stream_check.StreamCheck("r")

    assert check.feed(b'data: {"choices": []}\r\n\r\n') != b""
    assert not check.resumable


@pytest.mark.parametrize(
    ("status", "headers", "end"),
    [
        (200, {}, None),
        (404, {"X-Request-Id": "r"}, None),
        (200, {"X-Request-Id": "other"}, attempts.End.MISMATCHED),
        (500, {}, attempts.End.FAILED),
        (503, {"X-Not-Started": "true"}, attempts.End.NOT_STARTED),
        (
            503,
            {"X-Not-Started": "true", "X-Request-Id": "other"},
            attempts.End.MISMATCHED,
        ),
    ],
)
def test_end_by_header(
    status: int, headers: dict[str, str], end: attempts.End | None
) -> None:
    assert answer_check.end_by_header(status, headers, "r") is end


@pytest.mark.parametrize(
    ("body", "headers", "empty_is_failure", "end"),
    [
        (b"ok", {}, True, attempts.End.COMPLETE),
        (b"", {}, False, attempts.End.COMPLETE),
        (b" \n", {}, True, attempts.End.EMPTY),
        (b"ok", {"Content-Length": "3"}, False, attempts.End.TRUNCATED),
    ],
)
def test_end_by_body(
    body: bytes,
    headers: dict[str, str],
    empty_is_failure: bool,
    end: attempts.End,
) -> None:
    assert answer_check.end_by_body(body, headers, empty_is_failure) is end


@pytest.mark.parametrize(
    "rerun",
    [
        _events(0, 1) + _DONE,
        b'data: {"choices": []}\n\n' + _DONE,
    ],
    ids=["shorter run", "unnumbered run"],
)
def test_another_run_does_not_end_a_stream_that_has_begun(
    rerun: bytes,
) -> None:
    """Guards against a shorter rerun whose end marker ends the stream."""
    check = stream_check.StreamCheck("r")
    check.feed(_events(0, 3))
    check.begin()

    assert check.feed(rerun) == b""
    assert check.broken
    assert not check.complete


def test_unnumbered_event_does_not_hide_the_numbered_ones_behind_it() -> None:
    """Guards against tokens dropped as duplicates after an unnumbered event."""
    sent = b'data: {"choices": []}\n\n' + _events(0, 3) + _DONE
    check = stream_check.StreamCheck("r")

    assert check.feed(sent) == sent
    assert check.complete
    assert not check.resumable


def test_skipped_token_behind_an_unnumbered_event_is_noticed() -> None:
    """Guards against a gap that goes unnoticed once one event has no index."""
    check = stream_check.StreamCheck("r")
    check.feed(b'data: {"choices": []}\n\n' + _event(0))

    assert check.feed(_event(2)) == b""
    assert check.broken
