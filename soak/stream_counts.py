"""Counts of what callers were told of the ends of their streams."""

from collections.abc import Iterable
import dataclasses

from soak import callers, checks


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCounts:
    """Streams by their ends, without those that their callers abandoned.

    Attributes:
        whole: Streams that ended as if complete.
        cut: Streams that broke before their last event.
        whole_told_cut: Streams that broke although all events had arrived.
        resumed: Broken streams that their callers resumed to the end.
    """

    whole: int = 0
    cut: int = 0
    whole_told_cut: int = 0
    resumed: int = 0

    def __str__(self) -> str:
        """Returns one line for the report."""
        return (
            f"{self.whole} ended as whole, {self.cut} as cut,"
            f" {self.whole_told_cut} whole but told cut,"
            f" {self.resumed} resumed to the end"
        )


def count(requests: Iterable[callers.ClientRequest]) -> StreamCounts:
    """Returns the counts of the requests that have ended."""
    ended = [request for request in requests if request.ended_at]
    whole = [request for request in ended if request.is_whole_stream]
    broken = [request for request in ended if request.is_broken_stream]
    told_cut = sum(
        request.joined_events == checks.COMPLETE_STREAM for request in broken
    )
    return StreamCounts(
        whole=len(whole),
        cut=len(broken) - told_cut,
        whole_told_cut=told_cut,
        resumed=sum(request.resumes is not None for request in whole),
    )


def total(counts: Iterable[StreamCounts]) -> StreamCounts:
    """Returns the sum of the counts of several runs."""
    columns = zip(*(dataclasses.astuple(each) for each in counts), strict=True)
    return StreamCounts(*map(sum, columns))
