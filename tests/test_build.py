"""The executable contains the packages that the product imports."""

import ast
from importlib import metadata
import importlib.util
import pathlib
import sys
import types

import pytest

ROOT = pathlib.Path(__file__).parent.parent


@pytest.fixture(scope="module")
def collect() -> types.ModuleType:
    path = ROOT / "script" / "collect_runtime.py"
    spec = importlib.util.spec_from_file_location("collect_runtime", path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def imported() -> set[str]:
    """Returns the top-level packages that the product's source imports."""
    packages = set()
    for path in (ROOT / "tamarackbridge").rglob("*.py"):
        for item in ast.walk(ast.parse(path.read_text())):
            if isinstance(item, ast.Import):
                packages |= {name.name.partition(".")[0] for name in item.names}
            elif isinstance(item, ast.ImportFrom) and item.module:
                packages.add(item.module.partition(".")[0])
    return packages - set(sys.stdlib_module_names) - {"tamarackbridge"}


def test_every_import_is_shipped_and_no_tool_is(
    collect: types.ModuleType,
) -> None:
    shipped = {
        name.lower().replace("_", "-")
        for name in collect.find_runtime_distributions(
            collect.PRODUCT, collect.EXTRAS
        )
    }
    owners = metadata.packages_distributions()
    for package in imported():
        names = {name.lower().replace("_", "-") for name in owners[package]}
        assert names & shipped, package
    assert not shipped & {"pytest", "mypy", "ruff", "shiv", "numpy"}
