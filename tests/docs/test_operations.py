"""The operators' page agrees with the product.

Checks its reference, its tables and its commands.
"""

import asyncio
import pathlib
import re

from tamarackbridge.components.client import const, reference
from tamarackbridge.components.entry import const as entry_const
from tamarackbridge.components.operator import gauges
from tests.sessions import session as sessions

OPERATIONS_PAGE = pathlib.Path("docs/OPERATIONS.md")
COMMAND = re.compile(r"^\$ (.*?)(?:  # exit (\d+))?$", re.MULTILINE)
CONSOLE_BLOCK = re.compile(r"```console\n(.*?)```", re.DOTALL)


def read_commands() -> list[tuple[str, int]]:
    """Returns the commands of the page, each with its expected exit code."""
    blocks = "".join(CONSOLE_BLOCK.findall(OPERATIONS_PAGE.read_text()))
    return [(line, int(code or 0)) for line, code in COMMAND.findall(blocks)]


def test_reference_matches_the_models() -> None:
    """Fails if the models changed and the reference was not written again."""
    _, _, written = OPERATIONS_PAGE.read_text().partition(
        "`script/reference` writes it anew.\n\n"
    )
    assert written == reference.page(), "run script/reference"


def test_every_key_has_a_meaning() -> None:
    """Guards against a key of the reference with an empty explanation."""
    for line in reference.page().splitlines():
        if line.startswith("| `"):
            assert line.rpartition("|")[0].rpartition("|")[2].strip()


def test_every_exit_code_gauge_and_reason_is_explained() -> None:
    """Guards against values that operators see but can't look up."""
    text = OPERATIONS_PAGE.read_text()
    for code in const.Exit:
        assert f"\n| {int(code)} |" in text
    # The page makes no use of these gauges.
    exempt_gauges = {"config_generation", "members", "permits"}
    for name in set(gauges.GAUGES) - exempt_gauges:
        assert f"| `{name}`" in text, name
    # Too rare to be explained.
    exempt_reasons = {"truncated"}
    for reason in set(entry_const.Reason) - exempt_reasons:
        assert f"\n| `{reason}` |" in text, reason


async def test_every_command_ends_with_the_documented_exit_code(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against examples that an operator can't run as written.

    The commands run in the order of the page, on one fleet.
    """
    session = sessions.Session(tmp_path, "mela")
    listed = read_commands()
    assert len(listed) > 20
    for command, expected in listed:
        program, _, arguments = command.partition(" ")
        if program != "tamarackbridge":
            process = await asyncio.create_subprocess_shell(command)
            code = await process.wait()
        else:
            code = await session.run_commands("mela-1", arguments)
        assert code == expected, command
        session.run(2.0)
