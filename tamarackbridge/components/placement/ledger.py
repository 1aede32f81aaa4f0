"""Accounts for the outstanding work at each backend server.

A router knows its own requests exactly, and those of the other routers as of
their last report. A server prefills the prompts of all routers one after the
other, so between reports the pending tokens of each router are reduced by its
proportional share of the server's speed.

Load pattern: many routers send to few servers, whose own load reports are too
old to base decisions on.
"""

from collections.abc import Callable, Mapping
import dataclasses
import math

import msgspec

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import estimate

REPORT_PROMPTLY_TOKENS = 500
"""Change in pending prefill tokens that is reported to the other routers
promptly: 6 ms of an engine's prefill."""

DRAINED_LOG_DECAY = 50.0
"""Logarithm of the decay that stands for tokens that were all prefilled: no
prompt is so long that a decay by the factor exp(50) leaves a whole token."""


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """What one request of this router occupies at a server.

    Attributes:
        server: The server's registration at the time of the attempt.
        workspace: The workspace that sent the request.
        prefill_tokens: Prompt tokens that the server is expected to prefill.
        memory: Tokens that it occupies in the server's memory.
        sent_at: Time of the attempt.
        began_at: Time of the server's first sign of life; None before it.
        cost: What it counts against its workspace's fair share.
    """

    server: knowledge.BackendServer
    workspace: str
    prefill_tokens: int
    memory: int
    sent_at: float
    began_at: float | None = None
    cost: float = 0.0


class Work(msgspec.Struct, frozen=True, gc=False):
    """Outstanding work at one server.

    Attributes:
        requests: Requests that are queued or running there.
        unread: Pending prefill tokens.
        memory: Tokens occupied in its memory.
    """

    requests: int = 0
    unread: int = 0
    memory: int = 0

    def plus(self, other: "Work") -> "Work":
        """Returns the sum."""
        return Work(
            self.requests + other.requests,
            self.unread + other.unread,
            self.memory + other.memory,
        )


NO_WORK = Work()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkReport:
    """Another router's report of its outstanding work.

    Attributes:
        work: Work by server name.
        at: Time at which it was current.
    """

    work: Mapping[str, Work]
    at: float


class _Contribution(msgspec.Struct, frozen=True, gc=False):
    """One other router's work at one server.

    Attributes:
        work: Its work as reported.
        unread: Its pending prefill tokens when they were added.
        faded: The account's `_faded`, the logarithm of the decay, at that time.
    """

    work: Work
    unread: float
    faded: float


class _Account:
    """Running totals of the work at one server.

    `_unread` holds the other routers' pending prefill tokens as of `_at`. They
    all decay by the same factor, whose logarithm is summed up in `_faded`: what
    is left of one router's contribution follows from the difference since it
    was added.

    Attributes:
        tickets: Reservations of this router's requests.
        own: Their work.
        tellers: Number of other routers that have work there.
        read_per_s: Prompt tokens that the server prefills in a second, as of
            the last query.
    """

    __slots__ = (
        "_at",
        "_faded",
        "_memory",
        "_requests",
        "_unread",
        "own",
        "read_per_s",
        "tellers",
        "tickets",
    )

    def __init__(self) -> None:
        self.tickets: set[Reservation] = set()
        self.own = NO_WORK
        self.tellers = 0
        self.read_per_s = estimate.PREFILL_TOKENS_PER_S
        self._requests = 0
        self._unread = 0.0
        self._memory = 0
        self._faded = 0.0
        self._at = -math.inf

    def total(self, now: float) -> Work:
        """Returns the work of all routers."""
        own = self.own
        return Work(
            own.requests + self._requests,
            own.unread + int(self._pending(now) + 0.5),
            own.memory + self._memory,
        )

    def remaining(self, contribution: _Contribution, now: float) -> Work:
        """Returns what is left of one other router's work."""
        work = contribution.work
        if not work.unread:
            return work
        tokens = self._decayed_tokens(contribution)
        if self._unread:
            tokens *= self._pending(now) / self._unread
        return Work(work.requests, int(tokens + 0.5), work.memory)

    def advance(self, now: float) -> None:
        """Subtracts the tokens that were prefilled until now.

        Must be called before any change of the totals, because the server's
        speed is divided by the work that was there until then.
        """
        if now <= self._at:
            return
        before = self._unread
        if before:
            left = self._unread = self._pending(now)
            self._faded += (
                math.log(before / left) if left else DRAINED_LOG_DECAY
            )
        self._at = now

    def replace(
        self, previous: _Contribution | None, work: Work, at: float
    ) -> _Contribution:
        """Replaces another router's previous contribution by a new report.

        Args:
            previous: Its contribution so far; None if it had no work there.
            work: The work that it reported.
            at: Time at which the report was current.
        """
        if previous is not None and previous.work == work and not work.unread:
            return previous
        self.advance(at)
        if previous is not None:
            self.remove(previous)
        tokens = float(work.unread)
        if tokens and at < self._at:
            total = self.own.unread + self._unread + tokens
            done = (self._at - at) * self.read_per_s * tokens / total
            tokens = max(tokens - done, 0.0)
        self.tellers += 1
        self._requests += work.requests
        self._unread += tokens
        self._memory += work.memory
        return _Contribution(work, tokens, self._faded)

    def remove(self, contribution: _Contribution) -> None:
        """Subtracts what is left of another router's work."""
        work = contribution.work
        self.tellers -= 1
        self._requests -= work.requests
        self._memory -= work.memory
        if not self.tellers:
            self._unread = 0.0
        elif work.unread:
            self._unread = max(
                self._unread - self._decayed_tokens(contribution), 0.0
            )

    def _decayed_tokens(self, contribution: _Contribution) -> float:
        """Returns a contribution's pending tokens as of the last `advance`."""
        return contribution.unread * math.exp(contribution.faded - self._faded)

    def _pending(self, now: float) -> float:
        """Returns the pending prefill tokens of the other routers."""
        tokens = self._unread
        if not tokens or now <= self._at:
            return tokens
        total = self.own.unread + tokens
        left = tokens - (now - self._at) * self.read_per_s * tokens / total
        return left if left > 0.0 else 0.0


