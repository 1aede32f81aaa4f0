"""Which faults the soak draws."""

from soak import faults
from standins import platform_server

Fault = platform_server.Fault


def test_whole_answers_without_all_numbers_are_not_drawn() -> None:
    left_out = set(Fault) - set(faults.SERVER_FAULTS)
    assert left_out == {Fault.PLAIN, Fault.SHORT_RESTART, Fault.NO_NUMBERS}
