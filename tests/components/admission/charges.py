"""What the work of a router costs its processor, counted instead of timed."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
import contextlib
import dataclasses
import functools
from typing import Any
from unittest import mock

from tamarackbridge.components.admission import standings
from tamarackbridge.components.fleet import view
from tamarackbridge.components.placement import ledger, selector
from tests import virtual_loop

WORK_S = 1e-6
"""Seconds of a whole core for the work that all routers have at a server."""

ROW_S = 6e-6
"""Seconds for all else that a turn's view of a server holds."""

WEIGH_S = 6e-6
"""Seconds for weighing one server for one request."""

STAND_S = 5e-6
"""Seconds for looking at a waiting request without weighing servers."""

REPORT_S = 0.4e-3
"""Seconds for taking a report of another router, or making one."""

HEAD_S = 0.15e-3
"""Seconds for taking a connection or a request's head, and for its end."""

SHED_S = 0.1e-3
"""Seconds for refusing a request unread, its connection taken."""

OFFLOAD_S = 0.3e-3
"""Seconds for a request that a peer serves, and for passing its answer on: a
quarter of serving it, as measured with real connections."""

BODY_S = 0.2e-3
"""Seconds for reading the body of a request."""

REFUSE_S = 0.1e-3
"""Seconds for answering a request that is refused."""

SEND_S = 0.4e-3
"""Seconds for sending a request on and for the head of its answer."""

EVENT_S = 0.01e-3
"""Seconds for passing on one event of a stream."""


def charge(purpose: str, core_s: float) -> None:
    """Charges the processor that runs, if it is one."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, virtual_loop.VirtualLoop) and loop.running is not None:
        loop.running.charge(purpose, core_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _Charged:
    """A method whose calls are charged.

    Attributes:
        owner: Its class.
        method: Its name.
        purpose: What it is done for.
        core_s: Seconds of a whole core for each piece of work.
        count: Tells the pieces of work from what was returned.
    """

    owner: type
    method: str
    purpose: str
    core_s: float
    count: Callable[[Any], int] = lambda found: 1

    def patch(self) -> Any:
        """Returns what charges the calls while it is entered."""
        plain = getattr(self.owner, self.method)

        @functools.wraps(plain)
        def charged(*args: Any, **kwargs: Any) -> Any:
            found = plain(*args, **kwargs)
            charge(self.purpose, self.core_s * self.count(found))
            return found

        return mock.patch.object(self.owner, self.method, charged)


CHARGED: Sequence[_Charged] = (
    _Charged(ledger.ReservationLedger, "at", "rows", WORK_S),
    _Charged(selector.ServerSelector, "_make_state", "rows", ROW_S),
    _Charged(selector.ServerSelector, "_score_engine", "weighing", WEIGH_S),
    _Charged(selector.ServerSelector, "_score_plain", "weighing", WEIGH_S),
    _Charged(standings.Standings, "of", "standing", STAND_S),
    _Charged(view.SharedView, "hear", "sharing", REPORT_S),
    _Charged(view.SharedView, "outgoing", "sharing", REPORT_S, len),
)
"""All work on decisions and sharing; a class that takes over such work takes
over its line."""


@contextlib.contextmanager
def charging() -> Iterator[None]:
    """Charges all work while it is entered."""
    with contextlib.ExitStack() as stack:
        for charged in CHARGED:
            stack.enter_context(charged.patch())
        yield
