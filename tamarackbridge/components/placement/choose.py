"""Chooses the server for a request.

Costs are compared in prompt tokens. Load patterns: prompts that share long
parts, of which each is best read on one engine; arrivals in clumps, which must
spread before the engines' first events come late; and many waiting requests,
each of which is to cost little to look at.
"""

from collections.abc import Collection
import dataclasses
import math

import msgspec

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    cold,
    estimate,
    health,
    ledger,
    notices,
    parts,
    pool,
    prompts,
    table,
)

IN_TIME = 0.85
"""Part of the target within which a first event is planned; the rest is for
what the estimate does not know."""

REREAD_WEIGHT = 2.0
"""A shared part that is read again is paid for and delays others as well."""

LATE_SPREAD = 0.3
"""Part of the target over which the cost of being late grows to the whole:
the error of an estimate under load."""

PAUSE_SAFE = 0.7
PAUSE_SPREAD = 0.4
"""Usual pauses of this part of the allowed one are safe; at the sum of both
nearly every stream has one that is too long."""

LATE_WEIGHT = 0.5
"""Part of a request's size that is lost when it is late; callers lose half to
nine tenths."""

RANK_WEIGHT = 0.5
"""Part of the shared parts that each place in the order of engines costs:
routers that do not know yet where a part is read still agree on an engine."""

CROWD_TOKENS = 1_500.0
"""Cost of a full engine against an empty one; keeps even engines even."""

AHEAD_WEIGHT = 0.1
"""Cost of each token that is read before; a wait within the target costs
callers nothing, but leaves less room for the next."""

PLAIN_FULL_TOKENS = 10_000.0
"""Cost of a plain server whose slots are all taken."""

FAR_TOKENS = 1.0
"""Cost of another zone beside that of known bytes, so that among servers that
are alike the near one is used; what a plain answer carries is not known before
it comes."""

BUSY_CROWDS = 1.0
"""A server that turns another router's requests away is taken for this many
times as crowded as a full one."""


class Option(msgspec.Struct, frozen=True, gc=False):
    """A server for one request.

    Attributes:
        known: The server.
        cost: Lower is better.
        first_s: Predicted time to the first event; 0 for plain services.
        ahead: Prompt tokens read before it.
        ahead_s: Time that reading them takes.
        unread: Prompt tokens of the request that it has to read.
        full: Whether its slots or its memory are taken.
    """

    known: state.RegisteredServer
    cost: float
    first_s: float
    ahead: int
    ahead_s: float
    unread: int
    full: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Shortlist:
    """The servers that decide whether a request goes.

    Attributes:
        options: The best server with room, if there is one, and the one with
            the earliest first event where that may come after the deadline;
            best first.
        servers: How many servers were considered.
    """

    options: tuple[Option, ...]
    servers: int


