"""Keeps the operators' page true: its reference and its commands."""

import asyncio
import pathlib
import re

from tamarackbridge.components.client import const, reference
from tamarackbridge.components.entry import const as entry_const
from tamarackbridge.components.operator import gauges
from tests.sessions import session as sessions

PAGE = pathlib.Path("docs/OPERATIONS.md")
COMMAND = re.compile(r"^\$ (.*?)(?:  # exit (\d+))?$", re.MULTILINE)
BLOCK = re.compile(r"```console\n(.*?)```", re.DOTALL)


def commands() -> list[tuple[str, int]]:
    blocks = "".join(BLOCK.findall(PAGE.read_text()))
    return [(line, int(code or 0)) for line, code in COMMAND.findall(blocks)]


def test_reference_is_that_of_the_models() -> None:
    _, _, found = PAGE.read_text().partition(
        "`script/reference` writes it anew.\n\n"
    )
    assert found == reference.page(), "run script/reference"


def test_every_key_has_a_meaning() -> None:
    for line in reference.page().splitlines():
        if line.startswith("| `"):
            assert line.rpartition("|")[0].rpartition("|")[2].strip()


def test_every_exit_code_gauge_and_reason_is_explained() -> None:
    text = PAGE.read_text()
    for code in const.Exit:
        assert f"\n| {int(code)} |" in text
    unused = {"config_generation", "members", "permits"}
    for name in set(gauges.GAUGES) - unused:
        assert f"| `{name}`" in text, name
    rare = {"truncated"}
    for reason in set(entry_const.Reason) - rare:
        assert f"\n| `{reason}` |" in text, reason


async def test_every_command_runs_as_written(
    tmp_path: pathlib.Path,
) -> None:
    played = sessions.Session(tmp_path, "mela")
    found = commands()
    assert len(found) > 20
    for command, expected in found:
        program, _, words = command.partition(" ")
        if program != "tamarackbridge":
            process = await asyncio.create_subprocess_shell(command)
            code = await process.wait()
        else:
            code = await played.operate("mela-1", words)
        assert code == expected, command
        played.run(2.0)
