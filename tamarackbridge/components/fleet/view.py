"""Merges the reports of other routers and builds the reports to them."""

from collections.abc import Callable, Collection, Mapping
import dataclasses
import math

import msgspec

from tamarackbridge.components.admission import (
    observed_load,
    service_demand,
    shares,
)
from tamarackbridge.components.fleet import (
    crash_reports,
    groups,
    messages,
    notice_reports,
    peer_headroom,
    peers,
    report_builder,
    rollout_reports,
    speed_reports,
    summary,
)
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.placement import (
    ledger,
    notices,
    prefix_cache,
    quarantine,
    speed_store,
)
from tamarackbridge.components.rollout import const as rollout_const
from tamarackbridge.components.rollout import gate
from tamarackbridge.components.telemetry import events
from tamarackbridge.helpers import rendezvous

HUB_SILENT_S = 0.7
"""A hub without a message for this long is not relied on. This allows for two
lost messages and for 0.2 s in which the hub gets no processor time."""

ROUTERS_INTERVAL_S = 0.4
"""Interval at which reports list routers, and the longest at which they contain
use: a tenth of the window over which use is compared."""

MIN_USE_INTERVAL_S = 0.1
"""Shortest interval at which reports contain use. Use that passes through hubs
takes three times as long to reach all routers."""

USE_INTERVAL_PER_WORKSPACE_S = 0.001
"""Shortest interval between reports that contain use, for each workspace that
was served lately, so that a hub with many members spends a few hundredths of a
core on them."""

PROBE_INTERVAL_S = 1.0
"""Interval at which reports are also sent to hubs that are not live, so that
the two sides of a partition find each other again."""

_Direction = messages.Direction


@dataclasses.dataclass(frozen=True, slots=True)
class LocalState:
    """What the shared view reads of this router.

    Attributes:
        work: Work in flight at all servers.
        cache_index: Prompt blocks that servers hold.
        use: Returns the use of workspaces at this router.
        engine_load: Returns the engine load that this router observes.
        take_new_blocks: Returns the prompt blocks that the other routers don't
            know of, as pairs of server and block hash, and clears them.
        prefill_tokens_per_s: Returns the prompt tokens that a server prefills
            in a second.
        versions: Returns the version and age of this router's copy of the
            store's data, by kind.
        server_notices: Announced shutdowns and rejections of servers.
        block_quarantine: Evidence against prompt blocks.
        headroom_cores: Returns this router's processor headroom, in cores.
        speeds: Learned speeds of servers; None if none are learned.
        demand: Demand for services without model engines.
        rollouts: The rollout orders; None if they are not carried out.
    """

    work: ledger.ReservationLedger
    cache_index: prefix_cache.PrefixCacheIndex
    use: Callable[[], Mapping[str, shares.Usage]]
    engine_load: Callable[[], observed_load.ObservedLoad]
    take_new_blocks: Callable[[], list[tuple[str, int]]]
    prefill_tokens_per_s: Callable[[str], float]
    versions: Callable[[], tuple[knowledge.Edition, ...]]
    server_notices: notices.ServerNotices
    block_quarantine: quarantine.BlockQuarantine
    headroom_cores: Callable[[], float] = lambda: 0.0
    speeds: speed_store.SpeedStore | None = None
    demand: service_demand.ServiceDemand = dataclasses.field(
        default_factory=service_demand.ServiceDemand
    )
    rollouts: gate.Gate | None = None


