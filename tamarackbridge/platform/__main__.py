"""Entry point of a router process on the users' platform."""

import importlib
import sys

from tamarackbridge.helpers import start_signals


def main() -> int:
    """Runs the router and returns the exit code."""
    start_signals.exit_successfully_on_sigterm()
    start_signals.ignore_sighup()
    start = importlib.import_module("tamarackbridge.platform.start")
    code: int = start.run()
    return code


if __name__ == "__main__":
    sys.exit(main())
