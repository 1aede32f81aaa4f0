"""Metrics of a router's services, read when the metrics are rendered."""

from tamarackbridge.components.entry import connection
from tamarackbridge.components.entry import service as entry_service
from tamarackbridge.components.object_api import http as object_api_http
from tamarackbridge.components.telemetry import metrics
from tamarackbridge.components.transport import service as transport


def register(
    registry: metrics.Metrics,
    peers: transport.PeerService,
    entry: entry_service.EntryService,
    store: object_api_http.HttpObjectApi,
) -> None:
    """Adds the metrics of these services to a registry."""
    registry.callback_counter(
        "peer_sent_batches",
        "Batches sent to other routers.",
        lambda: peers.sent()[0],
    )
    registry.callback_counter(
        "peer_sent_bytes",
        "Bytes sent to other routers.",
        lambda: peers.sent()[1],
    )
    registry.callback_counter(
        "peer_received_batches",
        "Batches received from other routers.",
        lambda: peers.received_batches,
    )
    registry.callback_counter(
        "peer_received_bytes",
        "Bytes received from other routers.",
        lambda: peers.received_bytes,
    )
    registry.callback_counter(
        "peer_undecodable",
        "Batches and messages from other routers that did not decode.",
        lambda: peers.undecodable,
    )
    registry.callback_counter(
        "store_calls",
        "Calls to the object API.",
        lambda: sum(store.calls.values()),
    )
    registry.callback_counter(
        "store_unanswered",
        "Calls to the object API that ended without an answer.",
        lambda: store.unknown,
    )
    registry.gauge(
        "held_requests",
        "Requests that wait or run in this router.",
        lambda: entry.in_flight,
    )
    _register_connections(registry, entry.connections)


def _register_connections(
    registry: metrics.Metrics, connections: connection.CallerCounts
) -> None:
    registry.gauge(
        "caller_connections",
        "Open connections of callers.",
        lambda: connections.open,
    )
    registry.callback_counter(
        "caller_connections_refused",
        "Connections that were closed because too many were open.",
        lambda: connections.refused,
    )
    registry.callback_counter(
        "caller_timeouts",
        "Connections whose caller sent or read too slowly.",
        lambda: connections.timed_out,
    )
    registry.callback_counter(
        "caller_malformed",
        "Requests that were not readable as HTTP.",
        lambda: connections.malformed,
    )
