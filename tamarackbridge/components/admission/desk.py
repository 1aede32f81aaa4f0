"""Lets requests go in fair order, each to the server chosen for it."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import math
import random

import result

from tamarackbridge import core
from tamarackbridge.components.admission import (
    budget,
    costs,
    decisions,
    inputs,
    pace,
    permit,
    standings,
    verdict,
)
from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.gateway import answers, jobs, models
from tamarackbridge.components.placement import (
    choose,
    ledger,
    parts,
)
from tamarackbridge.components.telemetry import events

TICK_S = 0.025
"""Time after which waiting requests are looked at again without an occasion;
a tenth of the shortest target that can wait."""

MAX_LOOKED_AT = 24
"""Waiting requests for which servers are weighed in one turn, so that a turn
stays below a few milliseconds however many wait."""

TURNS_PART = 0.25
"""Part of a processor that turns may take, so that a router with many waiting
requests still reads and answers others; it is a quarter of the smallest VM."""

NO_SERVER_RETRY_S = 0.5
"""Advice while no server is known; a new one registers within a second."""


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    job: jobs.Job
    within: bool
    fut: asyncio.Future[jobs.Admitted]


class AdmissionDesk(core.Service):
    """Owns the requests that wait in this router.

    Attributes:
        standings: How workspaces stand against their shares.
        fresh_parts: Prompt parts that the other routers don't know of, each
            with the server that holds it.
        turns: Turns in which waiting requests were looked at.
        turns_s: Time that they took.
    """

    def __init__(
        self,
        using: inputs.Parts,
        clock: core.Clock,
        rng: random.Random,
        others: inputs.Others,
        waited: Callable[[float], None],
    ) -> None:
        super().__init__()
        self.standings = standings.Standings(using, others, rng)
        self.fresh_parts: list[tuple[str, int]] = []
        self.turns = 0
        self.turns_s = 0.0
        self._using = using
        self._clock = clock
        self._rng = rng
        self._others = others
        self._waited = waited
        self._budget = budget.RepeatBudget(using.bounds, rng)
        self._waiting: list[_Waiter] = []
        self._log = decisions.DecisionLog(
            using.known, self.standings.pressure, others.use_age_s
        )
        self._paces: collections.defaultdict[str, pace.Pace]
        self._paces = collections.defaultdict(pace.Pace)
        self._rests_until = -math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    async def on_stop(self) -> None:
        """Ends looking at what waits."""
        if self._timer is not None:
            self._timer.cancel()

    def use_bounds(self, bounds: fleet.Bounds) -> None:
        """Takes changed bounds."""
        self._using = dataclasses.replace(self._using, bounds=bounds)
        self._budget.use_bounds(bounds)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    async def async_admit(self, job: jobs.Job) -> jobs.Admitted:
        """Waits until a job may be sent, or refuses it."""
        now = self._clock.monotonic()
        refusal = self._unservable(job, now)
        if refusal is not None:
            return result.Err(refusal)
        within = True
        if job.sendings == 0 and not job.avoid:
            self._budget.note_request(job.service.name, now)
            cost = costs.cost(job.call)
            within = self.standings.ask(job.workspace, cost, now)
        fut: asyncio.Future[jobs.Admitted]
        fut = asyncio.get_running_loop().create_future()
        waiter = _Waiter(job, within, fut)
        service = job.service.name
        if not any(it.job.service.name == service for it in self._waiting):
            self._paces[service].note_first(now)
        self._waiting.append(waiter)
        self.pump()
        try:
            return await fut
        except asyncio.CancelledError:
            _give_back(fut)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def may_repeat(self, job: jobs.Job) -> bool:
        """Whether the repeat budget of the job's service allows one more."""
        now = self._clock.monotonic()
        routers = len(self._others.routers())
        return self._budget.take(job.service.name, routers, now)

    def opens_in_s(self, job: jobs.Job) -> float:
        """Returns when some server takes a new attempt; 0 for now."""
        now = self._clock.monotonic()
        seconds = self._using.chooser.pools.opens_in_s(
            job.service.name, (), now
        )
        return seconds if math.isfinite(seconds) else NO_SERVER_RETRY_S

    def _unservable(self, job: jobs.Job, now: float) -> answers.Refusal | None:
        """Returns the refusal of a request that no server takes now."""
        opens_s = self._using.chooser.pools.opens_in_s(
            job.service.name, job.avoid, now
        )
        if not opens_s:
            return None
        if math.isinf(opens_s):
            return answers.Refusal(answers.Reason.NO_SERVER, NO_SERVER_RETRY_S)
        # Callers that come back before the server opens are refused again.
        retry_s = opens_s + self._rng.uniform(0.0, standings.LEVEL_S)
        return answers.Refusal(answers.Reason.SERVER_REFUSED, retry_s)

    def now(self) -> float:
        """Returns the time."""
        return self._clock.monotonic()

    def paused(self, ticket: ledger.Ticket, pause_s: float, now: float) -> None:
        """Notes a pause between two events of a stream."""
        name = ticket.server.name
        self._using.estimator.observe_pause(name, pause_s, now)

    def began(self, ticket: ledger.Ticket, ahead: int) -> None:
        """Notes the first sign of life of a server for a sending."""
        now = self._clock.monotonic()
        self._using.work.read(ticket, now)
        if ticket.unread:
            tokens = ahead + ticket.unread
            took_s = now - ticket.sent
            self._using.estimator.observe(ticket.server.name, tokens, took_s)
            if ticket.unread >= ledger.TELL_TOKENS:
                self._others.note_change()
        self.pump()

    def told(self, ticket: ledger.Ticket, head: models.Head) -> None:
        """Takes what a server's answer says of the server."""
        now = self._clock.monotonic()
        server = ticket.server
        said = self._using.told
        if not head.leaving:
            said.note_staying(server, now)
        elif said.note_leaving(server, now):
            events.write(events.ServerLeaving(server.name, "", 0.0))
            self._others.note_change()
        if head.closed_s > 0:
            closed_s = said.close(server, head.closed_s, now)
            events.write(
                events.ServerClosed(
                    server.name, head.closed_s, round(closed_s, 3)
                )
            )
            self._others.note_change()

    def ended(self, ticket: ledger.Ticket, outcome: jobs.Outcome) -> None:
        """Notes the end of a sending."""
        now = self._clock.monotonic()
        self._using.work.end(ticket, now)
        self.standings.end(ticket.workspace, ticket.cost, outcome, now)
        name = ticket.server.name
        open_s = self._using.breakers.note(name, outcome, now)
        if open_s > 0:
            events.write(events.BreakerOpened(name, outcome.value, open_s))
        self.pump()

    def pump(self) -> None:
        """Lets go what may go now, in fair order."""
        if not self._waiting:
            return
        now = self._clock.monotonic()
        if now < self._rests_until:
            self._look_at(self._rests_until, now)
            return
        self._turn(now)
        ended = self._clock.monotonic()
        took_s = ended - now
        self.turns += 1
        self.turns_s += took_s
        self._rests_until = ended + took_s / TURNS_PART - took_s
        if self._waiting:
            self._look_at(max(self._rests_until, ended + TICK_S), ended)

    def _look_at(self, at: float, now: float) -> None:
        """Sees to it that what waits is looked at, no later than a time."""
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(at - now, self._on_timer)
        self._timer_at = at

    def _on_timer(self) -> None:
        self._timer = None
        self.pump()

    def _turn(self, now: float) -> None:
        """Looks at waiting requests once, in fair order."""
        self.standings.refresh(now)
        self._waiting.sort(key=lambda it: self._order(it, now))
        pending = [it for it in self._waiting if not it.fut.done()]
        before: collections.Counter[str] = collections.Counter()
        for place, waiter in enumerate(pending):
            service = waiter.job.service.name
            left_s = self._paces[service].left_s(before[service], now)
            refusal = self._unservable(waiter.job, now)
            if refusal is not None:
                self._refuse(waiter, refusal, 0, left_s, now)
            elif place < MAX_LOOKED_AT:
                self._decide(waiter, now, left_s)
            else:
                self._decide_unplaced(waiter, now, left_s)
            before[service] += 1
        self._waiting = [it for it in self._waiting if not it.fut.done()]

    def _decide_unplaced(
        self, waiter: _Waiter, now: float, left_s: float
    ) -> None:
        job = waiter.job
        standing = self.standings.of(job.workspace, waiter.within)
        found = verdict.decide_unplaced(job, standing, now, left_s)
        if found.refusal is not None:
            refusal = self._spread(found.refusal)
            self._refuse(waiter, refusal, 0, left_s, now)

    def _decide(self, waiter: _Waiter, now: float, left_s: float) -> None:
        job = waiter.job
        options = self._using.chooser.options(job, self._others.routers(), now)
        standing = self.standings.of(job.workspace, waiter.within)
        found = verdict.decide(job, options, standing, now, left_s)
        if found.option is not None:
            self._waited(now - job.arrived)
            self._log.placed(job, found.option, standing, len(options), now)
            self._paces[job.service.name].note(now)
            granted = self._permit(job, found.option, now)
            waiter.fut.set_result(result.Ok(granted))
        elif found.refusal is not None:
            refusal = self._spread(found.refusal)
            self._refuse(waiter, refusal, len(options), left_s, now)

    def _refuse(
        self,
        waiter: _Waiter,
        refusal: answers.Refusal,
        servers: int,
        left_s: float,
        now: float,
    ) -> None:
        """Ends the wait of a request, whose servers were so many."""
        job = waiter.job
        standing = self.standings.of(job.workspace, waiter.within)
        self._log.refused(
            job, refusal, standing, servers, left_s, len(self._waiting), now
        )
        waiter.fut.set_result(result.Err(refusal))

    def _permit(
        self, job: jobs.Job, option: choose.Option, now: float
    ) -> permit.Permit:
        call = job.call
        server = option.known.server
        ticket = ledger.Ticket(
            server=server,
            workspace=job.workspace,
            unread=option.unread,
            memory=call.prompt_tokens + costs.expected_output(call),
            sent=now,
            cost=costs.cost(call),
        )
        self._using.work.begin(ticket)
        if ticket.unread >= ledger.TELL_TOKENS:
            self._others.note_change()
        self.standings.use.serve(job.workspace, ticket.cost, now)
        for chain, _ in parts.chains(call.parts):
            if self._using.held.note(server.name, chain, now):
                self.fresh_parts.append((server.name, chain))
        self._using.chooser.note_sent(
            job, option.known, self._others.routers(), now
        )
        return permit.Permit(self, ticket, option.ahead)

    def _order(
        self, waiter: _Waiter, now: float
    ) -> tuple[bool, bool, float, float]:
        job = waiter.job
        late = now - job.arrived > job.route.target_s
        served = self.standings.served(job.workspace)
        return (not waiter.within, late, served, job.arrived)

    def _spread(self, refusal: answers.Refusal) -> answers.Refusal:
        retry_s = refusal.retry_after_s * self._rng.uniform(0.75, 1.25)
        return dataclasses.replace(refusal, retry_after_s=retry_s)


def _give_back(fut: asyncio.Future[jobs.Admitted]) -> None:
    """Ends a permit whose caller left in the turn in which it was given."""
    if not fut.done() or fut.cancelled():
        return
    admitted = fut.result()
    if isinstance(admitted, result.Ok):
        admitted.ok_value.finish(jobs.Outcome.CANCELLED)
