"""Gauges and counters of a router on the users' platform."""

from tamarackbridge import core
from tamarackbridge.components.fleet import sharing
from tamarackbridge.components.gateway import shedding
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
) -> None:
    """Registers the gauges, and counters whose values are kept elsewhere."""
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
    registry.callback_counter(
        "store_calls", "Calls to the store.", lambda: store_client.calls
    )
    registry.callback_counter(
        "requests_shed",
        "Requests that were not taken up.",
        lambda: shedder.shed_count,
    )
