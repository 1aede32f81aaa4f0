"""Selection of the faults that the soak test injects."""

from soak import faults
from standins import platform_server

Fault = platform_server.Fault


def test_complete_answers_without_all_event_numbers_are_not_drawn() -> None:
    excluded = set(Fault) - set(faults.SERVER_FAULTS)
    assert excluded == {Fault.PLAIN, Fault.SHORT_RESTART, Fault.NO_NUMBERS}
