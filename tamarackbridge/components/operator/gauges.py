"""Gauges for alerts, computed from the status view."""

from collections.abc import Callable, Mapping
from typing import Final

from tamarackbridge.components.operator import messages, status_view
from tamarackbridge.components.telemetry import metrics

_Value = Callable[[messages.Status], float]

GAUGES: Final[Mapping[str, tuple[str, _Value]]] = {
    "serving": (
        "1 while this router starts new work.",
        lambda status: status.serving,
    ),
    "config_generation": (
        "Generation of the configuration in force; 0 for none.",
        lambda status: status.generation,
    ),
    "members": (
        "Routers in the roster.",
        lambda status: len(status.members),
    ),
    "members_live": (
        "Routers in the roster that are heard from.",
        lambda status: sum(item.live for item in status.members),
    ),
    "members_unconfirmed": (
        "Live routers that have not confirmed the generation in force here.",
        lambda status: sum(
            item.live and not item.confirmed for item in status.members
        ),
    ),
    "shards_without_holder": (
        "Shards of which this router knows no holder.",
        lambda status: sum(not item.holder for item in status.shards),
    ),
    "queued_requests": (
        "Requests that wait on the shards held here.",
        lambda status: sum(max(item.queued, 0) for item in status.shards),
    ),
    "permits": (
        "Permits that are out on the shards held here.",
        lambda status: sum(max(item.permits, 0) for item in status.shards),
    ),
    "servers_unusable": (
        "Servers of the shards held here that drain or whose zone is out.",
        lambda status: sum(not item.usable for item in status.servers),
    ),
    "servers_below_warm": (
        "Usable servers of the shards held here below their warm limit.",
        lambda status: sum(
            item.usable and item.limit < item.limit_warm
            for item in status.servers
        ),
    ),
}
"""Help text and value of each gauge, by name."""


def register(registry: metrics.Metrics, source: status_view.StatusView) -> None:
    """Adds the gauges to a registry."""
    for name, (help_text, value_of) in GAUGES.items():
        registry.gauge(name, help_text, _make_reader(source, value_of))


def _make_reader(
    source: status_view.StatusView, value_of: _Value
) -> Callable[[], float]:
    return lambda: float(value_of(source.status()))
