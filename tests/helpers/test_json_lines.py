"""Lines of the values in a JSON text."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies

from tamarackbridge.helpers import json_lines

VALUES: strategies.SearchStrategy[Any] = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


def _paths(value: Any, path: json_lines.Path = ()) -> list[json_lines.Path]:
    found = [path]
    members: Any = ()
    if isinstance(value, dict):
        members = value.items()
    elif isinstance(value, list):
        members = enumerate(value)
    for key, member in members:
        found += _paths(member, (*path, key))
    return found


@hypothesis.given(VALUES)
def test_each_value_has_a_line(value: Any) -> None:
    """Guards against a text in which the scan loses its place."""
    lines = json_lines.find(json.dumps(value, indent=1))
    assert set(lines) == set(_paths(value))
    assert list(lines.values()) == sorted(lines.values())


def test_lines_are_those_of_keys() -> None:
    text = '{\n "a":\n  [1,\n   {"b": "]}\\"\\n"}],\n\n "c": {}}'
    assert json_lines.find(text) == {
        (): 1,
        ("a",): 2,
        ("a", 0): 3,
        ("a", 1): 4,
        ("a", 1, "b"): 4,
        ("c",): 6,
    }
