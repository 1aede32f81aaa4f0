"""Runs one measurement by name: `python -m bench NAME [ARGUMENTS]`."""

import importlib
import pathlib
import sys

HELPER_MODULES = {
    "__init__",
    "__main__",
    "answers_scene",
    "answers_servers",
    "fake_store",
    "faults",
    "harness",
    "path_load",
    "processes",
    "real_fleet",
    "real_load",
    "world",
    "zone_baseline",
    "zone_run",
}


def names() -> list[str]:
    """Returns the names of the measurements: modules that are not helpers."""
    folder = pathlib.Path(__file__).parent
    modules = {path.stem for path in folder.glob("*.py")} - HELPER_MODULES
    helper_prefixes = (
        "_",
        "fake_",
        "fairness_",
        "one_router_",
        "planned_stops_",
        "slopes_",
        "stream_ends_",
    )
    return sorted(
        name for name in modules if not name.startswith(helper_prefixes)
    )


def main() -> None:
    """Runs the measurement that the command line names."""
    if len(sys.argv) < 2 or sys.argv[1] not in names():
        print(f"usage: script/measure {{{'|'.join(names())}}} [--seed N]")
        sys.exit(2)
    module = importlib.import_module(f"bench.{sys.argv.pop(1)}")
    module.main(sys.argv[1:])


if __name__ == "__main__":
    main()
