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
        blocks: Identifiers of its shared prompt blocks.
        is_generating: Whether the answer got beyond its first event.
        is_plain: Whether the server is none of a model.
        occupancy: Requests over slots at the server, this one included, when
            it was sent.
        tokens_until_start: Prompt tokens that the server prefilled until its
            first sign of life; 0 before it.
    """

    server: knowledge.BackendServer
    workspace: str
    prefill_tokens: int
    memory: int
    sent_at: float
    began_at: float | None = None
    cost: float = 0.0
    blocks: frozenset[str] = frozenset()
    is_generating: bool = False
    is_plain: bool = False
    occupancy: float = 0.0
    tokens_until_start: int = 0


class Work(msgspec.Struct, frozen=True, gc=False):
    """Outstanding work at one server.

    Attributes:
        requests: Requests that are queued or running there.
        pending_prefill_tokens: Prompt tokens that the server has yet to
            prefill.
        memory: Tokens occupied in its memory.
    """

    requests: int = 0
    pending_prefill_tokens: int = 0
    memory: int = 0

    def plus(self, other: "Work") -> "Work":
        """Returns the sum."""
        return Work(
            self.requests + other.requests,
            self.pending_prefill_tokens + other.pending_prefill_tokens,
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
        pending_prefill_tokens: Its pending prefill tokens when they were added.
        log_decay: The account's `_log_decay` at that time.
    """

    work: Work
    pending_prefill_tokens: float
    log_decay: float


class _Account:
    """Running totals of the work at one server.

    `_tokens` holds the other routers' pending prefill tokens as of `_at`. They
    all decay by the same factor, whose logarithm is summed up in `_log_decay`:
    what is left of one router's contribution follows from the difference since
    it was added.

    Attributes:
        reservations: Reservations of this router's requests.
        own: Their work.
        reporters: Number of other routers that have work there.
        prefill_tokens_per_s: Prompt tokens that the server prefills in a
            second, as of the last query.
    """

    __slots__ = (
        "_at",
        "_log_decay",
        "_memory",
        "_requests",
        "_tokens",
        "own",
        "prefill_tokens_per_s",
        "reporters",
        "reservations",
    )

    def __init__(self) -> None:
        self.reservations: set[Reservation] = set()
        self.own = NO_WORK
        self.reporters = 0
        self.prefill_tokens_per_s = estimate.PREFILL_TOKENS_PER_S
        self._requests = 0
        self._tokens = 0.0
        self._memory = 0
        self._log_decay = 0.0
        self._at = -math.inf

    def total(self, now: float) -> Work:
        """Returns the work of all routers."""
        own = self.own
        return Work(
            own.requests + self._requests,
            own.pending_prefill_tokens + int(self._pending_tokens(now) + 0.5),
            own.memory + self._memory,
        )

    def remaining(self, contribution: _Contribution, now: float) -> Work:
        """Returns what is left of one other router's work."""
        work = contribution.work
        if not work.pending_prefill_tokens:
            return work
        tokens = self._decayed_tokens(contribution)
        if self._tokens:
            tokens *= self._pending_tokens(now) / self._tokens
        return Work(work.requests, int(tokens + 0.5), work.memory)

    def advance(self, now: float) -> None:
        """Subtracts the tokens that were prefilled until now.

        Must be called before any change of the totals, because the server's
        speed is divided by the work that was there until then.
        """
        if now <= self._at:
            return
        before = self._tokens
        if before:
            left = self._tokens = self._pending_tokens(now)
            self._log_decay += (
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
        if (
            previous is not None
            and previous.work == work
            and not work.pending_prefill_tokens
        ):
            return previous
        self.advance(at)
        if previous is not None:
            self.remove(previous)
        tokens = float(work.pending_prefill_tokens)
        if tokens and at < self._at:
            total = self.own.pending_prefill_tokens + self._tokens + tokens
            done = (self._at - at) * self.prefill_tokens_per_s * tokens / total
            tokens = max(tokens - done, 0.0)
        self.reporters += 1
        self._requests += work.requests
        self._tokens += tokens
        self._memory += work.memory
        return _Contribution(work, tokens, self._log_decay)

    def remove(self, contribution: _Contribution) -> None:
        """Subtracts what is left of another router's work."""
        work = contribution.work
        self.reporters -= 1
        self._requests -= work.requests
        self._memory -= work.memory
        if not self.reporters:
            self._tokens = 0.0
        elif work.pending_prefill_tokens:
            self._tokens = max(
                self._tokens - self._decayed_tokens(contribution), 0.0
            )

    def _decayed_tokens(self, contribution: _Contribution) -> float:
        """Returns a contribution's pending tokens as of the last `advance`."""
        return contribution.pending_prefill_tokens * math.exp(
            contribution.log_decay - self._log_decay
        )

    def _pending_tokens(self, now: float) -> float:
        """Returns the pending prefill tokens of the other routers."""
        tokens = self._tokens
        if not tokens or now <= self._at:
            return tokens
        total = self.own.pending_prefill_tokens + tokens
        left = (
            tokens
            - (now - self._at) * self.prefill_tokens_per_s * tokens / total
        )
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
        account.reservations.add(reservation)
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
            and reservation in account.reservations
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
        if account is None or reservation not in account.reservations:
            return
        account.advance(now)
        account.reservations.discard(reservation)
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
            tokens = (
                before.work.pending_prefill_tokens if before is not None else 0
            )
            if (
                abs(work.pending_prefill_tokens - tokens)
                >= REPORT_PROMPTLY_TOKENS
            ):
                is_large = True
        for name, before in previous.items():
            self._remove(name, before, report.at)
            if before.work.pending_prefill_tokens >= REPORT_PROMPTLY_TOKENS:
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
            account.prefill_tokens_per_s = tokens_per_s(name)
            work[name] = account.remaining(contribution, now)
        return work

    def own(self) -> dict[str, Work]:
        """Returns this router's work by server."""
        return {
            name: account.own
            for name, account in self._accounts.items()
            if account.reservations
        }

    def own_requests(self, server: str) -> int:
        """Returns the requests of this router at a server."""
        account = self._accounts.get(server)
        return account.own.requests if account is not None else 0

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
        account.prefill_tokens_per_s = tokens_per_s
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
        if not account.reservations and not account.reporters:
            del self._accounts[server]
