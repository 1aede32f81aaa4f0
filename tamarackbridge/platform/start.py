"""Start of a router process on the users' platform."""

import gc
import importlib
import os
import pathlib
import sys
from typing import Any

from tamarackbridge.components.telemetry import spans
from tamarackbridge.platform import exceptions

USAGE_EXIT_CODE = 2


def run(
    file: pathlib.Path | None = None, tracer: spans.Tracer | None = None
) -> int:
    """Loads the settings, runs the router and returns its exit code.

    The entry point has installed signal handlers for the time of the start;
    the router replaces them once it serves.
    """
    platform_router = _import_router()
    settings = importlib.import_module("tamarackbridge.platform.settings")
    try:
        cfg = settings.load(file or settings.path())
    except exceptions.SettingsError as exc:
        print(exc, file=sys.stderr)
        return USAGE_EXIT_CODE
    code: int = platform_router.run(cfg, tracer or spans.NullTracer())
    return code


def _import_router() -> Any:
    """Imports the router without work that would only slow down the start.

    aiohttp loads the machine's certificate authorities when it is imported,
    although no connection of a router uses them. Garbage collection is off
    because imports leave no garbage, and what they made is left out of later
    collections, which take a tenth of the time without it. Load pattern: all
    routers of a zone start at once.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()
    try:
        return importlib.import_module("tamarackbridge.platform_router")
    finally:
        gc.freeze()
        gc.enable()
