"""Growth of state, traffic and processor time with the size of a fleet.

Measures the product's deciders at four or more sizes of each kind and fits a
line to every metric. `docs/CAPACITY.md` is calculated from the slopes.
"""

import argparse
from collections.abc import Callable, Sequence
import dataclasses
import json
import pathlib
from typing import Any

from bench import (
    slopes_claims,
    slopes_dispatch,
    slopes_fit,
    slopes_fleet,
    slopes_transport,
)

OUT = pathlib.Path("build/measure/slopes.json")


@dataclasses.dataclass(frozen=True, slots=True)
class Axis:
    """A size that is varied, and the values that it takes."""

    measure: Callable[[int], dict[str, float]]
    sizes: tuple[int, ...]


AXES: dict[str, Axis] = {
    "members": Axis(slopes_fleet.members, (16, 32, 64, 128, 192)),
    "records": Axis(slopes_fleet.records, (250, 500, 1000, 2000, 4000)),
    "workspaces": Axis(slopes_dispatch.workspaces, (16, 64, 256, 1024, 2048)),
    "backlog": Axis(slopes_dispatch.backlog, (100, 400, 1600, 6400)),
    "servers": Axis(slopes_dispatch.servers, (8, 16, 32, 64, 128)),
    "permits": Axis(slopes_dispatch.permits, (96, 192, 384, 768, 1536)),
    "open_requests": Axis(slopes_dispatch.open_requests, (50, 100, 200, 400)),
    "known_servers": Axis(slopes_dispatch.known_servers, (62, 124, 310, 620)),
    "claims": Axis(slopes_claims.claims, (1000, 2000, 4000, 8000)),
    "batch": Axis(slopes_transport.batch, (1, 8, 32, 128)),
    "links": Axis(slopes_transport.links, (1, 4, 8, 16)),
}


def measure(axis: Axis) -> dict[str, Any]:
    """Measures all sizes of one axis and fits a line to each metric."""
    rows = [axis.measure(size) for size in axis.sizes]
    metrics = {}
    for name in rows[0]:
        values = [row[name] for row in rows]
        line = slopes_fit.fit(axis.sizes, values)
        metrics[name] = {"values": values, **dataclasses.asdict(line)}
    return {"sizes": list(axis.sizes), "metrics": metrics}


def print_report(name: str, found: dict[str, Any]) -> None:
    """Prints one axis as a table."""
    print(f"\n{name}: {', '.join(map(str, found['sizes']))}", flush=True)
    for metric, line in found["metrics"].items():
        values = " ".join(f"{value:,.6g}" for value in line["values"])
        print(
            f"  {metric:28} base {line['base']:>12,.6g}"
            f"  slope {line['slope']:>10,.5g} +- {line['slope_error']:,.2g}"
            f"  r2 {line['r2']:.3f}  [{values}]"
        )


def main(argv: Sequence[str]) -> None:
    """Runs the measurement; axes that are not run keep their old figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", choices=AXES)
    found = json.loads(OUT.read_text()) if OUT.exists() else {}
    for name in parser.parse_args(argv).only or AXES:
        found[name] = measure(AXES[name])
        print_report(name, found[name])
    found["message_bytes"] = slopes_dispatch.message_sizes()
    OUT.parent.mkdir(parents=True, exist_ok=True)
    OUT.write_text(json.dumps(found, indent=2))
