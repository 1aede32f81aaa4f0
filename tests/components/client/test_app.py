"""Tests of the command-line client, with one recorded session.

The session runs commands against a router and compares their output and exit
codes with the snapshot, so that a change of either is noticed.
"""

import asyncio
import pathlib

import pytest
import syrupy.assertion

from tamarackbridge.components.client import app, const
from tests import fleet

RECORDS = """\
[[records]]
kind = "zone"
schema_version = 1
name = "lahore"

[[records]]
kind = "workspace"
schema_version = 2
name = "gate"
share = 2
key_hashes = ["{hash}"]
limits = {{ queued = {queued} }}
"""

SESSION = [
    "get zone",
    "apply -f {file} --dry-run",
    "get zone",
    "apply -f {file}",
    "apply -f {file}",
    "get zone",
    "zone take-out lahore --dry-run",
    "zone take-out lahore",
    "get zone lahore --output json",
    "zone bring-back lahore",
    "get workspace gate --output json",
    "get workspace gate --schema-version 1 --output json",
    "get workspace gate --schema-version 7",
    "apply -f {file2} --dry-run",
    "delete workspace gate --dry-run",
    "delete workspace gate",
    "delete workspace gate",
    "zone take-out nowhere",
    "status",
    "status --output json",
    "explain gate",
    "explain nobody",
    "requests find r1",
    "get zoo",
    "apply -f {dir}/none.toml",
]


async def test_session(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    snapshot: syrupy.assertion.SnapshotAssertion,
) -> None:
    monkeypatch.setenv("COLUMNS", "100")
    token = tmp_path / "token"
    token.write_text(fleet.TOKEN)
    first, second = tmp_path / "one.toml", tmp_path / "two.toml"
    first.write_text(RECORDS.format(hash="ab" * 32, queued=9))
    second.write_text(RECORDS.format(hash="ab" * 32, queued=8))
    paths = {"file": first, "file2": second, "dir": tmp_path}
    transcript: list[str] = []
    routers = fleet.Fleet()
    async with routers.operated("mela-1") as router:
        monkeypatch.setenv(const.ENV_URL, router.url)
        monkeypatch.setenv(const.ENV_TOKEN_FILE, str(token))
        for line in SESSION:
            words = line.format(**paths).split()
            code = await asyncio.to_thread(app.run, words)
            out = capsys.readouterr()
            transcript.append(f"$ {line}\n{out.out}{out.err}exit {int(code)}\n")
    assert "\n".join(transcript).replace(str(tmp_path), "DIR") == snapshot


@pytest.mark.parametrize(
    ("words", "code", "line"),
    [
        (["check", "--settings", "none.toml"], 2, "none.toml: No such file"),
        (["router", "--settings", "none.toml"], 2, "none.toml: No such file"),
        (
            ["check", "--platform", "--settings", "none.conf"],
            2,
            "none.conf: No such file",
        ),
        (
            ["platform-router", "--traces", "paper"],
            2,
            "traces = 'paper': allowed are off, log or the URL",
        ),
        (["apply", "-f", "x.yaml"], 2, "x.yaml: No such file"),
        (
            ["get", "zone", "--url", "http://127.0.0.1:1"],
            4,
            "http://127.0.0.1:1 can't be reached",
        ),
        (["get", "zone", "--url", "::"], 2, ":: is no URL"),
        (
            ["get", "zone", "--token-file", "/none"],
            2,
            "/none: No such file or directory",
        ),
    ],
)
def test_failure_is_one_line_and_an_exit_code(
    words: list[str],
    code: int,
    line: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert app.run(words) == code
    out = capsys.readouterr()
    assert out.err.startswith(line)
    assert out.err.count("\n") == 1
    assert out.out == ""


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_knows_the_commands(
    shell: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert app.run(["completion", shell]) == 0
    out = capsys.readouterr().out
    for word in ("take-out", "undrain", "explain"):
        assert word in out
