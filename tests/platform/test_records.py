from typing import Any

import pytest

from tamarackbridge.components.knowledge import models
from tamarackbridge.platform import exceptions, records

ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "path_prefix": "/x/",
    "kind": "streaming",
    "timeout_ms": 12000,
    "target_latency_ms": 600,
    "service": "lm",
    "resumable": True,
    "target_gap_ms": 300,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            **ROUTE,
            "name": "r-2",
            "path_prefix": "/x/y/",
            "kind": "non_idempotent",
            "service": None,
            "traffic_split": [
                {"service": "app", "weight": 90},
                {"service": "lm", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "lm",
            "health_path": "/health",
            "max_connections": 360,
            "cold_per_s": 16.0,
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 668304,
                "stride": 7,
                "kv_token_bytes": 35136,
                "link_mbps": 350000.0,
                "moves": True,
            },
        },
        {"name": "app", "max_connections": 100},
    ],
    "limits": {"max_body_bytes": 4194304, "tokens_per_s": 145000},
    "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 1}],
}
SERVER: dict[str, Any] = {
    "service": "lm",
    "address": "10.128.0.9:8080",
    "zone": "lahore",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}


def test_configuration() -> None:
    cfg = records.configuration(CONFIGURATION)
    assert cfg.version == 7
    assert cfg.workspaces == {"k1": "w", "k2": "w"}
    assert cfg.services["lm"].slots == 64
    assert cfg.services["lm"].event_tokens == 7
    assert cfg.services["lm"].token_bytes == 35_136
    assert cfg.services["lm"].link_bytes_per_s == pytest.approx(43.75e9)
    assert not cfg.services["app"].is_model
    assert cfg.limits.tokens_per_s == 145000
    assert cfg.routes[0].split == (("lm", 1.0),)
    assert cfg.routes[1].split == (("app", 90.0), ("lm", 10.0))
    assert cfg.routes[0].is_retryable
    assert not cfg.routes[1].is_retryable


def test_longest_prefix_wins() -> None:
    cfg = records.configuration(CONFIGURATION)
    found = [
        cfg.route(host, path)
        for host, path in (
            ("a.example", "/x/1"),
            ("A.example:80", "/x/y/1"),
            ("a.example", "/x"),
            ("b.example", "/x/1"),
        )
    ]
    assert [route.name if route else None for route in found] == [
        "r-1",
        "r-2",
        None,
        None,
    ]


def test_configuration_without_workspaces_needs_no_keys() -> None:
    cfg = records.configuration({**CONFIGURATION, "tenants": None})
    assert cfg.workspaces is None


def test_server() -> None:
    assert records.server("i-1", SERVER) == models.BackendServer(
        name="i-1",
        service="lm",
        address="10.128.0.9:8080",
        zone="lahore",
        slots=64,
        draining=False,
        cold_s=1.5,
        started_ms=1700000000000,
    )


@pytest.mark.parametrize(
    "spec",
    [
        None,
        "text",
        {},
        {**SERVER, "state": "resting"},
        {**SERVER, "address": "nowhere"},
        {**SERVER, "address": 7},
        {**SERVER, "zone": None},
        {**SERVER, "slots": "many"},
        {**SERVER, "service": ["lm"]},
        {**SERVER, "address": "10.0.0.1:65536"},
        {**SERVER, "address": "10.0.0.1:0"},
        {**SERVER, "address": "10.0.0.1:\N{SUPERSCRIPT TWO}"},
        {**SERVER, "address": "[::1:80"},
        {**SERVER, "address": "a b:80"},
        {**SERVER, "address": "10.0.0.1:" + "9" * 5_000},
        {**SERVER, "slots": 10**30},
        {**SERVER, "born": 10**30},
        {**SERVER, "cold_remaining_ms": 1e300},
        # A link between routers can't encode it (below -2**63).
        {**SERVER, "born": -(10**30)},
        {**SERVER, "born": -1},
        {**SERVER, "slots": -(10**30)},
        {**SERVER, "cold_remaining_ms": -1e300},
    ],
)
def test_malformed_registration_is_rejected(spec: Any) -> None:
    with pytest.raises(exceptions.RecordError):
        records.server("i-1", spec)


def test_server_that_has_been_warm_for_a_while_is_accepted() -> None:
    spec = {**SERVER, "cold_remaining_ms": -3.0}
    assert records.server("i-1", spec).cold_s <= 0