class Chooser:
    """Ranks the servers of a service for a request.

    Attributes:
        pools: Which servers are open.
    """

    def __init__(
        self,
        router: str,
        zone: str,
        known: state.LocalCopy,
        work: ledger.Ledger,
        held: parts.HeldParts,
        breakers: health.Health,
        estimator: estimate.Estimator,
        limiter: cold.ColdLimiter,
        told: notices.Notices,
    ) -> None:
        self._router = router
        self._notices = told
        self._zone = zone
        self._held = held
        self._estimator = estimator
        self._limiter = limiter
        self.pools = pool.Pools(known, work, breakers, estimator, told)
        self._work = work

    def view(self, routers: Collection[str], now: float) -> table.View:
        """Returns the servers as a turn of decisions sees them.

        Args:
            routers: The routers that may be sending, this one among them.
            now: The time.
        """

        def make(service: knowledge.Service) -> table.ServiceTable:
            def make_row(it: state.RegisteredServer) -> table.Row:
                return self._make_row(service, it, routers, now)

            servers = self.pools.of(service.name, now)
            return table.ServiceTable(servers, service.is_model, make_row, now)

        return table.View(make)

    def options(
        self, job: jobs.Job, routers: Collection[str], now: float
    ) -> list[Option]:
        """Returns the servers that may take a request now, best first.

        Servers that fail are left out unless all do.
        """
        found = self.view(routers, now).of(job.service)
        prompt = prompts.make(job)
        candidates = found.candidates(prompt.key, job.avoid)
        ranked = [(found.row(it), rank) for it, rank in candidates]
        if not job.service.is_model:
            plain = [self._weigh_plain(prompt, row) for row, _ in ranked]
            return sorted(plain, key=_cost)
        return sorted(
            (self._weigh(job, prompt, row, rank, now) for row, rank in ranked),
            key=_cost,
        )

    def shortlist(
        self, job: jobs.Job, prompt: prompts.Prompt, view: table.View
    ) -> Shortlist:
        """Returns the servers that decide whether a request goes.

        Decides as all of `options` would; a server is weighed in full only if
        what it costs any request leaves it a chance.
        """
        found = view.of(job.service)
        candidates = found.candidates(prompt.key, job.avoid)
        if not job.service.is_model:
            rows = (found.row(it) for it, _ in candidates)
            best = min(
                (
                    self._weigh_plain(prompt, row)
                    for row in rows
                    if not row.is_full
                ),
                key=_cost,
                default=None,
            )
            return _listed(best, None, len(candidates))
        best = self._best(job, prompt, found, candidates)
        soonest = None
        if self._may_pass_deadline(job, prompt, found, candidates, best):
            soonest = min(
                (
                    self._weigh(job, prompt, found.row(it), place, found.now)
                    for it, place in candidates
                ),
                key=_first_s,
            )
        return _listed(best, soonest, len(candidates))

    def _best(
        self,
        job: jobs.Job,
        prompt: prompts.Prompt,
        found: table.ServiceTable,
        candidates: pool.Candidates,
    ) -> Option | None:
        """Returns the best engine with room; None if there is none."""
        best: Option | None = None
        least = math.inf
        place_cost = _place_cost(prompt)
        for it, place in candidates:
            if place * place_cost >= least:
                break
            row = found.row(it)
            cost = row.cost + place * place_cost
            if cost >= least or _is_full(job, prompt, row):
                continue
            option = self._weigh(job, prompt, row, place, found.now)
            if option.cost < least:
                best, least = option, option.cost
        return best

    def _may_pass_deadline(
        self,
        job: jobs.Job,
        prompt: prompts.Prompt,
        found: table.ServiceTable,
        candidates: pool.Candidates,
        best: Option | None,
    ) -> bool:
        """Whether the earliest first event may come after the deadline."""
        if not candidates:
            return False
        if best is not None:
            return found.now + best.first_s >= job.deadline
        row = found.row(candidates[0][0])
        first_s = row.first_s + prompt.tokens / row.speed
        return found.now + first_s >= job.deadline

    def note_sent(
        self,
        job: jobs.Job,
        it: state.RegisteredServer,
        routers: Collection[str],
        now: float,
    ) -> None:
        """Counts a request against the rate that its server bears."""
        per_s = job.service.cold_per_s
        limited = self._limited_to(it, routers, now)
        if per_s > 0 and limited is not None:
            self._limiter.take(it.server.name, per_s, limited, now)

    def _limited_to(
        self, it: state.RegisteredServer, routers: Collection[str], now: float
    ) -> Collection[str] | None:
        """Returns the routers that share a server's cold rate; None if warm.

        A server that was closed to this router alone opens for it alone.
        """
        if now < it.warm_at:
            return routers
        if self._notices.is_reopening(it.server, now):
            return (self._router,)
        return None

    def _make_row(
        self,
        service: knowledge.Service,
        it: state.RegisteredServer,
        routers: Collection[str],
        now: float,
    ) -> table.Row:
        """Returns a server as one turn sees it."""
        name = it.server.name
        is_model = service.is_model
        speed = self._estimator.read_per_s(name)
        work = self._work.at(name, now, speed)
        slots = max((service if is_model else it.server).slots, 1)
        busy = BUSY_CROWDS if self._notices.is_busy(name, now) else 0.0
        crowding = work.requests / slots + busy
        cost = PLAIN_FULL_TOKENS * crowding + table.tie(self._router, name)
        if is_model:
            cost = CROWD_TOKENS * crowding + AHEAD_WEIGHT * work.unread
        per_s = service.cold_per_s
        limited = self._limited_to(it, routers, now) if per_s > 0 else None
        bears = limited is None or self._limiter.may_send(
            name, per_s, limited, now
        )
        return table.Row(
            known=it,
            cost=cost,
            is_far=it.server.zone != self._zone,
            is_full=work.requests >= slots,
            requests=work.requests,
            memory=work.memory,
            ahead=work.unread,
            ahead_s=work.unread / speed,
            first_s=self._estimator.first_event_s(name, work.unread, 0),
            speed=speed,
            pause_s=self._estimator.pause_s(name, now),
            bears=bears,
            is_limited=limited is not None,
        )

    def _weigh(
        self,
        job: jobs.Job,
        prompt: prompts.Prompt,
        row: table.Row,
        place: int,
        now: float,
    ) -> Option:
        """Weighs an engine for a request."""
        unread = own = prompt.tokens
        if prompt.chained:
            name = row.known.server.name
            unread = self._held.unread(name, prompt.chained, now)
            own = min(prompt.own, unread)
        first_s = row.first_s + unread / row.speed
        late = (now - job.arrived + first_s) / job.route.target_s - IN_TIME
        late = min(max(late / LATE_SPREAD, 0.0), 1.0)
        if row.pause_s > 0:
            late = max(late, _jerky(job, row))
        cost = (
            row.cost
            + (prompt.crossing if row.is_far else 0.0)
            + place * _place_cost(prompt)
            + REREAD_WEIGHT * (unread - own)
            + late * LATE_WEIGHT * prompt.size
        )
        return Option(
            row.known,
            cost,
            first_s,
            row.ahead,
            row.ahead_s,
            unread,
            _is_full(job, prompt, row),
        )

    def _weigh_plain(self, prompt: prompts.Prompt, row: table.Row) -> Option:
        """Weighs a plain server for a request."""
        cost = row.cost
        if row.is_far:
            cost += FAR_TOKENS + prompt.crossing
        return Option(row.known, cost, 0.0, 0, 0.0, 0, row.is_full)


def _is_full(job: jobs.Job, prompt: prompts.Prompt, row: table.Row) -> bool:
    """Whether a request finds no slot or no memory at an engine."""
    if row.is_full:
        return True
    room = job.service.memory_tokens * pool.MEMORY_SHARE
    return row.requests > 0 and row.memory + prompt.memory > room


def _place_cost(prompt: prompts.Prompt) -> float:
    """Returns what each place in the order of engines costs a request."""
    return 1.0 + RANK_WEIGHT * prompt.shared


def _jerky(job: jobs.Job, row: table.Row) -> float:
    """Returns how likely a pause between events is too long, 0 to 1."""
    allowed_s = job.route.target_gap_s
    if allowed_s <= 0:
        return 0.0
    part = row.pause_s / allowed_s
    return min(max((part - PAUSE_SAFE) / PAUSE_SPREAD, 0.0), 1.0)


def _listed(
    best: Option | None, soonest: Option | None, servers: int
) -> Shortlist:
    found = [it for it in (best, soonest) if it is not None]
    return Shortlist(tuple(sorted(found, key=_cost)), servers)


def _cost(option: Option) -> float:
    return option.cost


def _first_s(option: Option) -> float:
    return option.first_s
