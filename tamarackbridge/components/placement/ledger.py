"""What every backend server has under way, as far as this router knows.

A router knows its own requests exactly, and those of the other routers as they
were when they last told. Load pattern: many routers send to few servers, whose
own reports are too old to decide by. A server reads the prompts of all routers
one after the other, so what each of them told shrinks by its part of the
server's speed.
"""

from collections.abc import Callable, Mapping
import dataclasses
import math

import msgspec

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import estimate

TELL_TOKENS = 500
"""Unread prompt tokens of which other routers are told soon: 6 ms of an
engine's reading."""

ALL_READ = 50.0
"""Logarithm of the part by which tokens shrink that are all read; no prompt is
long enough for a token to be left."""


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One request of this router at a server.

    Attributes:
        server: The server's registration when it was sent.
        workspace: Who sent it.
        unread: Prompt tokens that the server probably has to read.
        memory: Tokens that it takes in the server's memory.
        sent: Time of its sending.
        began: Time of the server's first sign of life; None before it.
        cost: What it counts against its workspace's share.
    """

    server: knowledge.BackendServer
    workspace: str
    unread: int
    memory: int
    sent: float
    began: float | None = None
    cost: float = 0.0


class Work(msgspec.Struct, frozen=True, gc=False):
    """Work at one server.

    Attributes:
        requests: Requests that wait or run there.
        unread: Prompt tokens not yet read.
        memory: Tokens taken in its memory.
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


NOTHING = Work()


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What another router said it has under way.

    Attributes:
        work: Work by server name.
        at: Time for which it holds.
    """

    work: Mapping[str, Work]
    at: float


class _Part(msgspec.Struct, frozen=True, gc=False):
    """What one router has at one server.

    Attributes:
        work: What it told.
        unread: Its unread tokens when they were added.
        faded: Logarithm by which the server's had shrunk until then.
    """

    work: Work
    unread: float
    faded: float


class _Account:
    """The work at one server, as running totals.

    What other routers have unread shrinks alike, so what is left of a router's
    part follows from the logarithm by which the total has shrunk since then.

    Attributes:
        tickets: This router's requests.
        own: Their work.
        tellers: Other routers that have work there.
        read_per_s: Prompt tokens that the server reads in a second, as last
            stated.
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
        self.tickets: set[Ticket] = set()
        self.own = NOTHING
        self.tellers = 0
        self.read_per_s = estimate.READ_PER_S
        self._requests = 0
        self._unread = 0.0
        self._memory = 0
        self._faded = 0.0
        self._at = -math.inf

    def total(self, now: float) -> Work:
        """Returns all work there."""
        own = self.own
        return Work(
            own.requests + self._requests,
            own.unread + int(self._left(now) + 0.5),
            own.memory + self._memory,
        )

    def part(self, told: _Part, now: float) -> Work:
        """Returns what is left of one router's work."""
        work = told.work
        if not work.unread:
            return work
        unread = self._unread_of(told)
        if self._unread:
            unread *= self._left(now) / self._unread
        return Work(work.requests, int(unread + 0.5), work.memory)

    def settle(self, now: float) -> None:
        """Takes off what was read until now.

        Whatever changes the total settles first, as the server's speed is
        shared by what was there at the time.
        """
        if now <= self._at:
            return
        unread = self._unread
        if unread:
            left = self._unread = self._left(now)
            self._faded += math.log(unread / left) if left else ALL_READ
        self._at = now

    def take(self, before: _Part | None, work: Work, at: float) -> _Part:
        """Puts another router's work in the place of what it told before.

        Args:
            before: What it told; None if it had no work there.
            work: Its work.
            at: Time for which it holds.
        """
        if before is not None and before.work == work and not work.unread:
            return before
        self.settle(at)
        if before is not None:
            self.drop(before)
        unread = float(work.unread)
        if unread and at < self._at:
            total = self.own.unread + self._unread + unread
            read = (self._at - at) * self.read_per_s * unread / total
            unread = max(unread - read, 0.0)
        self.tellers += 1
        self._requests += work.requests
        self._unread += unread
        self._memory += work.memory
        return _Part(work, unread, self._faded)

    def drop(self, told: _Part) -> None:
        """Takes off what is left of another router's work."""
        work = told.work
        self.tellers -= 1
        self._requests -= work.requests
        self._memory -= work.memory
        if not self.tellers:
            self._unread = 0.0
        elif work.unread:
            self._unread = max(self._unread - self._unread_of(told), 0.0)

    def _unread_of(self, told: _Part) -> float:
        return told.unread * math.exp(told.faded - self._faded)

    def _left(self, now: float) -> float:
        """Returns the others' tokens that are unread at a time."""
        unread = self._unread
        if not unread or now <= self._at:
            return unread
        total = self.own.unread + unread
        left = unread - (now - self._at) * self.read_per_s * unread / total
        return left if left > 0.0 else 0.0


