"""Entry point of the command line program."""

import importlib
import sys

from tamarackbridge.helpers import start_signals


def main() -> None:
    """Runs one command and exits with its exit code."""
    command = sys.argv[1:2]
    if command in (["router"], ["platform-router"]):
        start_signals.exit_successfully_on_sigterm()
    if command == ["platform-router"]:
        start_signals.ignore_sighup()
    app = importlib.import_module("tamarackbridge.components.client.app")
    sys.exit(app.run())


if __name__ == "__main__":
    main()
