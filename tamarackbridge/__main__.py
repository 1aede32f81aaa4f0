"""Entry point of the program."""

import sys

from tamarackbridge.components.client import app


def main() -> None:
    """Runs one command and ends with its exit code."""
    sys.exit(app.run())


if __name__ == "__main__":
    main()
