"""Logs changes of the router's state, one line each."""

from collections.abc import Sequence
from typing import ClassVar

from absl import logging

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import messages as membership


class StateChangeLog:
    """Decider that logs the local messages about state changes, and sends none.

    Whether the router serves, the holder of a shard and the live routers are
    logged only when they change.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        configuration.ServingChanged,
        configuration.SnapshotInForce,
        dispatch.LeaseHeld,
        dispatch.LeaseLost,
        dispatch.ShardHolder,
        membership.RosterChanged,
    )

    def __init__(self) -> None:
        self._live: tuple[str, ...] = ()
        self._holders: dict[str, tuple[str, int]] = {}
        self._serving: bool | None = None

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Logs the change that a message reports."""
        del now
        match delivery.msg:
            case configuration.ServingChanged() as msg:
                self._handle_serving(msg)
            case configuration.SnapshotInForce(snapshot=snapshot):
                logging.info(
                    "configuration generation in force: %d", snapshot.generation
                )
            case dispatch.LeaseHeld(fresh=True) as msg:
                logging.info(
                    "shard lease acquired: %s, epoch %d", msg.shard, msg.epoch
                )
            case dispatch.LeaseLost() as msg:
                logging.info(
                    "shard lease lost: %s, epoch %d", msg.shard, msg.epoch
                )
            case dispatch.ShardHolder() as msg:
                self._handle_holder(msg)
            case membership.RosterChanged(live=live):
                self._handle_roster(tuple(sorted(live)))
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        del now
        return ()

    def _handle_serving(self, msg: configuration.ServingChanged) -> None:
        if msg.serving == self._serving:
            return
        self._serving = msg.serving
        if msg.serving:
            logging.info("serving")
        else:
            logging.warning("not serving: %s", msg.reason)

    def _handle_holder(self, msg: dispatch.ShardHolder) -> None:
        latest = (msg.holder, msg.epoch)
        if self._holders.get(msg.shard) == latest:
            return
        self._holders[msg.shard] = latest
        holder = msg.holder or "nobody"
        logging.info(
            "shard dispatcher changed: %s is dispatched by %s, epoch %d",
            msg.shard,
            holder,
            msg.epoch,
        )

    def _handle_roster(self, live: tuple[str, ...]) -> None:
        if live == self._live:
            return
        self._live = live
        logging.info("live routers: %s", ", ".join(live))
