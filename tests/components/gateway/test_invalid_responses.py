"""Responses of backend servers that must not count as responses.

They guard against a caller that gets a status that is none, against a response
that is taken for the one to another request, and against a request that runs
twice because an invalid response said that it had not run.
"""

import pytest

from standins import platform_server, server_faults
from tamarackbridge.components.telemetry import events as telemetry
from tests.components.gateway import raw_caller, rig

RawAnswer = server_faults.RawAnswer
Fault = platform_server.Fault
WHOLE = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(platform_server.EVENTS)
)

# All of them say that the request has not run, which must not be believed.
_FIELDS = (
    b"X-Request-Id: {id}\r\nX-Response-Seal: s\r\nX-Not-Executed: 1\r\n"
    b"Content-Type: text/event-stream\r\n"
)
_EVENT = b"id: 0\ndata: wrong\n\n"


def _head(status: bytes, framing: bytes = b"Content-Length: 0") -> bytes:
    return b"HTTP/1.1 %b X\r\n%b%b\r\n\r\n" % (status, _FIELDS, framing)


def _whole(status: bytes) -> bytes:
    return _head(status, b"Content-Length: %d" % len(_EVENT)) + _EVENT


def _chunked(status: bytes) -> bytes:
    head = _head(status, b"Transfer-Encoding: chunked")
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(_EVENT), _EVENT)


_INTERIM = b"HTTP/1.1 %b X\r\n\r\n"

INVALID = {
    "000": (_whole(b"000"), "000"),
    "001": (_whole(b"001"), "001"),
    "099": (_whole(b"099"), "099"),
    "600": (_whole(b"600"), "600"),
    "600-chunked": (_chunked(b"600"), "600"),
    "600-unmarked": (_head(b"600", b"Connection: close") + _EVENT, "600"),
    "999": (_whole(b"999"), "999"),
    "100-alone": (_INTERIM % b"100", ""),
    "103-alone": (_INTERIM % b"103", ""),
    "102-alone": (_head(b"102"), "102"),
    "102-before": (_INTERIM % b"102" + _whole(b"200"), "102"),
    "199-before": (_INTERIM % b"199" + _whole(b"200"), "199"),
    "100-before-600": (_INTERIM % b"100" + _whole(b"600"), "600"),
    "101": (_whole(b"101"), "101"),
    "101-upgrade": (
        _head(b"101", b"Connection: Upgrade\r\nUpgrade: x") + _EVENT,
        "101",
    ),
    "101-before": (_INTERIM % b"101" + _whole(b"200"), "101"),
    "204-body": (_head(b"204", b"X: x") + _EVENT, "204"),
    "204-length": (_whole(b"204"), "204"),
    "204-length-alone": (_head(b"204", b"Content-Length: 4"), "204"),
    "204-chunked": (_chunked(b"204"), "204"),
    "304-body": (_head(b"304", b"X: x") + _EVENT, "304"),
    "304-length": (_whole(b"304"), "304"),
    "304-chunked": (_chunked(b"304"), "304"),
    "second-line": (b"HTTP/1.1 200 X\r\n" + _whole(b"200"), ""),
    "four-digits": (_whole(b"2000"), ""),
    "two-digits": (_whole(b"20"), ""),
    "negative": (_whole(b"-20"), ""),
    "letters": (_whole(b"2xx"), ""),
}
"""Bytes of each invalid response, and the status that the log line names.

None is named where there is no final status line, or one without a number.
"""

