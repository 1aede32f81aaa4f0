"""Processor costs of a router's work, for replays on a virtual clock.

Calls of the charged methods are counted and charged to the virtual processor
instead of being timed.
"""

import asyncio
from collections.abc import Callable, Iterator, Sequence
import contextlib
import dataclasses
import functools
from typing import Any
from unittest import mock

from tamarackbridge.components.admission import share_tracker
from tamarackbridge.components.fleet import view
from tamarackbridge.components.placement import ledger, scoring, server_states
from tests import virtual_loop

LEDGER_LOOKUP_S = 1e-6
"""Core seconds for looking up the work of all routers at one server."""

SERVER_ROW_S = 6e-6
"""Core seconds for the rest of a server's row in the view of a scheduling
pass."""

COMPARE_SERVER_S = 6e-6
"""Core seconds for comparing one server for one request."""

SHARE_STATE_S = 5e-6
"""Core seconds for evaluating a waiting request without its servers."""

PEER_REPORT_S = 0.4e-3
"""Core seconds for applying a report of another router, or building one."""

REQUEST_HEAD_S = 0.15e-3
"""Core seconds for accepting a connection, reading a request head, or
finishing a request."""

SHED_S = 0.1e-3
"""Core seconds for rejecting a request unread on an accepted connection."""

OFFLOAD_S = 0.3e-3
"""Core seconds for offloading a request to a peer and relaying its answer: a
quarter of the cost of serving it, with real connections."""

REQUEST_BODY_S = 0.2e-3
"""Core seconds for reading the body of a request."""

REJECT_S = 0.1e-3
"""Core seconds for answering a rejected request."""

SEND_S = 0.4e-3
"""Core seconds for sending a request to a server and reading the head of its
response."""

EVENT_S = 0.01e-3
"""Core seconds for relaying one event of a stream."""


def charge(purpose: str, core_s: float) -> None:
    """Charges the virtual processor of the running callback, if it has one."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, virtual_loop.VirtualLoop) and loop.running is not None:
        loop.running.charge(purpose, core_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _ChargedMethod:
    """A method whose calls are charged.

    Attributes:
        owner: Its class.
        method: Its name.
        purpose: Name under which the processor accounts the time.
        core_s: Core seconds for each unit of work.
        count: Returns the units of work, given the return value.
    """

    owner: type
    method: str
    purpose: str
    core_s: float
    count: Callable[[Any], int] = lambda returned: 1

    def patch(self) -> Any:
        """Returns a context manager that charges the calls."""
        original = getattr(self.owner, self.method)

        @functools.wraps(original)
        def charged(*args: Any, **kwargs: Any) -> Any:
            returned = original(*args, **kwargs)
            charge(self.purpose, self.core_s * self.count(returned))
            return returned

        return mock.patch.object(self.owner, self.method, charged)


CHARGED_METHODS: Sequence[_ChargedMethod] = (
    _ChargedMethod(ledger.ReservationLedger, "at", "rows", LEDGER_LOOKUP_S),
    _ChargedMethod(server_states.ServerStates, "make", "rows", SERVER_ROW_S),
    _ChargedMethod(
        scoring.Scorer, "score_engine", "weighing", COMPARE_SERVER_S
    ),
    _ChargedMethod(scoring.Scorer, "score_plain", "weighing", COMPARE_SERVER_S),
    _ChargedMethod(
        share_tracker.ShareTracker, "share_state", "standing", SHARE_STATE_S
    ),
    _ChargedMethod(view.SharedView, "handle_report", "sharing", PEER_REPORT_S),
    _ChargedMethod(
        view.SharedView, "due_reports", "sharing", PEER_REPORT_S, len
    ),
)
"""All methods that decide on requests or share state between routers. If such
work moves to another class, its entry must follow."""


@contextlib.contextmanager
def charging() -> Iterator[None]:
    """Charges the calls of all these methods within the context."""
    with contextlib.ExitStack() as stack:
        for charged in CHARGED_METHODS:
            stack.enter_context(charged.patch())
        yield
