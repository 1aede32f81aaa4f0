"""Prints what the checks of a configuration have found."""

from collections.abc import Callable, Sequence
import dataclasses
import itertools
from typing import Literal, TypeAlias

import msgspec

from tamarackbridge.components.client import const
from tamarackbridge.components.configuration_check import (
    contradictions,
    differences,
    models,
    unmatched,
)

Output: TypeAlias = Literal["text", "json"]


class FindingRow(msgspec.Struct, frozen=True):
    """A finding with its place in the file."""

    kind: str
    file: str
    line: int
    key: str
    text: str


class Report(msgspec.Struct, frozen=True):
    """Everything that one check has found.

    Attributes:
        findings: Faults of the candidate, by line.
        changes: What differs from the version in force.
    """

    findings: tuple[FindingRow, ...]
    changes: tuple[models.Change, ...] = ()

    @property
    def exit_code(self) -> const.Exit:
        """Returns 2 if routers can't read the candidate, 1 for other faults."""
        if any(row.kind == models.Kind.ERROR.value for row in self.findings):
            return const.Exit.USAGE
        return const.Exit.REFUSED if self.findings else const.Exit.OK


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """The file of a candidate.

    Attributes:
        file: Name of the file.
        line: Returns the line of a place.
        key: Returns a place as it is written in the file.
    """

    file: str
    line: Callable[[models.Place], int]
    key: Callable[[models.Place], str]


def make_report(
    source: Source,
    candidate: models.Candidate | None,
    errors: Sequence[models.Finding],
    in_force: models.Candidate | None,
    deployment: models.Deployment,
) -> Report:
    """Runs all checks on a candidate; None is one that can't be decoded."""
    findings = list(errors)
    changes: tuple[models.Change, ...] = ()
    before = in_force.configuration if in_force is not None else None
    if candidate is not None:
        findings += itertools.chain(
            unmatched.find(candidate, deployment, before),
            contradictions.find(candidate, deployment, before),
        )
        if before is not None:
            found = differences.find(before, candidate.configuration)
            changes = tuple(found)
    rows = (
        FindingRow(
            finding.kind.value,
            source.file,
            source.line(finding.place),
            source.key(finding.place),
            finding.text,
        )
        for finding in findings
    )
    return Report(tuple(sorted(rows, key=lambda row: row.line)), changes)


def print_report(report: Report, output: Output) -> None:
    """Prints a report as lines for people, or as JSON for scripts."""
    if output == "json":
        data = msgspec.json.format(msgspec.json.encode(report))
        print(data.decode())
        return
    for row in report.findings:
        place = f"{row.file}:{row.line}: "
        key = f"{row.key}: " if row.key else ""
        print(f"{place}{key}{row.kind.replace('_', ' ')}: {row.text}")
    for change in report.changes:
        print(f"change: {_describe(change)}")
    print(f"findings: {len(report.findings)}, changes: {len(report.changes)}")


def _describe(change: models.Change) -> str:
    if not change.attribute:
        return f"{change.subject}: {'removed' if change.before else 'added'}"
    subject = f"{change.subject}: {change.attribute}"
    if not change.before:
        return f"{subject} {change.after}"
    return f"{subject} {change.before} -> {change.after or 'none'}"
