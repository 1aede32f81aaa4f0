"""Runs the soak test: `python -m soak --first 1 --count 50 --jobs 4`."""

import asyncio
import pathlib
import sys
import tempfile

import cyclopts

from soak import run

app = cyclopts.App(
    name="soak", help="Injects faults into real router processes."
)


@app.default
def main(
    first: int = 1,
    count: int = 1,
    seconds: float = 20.0,
    jobs: int = 1,
    routers: int = run.ROUTERS,
    keep: pathlib.Path | None = None,
) -> int:
    """Runs the soak test for a range of seeds and prints broken promises.

    Args:
        first: First seed.
        count: Number of seeds, counted up from the first.
        seconds: Time in each run during which new faults begin.
        jobs: Number of seeds that run at the same time.
        routers: Number of router processes in each run.
        keep: Folder for the logs and settings of the routers; without it
            they are deleted after the run.
    """
    with tempfile.TemporaryDirectory() as dropped:
        folder = keep or pathlib.Path(dropped)
        results = asyncio.run(
            _async_all(
                range(first, first + count), seconds, jobs, routers, folder
            )
        )
    broken = [it for it in results if it.broken]
    print(f"{len(results)} seeds, {len(broken)} with a broken promise")
    return 1 if broken else 0


async def _async_all(
    seeds: range, seconds: float, jobs: int, routers: int, folder: pathlib.Path
) -> list[run.Result]:
    slots = asyncio.Semaphore(jobs)

    async def async_one(seed: int) -> run.Result:
        async with slots:
            place = folder / str(seed)
            place.mkdir(parents=True, exist_ok=True)
            found = await run.async_run(seed, seconds, place, routers)
        _print(found)
        return found

    return await asyncio.gather(*(async_one(seed) for seed in seeds))


def _print(found: run.Result) -> None:
    print(
        f"seed {found.seed}: {found.served} of {found.attempts} served,"
        f" {len(found.broken)} broken",
        flush=True,
    )
    for line in found.broken[:10]:
        print(f"  {line}", flush=True)
    for line in found.notes:
        print(f"  not counted: {line}", flush=True)


if __name__ == "__main__":
    sys.exit(app())
