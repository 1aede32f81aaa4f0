"""Runs a router on the users' platform."""

import pathlib
import sys

from tamarackbridge import platform_router
from tamarackbridge.components.telemetry import spans
from tamarackbridge.platform import exceptions, settings

USAGE_EXIT_CODE = 2


def main(
    file: pathlib.Path | None = None, tracer: spans.Tracer | None = None
) -> int:
    """Reads the platform's settings and runs the router."""
    try:
        cfg = settings.load(file or settings.path())
    except exceptions.SettingsError as exc:
        print(exc, file=sys.stderr)
        return USAGE_EXIT_CODE
    return platform_router.run(cfg, tracer or spans.NullTracer())


if __name__ == "__main__":
    sys.exit(main())
