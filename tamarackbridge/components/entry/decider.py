"""Connects the entry's coroutines to the deciders of its router."""

import asyncio
from collections.abc import Sequence
from typing import ClassVar, TypeVar

from tamarackbridge import core
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.records import models

_T = TypeVar("_T")

PermitAnswer = dispatch.Permitted | dispatch.Refused


class EntryDecider:
    """A decider that resolves the futures on which coroutines wait.

    Attributes:
        snapshot: The configuration in force; empty until one arrives.
        serving: Whether the router may start new requests.
        not_serving_reason: Why it may not, as shown to callers.
        open_claims: Identifiers of requests whose claim is not closed yet.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        dispatch.Permitted,
        dispatch.Refused,
        claims.ClaimResult,
        claims.ClaimClosed,
        configuration.SnapshotInForce,
        configuration.ServingChanged,
    )

    def __init__(self) -> None:
        self.snapshot = models.empty_snapshot()
        self.serving = False
        self.not_serving_reason = "no configuration yet"
        self.open_claims: set[str] = set()
        self._permits: dict[str, asyncio.Future[PermitAnswer]] = {}
        self._claims: dict[str, asyncio.Future[claims.ClaimResult]] = {}

    def expect_permit(self, request_id: str) -> asyncio.Future[PermitAnswer]:
        """Returns a future for the answer to a `Want` of this request."""
        future: asyncio.Future[PermitAnswer]
        future = asyncio.get_running_loop().create_future()
        self._permits[request_id] = future
        return future

    def forget_permit(self, request_id: str) -> None:
        """Drops the future for a permit; a later answer is ignored."""
        self._permits.pop(request_id, None)

    def expect_claim(
        self, request_id: str
    ) -> asyncio.Future[claims.ClaimResult]:
        """Returns a future for the result of a `ClaimWant` of this request."""
        future: asyncio.Future[claims.ClaimResult]
        future = asyncio.get_running_loop().create_future()
        self._claims[request_id] = future
        return future

    def forget_claim(self, request_id: str) -> None:
        """Drops the future for a claim; a later result is ignored."""
        self._claims.pop(request_id, None)

    def add_open_claim(self, request_id: str) -> None:
        """Marks the claim of a request as not closed yet."""
        self.open_claims.add(request_id)

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Resolves the future that a message answers, or updates the state."""
        del now  # The waiting coroutines apply their own timeouts.
        match delivery.msg:
            case dispatch.Permitted() | dispatch.Refused() as answer:
                _resolve(self._permits.pop(answer.request_id, None), answer)
            case claims.ClaimResult() as claim_result:
                _resolve(
                    self._claims.pop(claim_result.request_id, None),
                    claim_result,
                )
            case claims.ClaimClosed(request_id=request_id):
                self.open_claims.discard(request_id)
            case configuration.SnapshotInForce(snapshot=snapshot):
                self.snapshot = snapshot
            case configuration.ServingChanged() as change:
                self.serving = change.serving
                self.not_serving_reason = change.reason
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing: the waiting coroutines apply their own timeouts."""
        del now
        return ()


def _resolve(future: "asyncio.Future[_T] | None", value: _T) -> None:
    if future is not None and not future.done():
        future.set_result(value)
