"""Decides whether a stream ends where its server closed it without a mark.

A stream with neither a length nor chunks ends with its connection (RFC 9112,
6.3). The kernel closes the connections of a process that dies in the same way,
so an end that no attempt confirms counts only if the process that sent it still
runs, and no server is known to have closed a stream early.
"""

import asyncio
import collections
import dataclasses
from typing import Protocol

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    attempt_progress,
    forward,
    instance_check,
    jobs,
    relay,
)
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.telemetry import events as log_events

DISTRUST_S = 60.0
"""Time after a live server has closed a stream early in which no unmarked end
of its service counts without a confirmation. What closes streams early, such as
a proxy in front of the servers that restarts, does so in series."""

SETTLE_S = 1.0
"""Longest wait for the confirmations of other streams of the same service. They
show whether streams are closed early at the time."""

SUSPECT = "suspect"
"""Logged if a server that closed a stream early is not believed."""


EMPTY = "empty"
"""Logged if a server that has sent no event is not believed."""


class InstanceChecker(Protocol):
    """Asks servers who they are."""

    async def async_check(
        self, server: knowledge.BackendServer, sent_at: float, ended_at: float
    ) -> instance_check.Instance:
        """Returns whether a server is still the process that got a request.

        Args:
            server: The server, as it was registered when it got the request.
            sent_at: Loop time at which it got the request.
            ended_at: Loop time after which it has to be asked.
        """
        ...


class EarlyEnds:
    """Servers that are known to have closed streams early."""

    def __init__(self) -> None:
        self._ends: dict[str, dict[tuple[str, str, int], float]] = {}

    def record(self, server: knowledge.BackendServer, now: float) -> None:
        """Records that a server closed a stream early."""
        self._ends[server.service] = {
            incarnation: at
            for incarnation, at in self._of(server.service).items()
            if now - at < DISTRUST_S
        }
        self._ends[server.service][server.incarnation] = now

    def withdraw(self, server: knowledge.BackendServer) -> None:
        """Forgets the early ends of a server, whose process had died."""
        self._of(server.service).pop(server.incarnation, None)

    def is_suspect(self, service: str, now: float) -> bool:
        """Returns whether streams of a service may be closed early."""
        ends = self._of(service).values()
        return any(now - at < DISTRUST_S for at in ends)

    def _of(self, service: str) -> dict[tuple[str, str, int], float]:
        return self._ends.get(service, {})


@dataclasses.dataclass(slots=True, eq=False)
class Confirmation:
    """An end that other attempts are asked to confirm.

    Attributes:
        end: The end.
    """

    end: attempt_progress.UnconfirmedEnd
    _finished: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def finish(self) -> None:
        """Ends the wait for it; further calls have no effect."""
        self._finished.set()

    async def async_wait(self) -> None:
        """Waits until it is finished."""
        await self._finished.wait()


class StreamEndPolicy:
    """Decides whether an unmarked end is passed on as the end of a stream.

    Args:
        clock: Clock by which early ends are recorded.
        checker: Asks servers who they are.
    """

    def __init__(self, clock: core.Clock, checker: InstanceChecker) -> None:
        self._clock = clock
        self._checker = checker
        self._early = EarlyEnds()
        self._judgments: set[asyncio.Task[None]] = set()
        self._pending: collections.defaultdict[str, set[Confirmation]]
        self._pending = collections.defaultdict(set)

    def record(
        self,
        attempt: forward.Attempt,
        server: knowledge.BackendServer,
        events: relay.EventRelay,
        progress: attempt_progress.Progress,
    ) -> None:
        """Records how a server has ended a stream.

        Args:
            attempt: The attempt, which has streamed.
            server: Server of the attempt.
            events: Relay of the stream's events.
            progress: Progress of the job.
        """
        early = progress.record_stream_end(attempt, server, events)
        if early is not None:
            self._record_early(early)

    def begin(self, end: attempt_progress.UnconfirmedEnd) -> Confirmation:
        """Begins to confirm an end."""
        confirmation = Confirmation(end)
        self._pending[end.server.service].add(confirmation)
        return confirmation

    def refute(self, confirmation: Confirmation) -> None:
        """Records that a stream goes on after an end."""
        self._record_early(confirmation.end)
        self.finish(confirmation)

    def finish(self, confirmation: Confirmation) -> None:
        """Ends an attempt to confirm an end; further calls have no effect."""
        confirmation.finish()
        self._pending[confirmation.end.server.service].discard(confirmation)

    async def async_may_end(
        self, job: jobs.Job, end: attempt_progress.UnconfirmedEnd
    ) -> tuple[bool, str]:
        """Returns whether an end that no attempt confirmed counts.

        Args:
            job: Job of the stream.
            end: The end.

        Returns:
            Whether it does, and what is known about its server, for the log.
        """
        if end.attempt.is_unmarked_and_empty:
            return False, EMPTY
        await self._async_wait_for_others(job.service.name)
        if self._early.is_suspect(job.service.name, self._clock.monotonic()):
            return False, SUSPECT
        instance = await self._async_check(end)
        if not instance.is_alive:
            return False, instance.value
        if self._early.is_suspect(job.service.name, self._clock.monotonic()):
            return False, SUSPECT
        return True, instance.value

    async def _async_wait_for_others(self, service: str) -> None:
        """Waits until it is known whether streams are closed early now."""
        waits: list[asyncio.Future[None]] = [
            asyncio.ensure_future(confirmation.async_wait())
            for confirmation in self._pending[service]
        ]
        try:
            if waits:
                await asyncio.wait(waits, timeout=SETTLE_S)
        finally:
            for each in waits:
                each.cancel()
        if self._judgments:
            await asyncio.wait(self._judgments, timeout=SETTLE_S)

    def _record_early(self, end: attempt_progress.UnconfirmedEnd) -> None:
        if end.attempt.is_unmarked_and_empty:
            return  # It is not believed in any case.
        self._early.record(end.server, self._clock.monotonic())
        task = asyncio.create_task(self._async_judge(end))
        self._judgments.add(task)
        task.add_done_callback(self._judgments.discard)

    async def _async_judge(self, end: attempt_progress.UnconfirmedEnd) -> None:
        """Withdraws an early end if the server's process had died."""
        instance = await self._async_check(end)
        if not instance.is_alive:
            self._early.withdraw(end.server)
        log_events.write(
            log_events.StreamEndedEarly(end.server.name, instance.value)
        )

    async def _async_check(
        self, end: attempt_progress.UnconfirmedEnd
    ) -> instance_check.Instance:
        return await self._checker.async_check(
            end.server, end.attempt.sent_at, end.attempt.ended_at
        )
