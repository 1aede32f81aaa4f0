"""Snapshots of one request of each kind, at the server and at the caller."""

import re

import syrupy.assertion

from standins import platform_server
from tests.components.gateway import rig

Fault = platform_server.Fault

SESSIONS: dict[str, tuple[str, dict[str, str], tuple[Fault, ...]]] = {
    "idempotent": ("/read/1?a=b", {}, ()),
    "idempotent, tried again": ("/read/1", {}, (Fault.LOSE,)),
    "non-idempotent": ("/pay/1", {"X-Tenant": "forged"}, ()),
    "non-idempotent, lost": ("/pay/1", {}, (Fault.LOSE,)),
    "stream": (
        "/stream/1",
        {"X-Token-Usage": "40,9", "X-Prompt-Prefix": "a1:30,b2:10"},
        (),
    ),
    "stream, cut": ("/stream/1", {}, (Fault.CUT_EVENT,)),
    "stream, gone on elsewhere": ("/stream/r/1", {}, (Fault.CUT_EVENT,)),
    "no route": ("/none/1", {}, ()),
    "unknown key": ("/read/1", {"X-Api-Key": "none"}, ()),
}

OMITTED = {
    "Content-Length",
    "Date",
    "Host",
    "Server",
    "User-Agent",
    "X-Target-Instance",
}
"""Headers that differ between runs or belong to the connection; left out."""

MASKED = {"X-Deadline-Ms", "X-Response-Seal"}
"""Headers whose digits differ between runs, replaced by 9: the remaining time
and the number of the server."""


def _header_lines(headers: dict[str, str]) -> list[str]:
    lines = []
    for name, value in sorted(headers.items()):
        if name in OMITTED:
            continue
        if name in MASKED:
            value = re.sub(r"\d", "9", value)
        lines.append(f"  {name}: {value}")
    return lines


async def test_sessions(snapshot: syrupy.assertion.SnapshotAssertion) -> None:
    transcript: list[str] = []
    async with rig.async_environment() as env:
        for number, (title, session) in enumerate(SESSIONS.items()):
            path, extra_headers, faults = session
            env.set_faults(*faults)
            transcript.append(f"# {title}")
            transcript += await _async_run_session(
                env, path, extra_headers, f"q{number}"
            )
    assert "\n".join(transcript) == snapshot


async def _async_run_session(
    env: rig.Environment, path: str, extra_headers: dict[str, str], name: str
) -> list[str]:
    for server in env.servers:
        server.seen.clear()
    try:
        got = await env.async_send(
            path, request_id=name, extra_headers=extra_headers
        )
    except rig.STREAM_CUT as exc:
        answer = [f"caller: {type(exc).__name__}"]
    else:
        answer = [f"caller: {got.status}", *_header_lines(dict(got.headers))]
        answer.append(f"  {got.body!r}")
    requests = [request for server in env.servers for request in server.seen]
    # The resuming attempt names the last event, so it sorts after the first.
    requests.sort(key=lambda request: "Last-Event-Id" in request.headers)
    lines = []
    for received in requests:
        lines.append(
            f"server: {received.method} {received.target} {received.body!r}"
        )
        lines += _header_lines(received.headers)
    return lines + answer
