"""The shared view of the fleet's work, and what each other router is told."""

from collections.abc import Callable, Collection, Mapping
import dataclasses
import math

import msgspec

from tamarackbridge.components.admission import engine_load, shares
from tamarackbridge.components.fleet import (
    groups,
    hearsay,
    messages,
    peers,
    spares,
    summary,
    wording,
)
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.placement import ledger, notices, parts
from tamarackbridge.components.telemetry import events
from tamarackbridge.helpers import rendezvous

HUB_SILENT_S = 0.7
"""A hub that tells nothing for this long is not relied on: two of its messages
were lost, and 0.2 s of processor time went elsewhere."""

LIST_S = 0.4
"""Interval at which lists of routers go along, and at most that of uses: a
tenth of the window over which use is compared."""

USE_S = 0.1
"""Interval at which uses of a few workspaces go along; over the hubs they take
three times as long to all routers."""

USE_FOR_EACH_S = 0.001
"""The same for each workspace that was served lately, so that a router with
many followers spends some hundredths of a core on it."""

PROBE_S = 1.0
"""Interval at which hubs that are not live are told all the same, so that two
sides of a partition find each other again."""

_Way = messages.Way


@dataclasses.dataclass(frozen=True, slots=True)
class Own:
    """What sharing reads of this router.

    Attributes:
        work: Work at all servers.
        held: Prompt parts that servers hold.
        use: Returns the use of workspaces here.
        seen: Returns how busy this router sees the engines.
        fresh_parts: Takes the prompt parts that the others don't know of.
        read_per_s: Returns the prompt tokens that a server reads in a second.
        editions: Returns how far this router's knowledge reaches.
        notices: What servers said of taking more work.
        spare_cores: Returns what this router has to spare of its processor.
    """

    work: ledger.Ledger
    held: parts.HeldParts
    use: Callable[[], Mapping[str, shares.Usage]]
    seen: Callable[[], engine_load.ObservedLoad]
    fresh_parts: Callable[[], list[tuple[str, int]]]
    read_per_s: Callable[[str], float]
    editions: Callable[[], tuple[knowledge.Edition, ...]]
    notices: notices.Notices
    spare_cores: Callable[[], float] = lambda: 0.0


@dataclasses.dataclass(slots=True)
class _Told:
    """What one other router told last."""

    way: messages.Way
    at: float
    use_at: float
    reader: str = ""
    away: bool = False
    use: Mapping[str, shares.Usage] = dataclasses.field(default_factory=dict)
    seen: engine_load.ObservedLoad = engine_load.NO_LOAD
    routers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    spare_cores: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """What follows from a report.

    Attributes:
        is_lost: Whether its sender knows too few routers.
        is_news: Whether the others should soon hear of it.
    """

    is_lost: bool = False
    is_news: bool = False