FOLLOWED = {
    "200": (_whole(b"200"), _whole(b"200")),
    "503": (_whole(b"200"), _whole(b"503")),
    "after-404": (_whole(b"404"), _whole(b"200")),
    "after-500": (_whole(b"500"), _whole(b"200")),
    "after-503": (_whole(b"503"), _whole(b"200")),
    "after-204": (_head(b"204", b"X: x"), _whole(b"200")),
    "after-304": (_head(b"304", b"X: x"), _whole(b"200")),
    "chunked": (_chunked(b"200"), _chunked(b"200")),
    "600": (_whole(b"200"), _whole(b"600")),
    "101": (_whole(b"200"), _whole(b"101")),
    "102": (_whole(b"200"), _INTERIM % b"102"),
    "100": (_whole(b"200"), _INTERIM % b"100"),
    "closing": (
        _head(b"200", b"Connection: close\r\nContent-Length: 19") + _EVENT,
        _whole(b"200"),
    ),
    "line": (_whole(b"200"), b"HTTP/1.1 2000 X\r\n\r\n"),
    "bytes": (_whole(b"200"), b"\x00\x01"),
    "bytes-chunked": (_chunked(b"200"), b"\x00\x01"),
    "third": (_whole(b"200"), _whole(b"503") + _whole(b"600")),
}
"""Bytes of a complete response, and those that follow it."""

STATUSES = ["200", "299", "404", "418", "500", "599"]
VALID = {
    **{status: _whole(status.encode()) for status in STATUSES},
    "204": _head(b"204", b"X: x"),
    "204-length-0": _head(b"204"),
    "304": _head(b"304", b"X: x"),
    "304-length": _head(b"304", b"Content-Length: 4"),
    "100-before": _INTERIM % b"100" + _whole(b"200"),
    "103-before": _INTERIM % b"103" + _whole(b"200"),
    "many-before": 2 * (_INTERIM % b"103" + _INTERIM % b"100") + _whole(b"200"),
}

ALL_INVALID = pytest.mark.parametrize("case", INVALID)


