"""Effect of the loss and return of an availability zone, against a baseline.

Writes build/measure/zone.json.
"""

import argparse
from collections.abc import Sequence
import json
import pathlib

from bench import zone_baseline, zone_run


def main(argv: Sequence[str]) -> None:
    """Measures announced and unannounced loss, with product and baseline."""
    parser = argparse.ArgumentParser(prog="script/measure zone")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    report = {
        "seed": args.seed,
        "announced": zone_run.run_one(args.seed, announced=True),
        "unannounced": zone_run.run_one(args.seed, announced=False),
        "baseline_announced": zone_baseline.run_one(args.seed, announced=True),
        "baseline_unannounced": zone_baseline.run_one(
            args.seed, announced=False
        ),
    }
    path = pathlib.Path("build/measure/zone.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=2) + "\n")
    for name, figures in report.items():
        print(name, json.dumps(figures))
