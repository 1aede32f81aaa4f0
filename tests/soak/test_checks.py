"""What the soak counts as the begin of a shutdown."""

from soak import checks, programs


def test_second_signal_does_not_begin_a_shutdown_anew() -> None:
    """Seed 7609: it came 3 s after the first, and the listener was closed."""
    found = [
        programs.Disturbance("term", 10.0, 16.0),
        programs.Disturbance("store", 11.0, 12.0),
        programs.Disturbance("term", 13.0, 16.1),
        programs.Disturbance("term", 20.0),
        programs.Disturbance("term", 21.0),
    ]
    assert checks.find_shutdown_starts(found) == [found[0], found[3]]
