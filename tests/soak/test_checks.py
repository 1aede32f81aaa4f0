"""Checks of the soak test for shutdowns of routers."""

from soak import checks, programs


def test_further_sigterm_does_not_start_the_shutdown_anew() -> None:
    """With seed 7609 the soak test reported requests without an answer.

    A second SIGTERM came 3 s after the first, when the listener was already
    closed, and was counted as the start of another shutdown.
    """
    disturbances = [
        programs.Disturbance("term", 10.0, 16.0),
        programs.Disturbance("store", 11.0, 12.0),
        programs.Disturbance("term", 13.0, 16.1),
        programs.Disturbance("term", 20.0),
        programs.Disturbance("term", 21.0),
    ]
    assert checks.find_shutdown_starts(disturbances) == [
        disturbances[0],
        disturbances[3],
    ]