class SharedView:
    """Merges what other routers tell, and words what they are told.

    Attributes:
        peers: The other routers.
        spares: What those of the same zone have to spare of their processors.
    """

    def __init__(self, address: str, zone: str, own: Own) -> None:
        self.peers = peers.Peers(address, zone)
        self.spares = spares.Spares()
        self._address = address
        self._zone = zone
        self._own = own
        self._told: dict[str, _Told] = {}
        self._place = groups.Place(None, frozenset())
        self._asked_since: dict[str, float] = {}
        self._live: dict[str, str] = {}
        self._silent: frozenset[str] = frozenset()
        self._held: list[tuple[str, str, int]] = []
        self._listed_at = -math.inf
        self._used_at = -math.inf
        self._use_interval_s = USE_S
        self._probed_at = -math.inf

    @property
    def hub(self) -> str | None:
        """The hub that this router reports to; None if it is one itself."""
        return self._place.hub

    def teller(self, now: float) -> str:
        """Returns who tells this router what the store holds; empty for none.

        A hub that relies on this router for it tells nothing new, and neither
        does one that the store turns away.
        """
        asked = {self._place.hub} if self._place.hub else self._place.readers
        for router in rendezvous.rank(self._address, asked):
            told = self._told.get(router)
            if told is None or now - told.at >= HUB_SILENT_S or told.away:
                continue
            if told.reader != self._address:
                return router
        return ""

    def follows(self, router: str) -> bool:
        """Whether another router relies on this one for what it knows."""
        told = self._told.get(router)
        if told is None:
            return False
        return told.way is _Way.UP or told.reader == self._address

    def use_elsewhere(self) -> dict[str, shares.Usage]:
        """Returns the use of workspaces at the other routers."""
        found = (summary.Summary({}, it.use, {}) for it in self._told.values())
        return dict(summary.total(found).use)

    def seen_elsewhere(self) -> engine_load.ObservedLoad:
        """Returns how busy the other routers see the engines."""
        found = engine_load.NO_LOAD
        for it in self._told.values():
            found = found.plus(it.seen)
        return found

    def use_age_s(self, now: float) -> float:
        """Returns the age of the oldest use that another router told."""
        return max((now - it.use_at for it in self._told.values()), default=0.0)

    def hear(
        self, src: str, msg: messages.Report, age_s: float, now: float
    ) -> Heard:
        """Takes a report."""
        if self.peers.heard(src, now):
            events.write(events.RouterHeard(src))
        if msg.ends:
            self._forget(src, now)
            return Heard()
        if not self._accepts(src, msg.way):
            return Heard(is_lost=msg.way is _Way.ACROSS)
        told = self._told.get(src)
        if told is None or told.way is not msg.way:
            told = self._told[src] = _Told(msg.way, now, now)
        told.at = now
        told.reader = msg.reader
        told.away = any(it.away for it in msg.editions)
        sent_at = now - age_s
        if msg.use is not None:
            told.use = summary.use_heard(msg.use)
            told.use_at = sent_at - msg.use_age_ms / hearsay.MS_PER_S
        if msg.seen is not None:
            told.seen = summary.seen_heard(msg.seen)
        if msg.routers is not None:
            self._take_list(told, msg.routers, now)
        work = summary.work_heard(msg.work)
        is_news = self._own.work.hear(src, ledger.Told(work, sent_at))
        is_news &= msg.way is _Way.UP
        self._take_held(src, msg.held, sent_at)
        is_news |= hearsay.take(self._own.notices, src, msg, sent_at)
        unknown = src not in self._place.hubs and src in self._live
        return Heard(
            is_lost=msg.way is _Way.ACROSS and unknown,
            is_news=is_news,
        )

    def settle(self, now: float) -> list[wording.Outgoing]:
        """Drops silent routers and finds this one's place anew.

        Returns:
            What a router that this one no longer reports to is told.
        """
        for src, told in list(self._told.items()):
            if now - told.at > peers.SILENT_S:
                silent_s = round(now - told.at, 3)
                events.write(events.RouterSilent(src, silent_s))
                self._forget(src, now)
        self._mute_silent_hubs(now)
        live = self.peers.live(now)
        silent = self.peers.muted(now)
        if live == self._live and silent == self._silent:
            return []
        self._live = live
        self._silent = silent
        return self._move(groups.place(self._address, live, silent), now)

    def outgoing(self, now: float) -> list[wording.Outgoing]:
        """Returns the reports that are due now."""
        turn = self._turn(now)
        below = {
            src: self._summary(src, turn, now)
            for src, told in self._told.items()
            if told.way is _Way.UP
        }
        followers = dict(below)
        below[self._address] = self._own_summary(turn)
        found = self._reports_down(turn, below, followers, now)
        targets = set(self._place.hubs) - below.keys()
        if now - self._probed_at >= PROBE_S and self._place.hub is None:
            self._probed_at = now
            targets |= self._lost_hubs() - below.keys()
        age_ms = self._use_age_ms(followers, now)
        if self._place.hub is not None:
            up = wording.onward(turn, _Way.UP, below, age_ms)
            found.append(wording.Outgoing(self._place.hub, up))
        elif targets:
            across = wording.onward(turn, _Way.ACROSS, below, age_ms)
            across = msgspec.structs.replace(across, reader=self.teller(now))
            found.extend(wording.Outgoing(to, across) for to in sorted(targets))
        self._held.clear()
        return found

    def _turn(self, now: float) -> wording.Turn:
        """Returns what goes along with the reports that are due now."""
        lists = now - self._listed_at >= LIST_S
        if lists:
            self._listed_at = now
        uses = now - self._used_at >= self._use_interval_s
        said = hearsay.NOTHING
        if self._own.notices.take_news() or lists:
            said = hearsay.said(self._own.notices, now)
        for server, chain in self._own.fresh_parts():
            self._held.append((self._address, server, chain))
        if uses:
            self._used_at = now
        return wording.Turn(
            lists, uses, said, tuple(self._held), self._own.editions()
        )

    def introduction(self, now: float) -> messages.Introduction:
        """Returns the live routers, for one that does not know them."""
        live = self.peers.live(now)
        return messages.Introduction(summary.routers_told(live, {}))

    def meet(self, msg: messages.Introduction, now: float) -> None:
        """Takes the routers that another one knows."""
        for address, zone in summary.routers_heard(msg.routers).items():
            self.peers.know(address, zone, now)

    def _mute_silent_hubs(self, now: float) -> None:
        """Finds other hubs for those that have not been heard in time."""
        for hub, since in self._asked_since.items():
            if now - since < HUB_SILENT_S:
                continue
            if not self.peers.heard_since(hub, now - HUB_SILENT_S):
                self.peers.mute(hub, now)

    def _accepts(self, src: str, way: messages.Way) -> bool:
        if way is _Way.UP:
            return True
        if way is _Way.DOWN:
            return src == self._place.hub
        return self._place.hub is None

    def _take_list(
        self,
        told: _Told,
        routers: tuple[messages.ZoneRouters, ...],
        now: float,
    ) -> None:
        told.routers = summary.routers_heard(routers)
        told.spare_cores = summary.spare_heard(routers)
        for address, cores in told.spare_cores.items():
            if told.routers[address] == self._zone:
                self.spares.hear(address, cores, now)
        for it in routers:
            self.peers.listed(it.zone, it.addresses, now)

    def _take_held(
        self, src: str, held: tuple[messages.Held, ...], at: float
    ) -> None:
        for it in held:
            for chain in it.chains:
                if self._own.held.note(it.server, chain, at):
                    self._held.append((src, it.server, chain))

    def _forget(self, src: str, now: float) -> None:
        self._told.pop(src, None)
        self._own.work.forget(src, now)

    def _move(self, new: groups.Place, now: float) -> list[wording.Outgoing]:
        old, self._place = self._place, new
        if old == new:
            return []
        events.write(events.PlaceChanged(new.hub or "", len(new.hubs)))
        for src, told in list(self._told.items()):
            if not self._accepts(src, told.way):
                self._forget(src, now)
        asked = new.hubs if new.hub is None else {new.hub}
        self._asked_since = {
            hub: self._asked_since.get(hub, now) for hub in asked
        }
        if old.hub is None or old.hub == new.hub:
            return []
        return [wording.Outgoing(old.hub, messages.Report(_Way.UP, ends=True))]

    def _own_summary(self, turn: wording.Turn) -> summary.Summary:
        own = self._own
        return summary.Summary(
            own.work.own(),
            own.use() if turn.uses else {},
            {self._address: self._zone} if turn.lists else {},
            own.seen() if turn.uses else engine_load.NO_LOAD,
            {self._address: own.spare_cores()} if turn.lists else {},
        )

    def _summary(
        self, src: str, turn: wording.Turn, now: float
    ) -> summary.Summary:
        told = self._told[src]
        return summary.Summary(
            self._own.work.told_by(src, now, self._own.read_per_s),
            told.use if turn.uses else {},
            told.routers if turn.lists else {},
            told.seen if turn.uses else engine_load.NO_LOAD,
            told.spare_cores if turn.lists else {},
        )

    def _reports_down(
        self,
        turn: wording.Turn,
        below: Mapping[str, summary.Summary],
        followers: Mapping[str, summary.Summary],
        now: float,
    ) -> list[wording.Outgoing]:
        if not followers:
            return []
        beside = (
            self._summary(src, turn, now)
            for src, told in self._told.items()
            if told.way is not _Way.UP
        )
        whole = summary.total([*below.values(), *beside])
        if turn.uses:
            each_s = USE_FOR_EACH_S * len(whole.use)
            self._use_interval_s = min(max(USE_S, each_s), LIST_S)
        ages_ms = {
            to: self._use_age_ms(self._told.keys() - {to}, now)
            for to in followers
        }
        reports = wording.down(turn, whole, followers, ages_ms)
        return [wording.Outgoing(to, report) for to, report in reports.items()]

    def _use_age_ms(self, parts: Collection[str], now: float) -> int:
        """Returns the age of the oldest use among what these routers told."""
        ages = (now - self._told[src].use_at for src in parts)
        return round(max(ages, default=0.0) * hearsay.MS_PER_S)

    def _lost_hubs(self) -> set[str]:
        """Returns the hubs that this router would tell if all were heard."""
        known = self.peers.known()
        if known.keys() == self._live.keys() and not self._silent:
            return set()
        wanted = groups.place(self._address, known)
        return set(wanted.hubs) - self._place.hubs
