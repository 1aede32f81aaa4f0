"""Short runs of the soak test, also with seeds that failed before.

Only promises that hold at any speed are checked, so that the result does not
depend on the load of the machine.
"""

import pathlib

import pytest

from soak import run

SECONDS = 4.0

SEEDS = (
    3,  # Has been run with each kind of fault for the time of this test.
    13002,  # Unmarked streams that were cut ended as if complete (issue 50).
)


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold(seed: int, tmp_path: pathlib.Path) -> None:
    result = await run.async_run(seed, SECONDS, tmp_path, routers=2)
    assert result.broken == ()
    assert result.served > 0
