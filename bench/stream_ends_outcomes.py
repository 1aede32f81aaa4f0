"""What the cases of the measurement of streams' ends came to, counted."""

import collections
from collections.abc import Iterable, Mapping, Sequence
import dataclasses
from typing import Any

from bench import stream_ends_caller

HABITS = {
    "marks": "marks its ends",
    "never": "never marks its ends",
    "new": "never marks its ends, new to the router",
}
"""How services end their streams when nothing is wrong."""

_Verdict = stream_ends_caller.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one case came to.

    Attributes:
        habit: How the service otherwise ends its streams, a key of HABITS.
        route: `again` if the route is resumable, else `once`.
        version: HTTP version of the caller.
        framing: Framing of the first server's stream.
        ending: Its end.
        second: Answer to the next request.
        primers: Whether each whole stream before the case was told as whole.
        status: Status of the answer.
        events: Numbers of its events.
        end: How it ended.
        took_s: Seconds until it ended.
        requests: Requests that reached servers for it.
        requests_resumed: The same with the caller's resumptions.
        resumption: What they came to; None if there were none.
    """

    habit: str
    route: str
    version: str
    framing: str
    ending: str
    second: str
    primers: tuple[bool, ...]
    status: int
    events: tuple[int, ...]
    end: stream_ends_caller.End
    took_s: float
    requests: int
    requests_resumed: int
    resumption: stream_ends_caller.Resumption | None

    @property
    def verdict(self) -> stream_ends_caller.Verdict:
        """What the end told the caller, and whether it was true."""
        return stream_ends_caller.judge(
            stream_ends_caller.Answer(self.status, self.events, self.end)
        )

    @property
    def cell(self) -> str:
        """Entry in a table; cut told as whole is bold, whole as cut italic."""
        text = f"{len(self.events)} {self.end.value}"
        if self.status != 200:
            text += f" ({self.status})"
        mark = {_Verdict.CUT_AS_WHOLE: "**", _Verdict.WHOLE_AS_CUT: "_"}
        return f"{mark.get(self.verdict, '')}{text}{mark.get(self.verdict, '')}"

    @property
    def framing_group(self) -> str:
        """Framing without the version."""
        return "chunked" if self.framing == "chunked" else "unmarked"

    def to_json(self) -> dict[str, Any]:
        """Returns the figures as JSON values."""
        values = dataclasses.asdict(self)
        return {**values, "end": self.end.value, "verdict": self.verdict.value}


def from_json(values: Mapping[str, Any]) -> Outcome:
    """Returns an outcome that `to_json` has written."""
    resumption = values["resumption"]
    fields = {key: each for key, each in values.items() if key != "verdict"}
    fields["end"] = stream_ends_caller.End(values["end"])
    fields["events"] = tuple(values["events"])
    fields["primers"] = tuple(values["primers"])
    if resumption is not None:
        fields["resumption"] = stream_ends_caller.Resumption(**resumption)
    return Outcome(**fields)


def group(
    outcomes: Iterable[Outcome], *names: str
) -> dict[tuple[Any, ...], list[Outcome]]:
    """Groups outcomes by the values of some attributes, in their order."""
    groups: dict[tuple[Any, ...], list[Outcome]] = {}
    for each in outcomes:
        key = tuple(getattr(each, name) for name in names)
        groups.setdefault(key, []).append(each)
    return groups


def merge_cells(outcomes: Sequence[Outcome]) -> str:
    """Returns one cell for several outcomes; names and counts what differs."""
    cells = {each.cell for each in outcomes}
    if len(cells) <= 1:
        return "".join(cells)
    parts = []
    for (version,), found in group(outcomes, "version").items():
        counts = collections.Counter(each.cell for each in found)
        total = len(found)
        texts = [
            cell if count == total else f"{count} of {total} {cell}"
            for cell, count in counts.items()
        ]
        parts.append(f"HTTP/{version}: {', '.join(texts)}")
    return "; ".join(parts)


def count_errors(outcomes: Sequence[Outcome]) -> tuple[str, str, str]:
    """Returns how many cut streams were told as whole, and the reverse.

    The third entry is the number of streams that were refused.
    """
    verdicts = collections.Counter(each.verdict for each in outcomes)
    cut = verdicts[_Verdict.CUT] + verdicts[_Verdict.CUT_AS_WHOLE]
    whole = verdicts[_Verdict.WHOLE] + verdicts[_Verdict.WHOLE_AS_CUT]
    return (
        f"{verdicts[_Verdict.CUT_AS_WHOLE]} of {cut}",
        f"{verdicts[_Verdict.WHOLE_AS_CUT]} of {whole}",
        str(verdicts[_Verdict.REFUSED]),
    )
