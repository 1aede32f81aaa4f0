"""Tests of what the measurement of streams' ends counts as which error."""

import dataclasses
import json

import pytest

from bench import stream_ends_caller, stream_ends_outcomes

_End = stream_ends_caller.End
_Verdict = stream_ends_caller.Verdict

EVENT = b"id: 0\ndata: piece 0\n\n"
CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
UNMARKED = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
LENGTH = b"HTTP/1.1 502 X\r\nContent-Length: 2\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)


@pytest.mark.parametrize(
    ("received", "connection_end", "events", "end"),
    [
        (CHUNKED + CHUNK + b"0\r\n\r\n", None, 1, _End.MARKED),
        (CHUNKED + CHUNK, _End.CLOSED, 1, _End.UNFINISHED),
        (CHUNKED + CHUNK + b"0\r\n", _End.CLOSED, 1, _End.UNFINISHED),
        (CHUNKED + CHUNK[:-4], _End.CLOSED, 0, _End.UNFINISHED),
        (CHUNKED + CHUNK, _End.RESET, 1, _End.RESET),
        (CHUNKED + CHUNK, None, 1, _End.SILENT),
        (UNMARKED + EVENT, _End.CLOSED, 1, _End.CLOSED),
        (UNMARKED + EVENT[:-1], _End.CLOSED, 0, _End.CLOSED),
        (UNMARKED + EVENT, _End.RESET, 1, _End.RESET),
        (UNMARKED + EVENT, None, 1, _End.SILENT),
        (LENGTH + b"no", None, 0, _End.MARKED),
        (LENGTH + b"n", _End.CLOSED, 0, _End.UNFINISHED),
        (UNMARKED[:-2], _End.CLOSED, 0, _End.UNFINISHED),
        (b"", _End.RESET, 0, _End.RESET),
    ],
)
def test_parse(
    received: bytes,
    connection_end: stream_ends_caller.End | None,
    events: int,
    end: stream_ends_caller.End,
) -> None:
    answer = stream_ends_caller.parse(received, connection_end)
    assert (len(answer.events), answer.end) == (events, end)


@pytest.mark.parametrize(
    ("status", "events", "end", "verdict"),
    [
        (200, 12, _End.MARKED, _Verdict.WHOLE),
        (200, 12, _End.CLOSED, _Verdict.WHOLE),
        (200, 12, _End.RESET, _Verdict.WHOLE_AS_CUT),
        (200, 12, _End.UNFINISHED, _Verdict.WHOLE_AS_CUT),
        (200, 11, _End.MARKED, _Verdict.CUT_AS_WHOLE),
        (200, 11, _End.CLOSED, _Verdict.CUT_AS_WHOLE),
        (200, 11, _End.RESET, _Verdict.CUT),
        (200, 0, _End.SILENT, _Verdict.CUT),
        (200, 0, _End.CLOSED, _Verdict.CUT_AS_WHOLE),
        (502, 0, _End.MARKED, _Verdict.REFUSED),
        (503, 12, _End.RESET, _Verdict.REFUSED),
    ],
)
def test_each_answer_counts_as_one_of_five(
    status: int,
    events: int,
    end: stream_ends_caller.End,
    verdict: stream_ends_caller.Verdict,
) -> None:
    outcome = _outcome(status=status, events=events, end=end)
    assert outcome.verdict is verdict
    is_cut = verdict in (_Verdict.CUT, _Verdict.CUT_AS_WHOLE)
    is_whole = verdict in (_Verdict.WHOLE, _Verdict.WHOLE_AS_CUT)
    assert stream_ends_outcomes.count_errors([outcome, outcome]) == (
        f"{2 * (verdict is _Verdict.CUT_AS_WHOLE)} of {2 * is_cut}",
        f"{2 * (verdict is _Verdict.WHOLE_AS_CUT)} of {2 * is_whole}",
        str(2 * (verdict is _Verdict.REFUSED)),
    )


def test_cells_that_differ_are_all_shown() -> None:
    cut = _outcome(events=5, end=_End.CLOSED)
    reset = _outcome(events=5)
    other = _outcome(events=12, version="1.0")
    merge = stream_ends_outcomes.merge_cells
    assert merge([cut, cut]) == "**5 closed**"
    assert merge([cut, other]) == "HTTP/1.1: **5 closed**; HTTP/1.0: _12 reset_"
    assert merge([cut, reset, other]) == (
        "HTTP/1.1: 1 of 2 **5 closed**, 1 of 2 5 reset; HTTP/1.0: _12 reset_"
    )


def test_written_figures_are_read_again() -> None:
    done = stream_ends_caller.Resumption(1, 12, True, 0.2)
    for outcome in (
        _outcome(),
        dataclasses.replace(_outcome(events=5), resumption=done),
    ):
        written = json.loads(json.dumps(outcome.to_json()))
        assert stream_ends_outcomes.from_json(written) == outcome


def _outcome(
    status: int = 200,
    events: int = 12,
    end: stream_ends_caller.End = _End.RESET,
    version: str = "1.1",
) -> stream_ends_outcomes.Outcome:
    return stream_ends_outcomes.Outcome(
        habit="marks",
        route="again",
        version=version,
        framing="chunked",
        ending="whole",
        second="500",
        primers=(True,),
        status=status,
        events=tuple(range(events)),
        end=end,
        took_s=0.1,
        requests=1,
        requests_resumed=1,
        resumption=None,
    )
