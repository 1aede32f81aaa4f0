"""Acquires and releases permits of the dispatchers."""

import asyncio
from collections.abc import Callable

from tamarackbridge import core
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import const, forward
from tamarackbridge.components.entry import decider as entry_decider
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.records import models


class Permits:
    """Acquires and releases the permits of one router's requests."""

    def __init__(
        self,
        clock: core.Clock,
        decider: entry_decider.EntryDecider,
        inject: Callable[[core.Message], None],
    ) -> None:
        self._clock = clock
        self._decider = decider
        self._inject = inject

    async def async_acquire(
        self,
        request: entry_models.Request,
        avoid: tuple[str, ...],
        until: float,
    ) -> dispatch.Permitted | dispatch.Refused:
        """Requests a permit and waits for it until a monotonic time.

        Returns:
            The permit, or the reason why there is none.
        """
        request_id = request.request_id
        timeout_s = until - self._clock.monotonic()
        if timeout_s <= 0:
            return dispatch.Refused(request_id, const.Reason.DEADLINE, 1.0)
        future = self._decider.expect_permit(request_id)
        self._inject(
            dispatch.Want(
                request.service.name,
                request_id,
                request.workspace.name,
                request.end_user,
                request.route.name,
                request.hint_cost,
                timeout_s,
                avoid,
            )
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            self._withdraw(request_id, future)
            return dispatch.Refused(request_id, const.Reason.DEADLINE, 1.0)
        except asyncio.CancelledError:
            self._withdraw(request_id, future)
            raise
        finally:
            self._decider.forget_permit(request_id)

    def usable_server(
        self, permit: dispatch.Permitted
    ) -> models.BackendServer | None:
        """Returns the server of a permit; None if it may not be used now.

        It may not after `start_by`, nor if the server is no longer configured,
        is draining or is in a zone that is out.
        """
        snapshot = self._decider.snapshot
        server = snapshot.servers.get(permit.server)
        if server is None or not snapshot.is_usable(server):
            return None
        if self._clock.monotonic() >= permit.start_by:
            return None
        return server

    def is_usable(self, server: str) -> bool:
        """Returns whether new work may go to a server, permits aside."""
        snapshot = self._decider.snapshot
        known = snapshot.servers.get(server)
        return known is not None and snapshot.is_usable(known)

    def report_cost(self, request_id: str, cost: float) -> None:
        """Reports the cost of a running attempt so far to the dispatcher."""
        self._inject(dispatch.Used(request_id, cost))

    def release(
        self, request_id: str, attempt: forward.Attempt, cancelled: bool
    ) -> None:
        """Releases the permit of an attempt that has ended."""
        outcome = attempt.outcome
        if cancelled:
            outcome = dispatch.Outcome.CANCELLED
        self._inject(
            dispatch.Done(
                request_id, attempt.cost, outcome, attempt.first_byte_s
            )
        )

    def _withdraw(
        self,
        request_id: str,
        future: asyncio.Future[entry_decider.PermitAnswer],
    ) -> None:
        granted = future.done() and not future.cancelled()
        if granted and isinstance(future.result(), dispatch.Permitted):
            unused = dispatch.Done(request_id, 0.0, dispatch.Outcome.UNUSED)
            self._inject(unused)
        else:
            self._inject(dispatch.GiveUp(request_id))
