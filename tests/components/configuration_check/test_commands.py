"""Golden outputs of the check of a configuration, with exit codes.

They guard against findings that name a wrong line or key, against changes that
have no meaning, and against API keys in the output.
"""

import pathlib

import pytest
import syrupy.assertion

from tamarackbridge.components.client import app

FILES = pathlib.Path(__file__).parent / "files"
ALL = "--in-force in_force.json --servers servers.json --settings router.conf"
COMMANDS = {
    "in force alone": ("in_force.json", 0),
    "same meaning": ("same.json --in-force in_force.json", 0),
    "faulty alone": ("faulty.json", 1),
    "faulty with everything": (f"faulty.json {ALL}", 1),
    "faulty as JSON": (f"faulty.json {ALL} --output json", 1),
    "unreadable": (f"unreadable.json {ALL}", 2),
    "unreadable as JSON": ("unreadable.json --output json", 2),
    "no JSON": ("broken.json", 2),
    "no such file": ("none.json", 2),
    "unreadable in force": ("same.json --in-force unreadable.json", 2),
    "no registrations": ("same.json --servers in_force.json", 2),
    "no settings": ("same.json --settings none.conf", 2),
    "nothing": ("", 2),
}


@pytest.mark.parametrize("name", COMMANDS)
def test_output(
    name: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    snapshot: syrupy.assertion.SnapshotAssertion,
) -> None:
    monkeypatch.chdir(FILES)
    line, code = COMMANDS[name]
    assert app.run(["check", *line.split()]) == code
    out = capsys.readouterr()
    assert "secret" not in out.out + out.err
    assert f"{out.out}{out.err}exit {code}" == snapshot


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "7",
        '{"spec": 7}',
        '{"version": NaN}',
        '{"version": 1' + "0" * 5000 + "}",
        '{"routes": ["\\ud800"]}',
        "[" * 2_000 + "]" * 2_000,
        "[" * 960 + "]" * 960,
        "\ufeff{}",
    ],
    ids=range(10),
)
def test_files_that_are_no_configuration_are_errors(
    text: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a traceback, and against an exit code that says ok."""
    file = tmp_path / "candidate.json"
    file.write_text(text, encoding="utf-8")
    assert app.run(["check", str(file)]) == 2
    out = capsys.readouterr()
    assert (out.out + out.err).startswith(str(file))
