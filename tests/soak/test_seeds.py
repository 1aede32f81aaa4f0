"""A short run of the soak, and the seeds that ever failed.

Only promises that hold at any speed are checked, so that the verdict does not
depend on how busy the machine is.
"""

import pathlib

import pytest

from soak import run

SECONDS = 4.0

SEEDS = (
    3,  # Ran once with each kind of fault within the time of this test.
)


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold(seed: int, tmp_path: pathlib.Path) -> None:
    found = await run.async_run(seed, SECONDS, tmp_path, routers=2)
    assert found.broken == ()
    assert found.served > 0
