"""Reads request bodies within the memory budget."""

import asyncio
from collections.abc import Callable

from aiohttp import streams, web
import result

from tamarackbridge.components.gateway import (
    body_budget,
    large_body,
    rejections,
    request_body,
)

BODY_TIMEOUT_S = 5.0
"""Time limit for receiving a request body: the callers' shortest deadline is
1 s, and 4 MB take far less on their slowest link."""

RETRY_AFTER_S = 1.0
"""Retry-After of a body that finds no memory: the time of the longest wait."""

_Reason = rejections.Reason
_Verdict = body_budget.Verdict
_NO_ROOM = rejections.Rejection(_Reason.ROUTER_OVERLOADED, RETRY_AFTER_S)
_TOO_LARGE = rejections.Rejection(_Reason.TOO_LARGE)
_TOO_SLOW = rejections.Rejection(_Reason.BODY_TIMEOUT)


class _NoRoomError(Exception):
    """There is no memory for a body."""


class _TooLargeError(Exception):
    """A body without a stated length exceeds the maximum size."""


class BodyReader:
    """Reads bodies; each is charged to the budget before it is read."""

    def __init__(self, budget: body_budget.BodyBudget) -> None:
        self._budget = budget

    async def async_read(
        self,
        req: web.BaseRequest,
        max_bytes: int,
        time_left_s: float,
        begin: Callable[[], None],
    ) -> result.Result[
        tuple[request_body.RequestBody, body_budget.Holding | None],
        rejections.Rejection,
    ]:
        """Reads the body of a request.

        Args:
            req: HTTP request of the caller.
            max_bytes: Maximum size of a body.
            time_left_s: Time until the deadline of the request.
            begin: Called once the body is to be sent.

        Returns:
            The body and its memory, which the caller of this method releases
            to free both; None for an empty body.
        """
        content = req.content
        if content.is_eof():
            size = content.total_bytes
            if not size:
                return result.Ok((request_body.EMPTY, None))
            if size <= min(body_budget.SMALL_BYTES, max_bytes):
                return self._take_complete(req, size)
        stated = req.content_length
        if stated is not None and stated > max_bytes:
            return result.Err(_TOO_LARGE)
        reading = _Reading(
            self._budget,
            content,
            req.remote or "",
            max_bytes,
            min(body_budget.WAIT_S, time_left_s / 2),
        )
        try:
            async with reading.time_limit:
                body = await reading.async_run(
                    stated, begin, min(BODY_TIMEOUT_S, time_left_s)
                )
        except BaseException as exc:
            self._budget.release(reading.holding)
            if isinstance(exc, _NoRoomError):
                self._budget.counts.refused += 1
                return result.Err(_NO_ROOM)
            if isinstance(exc, _TooLargeError):
                return result.Err(_TOO_LARGE)
            if isinstance(exc, TimeoutError) and reading.time_limit.expired():
                return result.Err(_TOO_SLOW)
            raise
        self._budget.finish_reading(reading.holding, len(body))
        return result.Ok((body, reading.holding))

    def _take_complete(
        self, req: web.BaseRequest, size: int
    ) -> result.Result[
        tuple[request_body.RequestBody, body_budget.Holding | None],
        rejections.Rejection,
    ]:
        """Returns a small body that has been received already."""
        holding = body_budget.Holding("", body_budget.Use.HELD)
        if not self._budget.charge_complete(holding, size):
            self._budget.counts.refused += 1
            return result.Err(_NO_ROOM)
        body = request_body.RequestBody(req.content.read_nowait())
        holding.free = body.release
        return result.Ok((body, holding))


class _Reading:
    """One body that is being read.

    Attributes:
        holding: Memory of the body.
        time_limit: Ends the reading when it expires.
    """

    def __init__(
        self,
        budget: body_budget.BodyBudget,
        content: streams.StreamReader,
        address: str,
        max_bytes: int,
        wait_s: float,
    ) -> None:
        self._budget = budget
        self._content = content
        self._max_bytes = max_bytes
        self._wait_s = wait_s
        self._loop = asyncio.get_running_loop()
        self._granted: asyncio.Future[None] | None = None
        self._large: large_body.LargeBody | None = None
        self.time_limit = asyncio.timeout(None)
        self.holding = body_budget.Holding(
            address,
            received=lambda: content.total_bytes,
            cut=self._cut,
            grant=self._grant,
            free=self._free,
        )

    def _free(self) -> None:
        if self._large is not None:
            self._large.close()

    def _cut(self) -> None:
        # A limit that has expired ends the body in this step of the loop.
        if not self._content.is_eof() and not self.time_limit.expired():
            self.time_limit.reschedule(self._loop.time())

    def _grant(self) -> None:
        if self._granted is not None and not self._granted.done():
            self._granted.set_result(None)

    async def async_run(
        self, stated: int | None, begin: Callable[[], None], limit_s: float
    ) -> request_body.RequestBody:
        """Returns the body once it is complete.

        Args:
            stated: Length that the head states; None for chunks.
            begin: Called once the first bytes are charged.
            limit_s: Time limit once they are charged.
        """
        first = body_budget.STEP_BYTES if stated is None else stated
        await self._async_charge(first)
        self.time_limit.reschedule(self._loop.time() + limit_s)
        begin()
        parts: list[bytes] = []
        size = 0
        if first > body_budget.SMALL_BYTES:
            self._large = large_body.LargeBody(first)
        while True:
            if size == self.holding.size and stated is None:
                if size > self._max_bytes:
                    raise _TooLargeError
                room = min(size + body_budget.STEP_BYTES, self._max_bytes + 1)
                await self._async_charge(room)
                self._enlarge(room, parts)
                parts = []
            data = await self._content.read(max(self.holding.size - size, 1))
            if not data:
                break
            size += len(data)
            if self._large is None:
                parts.append(data)
            else:
                self._large.append(data)
        if size > self._max_bytes:
            raise _TooLargeError
        body = request_body.RequestBody(
            b"".join(parts) if self._large is None else self._large
        )
        self.holding.free = body.release
        return body

    def _enlarge(self, size: int, parts: list[bytes]) -> None:
        """Makes room for a body that grows beyond a small one."""
        if self._large is not None:
            self._large.resize(size)
            return
        self._large = large_body.LargeBody(size)
        for part in parts:
            self._large.append(part)

    async def _async_charge(self, size: int) -> None:
        """Waits until the body is charged, for a bounded time."""
        verdict = self._budget.charge(self.holding, size)
        if verdict is _Verdict.GRANTED:
            return
        if verdict is _Verdict.REFUSED:
            raise _NoRoomError
        self._granted = self._loop.create_future()
        _, pending = await asyncio.wait((self._granted,), timeout=self._wait_s)
        if pending:
            self._budget.abandon(self.holding)
            raise _NoRoomError
