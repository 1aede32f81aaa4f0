"""Copies what the product needs at run time into one folder.

Usage: collect_runtime.py FOLDER. The versions are those of the environment
that runs this script, so those of requirements.lock.
"""

from importlib import metadata
import pathlib
import shutil
import sys

from packaging import requirements

PRODUCT = "tamarackbridge"
EXTRAS = ("otlp",)
NOT_IMPORTED = frozenset({"setuptools"})
"""Required by a library's metadata, but used by its build alone."""

LEFT_OUT = ("__pycache__", "..")
DEBUG_SUFFIXES = (".pyx", ".pxd", ".pxi", ".c", ".h", ".pyi")


def needed(product: str, extras: tuple[str, ...]) -> set[str]:
    """Returns the names of all distributions that the product imports."""
    found: set[str] = set()
    pending = _required(product, extras)
    while pending:
        name = pending.pop()
        if name not in found:
            found.add(name)
            pending |= _required(name, ())
    return found - NOT_IMPORTED


def _required(name: str, extras: tuple[str, ...]) -> set[str]:
    wanted: set[str] = set()
    for line in metadata.requires(name) or ():
        req = requirements.Requirement(line)
        chosen = [{"extra": extra} for extra in ("", *extras)]
        if req.marker and not any(req.marker.evaluate(env) for env in chosen):
            continue
        wanted.add(req.name)
    return wanted


def copy_distribution(name: str, folder: pathlib.Path) -> None:
    """Copies the files of one distribution, but for build leftovers."""
    for path in metadata.files(name) or ():
        if any(part in LEFT_OUT for part in path.parts):
            continue
        if path.suffix in DEBUG_SUFFIXES:
            continue
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(path.locate(), target)


def main() -> None:
    """Copies all distributions and the product itself."""
    folder = pathlib.Path(sys.argv[1])
    for name in sorted(needed(PRODUCT, EXTRAS)):
        copy_distribution(name, folder)
    shutil.copytree(
        PRODUCT,
        folder / PRODUCT,
        ignore=shutil.ignore_patterns("__pycache__"),
    )


if __name__ == "__main__":
    main()
