"""Admission controller: dispatches requests fairly to the chosen servers."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import math
import random

import result

from tamarackbridge import core
from tamarackbridge.components.admission import (
    costs,
    decision_log,
    dependencies,
    dispatch_rate,
    permit,
    plain_overload,
    policy,
    quarantine_gate,
    queue,
    retry_budget,
    scheduling_pass,
    share_tracker,
    speed_observer,
)
from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.gateway import jobs, models, rejections
from tamarackbridge.components.placement import (
    crash_evidence,
    ledger,
    request_profile,
    scheduling_view,
    scoring,
)
from tamarackbridge.components.telemetry import events

PASS_INTERVAL_S = 0.025
"""Time after which waiting requests are evaluated again without an event that
calls for it: a tenth of the shortest latency target with which requests may
wait."""

UNFINISHED_PASS_DELAY_S = 0.004
"""Time after which a scheduling pass that did not reach all waiting requests is
continued. Fifty passes in a row fit into the shortest latency target with which
requests may wait."""

MAX_PASS_FRACTION = 0.25
"""Fraction of the time that scheduling passes may take. The rest is for reading
requests and relaying answers, which costs several times as much as deciding on
them."""

NO_SERVER_RETRY_S = 0.5
"""Advised retry time while no server is registered; a new one registers within
a second."""


class AdmissionController(core.Service):
    """Owns the waiting requests and decides when and where each is sent.

    Attributes:
        share_tracker: Usage and fair shares of the workspaces.
        unreported_blocks: Hashes of prompt blocks that have not been reported
            to the other routers yet, each with the server that caches it.
        scheduling_passes: Number of scheduling passes.
        scheduling_s: Time that they took, in seconds.
        evaluated_requests: Requests for which servers were compared in them.
        copied_tokens: Prompt tokens that engines were told to copy from others.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        clock: core.Clock,
        rng: random.Random,
        peers: dependencies.PeerRouters,
        record_wait: Callable[[float], None],
    ) -> None:
        """Creates the controller.

        Args:
            deps: State of this router that it reads and updates.
            clock: The clock.
            rng: Source of randomness.
            peers: The other routers.
            record_wait: Called with the wait of each request that is sent, in
                seconds.
        """
        super().__init__()
        self.share_tracker = share_tracker.ShareTracker(deps, peers, rng)
        self.unreported_blocks: list[tuple[str, int]] = []
        self.scheduling_passes = 0
        self.scheduling_s = 0.0
        self.evaluated_requests = 0
        self.copied_tokens = 0
        self._deps = deps
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._record_wait = record_wait
        self._quarantine_gate = quarantine_gate.QuarantineGate(deps, peers, rng)
        self._speed_observer = speed_observer.SpeedObserver(
            deps.estimator, deps.server_selector
        )
        self._plain_overload = plain_overload.PlainOverload(
            deps.estimator, deps.server_selector, deps.demand, rng
        )
        self._retry_budget = retry_budget.RetryBudget(deps.bounds, rng)
        self._waiting = queue.WaitingQueue()
        self._log = decision_log.DecisionLog(
            deps.local_copy,
            self.share_tracker.load_average,
            peers.peers_use_age_s,
        )
        self._dispatch_rates: collections.defaultdict[
            str, dispatch_rate.DispatchRate
        ]
        self._dispatch_rates = collections.defaultdict(
            dispatch_rate.DispatchRate
        )
        self._next_pass_at = -math.inf
        self._is_pass_unfinished = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    async def on_stop(self) -> None:
        """Cancels the next scheduling pass."""
        if self._timer is not None:
            self._timer.cancel()

    def update_bounds(self, bounds: fleet.Bounds) -> None:
        """Applies changed bounds."""
        self._deps = dataclasses.replace(self._deps, bounds=bounds)
        self._retry_budget.update_bounds(bounds)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def oldest_wait_s(self) -> float:
        """Returns how long the oldest request has waited; 0 if none waits."""
        now = self._clock.monotonic()
        return max(now - self._waiting.oldest_arrival(), 0.0)

    async def async_admit(self, job: jobs.Job) -> jobs.AdmissionResult:
        """Waits until a job may be sent or is rejected.

        Returns:
            The permit to send it, or the rejection.
        """
        now = self._clock.monotonic()
        rejection = self._unservable(job, now)
        if rejection is None:
            rejection = self._quarantine_gate.rejection(job, now)
        if rejection is not None:
            return result.Err(rejection)
        is_within_share = True
        if job.attempts == 0 and not job.excluded_servers:
            rejection = self._plain_overload.record_arrival(
                job, self._waiting.count(job.service.name), now
            )
            if rejection is not None:
                return result.Err(rejection)
            self._retry_budget.record_request(job.service.name, now)
            cost = costs.request_cost(job.request)
            is_within_share = self.share_tracker.record_request(
                job.workspace, cost, now
            )
        future: asyncio.Future[jobs.AdmissionResult]
        future = asyncio.get_running_loop().create_future()
        waiter = queue.Waiter(
            job, request_profile.make(job), is_within_share, future
        )
        if not self._waiting.count(job.service.name):
            self._dispatch_rates[job.service.name].record_queue_start(now)
        self._waiting.add(waiter, now)
        self.dispatch_waiting()
        try:
            return await future
        except asyncio.CancelledError:
            permit.release_undelivered(future)
            raise
        finally:
            self._waiting.remove(waiter)

    def take_retry(self, job: jobs.Job, is_confirmation: bool) -> bool:
        """Spends one retry from the budget of the job's service.

        Returns whether the budget had one left; a part of it is kept from
        confirmations.
        """
        now = self._clock.monotonic()
        routers = len(self._peers.routers())
        fraction = (
            retry_budget.CONFIRMATIONS_FRACTION if is_confirmation else 1.0
        )
        return self._retry_budget.try_spend(
            job.service.name, routers, now, fraction
        )

    def has_server(self, job: jobs.Job) -> bool:
        """Returns whether any server may be asked that is not excluded."""
        now = self._clock.monotonic()
        return not self._opens_in_s(job, now)

    def exclude_others(self, job: jobs.Job, server: str) -> None:
        """Excludes all servers of a job's service but one."""
        now = self._clock.monotonic()
        pools = self._deps.server_selector.pools
        found = [pools.of(job.service.name, now)]
        if self._is_canary(job, now):
            found.append(pools.canaries(job.service.name, now))
        job.excluded_servers.update(
            registered.server.name
            for pool in found
            for registered in pool.lasting
        )
        job.excluded_servers.discard(server)

    def available_in_s(self, job: jobs.Job) -> float:
        """Returns the time until a server accepts a new attempt; 0 for now."""
        now = self._clock.monotonic()
        seconds = self._deps.server_selector.pools.opens_in_s(
            job.service.name, (), now
        )
        return seconds if math.isfinite(seconds) else NO_SERVER_RETRY_S

    def _unservable(
        self, job: jobs.Job, now: float
    ) -> rejections.Rejection | None:
        """Returns the rejection of a request that no server accepts now."""
        opens_s = self._opens_in_s(job, now)
        if not opens_s:
            return None
        if math.isinf(opens_s):
            return rejections.Rejection(
                rejections.Reason.NO_SERVER, NO_SERVER_RETRY_S
            )
        # Callers that retry before the server opens are rejected again.
        retry_after_s = opens_s + self._rng.uniform(
            0.0, share_tracker.REFRESH_INTERVAL_S
        )
        return rejections.Rejection(
            rejections.Reason.SERVER_REJECTED, retry_after_s
        )

    def _opens_in_s(self, job: jobs.Job, now: float) -> float:
        """Returns the seconds until a server is open that is not excluded."""
        return self._deps.server_selector.pools.opens_in_s(
            job.service.name,
            job.excluded_servers,
            now,
            self._is_canary(job, now),
        )

    def _is_canary(self, job: jobs.Job, now: float) -> bool:
        """Returns whether a request may go to canary servers as well."""
        rollouts = self._deps.rollouts
        if rollouts is None or not rollouts.is_active:
            return False
        return rollouts.prefers_canary(job, now)

    def now(self) -> float:
        """Returns the time."""
        return self._clock.monotonic()

    def record_event_gap(
        self, reservation: ledger.Reservation, gap_s: float, now: float
    ) -> None:
        """Records the time between two events of a stream."""
        name = reservation.server.name
        self._deps.estimator.observe_pause(name, gap_s, now)

    def record_response_start(
        self, reservation: ledger.Reservation, tokens_ahead: int
    ) -> None:
        """Records the first sign of life of the server of an attempt.

        Args:
            reservation: The attempt.
            tokens_ahead: The server's prefill backlog when the attempt was
                sent, in tokens.
        """
        now = self._clock.monotonic()
        self._deps.work.record_prefill(reservation, now)
        if reservation.prefill_tokens:
            self._speed_observer.record_response_start(
                reservation, tokens_ahead, now
            )
            if reservation.prefill_tokens >= ledger.REPORT_PROMPTLY_TOKENS:
                self._peers.request_report()
        self.dispatch_waiting()

    def handle_response_head(
        self, reservation: ledger.Reservation, head: models.ResponseHead
    ) -> None:
        """Applies what a response head announces about its server."""
        now = self._clock.monotonic()
        server = reservation.server
        self._speed_observer.record_head(reservation, head, now)
        rollouts = self._deps.rollouts
        is_response = head.disposition is models.Disposition.ANSWERED
        if rollouts is not None and rollouts.is_active and is_response:
            rollouts.record_head(reservation, now)
        notices = self._deps.server_notices
        if not head.announces_shutdown:
            notices.record_no_shutdown(server, now)
        elif notices.record_shutdown(server, now):
            events.write(events.ServerLeaving(server.name, "", 0.0))
            self._peers.request_report()
        if notices.limits.record(server, head.limit_per_s, now):
            events.write(
                events.ServerLimited(server.name, "", head.limit_per_s)
            )
            self._peers.request_report()
        if head.closed_s > 0:
            closed_s = notices.close(server, head.closed_s, now)
            events.write(
                events.ServerClosed(
                    server.name, head.closed_s, round(closed_s, 3)
                )
            )
            self._peers.request_report()

    def record_generating(self, reservation: ledger.Reservation) -> None:
        """Records that an answer got beyond its first event."""
        now = self._clock.monotonic()
        self._quarantine_gate.record_generating(reservation, now)

    def record_attempt_end(
        self, reservation: ledger.Reservation, outcome: jobs.Outcome
    ) -> None:
        """Records the end of an attempt."""
        now = self._clock.monotonic()
        self._deps.work.end(reservation, now)
        rollouts = self._deps.rollouts
        if rollouts is not None and rollouts.is_active:
            rollouts.record_end(reservation, outcome, now)
        self._quarantine_gate.record_end(reservation, outcome, now)
        self.share_tracker.record_attempt_end(
            reservation.workspace, reservation.cost, outcome, now
        )
        name = reservation.server.name
        open_s = self._deps.breakers.record_outcome(name, outcome, now)
        if open_s > 0:
            events.write(events.BreakerOpened(name, outcome.value, open_s))
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Sends the waiting requests that may be sent now, in fair order.

        Does nothing but set a timer while the last scheduling pass was too
        recent for `MAX_PASS_FRACTION`.
        """
        if not self._waiting:
            return
        now = self._clock.monotonic()
        if now < self._next_pass_at:
            self._schedule_pass(self._next_pass_at, now)
            return
        self._run_pass(now)
        ended = self._clock.monotonic()
        took_s = ended - now
        self.scheduling_passes += 1
        self.scheduling_s += took_s
        self._next_pass_at = ended + took_s / MAX_PASS_FRACTION - took_s
        if self._waiting:
            delay_s = (
                UNFINISHED_PASS_DELAY_S
                if self._is_pass_unfinished
                else PASS_INTERVAL_S
            )
            due = min(ended + delay_s, self._waiting.next_deadline())
            self._schedule_pass(max(self._next_pass_at, due), ended)

    def _schedule_pass(self, at: float, now: float) -> None:
        """Schedules a scheduling pass no later than a time."""
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(at - now, self._on_timer)
        self._timer_at = at

    def _on_timer(self) -> None:
        self._timer = None
        self.dispatch_waiting()

    def _run_pass(self, now: float) -> None:
        """Runs one scheduling pass over the waiting requests."""
        self.share_tracker.refresh(now)
        for waiter in self._waiting.pop_expired(now):
            share_state = self._share_state(waiter)
            decision = policy.decide_unsendable(waiter.job, share_state, now)
            self._apply(waiter, decision, share_state, now)
        for service in self._waiting.services():
            self._reject_unservable(service, now)
            self._reject_late(service, now)
        if self._quarantine_gate.pop_change():
            self._reject_quarantined(now)
        self._dispatch(now)
        self._reject_unreachable(now)

    def _reject_unservable(self, service: str, now: float) -> None:
        """Rejects all requests to a service that has no open server."""
        if not self._deps.server_selector.pools.opens_in_s(service, (), now):
            return
        for waiter in self._waiting.for_service(service):
            rejection = self._unservable(waiter.job, now)
            if rejection is not None:
                self._reject(waiter, rejection, 0, 0.0, now)

    def _reject_late(self, service: str, now: float) -> None:
        """Rejects requests that an overloaded plain service would do late."""
        if not self._plain_overload.is_overloaded(service, now):
            return
        for waiter in self._waiting.for_service(service):
            if not self._plain_overload.is_too_late(waiter.job, now):
                continue
            state = self._plain_overload.state(service, now)
            rejection = self._plain_overload.rejection(waiter.job, state, now)
            self._reject(waiter, rejection, 0, 0.0, now)

    def _reject_quarantined(self, now: float) -> None:
        """Rejects the waiting requests with quarantined prompt blocks."""
        for service in self._waiting.services():
            for waiter in list(self._waiting.for_service(service)):
                rejection = self._quarantine_gate.rejection(waiter.job, now)
                if rejection is not None:
                    self._reject(waiter, rejection, 0, 0.0, now)

    def _dispatch(self, now: float) -> None:
        """Sends the requests that may be sent, in fair order."""
        view = self._deps.server_selector.view(self._peers.routers(), now)
        evaluated = scheduling_pass.dispatch_due_classes(
            self._waiting.in_fair_order(self.share_tracker.served_rate),
            lambda waiter: self._decide(waiter, view, now),
            now,
        )
        self._is_pass_unfinished = evaluated >= scheduling_pass.MAX_EVALUATED
        self.evaluated_requests += evaluated

    def _reject_unreachable(self, now: float) -> None:
        """Rejects requests that are not expected to be sent in time."""
        rates = {
            name: self._dispatch_rates[name]
            for name in self._waiting.services()
            if self._dispatch_rates[name].expected_wait_s(0, now) > 0
        }
        if rates:
            scheduling_pass.reject_unreachable(
                self._waiting.in_fair_order(self.share_tracker.served_rate),
                rates,
                lambda waiter, wait_s: self._try_reject(waiter, wait_s, now),
                now,
            )

    def _try_reject(
        self, waiter: queue.Waiter, expected_wait_s: float, now: float
    ) -> bool:
        """Rejects a request that would wait past its deadline.

        Returns whether it was rejected.
        """
        if now + expected_wait_s < waiter.job.deadline:
            return False
        share_state = self._share_state(waiter)
        decision = policy.decide_unsendable(
            waiter.job, share_state, now, expected_wait_s
        )
        self._apply(
            waiter, decision, share_state, now, expected_wait_s=expected_wait_s
        )
        return decision.action is policy.Action.REJECT

    def _decide(
        self,
        waiter: queue.Waiter,
        view: scheduling_view.SchedulingView,
        now: float,
    ) -> policy.Decision:
        job = waiter.job
        rejection = self._unservable(job, now) if job.excluded_servers else None
        if rejection is None:
            rejection = self._quarantine_gate.rejection(job, now)
        if rejection is not None:
            self._reject(waiter, rejection, 0, 0.0, now)
            return policy.Decision(policy.Action.REJECT, rejection=rejection)
        chosen = self._deps.server_selector.shortlist(job, waiter.profile, view)
        share_state = self._share_state(waiter)
        decision = policy.decide(job, chosen.options, share_state, now)
        self._apply(waiter, decision, share_state, now, chosen.servers)
        if decision.option is not None:
            view.invalidate(decision.option.registered.server.name)
        return decision

    def _apply(
        self,
        waiter: queue.Waiter,
        decision: policy.Decision,
        share_state: policy.ShareState,
        now: float,
        servers: int = 0,
        expected_wait_s: float = 0.0,
    ) -> None:
        """Ends the wait of a request, unless the decision is to wait."""
        job = waiter.job
        if decision.option is not None:
            self._waiting.remove(waiter)
            if waiter.future.done():
                return
            self._record_wait(now - job.arrived)
            self._log.log_sent(job, decision.option, share_state, servers, now)
            self._dispatch_rates[job.service.name].record_dispatch(now)
            granted = self._permit(waiter, decision.option, now)
            waiter.future.set_result(result.Ok(granted))
        elif decision.rejection is not None:
            rejection = self._with_jitter(decision.rejection)
            self._reject(waiter, rejection, servers, expected_wait_s, now)

    def _share_state(self, waiter: queue.Waiter) -> policy.ShareState:
        return self.share_tracker.share_state(
            waiter.job.workspace, waiter.is_within_share
        )

    def _reject(
        self,
        waiter: queue.Waiter,
        rejection: rejections.Rejection,
        servers: int,
        expected_wait_s: float,
        now: float,
    ) -> None:
        """Ends the wait of a request for which `servers` were compared."""
        waiting = len(self._waiting)
        self._waiting.remove(waiter)
        if waiter.future.done():
            return
        share_state = self._share_state(waiter)
        self._log.log_rejected(
            waiter.job,
            rejection,
            share_state,
            servers,
            expected_wait_s,
            waiting,
            now,
        )
        waiter.future.set_result(result.Err(rejection))

    def _permit(
        self, waiter: queue.Waiter, option: scoring.ScoredServer, now: float
    ) -> permit.Permit:
        """Issues a permit and accounts the request as sent."""
        job = waiter.job
        request = job.request
        server = option.registered.server
        reservation = ledger.Reservation(
            server=server,
            workspace=job.workspace,
            prefill_tokens=option.prefill_tokens,
            memory=request.prompt_tokens
            + costs.expected_output_tokens(request),
            sent_at=now,
            cost=costs.request_cost(request),
            blocks=crash_evidence.parts(job),
            is_plain=not job.service.is_model,
        )
        self.copied_tokens += option.copied_tokens
        self._deps.work.begin(reservation)
        self._speed_observer.record_sent(reservation)
        rollouts = self._deps.rollouts
        if rollouts is not None and rollouts.is_active:
            rollouts.record_sent(job, reservation, now)
        self._quarantine_gate.record_sent(reservation)
        if reservation.prefill_tokens >= ledger.REPORT_PROMPTLY_TOKENS:
            self._peers.request_report()
        self.share_tracker.usage.record_served(
            job.workspace, reservation.cost, now
        )
        for block_hash, _ in waiter.profile.hashed_blocks:
            if self._deps.cache_index.record_use(server.name, block_hash, now):
                self.unreported_blocks.append((server.name, block_hash))
        self._deps.server_selector.states.record_sent(
            job, option.registered, self._peers.routers(), now
        )
        return permit.Permit(
            self, reservation, option.tokens_ahead, option.copy_from
        )

    def _with_jitter(
        self, rejection: rejections.Rejection
    ) -> rejections.Rejection:
        """Varies the advised retry time, so that retries are spread out."""
        retry_after_s = rejection.retry_after_s * self._rng.uniform(0.75, 1.25)
        return dataclasses.replace(rejection, retry_after_s=retry_after_s)
