"""Tests of how the client turns answers of routers into exit codes.

Scripts act on the exit code, so it must not report that nothing changed when a
change may have been written.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from aiohttp import web
import pytest
import result

from tamarackbridge.components.client import const, http, show
from tamarackbridge.components.operator import messages

REPLY = b'{"dry_run":false,"generation":4,"changes":[]}'
UNREACHABLE = "http://127.0.0.1:1"
CALL = http.Call("POST", "/v1/records")


@contextlib.asynccontextmanager
async def run_server(status: int, body: bytes) -> AsyncIterator[str]:
    """Runs a server with one fixed answer; status 0 closes the connection."""

    async def async_answer(req: web.Request) -> web.Response:
        if not status and req.transport is not None:
            req.transport.close()
        return web.Response(status=status or 500, body=body)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", async_answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


PROBLEM = b'{"reason":"r","detail":"why"}'
# Answers (status, body) of the routers in the order of the calls, and the exit
# code. Status 0: the connection is closed. `None`: the router is unreachable.
EXIT_CODES = [
    ([(200, REPLY)], const.Exit.OK),
    ([(200, b"")], const.Exit.REFUSED),
    ([(200, b"\xff{]")], const.Exit.REFUSED),
    ([(200, b'{"generation":"four"}')], const.Exit.REFUSED),
    ([(200, b"[" * 100_000)], const.Exit.REFUSED),
    ([(400, PROBLEM)], const.Exit.REFUSED),
    ([(401, PROBLEM)], const.Exit.UNAUTHORIZED),
    ([(404, b"<html>")], const.Exit.REFUSED),
    ([(409, PROBLEM)], const.Exit.CONFLICT),
    ([(503, PROBLEM)], const.Exit.UNAVAILABLE),
    ([(504, PROBLEM)], const.Exit.UNKNOWN),
    ([(0, b"")], const.Exit.UNKNOWN),
    ([None], const.Exit.UNAVAILABLE),
    ([None, (200, REPLY)], const.Exit.OK),
    ([(0, b""), (200, REPLY)], const.Exit.OK),
    ([(0, b""), None], const.Exit.UNKNOWN),
    ([None, (0, b"")], const.Exit.UNKNOWN),
    ([(409, PROBLEM), (200, REPLY)], const.Exit.CONFLICT),
    ([], const.Exit.USAGE),
]


@pytest.mark.parametrize(("routers", "code"), EXIT_CODES)
async def test_exit_code_follows_from_answers_of_routers(
    routers: list[tuple[int, bytes] | None], code: const.Exit
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        urls = []
        for answer in routers:
            if answer is None:
                urls.append(UNREACHABLE)
                continue
            server = run_server(*answer)
            urls.append(await stack.enter_async_context(server))
        client = http.Client(http.Access(tuple(urls)))
        found = await asyncio.to_thread(client.call, CALL, messages.ChangeReply)
    if isinstance(found, result.Ok):
        assert code is const.Exit.OK
        assert found.ok_value.generation == 4
        return
    assert found.err_value.exit_code is code
    assert "\n" not in found.err_value.detail


def test_error_line_contains_no_control_codes(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert show.fail(const.Exit.REFUSED, "a\x1b[2J\nb") == const.Exit.REFUSED
    assert capsys.readouterr().err == "a?[2J b\n"


def test_path_parts_are_percent_encoded() -> None:
    assert http.path("/v1/zones", "a/../b?c", "drain") == (
        "/v1/zones/a%2F..%2Fb%3Fc/drain"
    )
