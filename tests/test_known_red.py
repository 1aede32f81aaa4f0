"""The list of tests that are known to fail."""

from tests import conftest


def test_entries_begin_with_the_identifier_of_a_test() -> None:
    lines = [
        "Red:",
        "- tests/a/test_b.py::test_c[1.0-x]",
        "  | what was seen in tests/a/test_b.py | issue 1",
        "- none fails in CI | a finding",
        "~ tests/a/test_b.py::test_d",
    ]
    unsteady = conftest.known_red(lines, conftest._UNSTEADY_ENTRY)
    assert list(unsteady) == ["tests/a/test_b.py::test_d"]
    assert list(conftest.known_red(lines)) == [
        "tests/a/test_b.py::test_c[1.0-x]"
    ]


def test_listed_tests_exist() -> None:
    lines = conftest.KNOWN_RED.read_text().splitlines()
    listed = {
        *conftest.known_red(lines),
        *conftest.known_red(lines, conftest._UNSTEADY_ENTRY),
    }
    for identifier in listed:
        path, _, name = identifier.partition("::")
        text = (conftest.KNOWN_RED.parent / path).read_text()
        assert f"def {name.partition('[')[0]}(" in text
