"""What callers get from a router around its SIGTERM.

Plays stops of real router processes, each with servers of its own. Callers keep
their connections: a stream that began before the signal is followed by another
request as soon as it ends. Other callers open a connection for each request. A
request that was forwarded and gets no complete response counts as lost, unless
its server's work excuses it (`planned_stops_scene.is_lost`).
"""

import argparse
import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import json
import pathlib
import tempfile

from bench import planned_stops_scene

OUTPUT = pathlib.Path("build/measure/planned_stops.json")


async def _async_play_all(
    first: int, count: int, jobs: int, callers: int, folder: pathlib.Path
) -> list[tuple[list[planned_stops_scene.Sent], float]]:
    limit = asyncio.Semaphore(jobs)

    async def async_play(
        seed: int,
    ) -> tuple[list[planned_stops_scene.Sent], float]:
        async with limit:
            return await planned_stops_scene.Stop(seed, callers).async_play(
                folder
            )

    return await asyncio.gather(
        *(async_play(seed) for seed in range(first, first + count))
    )


def _print(stops: list[tuple[list[planned_stops_scene.Sent], float]]) -> None:
    kinds: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for sent in (each for stop, _ in stops for each in stop):
        time_s = "before" if sent.sent_s <= 0 else "within 3 s"
        if sent.sent_s > planned_stops_scene.EXCUSED_SEND_S:
            time_s = "later"
        row = kinds[f"{sent.kind} | {time_s}"]
        row["sent"] += 1
        row[sent.ending.value] += 1
        row["lost"] += planned_stops_scene.is_lost(sent)
    names = [
        "sent",
        *(each.value for each in planned_stops_scene.Ending),
        "lost",
    ]
    print(f"{'kind | sent after the signal':36}", *(f"{n:>10}" for n in names))
    for kind, row in sorted(kinds.items()):
        print(f"{kind:36}", *(f"{row[name]:10}" for name in names))
    total = sum(row["lost"] for row in kinds.values())
    sent_count = sum(row["sent"] for row in kinds.values())
    slowest_s = max(took_s for _, took_s in stops)
    print(
        f"{total} of {sent_count} lost in {len(stops)} stops;"
        f" the slowest stop took {slowest_s:.2f} s"
    )


def main(argv: Sequence[str]) -> None:
    """Plays stops, prints what callers got, and writes it to a file."""
    parser = argparse.ArgumentParser(prog="planned_stops")
    parser.add_argument("--seed", type=int, default=1, help="of the first stop")
    parser.add_argument("--count", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--callers", type=int, default=24)
    args = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as folder:
        stops = asyncio.run(
            _async_play_all(
                args.seed,
                args.count,
                args.jobs,
                args.callers,
                pathlib.Path(folder),
            )
        )
    _print(stops)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    rows = [
        {**dataclasses.asdict(each), "ending": each.ending.value}
        for stop, _ in stops
        for each in stop
    ]
    OUTPUT.write_text(json.dumps(rows, indent=1), encoding="utf-8")
