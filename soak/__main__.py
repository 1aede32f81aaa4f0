"""Runs the soak test: `python -m soak --first 1 --count 50 --jobs 4`."""

import asyncio
import pathlib
import sys
import tempfile

import cyclopts

from soak import run, stream_counts

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
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or pathlib.Path(temporary)
        results = asyncio.run(
            _async_run_seeds(
                range(first, first + count), seconds, jobs, routers, folder
            )
        )
    broken = [result for result in results if result.broken]
    total = stream_counts.total(result.streams for result in results)
    print(f"all streams: {total}")
    print(f"{len(results)} seeds, {len(broken)} with a broken promise")
    return 1 if broken else 0


async def _async_run_seeds(
    seeds: range, seconds: float, jobs: int, routers: int, folder: pathlib.Path
) -> list[run.Result]:
    semaphore = asyncio.Semaphore(jobs)

    async def async_run_seed(seed: int) -> run.Result:
        async with semaphore:
            seed_folder = folder / str(seed)
            seed_folder.mkdir(parents=True, exist_ok=True)
            result = await run.async_run(seed, seconds, seed_folder, routers)
        _print_result(result)
        return result

    return await asyncio.gather(*(async_run_seed(seed) for seed in seeds))


def _print_result(result: run.Result) -> None:
    print(
        f"seed {result.seed}: {result.served} of {result.attempts} served,"
        f" {len(result.broken)} broken; streams: {result.streams}",
        flush=True,
    )
    for line in result.broken[:10]:
        print(f"  {line}", flush=True)
    for line in result.notes:
        print(f"  not counted: {line}", flush=True)


if __name__ == "__main__":
    sys.exit(app())
