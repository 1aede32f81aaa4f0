"""Gauges and counters of a router on the users' platform."""

from tamarackbridge import core
from tamarackbridge.components.fleet import sharing
from tamarackbridge.components.gateway import body_budget, shedding
from tamarackbridge.components.gateway import service as gateway
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import quarantine
from tamarackbridge.components.rollout import gate
from tamarackbridge.components.telemetry import metrics
from tamarackbridge.platform import store


def add_rollouts(
    registry: metrics.Metrics, clock: core.Clock, rollouts: gate.Gate
) -> None:
    """Registers the gauges of rollout orders."""

    def bad() -> int:
        counts = rollouts.new_responses()
        return counts.bad + counts.crashed

    def age_s() -> float:
        ages = (
            current.age_s(clock.monotonic())
            for current in rollouts.orders.values()
        )
        return max(ages, default=0.0)

    for name, help_text, read in (
        (
            "rollouts_running",
            "Rollout orders without a stored result.",
            rollouts.running,
        ),
        (
            "rollouts_refused",
            "Rollout orders that can't be carried out.",
            lambda: len(rollouts.refused),
        ),
        (
            "rollout_age_seconds",
            "Age of the oldest rollout order.",
            age_s,
        ),
        (
            "rollout_responses",
            "Responses of the target versions to the whole fleet.",
            lambda: rollouts.new_responses().responses,
        ),
        (
            "rollout_bad_responses",
            "Bad responses of the target versions to the whole fleet.",
            bad,
        ),
    ):
        registry.gauge(name, help_text, read)


def add(
    registry: metrics.Metrics,
    clock: core.Clock,
    local_copy: state.LocalCopy,
    shedder: shedding.Shedder,
    sharing_service: sharing.SharingService,
    store_client: store.Store,
    block_quarantine: quarantine.BlockQuarantine,
    gateway_service: gateway.GatewayService,
) -> None:
    """Registers the gauges, and counters whose values are kept elsewhere."""
    _add_memory(registry, gateway_service)
    now = clock.monotonic

    def version() -> int:
        cfg = local_copy.configuration
        return cfg.version if cfg else 0

    for name, help_text, read in (
        (
            "taken_up_limit",
            "Requests a second that are taken up; infinite for no limit.",
            lambda: shedder.limit_per_s,
        ),
        (
            "routers",
            "Routers heard.",
            lambda: len(sharing_service.routers()),
        ),
        (
            "configuration_version",
            "Version of the configuration in force.",
            version,
        ),
        (
            "configuration_age_seconds",
            "Age of the configuration.",
            lambda: local_copy.configuration_age(now()),
        ),
        (
            "servers_age_seconds",
            "Age of the registrations.",
            lambda: local_copy.servers_age(now()),
        ),
        (
            "store_era",
            "Era of the store; rises when it comes back from an older copy.",
            lambda: sharing_service.store_era() or 0,
        ),
        (
            "quarantined_blocks",
            "Prompt blocks that are quarantined or on trial.",
            block_quarantine.quarantined,
        ),
    ):
        registry.gauge(name, help_text, read)
    add_store_calls(registry, store_client)
    registry.callback_counter(
        "requests_shed",
        "Requests that were not taken up.",
        lambda: shedder.shed_count,
    )


def _add_memory(
    registry: metrics.Metrics, gateway_service: gateway.GatewayService
) -> None:
    """Registers the memory of request bodies by use, and its limits."""
    bodies, heads = gateway_service.bodies, gateway_service.heads
    account = gateway_service.account
    use = body_budget.Use
    for name, help_text, read in (
        (
            "body_reading_bytes",
            "Memory of bodies that are being read.",
            lambda: bodies.held(use.READING),
        ),
        (
            "body_held_bytes",
            "Memory of complete bodies of requests in flight.",
            lambda: bodies.held(use.HELD),
        ),
        (
            "body_offloaded_bytes",
            "Memory of offloaded requests.",
            lambda: bodies.held(use.OFFLOADED),
        ),
        (
            "body_limit_bytes",
            "Memory that all of these may take.",
            lambda: bodies.total,
        ),
        (
            "bodies_waiting",
            "Bodies that wait unread for memory.",
            lambda: bodies.waiting,
        ),
        (
            "head_bytes",
            "Memory of incomplete heads.",
            lambda: heads.used,
        ),
        (
            "connection_bytes",
            "Memory that connections and requests are charged with.",
            lambda: account.connections,
        ),
        (
            "caller_memory_limit_bytes",
            "Memory that connections and bodies may take together now.",
            lambda: account.limit,
        ),
    ):
        registry.gauge(name, help_text, read)
    counts = bodies.counts
    for name, help_text, count in (
        (
            "bodies_refused",
            "Bodies refused for want of memory.",
            lambda: counts.refused,
        ),
        (
            "bodies_evicted",
            "Unfinished bodies cut off to make room.",
            lambda: counts.evicted,
        ),
        (
            "bodies_stalled",
            "Unfinished bodies cut off without progress.",
            lambda: counts.stalled,
        ),
        ("heads_refused", "Heads that were too large.", lambda: heads.refused),
    ):
        registry.callback_counter(name, help_text, count)


def add_store_calls(
    registry: metrics.Metrics, store_client: store.Store
) -> None:
    """Registers the counters of calls to the store."""
    registry.callback_counter(
        "store_calls", "Calls to the store.", lambda: store_client.calls
    )
    registry.labelled_callback_counter(
        "store_calls_by_cause",
        "Calls to the store, by kind of object and operation.",
        ("kind", "operation"),
        lambda: {
            (kind, operation.value): count
            for (kind, operation), count in store_client.calls_by_cause.items()
        },
    )
