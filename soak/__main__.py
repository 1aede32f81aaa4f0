"""Runs the soak: `python -m soak --first 1 --count 50 --jobs 4`."""

import asyncio
import pathlib
import sys
import tempfile

import cyclopts

from soak import run

app = cyclopts.App(name="soak", help="Plays faults on real routers.")


@app.default
def main(
    first: int = 1,
    count: int = 1,
    seconds: float = 20.0,
    jobs: int = 1,
    routers: int = run.ROUTERS,
    keep: pathlib.Path | None = None,
) -> int:
    """Plays seeds and prints what broke.

    Args:
        first: The first seed.
        count: How many seeds are played.
        seconds: How long faults are begun in each run.
        jobs: Runs at once.
        routers: Router processes in each run.
        keep: Folder for the routers' logs; left out, they are dropped.
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
