"""Log lines of attempts that an error ended."""

import logging as std_logging

from aiohttp import web
import pytest

from standins import backend, plain_service
from tamarackbridge.components.entry import const, telemetry
from tamarackbridge.components.records import models
from tests.components.entry import rig as rig_lib

LOOKUP = models.Route("lookup", "GET", "/x", True, 5.0, True)


class _Answering(backend.Backend):
    """Gives each request the same answer."""

    def __init__(self, body: bytes, content_type: str = "text/plain") -> None:
        super().__init__(backend.BackendFaults())
        self._body = body
        self._content_type = content_type

    def add_routes(self, router: web.UrlDispatcher) -> None:
        super().add_routes(router)
        router.add_route("*", "/{path:.*}", self._async_serve)

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        await req.read()
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        return web.Response(
            body=self._body,
            content_type=self._content_type,
            headers={backend.ATTR_REQUEST_ID: request_id},
        )


async def _async_lines(
    server: backend.Backend,
    caplog: pytest.LogCaptureFixture,
    is_down: bool = False,
) -> list[str]:
    """Returns what is logged of a request that a second server answers."""
    servers = [server, plain_service.PlainService()]
    with caplog.at_level(std_logging.WARNING, "absl"):
        async with rig_lib.Rig(servers, LOOKUP) as rig:
            if is_down:
                await server.async_stop()
            reply = await rig.async_request()
    assert reply.status == 200
    return [record.getMessage() for record in caplog.records]


async def test_answer_without_room_in_memory_is_logged(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Callers learn only that an answer broke off, operators not even that."""
    monkeypatch.setattr(const, "MAX_ALL_BUFFERED_BYTES", 50_000)
    lines = await _async_lines(_Answering(b"y" * 100_000), caplog)
    assert len(lines) == 1
    assert "on server 0 ended, truncated: no room in memory" in lines[0]


async def test_server_that_is_not_reached_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    lines = await _async_lines(_Answering(b"y"), caplog, is_down=True)
    assert len(lines) == 1
    assert "on server 0 ended, not_sent: Cannot connect" in lines[0]


@pytest.mark.parametrize(
    ("body", "detail"),
    [
        (b"", "stream ended without its end marker"),
        (b"data: {\n\n", "stream has an event that can't be passed on"),
    ],
)
async def test_unusable_stream_is_logged(
    body: bytes, detail: str, caplog: pytest.LogCaptureFixture
) -> None:
    lines = await _async_lines(_Answering(body, "text/event-stream"), caplog)
    assert len(lines) == 1
    assert lines[0].endswith(detail)


async def test_whole_answer_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    assert await _async_lines(_Answering(b"y"), caplog) == []


async def test_logged_error_is_short(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(std_logging.WARNING, "absl"):
        telemetry.null().log_failure("q", "0", "truncated", "y" * 10_000)
    assert len(caplog.records[0].getMessage()) < 400
