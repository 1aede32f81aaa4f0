import hypothesis
from hypothesis import strategies
import pytest

from tamarackbridge.components.gateway import relay


def event(number: int) -> bytes:
    return f"id: {number}\ndata: x\n\n".encode()


def test_half_events_wait_for_their_rest() -> None:
    events = relay.EventRelay("")
    assert events.feed(b"id: 0\nda") == b""
    assert events.has_partial_event
    assert events.feed(b"ta: x\n\nid: 1") == event(0)
    assert events.resume_after == "0"


def test_half_event_of_a_lost_server_is_dropped() -> None:
    events = relay.EventRelay("")
    events.feed(event(0) + b"id: 1\nda")
    events.switch_server()
    assert events.feed(event(1)) == event(1)


def test_event_that_was_passed_on_is_not_passed_on_again() -> None:
    events = relay.EventRelay("")
    events.feed(event(0) + event(1))
    events.switch_server()
    assert events.feed(event(0) + event(1) + event(2)) == event(2)


def test_caller_that_resumes_gets_only_what_it_lacks() -> None:
    events = relay.EventRelay("4")
    assert events.feed(event(3) + event(4) + event(5)) == event(5)


def test_event_without_a_number_is_passed_on() -> None:
    events = relay.EventRelay("")
    note = b": a comment\n\n"
    assert events.feed(note + event(0)) == note + event(0)


def test_end_before_the_last_event_is_not_the_end() -> None:
    events = relay.EventRelay("")
    events.feed(event(0) + event(1))
    events.switch_server()
    assert events.may_end
    events.feed(event(0))
    assert not events.may_end
    events.feed(event(1))
    assert events.may_end


def test_end_is_the_servers_word_where_only_the_caller_names_an_event() -> None:
    events = relay.EventRelay("9")
    events.switch_server()
    events.feed(event(0))
    assert events.may_end


def test_event_without_a_number_is_passed_on_in_its_place_only() -> None:
    note = b"data: x\n\n"
    events = relay.EventRelay("")
    assert events.feed(event(0) + note) == event(0) + note
    assert not events.resumable
    assert events.feed(event(1)) == event(1)
    assert events.resumable
    events.switch_server()
    assert events.feed(event(2) + note) == event(2) + note
    events.feed(event(3))
    events.switch_server()
    assert events.feed(note) == b""
    assert events.error


def test_event_that_never_ends_breaks_the_stream() -> None:
    events = relay.EventRelay("")
    events.feed(b"data: " + b"x" * (relay.MAX_EVENT_BYTES + 1))
    assert events.error


@pytest.mark.parametrize("other", [b": a comment\n\n", event(0)])
def test_whole_events_that_are_no_new_ones_break_the_stream(
    other: bytes,
) -> None:
    events = relay.EventRelay("")
    events.feed(event(0))
    allowed = relay.MAX_EVENT_BYTES // len(other)
    events.feed(other * allowed)
    assert not events.error
    # A new event ends the count.
    assert events.feed(event(1)) == event(1)
    events.feed(other * allowed)
    assert not events.error
    assert events.feed(other + event(2)) == b""
    assert events.error
    events.switch_server()
    assert events.feed(event(2)) == event(2)


@pytest.mark.parametrize("digits", [19, 5000])
def test_number_that_is_none_breaks_the_stream(digits: int) -> None:
    events = relay.EventRelay("")
    number = b"9" * digits
    assert events.feed(event(0) + b"id: " + number + b"\n\n") == event(0)
    assert events.error
    assert events.resume_after == "0"


@pytest.mark.parametrize("text", ["9" * 5000, "\u00b2", "-1", "x"])
def test_caller_that_names_no_event_begins_anew(text: str) -> None:
    events = relay.EventRelay(text)
    assert events.feed(event(0)) == event(0)


@hypothesis.given(strategies.lists(strategies.integers(1, 9), max_size=30))
def test_any_split_gives_the_same_events(sizes: list[int]) -> None:
    whole = b"".join(event(number) for number in range(12))
    events = relay.EventRelay("")
    passed = []
    begin = 0
    for size in [*sizes, len(whole)]:
        passed.append(events.feed(whole[begin : begin + size]))
        begin += size
    assert b"".join(passed) == whole
