"""Selection of the faults that the soak test injects."""

import aiohttp
import pytest

from soak import callers, checks, environment, faults
from standins import platform_server

Fault = platform_server.Fault


def test_complete_answers_without_all_event_numbers_are_not_drawn() -> None:
    excluded = set(Fault) - set(faults.SERVER_FAULTS)
    assert excluded == {Fault.PLAIN, Fault.SHORT_RESTART, Fault.NO_NUMBERS}


def _seen(target: str, last_event_id: str) -> platform_server.ReceivedRequest:
    headers = {"Last-Event-Id": last_event_id} if last_event_id else {}
    return platform_server.ReceivedRequest("POST", target, headers, b"")


def test_faults_of_streams_leave_the_drawn_ones_and_other_requests_alone() -> (
    None
):
    server = environment.Server("i-0", "z1", [], [])
    server.stream_fault, server.continued_fault = Fault.UNFRAMED, Fault.HANG
    server.faults = [Fault.FAIL, Fault.LOSE]
    requests = [
        _seen("/stream/resumed/1", "1"),
        _seen("/read/1", ""),
        _seen("/stream/resumed/1", "1"),
        _seen("/stream/stream/1", ""),
        _seen("/read/1", ""),
    ]
    assert [server.draw_fault(seen) for seen in requests] == [
        Fault.FAIL,
        Fault.LOSE,
        Fault.HANG,
        Fault.UNFRAMED,
        Fault.NONE,
    ]


@pytest.mark.parametrize("last_event_id", range(-1, 6))
@pytest.mark.parametrize(
    "fault", [each for each in faults.SERVER_FAULTS if each is not Fault.HANG]
)
async def test_whole_streams_have_all_event_numbers(
    fault: Fault, last_event_id: int
) -> None:
    """Also where a caller resumes a stream of which few events are left.

    With seed 14030 the soak test reported a stream that ended early: after
    event 3 the fault CUT_NO_NUMBERS sent the rest as a whole stream, without
    the numbers that the checks look for.
    """
    request = callers.ClientRequest("q1", "resumed", "key-0", "vm-0", 0.0)
    headers = {"X-Request-Id": "q1"}
    if last_event_id >= 0:
        headers["Last-Event-Id"] = str(last_event_id)
    async with (
        environment.Server("i-0", "z1", [], []) as server,
        aiohttp.ClientSession() as session,
    ):
        server.faults = [fault]
        url = f"http://{server.address}/stream/resumed/1"
        try:
            async with session.post(url, headers=headers) as resp:
                request.body = await resp.read()
        except aiohttp.ClientError:
            return
    is_stream = resp.headers.get("X-Response-Seal") == "i-0"
    if resp.status == 200 and is_stream:
        left = checks.COMPLETE_STREAM[last_event_id + 1 :]
        assert request.events[-len(left) :] == left or not left
