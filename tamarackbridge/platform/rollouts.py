"""Translates rollout orders of the store, and writes their status."""

import contextlib
import dataclasses
from typing import Any

import msgspec
import result

from tamarackbridge.components.knowledge import models, source
from tamarackbridge.components.rollout import const as rollout_const
from tamarackbridge.platform import const, entries, records, store

MAX_TEXT = 200
"""Characters of a wrong value that are logged."""


class _Spec(msgspec.Struct):
    service: str
    target: str
    duration_s: float


class _Status(msgspec.Struct):
    state: str
    target: str


class _Stored(msgspec.Struct):
    metadata: entries.Metadata


_STORED = msgspec.json.Decoder(_Stored)


def order(item: store.StoredObject) -> models.RolloutOrder:
    """Converts an order; one that can't be carried out says why."""
    raw = item.spec if isinstance(item.spec, dict) else {}
    spec = _Spec(_text(raw, "service"), _text(raw, "target"), 0.0)
    error = ""
    try:
        spec = msgspec.convert(item.spec, _Spec)
    except (msgspec.ValidationError, RecursionError) as exc:
        error = str(exc)[:MAX_TEXT]
    shortest = rollout_const.MIN_DURATION_S
    longest = rollout_const.MAX_DURATION_S
    if not error and not shortest <= spec.duration_s <= longest:
        error = (
            f"expected duration_s from {shortest:g} to {longest:g}, got"
            f" {spec.duration_s:g}"
        )
    if not error and not 0 < len(spec.target) <= MAX_TEXT:
        error = f"expected a target of 1 to {MAX_TEXT} characters"
    if not error and spec.service != item.name:
        error = (
            f"expected service {item.name!r}, got {spec.service[:MAX_TEXT]!r}"
        )
    state, status_error = _state(item.status, spec.target)
    return models.RolloutOrder(
        name=item.name,
        service=spec.service,
        target=spec.target,
        duration_s=spec.duration_s,
        created=item.created if 0 <= item.created <= records.MAX_NUMBER else 0,
        revision=item.revision,
        state=state,
        error=error,
        status_error=status_error,
    )


def _text(raw: dict[str, Any], key: str) -> str:
    value = raw.get(key)
    return value if isinstance(value, str) else ""


def _state(status: Any, target: str) -> tuple[models.RolloutState, str]:
    """Returns the state of a status, and why it is ignored if it is."""
    if not status:
        return models.RolloutState.NONE, ""
    try:
        found = msgspec.convert(status, _Status)
    except (msgspec.ValidationError, RecursionError) as exc:
        return models.RolloutState.NONE, str(exc)[:MAX_TEXT]
    if found.target != target:
        shown = found.target[:MAX_TEXT]
        return models.RolloutState.NONE, f"status of target {shown!r}"
    try:
        return models.RolloutState(found.state), ""
    except ValueError:
        shown = found.state[:MAX_TEXT]
        return models.RolloutState.NONE, f"unknown state {shown!r}"


class StoreStatus:
    """Status of rollout orders in the platform's store."""

    def __init__(self, client: store.Store, data_source: source.Source) -> None:
        self._client = client
        self._source = data_source

    async def async_write_status(
        self, order: models.RolloutOrder, state: models.RolloutState
    ) -> result.Result[models.RolloutOrder, source.StatusFailure]:
        """Writes a status if the order has not changed since it was read."""
        body = {
            "metadata": {"name": order.name, "revision": order.revision},
            "status": {"state": state.value, "target": order.target},
        }
        answer = await self._client.async_put_status(
            const.KIND_ROLLOUTS, order.name, body
        )
        if isinstance(answer, result.Err):
            if answer.err_value is store.Failure.CONFLICT:
                return result.Err(source.StatusFailure.CONFLICT)
            return result.Err(source.StatusFailure.UNREACHABLE)
        return result.Ok(_written(answer.ok_value, order, state))

    async def async_read(self) -> source.Answer:
        """Returns all orders."""
        return await self._source.async_all(source.Kind.ROLLOUTS)


def _written(
    data: bytes, order: models.RolloutOrder, state: models.RolloutState
) -> models.RolloutOrder:
    """Returns an order after a write that the store has confirmed."""
    revision = order.revision
    with contextlib.suppress(msgspec.MsgspecError):
        revision = max(_STORED.decode(data).metadata.revision, revision)
    return dataclasses.replace(order, state=state, revision=revision)
