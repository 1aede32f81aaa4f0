import pytest

from tamarackbridge.components.gateway import models
from tamarackbridge.platform import dialect

DIALECT = dialect.PlatformDialect()
RAW = (
    (b"Host", b"a.example"),
    (b"X-Request-Id", b"q1"),
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c:800,91:410,e4:250"),
    (b"X-Length-Hint", b"33"),
    (b"X-Deadline-Ms", b"12000"),
    (b"X-Api-Key", b"secret"),
    (b"X-Tenant", b"forged"),
    (b"X-Hold", b"h"),
    (b"X-Pin-Ms", b"100"),
    (b"X-Kv-Backup", b"10.0.0.1:1"),
    (b"Kv-From", b"10.0.0.1:1/h"),
    (b"X-Target-Instance", b"i-9"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Accept", b"*/*"),
)


def _call() -> models.Request:
    call = DIALECT.read_request("POST", "/x/1?a=b", "a.example", RAW)
    assert call is not None
    return call


def test_parses_a_request() -> None:
    call = _call()
    assert call.request_id == "q1"
    assert call.key == "secret"
    assert call.caller_timeout_s == 12.0
    assert (call.prompt_tokens, call.output_tokens) == (1460, 80)
    assert call.output_hint == 33
    assert call.prompt_blocks[1] == models.PromptBlock("91", 410)


def test_names_the_server_to_copy_prompt_blocks_from() -> None:
    """Else an engine prefills what another one holds."""
    attempt = models.AttemptMetadata(
        "i-1", "w", 1.5, "", copy_from="10.0.0.9:80"
    )
    sent = DIALECT.write_request(_call(), attempt)
    assert dict(sent)["Kv-Fetch"] == "10.0.0.9:80"


def test_request_without_identifier_is_rejected() -> None:
    assert DIALECT.read_request("GET", "/", "a", ((b"Host", b"a"),)) is None


def test_forwards_only_headers_that_callers_may_set() -> None:
    attempt = models.AttemptMetadata("i-1", "w", 1.5, "")
    sent = DIALECT.write_request(_call(), attempt)
    assert dict(sent) == {
        "Host": "a.example",
        "X-Request-Id": "q1",
        "X-Model": "m",
        "X-Token-Usage": "1460,80",
        "X-Prompt-Prefix": "5c:800,91:410,e4:250",
        "X-Length-Hint": "33",
        "Accept": "*/*",
        "X-Deadline-Ms": "1500",
        "X-Target-Instance": "i-1",
        "X-Tenant": "w",
    }
    assert len(sent) == len(dict(sent))


def test_connection_header_does_not_drop_end_to_end_headers() -> None:
    raw = (*RAW, (b"Connection", b"X-Request-Id, X-Model, X-Prompt-Prefix"))
    call = DIALECT.read_request("POST", "/x/1", "a.example", raw)
    assert call is not None
    names = {name for name, _ in call.headers}
    assert {"X-Request-Id", "X-Model", "X-Prompt-Prefix"} <= names


@pytest.mark.parametrize("usage", ["²,9", "9,²", "٣,1", "\uff19,1"])
def test_token_count_of_other_digits_is_malformed(usage: str) -> None:
    """Guards against a 500: some digits of Unicode are no numbers to `int`."""
    raw = (*RAW, (b"X-Token-Usage", usage.encode()))
    assert DIALECT.read_request("POST", "/x/1", "a.example", raw) is None


@pytest.mark.parametrize(
    ("header", "timeout_s", "hint"),
    [("X-Deadline-Ms", None, 33), ("X-Length-Hint", 12.0, 0)],
)
def test_other_digits_are_no_number(
    header: str, timeout_s: float | None, hint: int
) -> None:
    raw = (*RAW, (header.encode(), "²".encode()))
    call = DIALECT.read_request("POST", "/x/1", "a.example", raw)
    assert call is not None
    assert (call.caller_timeout_s, call.output_hint) == (timeout_s, hint)


def test_preview_of_other_digits_is_no_preview_of_a_number() -> None:
    head = b"GET /x HTTP/1.1\r\nX-Request-Id: q1\r\nX-Token-Usage: \xb2,1"
    preview = DIALECT.preview(head + b"\r\n\r\n")
    assert preview is not None
    assert (preview.prompt_tokens, preview.output_tokens) == (0, 1)


def test_resumes_after_the_last_event() -> None:
    attempt = models.AttemptMetadata("i-1", "w", 1.5, "41")
    assert ("Last-Event-Id", "41") in DIALECT.write_request(_call(), attempt)


@pytest.mark.parametrize(
    ("status", "raw", "outcome"),
    [
        (
            200,
            ((b"X-Request-Id", b"q1"), (b"X-Response-Seal", b"s")),
            "answered",
        ),
        (
            200,
            ((b"X-Request-Id", b"q2"), (b"X-Response-Seal", b"s")),
            "crossed",
        ),
        (200, ((b"X-Response-Seal", b"s"),), "crossed"),
        (503, ((b"X-Not-Executed", b"1"),), "not_run"),
        (503, (), "answered"),
        (500, ((b"X-Not-Executed", b"1"),), "answered"),
        (421, ((b"X-Instance-Id", b"i-2"),), "elsewhere"),
    ],
)
def test_outcome_of_a_response(
    status: int, raw: tuple[tuple[bytes, bytes], ...], outcome: str
) -> None:
    head = DIALECT.read_response_head(_call(), status, raw)
    assert head.disposition is models.Disposition(outcome)


def test_load_header_is_not_forwarded_to_callers() -> None:
    raw = ((b"X-Server-Load", b"3,1,8"), (b"X-Weight-Versions", b"1"))
    head = DIALECT.read_response_head(_call(), 200, raw)
    assert head.headers == (("X-Weight-Versions", "1"),)


DATE = (b"Date", b"Fri, 04 Dec 2026 08:00:00 GMT")
LONG_NUMBER = b"9" * 400


@pytest.mark.parametrize(
    ("raw", "seconds", "unreadable"),
    [
        ((), 0.0, ()),
        (((b"Retry-After", b"2"),), 2.0, ()),
        (((b"retry-after", b" 0.75 "),), 0.75, ()),
        (((b"Retry-After", b"1e9"),), 1e9, ()),
        (((b"Retry-After", LONG_NUMBER),), float("inf"), ()),
        (((b"Retry-After", b"soon"),), 0.0, ("Retry-After",)),
        (((b"Retry-After", b"-1"),), 0.0, ("Retry-After",)),
        (((b"Retry-After", b"nan"),), 0.0, ("Retry-After",)),
        (((b"Retry-After", b"\xff\xfe"),), 0.0, ("Retry-After",)),
        (
            (DATE, (b"Retry-After", b"Fri, 04 Dec 2026 08:00:03 GMT")),
            3.0,
            (),
        ),
        (
            (DATE, (b"Retry-After", b"Fri, 04 Dec 2026 07:59:00 GMT")),
            0.0,
            (),
        ),
        (
            ((b"Retry-After", b"Fri, 04 Dec 2026 08:00:03 GMT"),),
            0.0,
            ("Retry-After",),
        ),
        (
            (DATE, (b"Retry-After", b"Fri, 99 Foo 2026 08:00:03 GMT")),
            0.0,
            ("Retry-After",),
        ),
        (
            (DATE, (b"Retry-After", b"Fri, 04 Dec 2026 08:00:03")),
            0.0,
            ("Retry-After",),
        ),
    ],
)
def test_parses_retry_after(
    raw: tuple[tuple[bytes, bytes], ...],
    seconds: float,
    unreadable: tuple[str, ...],
) -> None:
    head = DIALECT.read_response_head(_call(), 503, raw)
    assert head.retry_after_s == seconds
    assert head.closed_s == seconds
    assert head.invalid_headers == unreadable


def test_only_a_503_closes_a_server() -> None:
    raw = ((b"Retry-After", b"2"),)
    assert DIALECT.read_response_head(_call(), 429, raw).closed_s == 0.0


@pytest.mark.parametrize(
    ("raw", "leaving", "unreadable"),
    [
        ((), False, ()),
        (((b"Server-Leaving", b"1"),), True, ()),
        (((b"server-leaving", b" 1 "),), True, ()),
        (((b"Server-Leaving", b"0"),), False, ("Server-Leaving",)),
        (((b"Server-Leaving", b"yes"),), False, ("Server-Leaving",)),
    ],
)
def test_parses_announced_shutdown(
    raw: tuple[tuple[bytes, bytes], ...],
    leaving: bool,
    unreadable: tuple[str, ...],
) -> None:
    head = DIALECT.read_response_head(_call(), 200, raw)
    assert head.announces_shutdown is leaving
    assert head.invalid_headers == unreadable


@pytest.mark.parametrize(
    ("raw", "per_s", "unreadable"),
    [
        ((), None, ()),
        (((b"Server-Limit", b"5.5"),), 5.5, ()),
        (((b"server-limit", b" 12 "),), 12.0, ()),
        (((b"Server-Limit", b"0"),), 0.0, ()),
        (((b"Server-Limit", b"-1"),), None, ("Server-Limit",)),
        (((b"Server-Limit", b"inf"),), None, ("Server-Limit",)),
        (((b"Server-Limit", b"nan"),), None, ("Server-Limit",)),
        (((b"Server-Limit", b"few"),), None, ("Server-Limit",)),
    ],
)
def test_parses_a_rate_limit(
    raw: tuple[tuple[bytes, bytes], ...],
    per_s: float | None,
    unreadable: tuple[str, ...],
) -> None:
    head = DIALECT.read_response_head(_call(), 200, raw)
    assert head.limit_per_s == per_s
    assert head.invalid_headers == unreadable


@pytest.mark.parametrize(
    ("report", "started_ms"),
    [
        (b'{"stage":"x","born":1700000000000}', 1_700_000_000_000),
        (b'{"stage":"x"}', 0),
        (b'{"born":"1"}', 0),
        (b"[]", 0),
        (b"", 0),
        (b"[" * 100_000, 0),
    ],
)
def test_parses_the_start_of_a_server(report: bytes, started_ms: int) -> None:
    assert DIALECT.read_started_ms(report) == started_ms


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,1,8", models.ServerLoad(3, 1, 8)),
        (b" 0,0,64,100 ", models.ServerLoad(0, 0, 64, 1.0)),
        (b"3,1,8,237.5", models.ServerLoad(3, 1, 8, 2.375)),
    ],
)
def test_load_figures_are_parsed(
    value: bytes, load: models.ServerLoad | None
) -> None:
    head = DIALECT.read_response_head(
        _call(), 200, ((b"X-Server-Load", value),)
    )
    assert head.load == load
    assert head.invalid_headers == ()
    assert head.headers == ()


@pytest.mark.parametrize(
    "value",
    [
        b"3,1",
        b"3,,8",
        b"3,1,8,",
        b"a,b,c",
        b"3,1,-8",
        b"3,1,0",
        b"3,1,8,0",
        b"3,1,8,-5",
        b"3,1,8,nan",
        b"3,1,8,1e9",
        b"3,1,8,1000000000",
        b"1,2,3,4,5,6,7",
        b"9" * 400,
        "\u0663,1,8".encode(),
    ],
)
def test_invalid_load_figures_are_ignored_and_named(value: bytes) -> None:
    """An invalid figure must neither raise nor reach the speed model."""
    head = DIALECT.read_response_head(
        _call(), 200, ((b"X-Server-Load", value),)
    )
    assert head.load is None
    assert head.invalid_headers == ("X-Server-Load",)
    assert head.headers == ()
