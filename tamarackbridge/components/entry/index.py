"""Requests that this router holds or has held lately, by identifier."""

import collections

from tamarackbridge.components.operator import messages

MAX_KEPT = 4096
"""Ended requests that are remembered."""


class RequestIndex:
    """Finds requests for operators."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[str, messages.RequestTrace] = (
            collections.OrderedDict()
        )

    def note(self, trace: messages.RequestTrace) -> None:
        """Remembers the state of a request."""
        self._kept[trace.request_id] = trace
        self._kept.move_to_end(trace.request_id)
        while len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)

    def find(self, request_id: str) -> tuple[messages.RequestTrace, ...]:
        """Returns what is known of a request; empty for nothing."""
        trace = self._kept.get(request_id)
        return () if trace is None else (trace,)