class Ledger:
    """Work at all servers, of this router and of the others."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._told: dict[str, dict[str, _Part]] = {}

    def begin(self, ticket: Ticket) -> None:
        """Notes a sending."""
        account = self._account(ticket.server.name)
        account.settle(ticket.sent)
        account.tickets.add(ticket)
        unread = ticket.unread if ticket.began is None else 0
        account.own = account.own.plus(Work(1, unread, ticket.memory))

    def read(self, ticket: Ticket, now: float) -> None:
        """Notes that a server has read the prompt of a sending."""
        account = self._accounts.get(ticket.server.name)
        if ticket.began is None and account and ticket in account.tickets:
            account.settle(now)
            account.own = account.own.plus(Work(0, -ticket.unread, 0))
        ticket.began = now

    def end(self, ticket: Ticket, now: float) -> None:
        """Notes the end of a sending."""
        name = ticket.server.name
        account = self._accounts.get(name)
        if account is None or ticket not in account.tickets:
            return
        account.settle(now)
        account.tickets.discard(ticket)
        unread = ticket.unread if ticket.began is None else 0
        account.own = account.own.plus(Work(-1, -unread, -ticket.memory))
        self._close_empty(name)

    def hear(self, router: str, told: Told) -> bool:
        """Takes what another router has under way.

        Returns:
            Whether others should soon hear of the change.
        """
        known = self._told.get(router, {})
        found: dict[str, _Part] = {}
        is_news = False
        for name, work in told.work.items():
            before = known.pop(name, None)
            found[name] = self._account(name).take(before, work, told.at)
            unread = before.work.unread if before is not None else 0
            if abs(work.unread - unread) >= TELL_TOKENS:
                is_news = True
        for name, before in known.items():
            self._drop(name, before, told.at)
            if before.work.unread >= TELL_TOKENS:
                is_news = True
        self._told[router] = found
        return is_news

    def forget(self, router: str, now: float) -> None:
        """Drops what a router said that is gone."""
        for name, told in self._told.pop(router, {}).items():
            self._drop(name, told, now)

    def told_by(
        self, router: str, now: float, read_per_s: Callable[[str], float]
    ) -> dict[str, Work]:
        """Returns what a router said, less what was read since then."""
        found = {}
        for name, told in self._told.get(router, {}).items():
            account = self._accounts[name]
            account.read_per_s = read_per_s(name)
            found[name] = account.part(told, now)
        return found

    def own(self) -> dict[str, Work]:
        """Returns this router's work by server."""
        return {
            name: account.own
            for name, account in self._accounts.items()
            if account.tickets
        }

    def at(self, server: str, now: float, read_per_s: float) -> Work:
        """Returns the work at a server.

        Args:
            server: Name of the server.
            now: The time.
            read_per_s: Prompt tokens that the server reads in a second; the
                others' unread tokens shrink by it since they told.
        """
        account = self._accounts.get(server)
        if account is None:
            return NOTHING
        account.read_per_s = read_per_s
        return account.total(now)

    def _account(self, server: str) -> _Account:
        account = self._accounts.get(server)
        if account is None:
            account = self._accounts[server] = _Account()
        return account

    def _drop(self, server: str, told: _Part, now: float) -> None:
        account = self._accounts[server]
        account.settle(now)
        account.drop(told)
        self._close_empty(server)

    def _close_empty(self, server: str) -> None:
        account = self._accounts[server]
        if not account.tickets and not account.tellers:
            del self._accounts[server]
