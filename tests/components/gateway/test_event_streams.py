"""Event streams that are passed on as plain answers."""

import pytest

from standins import platform_server, server_faults
from tests.components.gateway import raw_caller, rig


@pytest.mark.parametrize("path", ["/stream/1", "/stream/r/1"])
async def test_unmarked_event_stream_of_another_status_is_not_complete(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its server cuts it within an event; to its caller it is a stream."""
    head = platform_server.PlatformServer._stream_head

    def _partial_head(
        server: platform_server.PlatformServer,
        request_id: str,
        status: int,
        **kwargs: bool,
    ) -> str:
        del status
        return head(server, request_id, 206, **kwargs)

    monkeypatch.setattr(
        platform_server.PlatformServer, "_stream_head", _partial_head
    )
    async with rig.async_environment() as env:
        env.set_faults(server_faults.EarlyEnd.UNFRAMED_CUT_EVENT)
        answer = await raw_caller.async_send(env, path)
    assert answer.end is not raw_caller.End.CLOSED
