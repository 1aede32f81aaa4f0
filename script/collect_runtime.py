"""Copies the product and its runtime dependencies into one folder.

Usage: collect_runtime.py FOLDER. The dependencies come from the environment
that runs the script, so their versions are those of requirements.lock.
"""

from importlib import metadata
import pathlib
import shutil
import sys

from packaging import requirements

PRODUCT = "tamarackbridge"
EXTRAS = ("otlp",)
BUILD_ONLY = frozenset({"setuptools"})
"""Listed as a requirement by a library that needs it only to be built."""

SKIPPED_PATH_PARTS = ("__pycache__", "..")
NON_RUNTIME_SUFFIXES = (".pyx", ".pxd", ".pxi", ".c", ".h", ".pyi")


def find_runtime_distributions(
    product: str, extras: tuple[str, ...]
) -> set[str]:
    """Returns the names of all distributions needed at run time.

    These are the requirements of the product with the given extras, and
    their own requirements in turn.
    """
    distributions: set[str] = set()
    pending = _direct_requirements(product, extras)
    while pending:
        name = pending.pop()
        if name not in distributions:
            distributions.add(name)
            pending |= _direct_requirements(name, ())
    return distributions - BUILD_ONLY


def _direct_requirements(name: str, extras: tuple[str, ...]) -> set[str]:
    names: set[str] = set()
    for line in metadata.requires(name) or ():
        req = requirements.Requirement(line)
        environments = [{"extra": extra} for extra in ("", *extras)]
        if req.marker and not any(
            req.marker.evaluate(env) for env in environments
        ):
            continue
        names.add(req.name)
    return names


def copy_distribution(name: str, folder: pathlib.Path) -> None:
    """Copies the files of one distribution that are needed at run time.

    Skips byte code, files outside of the folder of packages, and sources and
    stubs of compiled modules.
    """
    for path in metadata.files(name) or ():
        if any(part in SKIPPED_PATH_PARTS for part in path.parts):
            continue
        if path.suffix in NON_RUNTIME_SUFFIXES:
            continue
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(path.locate(), target)


def main() -> None:
    """Copies all runtime dependencies and the product itself."""
    folder = pathlib.Path(sys.argv[1])
    for name in sorted(find_runtime_distributions(PRODUCT, EXTRAS)):
        copy_distribution(name, folder)
    shutil.copytree(
        PRODUCT,
        folder / PRODUCT,
        ignore=shutil.ignore_patterns("__pycache__"),
    )


if __name__ == "__main__":
    main()
