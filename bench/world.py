"""A simulated fleet: routers with all real deciders, on a virtual clock.

The entry service and the backend servers are fakes.
"""

from collections.abc import Callable, Sequence
import dataclasses
import pathlib
import random
from typing import ClassVar

from bench import fake_store, harness
from tamarackbridge import const, core, policy
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import codec, files, models
from tamarackbridge.components.settings import models as settings

ROOT = pathlib.Path(__file__).parent.parent
LOAD_REPORT_INTERVAL_S = 0.5
LOAD_REPORT_LAG_S = 0.25
"""Maximum age of a load report when it arrives."""

SERVER_LOSS_DETECTION_S = 0.5
"""Time after which an entry notices that a backend server no longer answers."""

Action = Callable[[], None]


class Act(core.Message, frozen=True, tag=True):
    """Runs an action on an entry.

    It is delivered as a message, so that it waits while the router is paused.
    """

    action: Callable[["Entry"], Sequence[core.Envelope]]


@dataclasses.dataclass(slots=True)
class Server:
    """A simulated backend server.

    Attributes:
        record: Its record in the configuration.
        running: Start time of each running attempt.
        gone: Whether it accepts no connections and has lost its running work.
        cold_since: Start of the latest warm-up.
        cold_until: End of the latest warm-up.
        boot: Number of times that it came back.
    """

    record: models.BackendServer
    running: dict[str, float] = dataclasses.field(default_factory=dict)
    gone: bool = False
    cold_since: float = float("-inf")
    cold_until: float = 0.0
    boot: int = 0


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller, and its answer.

    Attributes:
        request_id: Identifier of the request.
        service: Requested service.
        route: Requested route.
        workspace: Workspace of the caller.
        work_s: Running time on a backend server.
        due: Deadline in virtual time.
        key: Idempotency key; empty for an idempotent request.
        sent_at: Time at which the caller sent the request.
        started: Number of attempts on backend servers.
        answer: Answer of the router; empty while the request is open.
        answered_at: Time of the answer.
        avoid: Backend servers on which an attempt was made.
    """

    request_id: str
    service: str
    route: models.Route
    workspace: str
    work_s: float
    due: float
    key: str = ""
    sent_at: float = 0.0
    started: int = 0
    answer: str = ""
    answered_at: float = 0.0
    avoid: tuple[str, ...] = ()


class Entry:
    """Fake entry service: starts each request once it has a permit."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        Act,
        dispatch.Permitted,
        dispatch.Refused,
        claims.ClaimResult,
        configuration.ServingChanged,
        configuration.SnapshotInForce,
        configuration.ChangeReport,
        membership.RosterChanged,
        dispatch.LeaseHeld,
        dispatch.LeaseLost,
    )

    def __init__(self, world: "World", node: str) -> None:
        self.node = node
        self.world = world
        self.serving = False
        self.live: tuple[str, ...] = ()
        self.snapshot = models.empty_snapshot()
        self.requests: dict[str, Request] = {}
        self.leases: dict[str, dispatch.LeaseHeld] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        msg = delivery.msg
        self.world.observe(self, msg, now)
        match msg:
            case Act():
                return msg.action(self)
            case configuration.ServingChanged():
                self.serving = msg.serving
            case configuration.SnapshotInForce():
                self.snapshot = msg.snapshot
            case membership.RosterChanged():
                self.live = msg.live
            case dispatch.LeaseHeld():
                self.leases[msg.shard] = msg
            case dispatch.LeaseLost():
                self.leases.pop(msg.shard, None)
            case dispatch.Permitted() if msg.request_id in self.requests:
                return self._start(self.requests[msg.request_id], msg, now)
            case dispatch.Refused() if msg.request_id in self.requests:
                req = self.requests[msg.request_id]
                reason = "backend_failed" if req.started else msg.reason
                return self.end(req, reason, now)
            case claims.ClaimResult() if msg.request_id in self.requests:
                req = self.requests[msg.request_id]
                if msg.answer is claims.ClaimAnswer.RUN:
                    return self.request_permit(req, now)
                return self.end(req, msg.answer.value, now, claimed=False)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        return ()

    def arrive(self, req: Request, now: float) -> Sequence[core.Envelope]:
        """Accepts a request of a caller."""
        if not self.serving:
            return self.end(req, "not_serving", now, claimed=False)
        self.requests[req.request_id] = req
        if req.route.idempotent:
            return self.request_permit(req, now)
        remaining_s = req.due - now
        claim = claims.ClaimWant(req.request_id, req.key, "body", remaining_s)
        return [core.Envelope(const.LOCAL_NODE, claim)]

    def request_permit(
        self, req: Request, now: float
    ) -> Sequence[core.Envelope]:
        """Requests a permit from the dispatcher."""
        remaining_s = req.due - now
        want = dispatch.Want(
            service=req.service,
            request_id=req.request_id,
            workspace=req.workspace,
            end_user="",
            route=req.route.name,
            hint_cost=0.0,
            deadline_s=remaining_s,
            avoid=req.avoid,
        )
        return [core.Envelope(const.LOCAL_NODE, want)]

    def end(
        self, req: Request, answer: str, now: float, claimed: bool = True
    ) -> Sequence[core.Envelope]:
        """Answers the caller and closes the claim, if there is one."""
        self.requests.pop(req.request_id, None)
        self.world.answered(req, answer, now)
        if req.route.idempotent or not claimed:
            return ()
        state = claims.ClaimState.ABANDONED
        if req.started:
            ok = answer == "ok"
            state = (
                claims.ClaimState.FINISHED if ok else claims.ClaimState.UNKNOWN
            )
        close = claims.ClaimClose(req.request_id, state, 200)
        return [core.Envelope(const.LOCAL_NODE, close)]

    def _start(
        self, req: Request, permit: dispatch.Permitted, now: float
    ) -> Sequence[core.Envelope]:
        if now >= permit.start_by:
            done = dispatch.Done(req.request_id, 0.0, dispatch.Outcome.UNUSED)
            return [
                core.Envelope(const.LOCAL_NODE, done),
                *self.request_permit(req, now),
            ]
        self.world.start(self, req, permit, now)
        return ()

    def handle_attempt_end(
        self, req: Request, outcome: dispatch.Outcome, now: float
    ) -> Sequence[core.Envelope]:
        """Handles the end of an attempt: answers, or retries elsewhere."""
        cost = req.work_s * 1000
        done = core.Envelope(
            const.LOCAL_NODE, dispatch.Done(req.request_id, cost, outcome, 0.01)
        )
        if outcome is not dispatch.Outcome.FAILED:
            return [done, *self.end(req, "ok", now)]
        if req.route.idempotent and now < req.due:
            return [done, *self.request_permit(req, now)]
        return [done, *self.end(req, "backend_failed", now)]


