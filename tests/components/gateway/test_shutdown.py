import pytest

from tamarackbridge.components.gateway import jobs, models, shutdown
from tests.components.knowledge import builders


def _job(output: int) -> jobs.Job:
    call = models.Call(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 100, output, 0, (), ""
    )
    return jobs.Job(
        call, builders.route(), builders.model_service(), "w", 0.0, 12.0
    )


@pytest.mark.parametrize(
    ("at", "output", "takes"),
    [
        (0.0, 1_120, True),
        (2.9, 1_120, True),
        (3.1, 1_120, False),
        (3.1, 84, True),
        (6.0, 0, True),
        (6.9, 0, False),
    ],
)
def test_takes_what_can_be_finished(
    at: float, output: int, takes: bool
) -> None:
    times = shutdown.begin(100.0, 8.0)
    assert times.takes(_job(output), 100.0 + at) is takes


def test_ends_inside_the_grace_time() -> None:
    assert shutdown.begin(100.0, 8.0).end < 108.0