@ALL_INVALID
@pytest.mark.parametrize("path", ["/pay/1", "/stream/1"])
async def test_invalid_response_is_lost(
    path: str, case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    log: list[telemetry.Event] = []
    monkeypatch.setattr(telemetry, "write", log.append)
    data, status = INVALID[case]
    async with rig.async_environment() as env:
        env.set_faults(RawAnswer(data))
        got = await env.async_send(path)
        assert got.status == 502
        assert env.ran() == ["q1"]
    (ended,) = [
        each for each in log if isinstance(each, telemetry.SendingEnded)
    ]
    assert (ended.end, ended.again) == ("lost", False)
    assert status in ended.detail


@ALL_INVALID
@pytest.mark.parametrize(
    ("path", "body"),
    [("/read/1", b"answer to q1"), ("/stream/r/1", WHOLE)],
    ids=["plain", "resumable"],
)
async def test_invalid_response_is_retried_where_it_may_be(
    path: str, body: bytes, case: str
) -> None:
    async with rig.async_environment() as env:
        env.set_faults(RawAnswer(INVALID[case][0]))
        got = await env.async_send(path)
        assert (got.status, got.body) == (200, body)
        assert env.ran() == ["q1", "q1"]


@ALL_INVALID
async def test_stream_is_not_continued_by_an_invalid_response(
    case: str,
) -> None:
    async with rig.async_environment() as env:
        data = INVALID[case][0]
        env.set_faults(Fault.CUT_BETWEEN, *[RawAnswer(data)] * 3)
        answer = await raw_caller.async_send(env, "/stream/r/1")
        assert WHOLE.startswith(answer.body)
        assert answer.end is not raw_caller.End.FINAL_CHUNK


@pytest.mark.parametrize("case", VALID)
async def test_valid_response_arrives(case: str) -> None:
    """Guards against the loss of responses with unusual statuses."""
    status = int(case[:3]) if case[:3] in (*STATUSES, "204", "304") else 200
    async with rig.async_environment() as env:
        env.set_faults(RawAnswer(_valid(VALID[case])))
        got = await env.async_send("/pay/1")
        assert got.status == status
        assert got.body == (b"" if status in (204, 304) else _EVENT)


def _valid(data: bytes) -> bytes:
    """Returns a response without the header that says "not run"."""
    return data.replace(b"X-Not", b"X-Other")


@pytest.mark.parametrize("case", FOLLOWED)
@pytest.mark.parametrize("path", ["/pay/1", "/stream/1"])
async def test_response_arrives_if_another_follows(
    path: str, case: str
) -> None:
    """Guards against the loss of a payment's result, and mixed-up responses.

    The second response differs from the first in its body.
    """
    first, second = FOLLOWED[case]
    second = second.replace(b"wrong", b"other")
    status = int(first[9:12])
    async with rig.async_environment(servers=1) as env:
        data = _valid(first) + _valid(second)
        env.set_faults(RawAnswer(data, is_kept_open=True))
        got = await env.async_send(path, request_id="q0")
        assert got.status == status
        assert got.body == (b"" if status in (204, 304) else _EVENT)
        connections = env.servers[0].connections
        for number in (1, 2):
            got = await env.async_send("/pay/1", request_id=f"q{number}")
            assert (got.status, got.body) == (
                200,
                f"answer to q{number}".encode(),
            )
        assert env.ran() == ["q0", "q1", "q2"]
        assert env.servers[0].connections > connections


@pytest.mark.parametrize(
    "case", [case for case in FOLLOWED if FOLLOWED[case][0][9:10] == b"2"]
)
@pytest.mark.parametrize("path", ["/read/1", "/stream/r/1"])
async def test_response_is_not_retried_if_another_follows(
    path: str, case: str
) -> None:
    """Guards against a second run where a request may run twice."""
    first, second = FOLLOWED[case]
    second = second.replace(b"wrong", b"other")
    async with rig.async_environment() as env:
        env.set_faults(RawAnswer(_valid(first) + _valid(second)))
        got = await env.async_send(path)
        is_empty = first.startswith(b"HTTP/1.1 204")
        assert got.body == (b"" if is_empty else _EVENT)
        assert env.ran() == ["q1"]


@pytest.mark.parametrize("status", [b"503", b"421"])
async def test_response_that_says_not_run_counts_if_another_follows(
    status: bytes,
) -> None:
    """Guards against a second response that replaces the first."""
    async with rig.async_environment() as env:
        env.set_faults(RawAnswer(_whole(status) + _whole(b"200")))
        got = await env.async_send("/pay/1")
        assert (got.status, got.body) == (200, b"answer to q1")
        assert env.ran() == ["q1", "q1"]


REST = pytest.mark.parametrize(
    "rest",
    [_whole(b"200"), _whole(b"600"), _INTERIM % b"102", b"\x00\x01"],
    ids=["200", "600", "102", "bytes"],
)


@REST
async def test_stream_is_complete_if_bytes_follow_its_end(rest: bytes) -> None:
    begin = _head(b"200", b"Transfer-Encoding: chunked")
    begin += b"%x\r\n%b\r\n" % (len(WHOLE), WHOLE)
    async with rig.async_environment(servers=1) as env:
        end = b"0\r\n\r\n" + rest
        env.set_faults(RawAnswer(begin, end, is_kept_open=True))
        answer = await raw_caller.async_send(env, "/stream/1")
        assert (answer.status, answer.body) == (200, WHOLE)
        assert answer.end is raw_caller.End.FINAL_CHUNK
        got = await env.async_send("/pay/1", request_id="q2")
        assert (got.status, got.body) == (200, b"answer to q2")


@REST
@pytest.mark.parametrize("status", [b"200", b"404", b"500"])
async def test_plain_response_arrives_if_bytes_follow_its_body(
    status: bytes, rest: bytes
) -> None:
    """Its head has been read by then."""
    head = _valid(_head(status, b"Content-Length: 8"))
    async with rig.async_environment(servers=1) as env:
        data = b"response" + rest
        env.set_faults(RawAnswer(head, data, is_kept_open=True))
        got = await env.async_send("/pay/1")
        assert (got.status, got.body) == (int(status), b"response")
        got = await env.async_send("/pay/1", request_id="q2")
        assert (got.status, got.body) == (200, b"answer to q2")
        assert env.ran() == ["q1", "q2"]