@dataclasses.dataclass(slots=True)
class _PeerState:
    """The state that one other router reported last.

    Attributes:
        direction: Direction of its reports.
        received_at: Time at which the last report arrived.
        use_at: Time of the oldest value in `use`.
        store_reader: Hub from which it gets the store's data; empty if it
            reads the store itself, or if it is no hub.
        has_no_store: Whether its last call to the store gave nothing.
        use: Use by workspace.
        engine_load: Engine load that it and its group observe.
        routers: The routers that its reports cover, each with its zone.
        headroom_cores: Processor headroom of these routers, in cores.
    """

    direction: messages.Direction
    received_at: float
    use_at: float
    store_reader: str = ""
    has_no_store: bool = False
    use: Mapping[str, shares.Usage] = dataclasses.field(default_factory=dict)
    engine_load: observed_load.ObservedLoad = observed_load.NO_LOAD
    routers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    headroom_cores: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReportEffect:
    """What a received report calls for.

    Attributes:
        needs_introduction: Whether its sender knows too few routers.
        is_urgent: Whether the other routers should get a report soon.
    """

    needs_introduction: bool = False
    is_urgent: bool = False


class SharedView:
    """The state of the other routers, and the reports that are due to them.

    Attributes:
        peers: The other routers.
        peer_headroom: Processor headroom of those in the same zone.
    """

    def __init__(self, address: str, zone: str, own: LocalState) -> None:
        self.peers = peers.Peers(address, zone)
        self.peer_headroom = peer_headroom.PeerHeadroom()
        self._address = address
        self._zone = zone
        self._own = own
        self._speed_reports = speed_reports.SpeedReports(own.speeds, own.demand)
        self._states: dict[str, _PeerState] = {}
        self._role = groups.Role(None, frozenset())
        self._expected_since: dict[str, float] = {}
        self._live: dict[str, str] = {}
        self._unresponsive: frozenset[str] = frozenset()
        self._new_blocks: list[tuple[str, str, int]] = []
        self._routers_sent_at = -math.inf
        self._use_sent_at = -math.inf
        self._use_interval_s = MIN_USE_INTERVAL_S
        self._probed_at = -math.inf
        self._rollouts_sent_at = -math.inf

    @property
    def hub(self) -> str | None:
        """The hub that this router reports to; None if it is one itself."""
        return self._role.hub

    def store_reader(self, now: float) -> str:
        """Returns the hub from which this router gets the store's data.

        Returns an empty string if there is none, so that this router has to
        read the store itself. A hub that gets the data from this router has
        nothing new for it, and neither has one whose last call to the store
        gave nothing.
        """
        candidates = (
            {self._role.hub} if self._role.hub else self._role.store_readers
        )
        for router in rendezvous.rank(self._address, candidates):
            if self.can_relay(router, now):
                return router
        return ""

    def can_relay(self, router: str, now: float) -> bool:
        """Returns whether a router has the store's data for this one."""
        state = self._states.get(router)
        return (
            state is not None
            and now - state.received_at < HUB_SILENT_S
            and not state.has_no_store
            and state.store_reader != self._address
        )

    def is_first_reader(self) -> bool:
        """Returns whether this router is to read the store at a fleet's start.

        In a small fleet all routers read it later on, but the first three are
        enough at the start.
        """
        if len(self._live) > groups.MESH_ROUTERS:
            return self.reads_for_fleet()
        return self._address in groups.first_readers(self._live)

    def reads_for_fleet(self) -> bool:
        """Returns whether this router reads the store for a large fleet."""
        return (
            len(self._live) > groups.MESH_ROUTERS
            and self._role.hub is None
            and not self._role.store_readers
        )

    def relays_store_to(self, router: str) -> bool:
        """Returns whether this router relays the store's data to a router."""
        state = self._states.get(router)
        if state is None:
            return False
        return (
            state.direction is _Direction.UP
            or state.store_reader == self._address
        )

    def peers_use(self) -> dict[str, shares.Usage]:
        """Returns the use of workspaces at the other routers."""
        found = (
            summary.Summary({}, state.use, {})
            for state in self._states.values()
        )
        return dict(summary.total(found).use)

    def peers_engine_load(self) -> observed_load.ObservedLoad:
        """Returns the engine load that the other routers observe."""
        found = observed_load.NO_LOAD
        for state in self._states.values():
            found = found.plus(state.engine_load)
        return found

    def peers_use_age_s(self, now: float) -> float:
        """Returns the age of the oldest use that another router reported."""
        return max(
            (now - state.use_at for state in self._states.values()), default=0.0
        )

    def handle_report(
        self, src: str, report: messages.Report, age_s: float, now: float
    ) -> ReportEffect:
        """Merges a report that its sender sent `age_s` ago."""
        if self.peers.record_message(src, now):
            events.write(events.RouterHeard(src))
        if report.is_final:
            self._drop_state(src, now)
            return ReportEffect()
        if not self._accepts(src, report.direction):
            return ReportEffect(
                needs_introduction=report.direction is _Direction.ACROSS
            )
        state = self._states.get(src)
        if state is None or state.direction is not report.direction:
            state = self._states[src] = _PeerState(report.direction, now, now)
            if self._own.rollouts is not None:
                self._own.rollouts.forget_router(src)
        state.received_at = now
        state.store_reader = report.store_reader
        state.has_no_store = any(edition.away for edition in report.versions)
        sent_at = now - age_s
        if report.use is not None:
            state.use = summary.decode_use(report.use)
            state.use_at = sent_at - report.use_age_ms / notice_reports.MS_PER_S
        if report.engine_load is not None:
            state.engine_load = summary.decode_engine_load(report.engine_load)
        if report.routers is not None:
            self._merge_routers(state, report.routers, now)
        work = summary.decode_work(report.work)
        is_urgent = self._own.work.apply_report(
            src, ledger.WorkReport(work, sent_at)
        )
        is_urgent &= report.direction is _Direction.UP
        self._merge_blocks(src, report.held_blocks, sent_at)
        is_urgent |= notice_reports.apply_notices(
            self._own.server_notices, src, report, sent_at
        )
        is_urgent |= crash_reports.apply(
            self._own.block_quarantine, report, sent_at, now
        )
        self._speed_reports.apply(src, report, sent_at)
        if report.rollouts is not None and self._own.rollouts is not None:
            tallies = rollout_reports.decode(report.rollouts, age_s)
            is_urgent |= self._own.rollouts.apply_report(
                src, tallies, age_s, now
            )
        is_unknown = src not in self._role.hubs and src in self._live
        return ReportEffect(
            needs_introduction=report.direction is _Direction.ACROSS
            and is_unknown,
            is_urgent=is_urgent,
        )

    def refresh_role(self, now: float) -> list[report_builder.Outgoing]:
        """Drops the state of silent routers and assigns this router's role.

        Returns:
            The final report to a hub that this router reports to no longer.
        """
        for src, state in list(self._states.items()):
            if now - state.received_at > peers.SILENT_S:
                silent_s = round(now - state.received_at, 3)
                events.write(events.RouterSilent(src, silent_s))
                self._drop_state(src, now)
        self._mark_silent_hubs(now)
        live = self.peers.live(now)
        unresponsive = self.peers.unresponsive(now)
        if live == self._live and unresponsive == self._unresponsive:
            return []
        self._live = live
        self._unresponsive = unresponsive
        return self._change_role(
            groups.assign_role(self._address, live, unresponsive), now
        )

    def due_reports(self, now: float) -> list[report_builder.Outgoing]:
        """Returns the reports that are due now.

        They have to be sent: the next call takes them as received.
        """
        report_round = self._next_round(now)
        group = {
            src: self._peer_summary(src, report_round, now)
            for src, state in self._states.items()
            if state.direction is _Direction.UP
        }
        members = dict(group)
        group[self._address] = self._own_summary(report_round)
        found = self._member_reports(report_round, group, members, now)
        targets = set(self._role.hubs) - group.keys()
        if now - self._probed_at >= PROBE_INTERVAL_S and self._role.hub is None:
            self._probed_at = now
            targets |= self._missing_hubs() - group.keys()
        age_ms = self._use_age_ms(members, now)
        if self._role.hub is not None:
            up = report_builder.build_group_report(
                report_round, _Direction.UP, group, age_ms
            )
            found.append(report_builder.Outgoing(self._role.hub, up))
        elif targets:
            across = report_builder.build_group_report(
                report_round, _Direction.ACROSS, group, age_ms
            )
            across = msgspec.structs.replace(
                across, store_reader=self.store_reader(now)
            )
            found.extend(
                report_builder.Outgoing(to, across) for to in sorted(targets)
            )
        self._new_blocks.clear()
        return self._speed_reports.add(found, members, self._states.keys(), now)

    def _next_round(self, now: float) -> report_builder.ReportRound:
        """Begins a round of reports; returns what they have in common."""
        has_routers = now - self._routers_sent_at >= ROUTERS_INTERVAL_S
        if has_routers:
            self._routers_sent_at = now
        has_use = now - self._use_sent_at >= self._use_interval_s
        encoded = notice_reports.NO_NOTICES
        if self._own.server_notices.pop_unsent_change() or has_routers:
            encoded = notice_reports.encode_notices(
                self._own.server_notices, now
            )
        crashes = crash_reports.NO_CRASHES
        if self._own.block_quarantine.pop_unsent_change() or has_routers:
            crashes = crash_reports.encode(self._own.block_quarantine, now)
        for server, block_hash in self._own.take_new_blocks():
            self._new_blocks.append((self._address, server, block_hash))
        if has_use:
            self._use_sent_at = now
        has_rollouts = self._are_rollouts_due(now)
        if has_rollouts:
            self._rollouts_sent_at = now
        return report_builder.ReportRound(
            has_routers,
            has_use,
            encoded,
            crashes,
            tuple(self._new_blocks),
            self._own.versions(),
            has_rollouts,
        )

    def _are_rollouts_due(self, now: float) -> bool:
        """Returns whether a round of reports contains rollout orders."""
        rollouts = self._own.rollouts
        if rollouts is None or not rollouts.orders:
            return False
        elapsed_s = now - self._rollouts_sent_at
        return (
            rollouts.pop_unsent_change()
            or elapsed_s >= rollout_const.REPORT_INTERVAL_S
        )

    def introduction(self, now: float) -> messages.Introduction:
        """Returns the live routers, for a router that knows too few."""
        live = self.peers.live(now)
        return messages.Introduction(summary.encode_routers(live, {}))

    def add_introduced(self, msg: messages.Introduction, now: float) -> None:
        """Adds the routers that another one introduced."""
        for address, zone in summary.decode_routers(msg.routers).items():
            self.peers.add(address, zone, now)

    def _mark_silent_hubs(self, now: float) -> None:
        """Marks hubs without a recent message, so that others replace them.

        A new hub has `HUB_SILENT_S` for its first message.
        """
        for hub, since in self._expected_since.items():
            if now - since < HUB_SILENT_S:
                continue
            if not self.peers.has_message_since(hub, now - HUB_SILENT_S):
                self.peers.mark_unresponsive(hub, now)

    def _accepts(self, src: str, direction: messages.Direction) -> bool:
        if direction is _Direction.UP:
            return True
        if direction is _Direction.DOWN:
            return src == self._role.hub
        return self._role.hub is None

    def _merge_routers(
        self,
        state: _PeerState,
        routers: tuple[messages.ZoneRouters, ...],
        now: float,
    ) -> None:
        state.routers = summary.decode_routers(routers)
        state.headroom_cores = summary.decode_headroom(routers)
        for address, cores in state.headroom_cores.items():
            if state.routers[address] == self._zone:
                self.peer_headroom.update(address, cores, now)
        for zone_routers in routers:
            self.peers.record_listing(
                zone_routers.zone, zone_routers.addresses, now
            )

    def _merge_blocks(
        self, src: str, held_blocks: tuple[messages.Held, ...], at: float
    ) -> None:
        for held in held_blocks:
            for block_hash in held.block_hashes:
                if self._own.cache_index.record_use(
                    held.server, block_hash, at
                ):
                    self._new_blocks.append((src, held.server, block_hash))

    def _drop_state(self, src: str, now: float) -> None:
        self._states.pop(src, None)
        self._speed_reports.drop(src)
        self._own.work.remove_router(src, now)
        if self._own.rollouts is not None:
            self._own.rollouts.forget_router(src)

    def _change_role(
        self, new: groups.Role, now: float
    ) -> list[report_builder.Outgoing]:
        old, self._role = self._role, new
        if old == new:
            return []
        events.write(events.PlaceChanged(new.hub or "", len(new.hubs)))
        for src, state in list(self._states.items()):
            if not self._accepts(src, state.direction):
                self._drop_state(src, now)
        expected = new.hubs if new.hub is None else {new.hub}
        self._expected_since = {
            hub: self._expected_since.get(hub, now) for hub in expected
        }
        if old.hub is None or old.hub == new.hub:
            return []
        return [
            report_builder.Outgoing(
                old.hub, messages.Report(_Direction.UP, is_final=True)
            )
        ]

    def _own_summary(
        self, report_round: report_builder.ReportRound
    ) -> summary.Summary:
        own = self._own
        return summary.Summary(
            own.work.own(),
            own.use() if report_round.has_use else {},
            {self._address: self._zone} if report_round.has_routers else {},
            own.engine_load()
            if report_round.has_use
            else observed_load.NO_LOAD,
            {self._address: own.headroom_cores()}
            if report_round.has_routers
            else {},
            own.rollouts.report()
            if own.rollouts is not None and report_round.has_rollouts
            else {},
        )

    def _peer_summary(
        self, src: str, report_round: report_builder.ReportRound, now: float
    ) -> summary.Summary:
        state = self._states[src]
        return summary.Summary(
            self._own.work.remaining_work(
                src, now, self._own.prefill_tokens_per_s
            ),
            state.use if report_round.has_use else {},
            state.routers if report_round.has_routers else {},
            state.engine_load
            if report_round.has_use
            else observed_load.NO_LOAD,
            state.headroom_cores if report_round.has_routers else {},
            self._own.rollouts.reported(src)
            if self._own.rollouts is not None and report_round.has_rollouts
            else {},
        )

    def _member_reports(
        self,
        report_round: report_builder.ReportRound,
        group: Mapping[str, summary.Summary],
        members: Mapping[str, summary.Summary],
        now: float,
    ) -> list[report_builder.Outgoing]:
        """Returns the reports to the routers that report to this one."""
        if not members:
            return []
        outside = (
            self._peer_summary(src, report_round, now)
            for src, state in self._states.items()
            if state.direction is not _Direction.UP
        )
        whole = summary.total([*group.values(), *outside])
        if report_round.has_use:
            interval_s = USE_INTERVAL_PER_WORKSPACE_S * len(whole.use)
            self._use_interval_s = min(
                max(MIN_USE_INTERVAL_S, interval_s), ROUTERS_INTERVAL_S
            )
        ages_ms = {
            to: self._use_age_ms(self._states.keys() - {to}, now)
            for to in members
        }
        reports = report_builder.build_member_reports(
            report_round, whole, members, ages_ms
        )
        return [
            report_builder.Outgoing(to, report)
            for to, report in reports.items()
        ]

    def _use_age_ms(self, sources: Collection[str], now: float) -> int:
        """Returns the age of the oldest use that these routers reported."""
        ages = (now - self._states[src].use_at for src in sources)
        return round(max(ages, default=0.0) * notice_reports.MS_PER_S)

    def _missing_hubs(self) -> set[str]:
        """Returns the hubs that would be added if all known routers were live.

        Empty if this router's role already counts on all known routers.
        """
        known = self.peers.known()
        if known.keys() == self._live.keys() and not self._unresponsive:
            return set()
        role = groups.assign_role(self._address, known)
        return set(role.hubs) - self._role.hubs
