"""Selection of the faults that the soak test injects."""

from soak import environment, faults
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
