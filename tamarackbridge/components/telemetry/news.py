"""Logs changes of state that deciders tell of, one line each."""

from collections.abc import Sequence
from typing import ClassVar

from absl import logging

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import messages as membership


class NewsLog:
    """A decider that only listens and logs."""

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
        """Logs one piece of news if it is new."""
        del now
        match delivery.msg:
            case configuration.ServingChanged() as news:
                self._on_serving(news)
            case configuration.SnapshotInForce(snapshot=snapshot):
                logging.info("generation in force: %d", snapshot.generation)
            case dispatch.LeaseHeld(fresh=True) as news:
                logging.info("lease held: %s epoch %d", news.shard, news.epoch)
            case dispatch.LeaseLost() as news:
                logging.info("lease lost: %s epoch %d", news.shard, news.epoch)
            case dispatch.ShardHolder() as news:
                self._on_holder(news)
            case membership.RosterChanged(live=live):
                self._on_live(tuple(sorted(live)))
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        del now
        return ()

    def _on_serving(self, news: configuration.ServingChanged) -> None:
        if news.serving == self._serving:
            return
        self._serving = news.serving
        if news.serving:
            logging.info("serving")
        else:
            logging.warning("not serving: %s", news.reason)

    def _on_holder(self, news: dispatch.ShardHolder) -> None:
        held = (news.holder, news.epoch)
        if self._holders.get(news.shard) == held:
            return
        self._holders[news.shard] = held
        holder = news.holder or "nobody"
        logging.info(
            "shard dispatched: %s by %s epoch %d",
            news.shard,
            holder,
            news.epoch,
        )

    def _on_live(self, live: tuple[str, ...]) -> None:
        if live == self._live:
            return
        self._live = live
        logging.info("members live: %s", ", ".join(live))