class ReservationLedger:
    """Outstanding work at all servers, of this router and of the others."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._contributions: dict[str, dict[str, _Contribution]] = {}

    def begin(self, reservation: Reservation) -> None:
        """Records the start of an attempt."""
        account = self._account(reservation.server.name)
        account.advance(reservation.sent_at)
        account.tickets.add(reservation)
        tokens = (
            reservation.prefill_tokens if reservation.began_at is None else 0
        )
        account.own = account.own.plus(Work(1, tokens, reservation.memory))

    def record_prefill(self, reservation: Reservation, now: float) -> None:
        """Records that the server has prefilled an attempt's prompt."""
        account = self._accounts.get(reservation.server.name)
        if (
            reservation.began_at is None
            and account
            and reservation in account.tickets
        ):
            account.advance(now)
            account.own = account.own.plus(
                Work(0, -reservation.prefill_tokens, 0)
            )
        reservation.began_at = now

    def end(self, reservation: Reservation, now: float) -> None:
        """Records the end of an attempt; further calls have no effect."""
        name = reservation.server.name
        account = self._accounts.get(name)
        if account is None or reservation not in account.tickets:
            return
        account.advance(now)
        account.tickets.discard(reservation)
        tokens = (
            reservation.prefill_tokens if reservation.began_at is None else 0
        )
        account.own = account.own.plus(Work(-1, -tokens, -reservation.memory))
        self._close_if_empty(name)

    def apply_report(self, router: str, report: WorkReport) -> bool:
        """Replaces what another router reported before.

        Returns:
            Whether the change is large enough to be passed on promptly.
        """
        previous = self._contributions.get(router, {})
        current: dict[str, _Contribution] = {}
        is_large = False
        for name, work in report.work.items():
            before = previous.pop(name, None)
            current[name] = self._account(name).replace(before, work, report.at)
            tokens = before.work.unread if before is not None else 0
            if abs(work.unread - tokens) >= REPORT_PROMPTLY_TOKENS:
                is_large = True
        for name, before in previous.items():
            self._remove(name, before, report.at)
            if before.work.unread >= REPORT_PROMPTLY_TOKENS:
                is_large = True
        self._contributions[router] = current
        return is_large

    def remove_router(self, router: str, now: float) -> None:
        """Drops the report of a router that is gone."""
        for name, contribution in self._contributions.pop(router, {}).items():
            self._remove(name, contribution, now)

    def remaining_work(
        self, router: str, now: float, tokens_per_s: Callable[[str], float]
    ) -> dict[str, Work]:
        """Returns a router's reported work, less what was prefilled since.

        Args:
            router: The router.
            now: The time.
            tokens_per_s: Returns the prompt tokens that a server prefills in a
                second.
        """
        work = {}
        for name, contribution in self._contributions.get(router, {}).items():
            account = self._accounts[name]
            account.read_per_s = tokens_per_s(name)
            work[name] = account.remaining(contribution, now)
        return work

    def own(self) -> dict[str, Work]:
        """Returns this router's work by server."""
        return {
            name: account.own
            for name, account in self._accounts.items()
            if account.tickets
        }

    def at(self, server: str, now: float, tokens_per_s: float) -> Work:
        """Returns the work of all routers at a server.

        Args:
            server: Name of the server.
            now: The time.
            tokens_per_s: Prompt tokens that the server prefills in a second, by
                which the other routers' pending tokens are reduced since their
                reports.
        """
        account = self._accounts.get(server)
        if account is None:
            return NO_WORK
        account.read_per_s = tokens_per_s
        return account.total(now)

    def _account(self, server: str) -> _Account:
        account = self._accounts.get(server)
        if account is None:
            account = self._accounts[server] = _Account()
        return account

    def _remove(
        self, server: str, contribution: _Contribution, now: float
    ) -> None:
        account = self._accounts[server]
        account.advance(now)
        account.remove(contribution)
        self._close_if_empty(server)

    def _close_if_empty(self, server: str) -> None:
        account = self._accounts[server]
        if not account.tickets and not account.tellers:
            del self._accounts[server]
