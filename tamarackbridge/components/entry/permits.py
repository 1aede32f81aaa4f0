"""Waits for permits and gives them back."""

import asyncio
from collections.abc import Callable

from tamarackbridge import core
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import const, forward
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.entry import port as entry_port
from tamarackbridge.components.records import models


class Permits:
    """The permits of one router's requests."""

    def __init__(
        self,
        clock: core.Clock,
        port: entry_port.EntryPort,
        inject: Callable[[core.Message], None],
    ) -> None:
        self._clock = clock
        self._port = port
        self._inject = inject

    async def async_wait(
        self,
        request: entry_models.Request,
        avoid: tuple[str, ...],
        until: float,
    ) -> dispatch.Permitted | dispatch.Refused:
        """Waits for a permit until a monotonic time."""
        request_id = request.request_id
        left_s = until - self._clock.monotonic()
        if left_s <= 0:
            return dispatch.Refused(request_id, const.Reason.DEADLINE, 1.0)
        fut = self._port.expect_permit(request_id)
        self._inject(
            dispatch.Want(
                request.service.name,
                request_id,
                request.workspace.name,
                request.end_user,
                request.route.name,
                request.hint_cost,
                left_s,
                avoid,
            )
        )
        try:
            async with asyncio.timeout(left_s):
                return await fut
        except TimeoutError:
            self._give_up(request_id, fut)
            return dispatch.Refused(request_id, const.Reason.DEADLINE, 1.0)
        except asyncio.CancelledError:
            self._give_up(request_id, fut)
            raise
        finally:
            self._port.forget_permit(request_id)

    def server(self, permit: dispatch.Permitted) -> models.BackendServer | None:
        """Returns where a permit may be used now; None if nowhere."""
        snapshot = self._port.snapshot
        server = snapshot.servers.get(permit.server)
        if server is None or not snapshot.is_usable(server):
            return None
        if self._clock.monotonic() >= permit.start_by:
            return None
        return server

    def used(self, request_id: str, used: float) -> None:
        """Reports the cost of a running attempt so far."""
        self._inject(dispatch.Used(request_id, used))

    def give_back(
        self, request_id: str, attempt: forward.Attempt, cancelled: bool
    ) -> None:
        """Reports the end of an attempt."""
        outcome = attempt.outcome
        if cancelled:
            outcome = dispatch.Outcome.CANCELLED
        self._inject(
            dispatch.Done(
                request_id, attempt.used, outcome, attempt.first_byte_s
            )
        )

    def _give_up(
        self, request_id: str, fut: asyncio.Future[entry_port.PermitAnswer]
    ) -> None:
        granted = fut.done() and not fut.cancelled()
        if granted and isinstance(fut.result(), dispatch.Permitted):
            unused = dispatch.Done(request_id, 0.0, dispatch.Outcome.UNUSED)
            self._inject(unused)
        else:
            self._inject(dispatch.GiveUp(request_id))