class World:
    """A fleet in the harness, with its backend servers and callers.

    Attributes:
        zone: Zone of each router.
        entries: Entry of the latest start of each router.
        policies: Deciders of the latest start of each router.
        servers: Backend servers by name.
        answers: Requests that have an answer, in the order of the answers.
        connect_lost_s: Time until an entry notices that it can't connect to a
            backend server.
        stream_lost_s: Time until an entry notices that a running attempt was
            lost with its backend server.
    """

    def __init__(self, seed: int, zones: dict[str, str]) -> None:
        self.bus = harness.Harness(seed)
        self.rng = random.Random(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.zone = zones
        self.entries: dict[str, Entry] = {}
        self.policies: dict[str, policy.Policy] = {}
        self.servers: dict[str, Server] = {}
        self.answers: list[Request] = []
        self.starts: list[tuple[float, str]] = []
        self.connect_lost_s = SERVER_LOSS_DETECTION_S
        self.stream_lost_s = SERVER_LOSS_DETECTION_S
        self._incarnations = 0
        self.bus.at(0.0, self._report_loads)

    def load_records(
        self, deployment: str = "asahikawa"
    ) -> tuple[configuration.RecordEdit, ...]:
        """Returns a deployment's records; creates its backend servers."""
        path = ROOT / "examples" / deployment / "records.toml"
        records = files.load(path).unwrap()
        for record in records:
            if isinstance(record.model, models.BackendServer):
                self.servers[record.model.name] = Server(record.model)
        return tuple(
            configuration.RecordEdit(
                f"{rec.kind}/{rec.name}", codec.encode(rec)
            )
            for rec in records
        )

    def start_router(self, node: str) -> None:
        """Starts or restarts a router with empty state."""
        self._incarnations += 1
        rng = random.Random(self.rng.random())
        entry = Entry(self, node)
        self.entries[node] = entry
        node_policy = self.make_policy(node, rng)
        self.policies[node] = node_policy
        self.bus.start(
            core.DeciderGroup(node, (*node_policy.deciders(), entry))
        )

    def make_policy(self, node: str, rng: random.Random) -> policy.Policy:
        """Builds the deciders of a router."""
        listen = settings.ListenSettings()
        cfg = settings.Settings(
            node=node,
            zone=self.zone[node],
            caller=listen,
            peer=listen,
            operator=settings.OperatorSettings(),
            platform=settings.PlatformSettings(object_api="", vm_list=""),
            claims=settings.ClaimSettings(
                retention_s=3600.0, max_outcome_bytes=4096
            ),
        )
        return policy.build(cfg, self._incarnations, self.bus, rng)

    def kill_router(self, node: str) -> None:
        """Stops a router at once; its callers lose their connections."""
        self.bus.kill(node)
        for req in list(self.entries[node].requests.values()):
            self.answered(req, "connection_lost", self.bus.now)
        self.entries[node].requests.clear()
        self.entries[node].leases.clear()

    def call(self, node: str, req: Request) -> None:
        """Sends a request of a caller to a router."""
        if not self.bus.alive(node):
            self.answered(req, "connection_lost", self.bus.now)
            return
        self.entries[node].requests[req.request_id] = req
        self._run_on_entry(node, lambda entry: entry.arrive(req, self.bus.now))

    def start(
        self, entry: Entry, req: Request, permit: dispatch.Permitted, now: float
    ) -> None:
        """Runs a request on a backend server."""
        server = self.servers[permit.server]
        req.started += 1
        req.avoid = (*req.avoid, permit.server)
        attempt = f"{req.request_id}#{req.started}"
        self.tried_start(entry, server, now)
        if server.gone:
            self._end_attempt_after(
                entry, req, self.connect_lost_s, failed=True
            )
            return
        server.running[attempt] = now
        self.started(entry, req, server, now)
        self.bus.at(
            now + req.work_s,
            lambda: self._end_attempt(server, attempt, entry, req),
        )

    def stop_server(self, name: str) -> None:
        """Stops a backend server; its running work is lost."""
        self.servers[name].gone = True

    def restart_server(self, name: str) -> None:
        """Restarts a backend server, which then warms up for 5 seconds."""
        server = self.servers[name]
        server.gone = False
        server.running.clear()
        server.boot += 1
        self.start_warm_up(name, 5.0)

    def start_warm_up(self, name: str, seconds: float) -> None:
        """Starts a warm-up of a backend server."""
        server = self.servers[name]
        server.cold_since = self.bus.now
        server.cold_until = self.bus.now + seconds

    # Hooks for subclasses.

    def observe(self, entry: Entry, msg: core.Message, now: float) -> None:
        """Called for each message that the entry of a router receives."""

    def tried_start(self, entry: Entry, server: Server, now: float) -> None:
        """Called for each attempt, also on a backend server that is gone."""

    def started(
        self, entry: Entry, req: Request, server: Server, now: float
    ) -> None:
        """Called for each attempt that runs on a backend server."""

    def answered(self, req: Request, answer: str, now: float) -> None:
        """Records the answer to a request."""
        req.answer = answer
        req.answered_at = now
        self.answers.append(req)

    def _end_attempt(
        self, server: Server, attempt: str, entry: Entry, req: Request
    ) -> None:
        lost = server.gone or server.running.pop(attempt, None) is None
        wait_s = self.stream_lost_s if lost else 0.0
        self._end_attempt_after(entry, req, wait_s, lost)

    def _end_attempt_after(
        self, entry: Entry, req: Request, wait_s: float, failed: bool
    ) -> None:
        outcome = dispatch.Outcome.FAILED if failed else dispatch.Outcome.OK

        def finish() -> None:
            if self.entries.get(entry.node) is entry:
                self._run_on_entry(
                    entry.node,
                    lambda running_entry: running_entry.handle_attempt_end(
                        req, outcome, self.bus.now
                    ),
                )

        self.bus.at(self.bus.now + wait_s, finish)

    def _run_on_entry(
        self, node: str, action: Callable[[Entry], Sequence[core.Envelope]]
    ) -> None:
        self.bus.inject(node, Act(action))

    def _report_loads(self) -> None:
        for node in self.entries:
            for server in self.servers.values():
                if not server.gone:
                    self._report_load(node, server)
        self.bus.at(self.bus.now + LOAD_REPORT_INTERVAL_S, self._report_loads)

    def _report_load(self, node: str, server: Server) -> None:
        report = dispatch.LoadReport(
            server.record.name,
            len(server.running),
            self.bus.now < server.cold_until,
            LOAD_REPORT_LAG_S,
            str(server.boot),
        )
        arrival = self.bus.now + self.rng.uniform(0.0, LOAD_REPORT_LAG_S)
        self.bus.at(arrival, lambda: self.bus.inject(node, report))
