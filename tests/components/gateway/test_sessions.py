"""One request of each kind, as the server and the caller see it."""

import re

import syrupy.assertion

from standins import platform_server
from tests.components.gateway import place

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

CHANGING = {
    "Content-Length",
    "Date",
    "Host",
    "Server",
    "User-Agent",
    "X-Target-Instance",
}
"""Headers that differ between runs or belong to the connection."""

VARYING = {"X-Deadline-Ms", "X-Response-Seal"}
"""Headers whose figures differ: the time left, and which server it was."""


def _heads(headers: dict[str, str]) -> list[str]:
    lines = []
    for name, value in sorted(headers.items()):
        if name in CHANGING:
            continue
        if name in VARYING:
            value = re.sub(r"\d", "9", value)
        lines.append(f"  {name}: {value}")
    return lines


async def test_sessions(snapshot: syrupy.assertion.SnapshotAssertion) -> None:
    told: list[str] = []
    async with place.async_place() as here:
        for number, (title, played) in enumerate(SESSIONS.items()):
            path, more, faults = played
            here.set_fault(*faults)
            told.append(f"# {title}")
            told += await _async_session(here, path, more, f"q{number}")
    assert "\n".join(told) == snapshot


async def _async_session(
    here: place.Place, path: str, more: dict[str, str], name: str
) -> list[str]:
    for server in here.servers:
        server.seen.clear()
    try:
        got = await here.async_send(path, request_id=name, more=more)
    except place.CUT as exc:
        answer = [f"caller: {type(exc).__name__}"]
    else:
        answer = [f"caller: {got.status}", *_heads(dict(got.headers))]
        answer.append(f"  {got.body!r}")
    seen = [it for server in here.servers for it in server.seen]
    # A resumed one names the event that it goes on after.
    seen.sort(key=lambda it: "Last-Event-Id" in it.headers)
    lines = []
    for it in seen:
        lines.append(f"server: {it.method} {it.target} {it.body!r}")
        lines += _heads(it.headers)
    return lines + answer
