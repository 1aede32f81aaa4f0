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
    queue,
    rounds,
    standings,
    verdict,
)
from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.gateway import jobs, models, rejections
from tamarackbridge.components.placement import (
    choose,
    ledger,
    prompts,
    table,
)
from tamarackbridge.components.telemetry import events

TICK_S = 0.025
"""Time after which waiting requests are looked at again without an occasion;
a tenth of the shortest target that can wait."""

RESUME_S = 0.004
"""Time after which a turn goes on that did not come to all that waits; fifty of
them in a row fit into the shortest target that can wait."""

TURNS_PART = 0.25
"""Part of the time that turns may take; the rest is for reading requests and
passing answers on, which costs several times what deciding on them does."""

NO_SERVER_RETRY_S = 0.5
"""Advice while no server is known; a new one registers within a second."""


class AdmissionDesk(core.Service):
    """Owns the requests that wait in this router.

    Attributes:
        standings: How workspaces stand against their shares.
        fresh_parts: Prompt parts that the other routers don't know of, each
            with the server that holds it.
        turns: Turns in which waiting requests were looked at.
        turns_s: Time that they took.
        looked_at: Requests for which servers were weighed in them.
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
        self.looked_at = 0
        self._using = using
        self._clock = clock
        self._rng = rng
        self._others = others
        self._waited = waited
        self._budget = budget.RepeatBudget(using.bounds, rng)
        self._waiting = queue.WaitingQueue()
        self._log = decisions.DecisionLog(
            using.known, self.standings.pressure, others.use_age_s
        )
        self._paces: collections.defaultdict[str, pace.Pace]
        self._paces = collections.defaultdict(pace.Pace)
        self._rests_until = -math.inf
        self._is_unfinished = False
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

    def oldest_wait_s(self) -> float:
        """Returns for how long the oldest request has waited; 0 if none."""
        now = self._clock.monotonic()
        return max(now - self._waiting.oldest_arrived(), 0.0)

    async def async_admit(self, job: jobs.Job) -> jobs.AdmissionResult:
        """Waits until a job may be sent, or refuses it."""
        now = self._clock.monotonic()
        refusal = self._unservable(job, now)
        if refusal is not None:
            return result.Err(refusal)
        within = True
        if job.attempts == 0 and not job.excluded_servers:
            self._budget.note_request(job.service.name, now)
            cost = costs.cost(job.request)
            within = self.standings.ask(job.workspace, cost, now)
        fut: asyncio.Future[jobs.AdmissionResult]
        fut = asyncio.get_running_loop().create_future()
        waiter = queue.Waiter(job, prompts.make(job), within, fut)
        if not self._waiting.count(job.service.name):
            self._paces[job.service.name].note_first(now)
        self._waiting.add(waiter, now)
        self.pump()
        try:
            return await fut
        except asyncio.CancelledError:
            permit.give_back(fut)
            raise
        finally:
            self._waiting.remove(waiter)

    def take_retry(self, job: jobs.Job) -> bool:
        """Whether the repeat budget of the job's service allows one more."""
        now = self._clock.monotonic()
        routers = len(self._others.routers())
        return self._budget.take(job.service.name, routers, now)

    def available_in_s(self, job: jobs.Job) -> float:
        """Returns when some server takes a new attempt; 0 for now."""
        now = self._clock.monotonic()
        seconds = self._using.chooser.pools.opens_in_s(
            job.service.name, (), now
        )
        return seconds if math.isfinite(seconds) else NO_SERVER_RETRY_S

    def _unservable(
        self, job: jobs.Job, now: float
    ) -> rejections.Rejection | None:
        """Returns the refusal of a request that no server takes now."""
        opens_s = self._using.chooser.pools.opens_in_s(
            job.service.name, job.excluded_servers, now
        )
        if not opens_s:
            return None
        if math.isinf(opens_s):
            return rejections.Rejection(
                rejections.Reason.NO_SERVER, NO_SERVER_RETRY_S
            )
        # Callers that come back before the server opens are refused again.
        retry_s = opens_s + self._rng.uniform(0.0, standings.LEVEL_S)
        return rejections.Rejection(rejections.Reason.SERVER_REJECTED, retry_s)

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

    def told(self, ticket: ledger.Ticket, head: models.ResponseHead) -> None:
        """Takes what a server's answer says of the server."""
        now = self._clock.monotonic()
        server = ticket.server
        said = self._using.told
        if not head.announces_shutdown:
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
            again_s = RESUME_S if self._is_unfinished else TICK_S
            again = min(ended + again_s, self._waiting.next_due())
            self._look_at(max(self._rests_until, again), ended)

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
        """Looks at what waits once, in fair order."""
        self.standings.refresh(now)
        for waiter in self._waiting.take_due(now):
            standing = self._standing(waiter)
            found = verdict.decide_unplaced(waiter.job, standing, now)
            self._settle(waiter, found, standing, now)
        for service in self._waiting.services():
            self._refuse_unservable(service, now)
        self._look_at_lines(now)
        self._give_up(now)

    def _refuse_unservable(self, service: str, now: float) -> None:
        """Refuses all that wait for a service that has no open server."""
        if not self._using.chooser.pools.opens_in_s(service, (), now):
            return
        for waiter in self._waiting.of(service):
            refusal = self._unservable(waiter.job, now)
            if refusal is not None:
                self._refuse(waiter, refusal, 0, 0.0, now)

    def _look_at_lines(self, now: float) -> None:
        """Lets go what may go, in fair order."""
        view = self._using.chooser.view(self._others.routers(), now)
        looked_at = rounds.look_at_lines(
            self._waiting.in_order(self.standings.served),
            lambda waiter: self._decide(waiter, view, now),
            now,
        )
        self._is_unfinished = looked_at >= rounds.MAX_LOOKED_AT
        self.looked_at += looked_at

    def _give_up(self, now: float) -> None:
        """Refuses what its turn can't reach in time."""
        paces = {
            name: self._paces[name]
            for name in self._waiting.services()
            if self._paces[name].left_s(0, now) > 0
        }
        if paces:
            rounds.give_up(
                self._waiting.in_order(self.standings.served),
                paces,
                lambda waiter, left_s: self._gave_up(waiter, left_s, now),
                now,
            )

    def _gave_up(self, waiter: queue.Waiter, left_s: float, now: float) -> bool:
        """Refuses a request that will wait for too long; says if it did."""
        if now + left_s < waiter.job.deadline:
            return False
        standing = self._standing(waiter)
        found = verdict.decide_unplaced(waiter.job, standing, now, left_s)
        self._settle(waiter, found, standing, now, left_s=left_s)
        return found.step is verdict.Step.REFUSE

    def _decide(
        self,
        waiter: queue.Waiter,
        view: table.View,
        now: float,
    ) -> verdict.Verdict:
        job = waiter.job
        refusal = self._unservable(job, now) if job.excluded_servers else None
        if refusal is not None:
            self._refuse(waiter, refusal, 0, 0.0, now)
            return verdict.Verdict(verdict.Step.REFUSE, refusal=refusal)
        chosen = self._using.chooser.shortlist(job, waiter.prompt, view)
        standing = self._standing(waiter)
        found = verdict.decide(job, chosen.options, standing, now)
        self._settle(waiter, found, standing, now, chosen.servers)
        if found.option is not None:
            view.note_sent(found.option.known.server.name)
        return found

    def _settle(
        self,
        waiter: queue.Waiter,
        found: verdict.Verdict,
        standing: verdict.Standing,
        now: float,
        servers: int = 0,
        left_s: float = 0.0,
    ) -> None:
        """Ends the wait of a request, unless it is to wait on."""
        job = waiter.job
        if found.option is not None:
            self._waiting.remove(waiter)
            if waiter.fut.done():
                return
            self._waited(now - job.arrived)
            self._log.placed(job, found.option, standing, servers, now)
            self._paces[job.service.name].note(now)
            granted = self._permit(waiter, found.option, now)
            waiter.fut.set_result(result.Ok(granted))
        elif found.refusal is not None:
            refusal = self._spread(found.refusal)
            self._refuse(waiter, refusal, servers, left_s, now)

    def _standing(self, waiter: queue.Waiter) -> verdict.Standing:
        return self.standings.of(waiter.job.workspace, waiter.within)

    def _refuse(
        self,
        waiter: queue.Waiter,
        refusal: rejections.Rejection,
        servers: int,
        left_s: float,
        now: float,
    ) -> None:
        """Ends the wait of a request, whose servers were so many."""
        waiting = len(self._waiting)
        self._waiting.remove(waiter)
        if waiter.fut.done():
            return
        standing = self._standing(waiter)
        self._log.refused(
            waiter.job, refusal, standing, servers, left_s, waiting, now
        )
        waiter.fut.set_result(result.Err(refusal))

    def _permit(
        self, waiter: queue.Waiter, option: choose.Option, now: float
    ) -> permit.Permit:
        job = waiter.job
        call = job.request
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
        for chain, _ in waiter.prompt.chained:
            if self._using.held.note(server.name, chain, now):
                self.fresh_parts.append((server.name, chain))
        self._using.chooser.note_sent(
            job, option.known, self._others.routers(), now
        )
        return permit.Permit(self, ticket, option.ahead)

    def _spread(self, refusal: rejections.Rejection) -> rejections.Rejection:
        retry_s = refusal.retry_after_s * self._rng.uniform(0.75, 1.25)
        return dataclasses.replace(refusal, retry_after_s=retry_s)
