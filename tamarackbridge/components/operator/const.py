"""Constants of the operator interface, which its client uses too."""

from typing import Final

PATH_RECORDS: Final = "/v1/records"
PATH_ZONES: Final = "/v1/zones"
PATH_SERVERS: Final = "/v1/servers"
PATH_STATUS: Final = "/v1/status"
PATH_EXPLAIN: Final = "/v1/explain"
PATH_REQUESTS: Final = "/v1/requests"
PATH_DIAGNOSTICS: Final = "/v1/diagnostics"
PATH_METRICS: Final = "/metrics"
PATH_HEALTH: Final = "/healthz"
PATH_READY: Final = "/readyz"

OPEN_PATHS: Final = frozenset({PATH_HEALTH, PATH_READY})
"""Paths that need no authentication.

They reveal only whether the router is up and ready.
"""

HEADER_CHANGE_ID: Final = "Idempotency-Key"
HEADER_AUTHOR: Final = "X-Operator"

ATTR_DRY_RUN: Final = "dry_run"

ATTR_NEW_SCHEMA_VERSION: Final = "new_schema_version"

ACTION_TAKE_OUT: Final = "take-out"
ACTION_BRING_BACK: Final = "bring-back"
ACTION_DRAIN: Final = "drain"
ACTION_UNDRAIN: Final = "undrain"

SERVICE_SETTINGS: Final = "settings"
SERVICE_CONFIG_CHANGES: Final = "config_changes"
SERVICE_STATUS: Final = "status"
SERVICE_REQUESTS: Final = "requests"
SERVICE_TELEMETRY: Final = "telemetry"

MAX_CHANGE_ATTEMPTS: Final = 3
"""Attempts to change one flag of a record when other changes conflict."""
