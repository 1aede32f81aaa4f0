"""The platform's names."""

from typing import Final

SETTINGS_VARIABLE: Final = "TAMARACKBRIDGE_SETTINGS"
SETTINGS_PATH: Final = "/etc/tamarackbridge/settings.conf"
MS_PER_S: Final = 1_000

READINESS_PATH: Final = "/readiness"

KIND_CONFIGURATION: Final = "config"
NAME_CONFIGURATION: Final = "main"
KIND_SERVERS: Final = "servers"
KIND_EVACUATIONS: Final = "evacuations"
KIND_MEMBERS: Final = "tamarackbridge-routers"

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_DEADLINE: Final = "X-Deadline-Ms"
HEADER_KEY: Final = "X-Api-Key"
HEADER_WORKSPACE: Final = "X-Tenant"
HEADER_TARGET: Final = "X-Target-Instance"
HEADER_SEAL: Final = "X-Response-Seal"
HEADER_NOT_RUN: Final = "X-Not-Executed"
HEADER_LOAD: Final = "X-Server-Load"
HEADER_LEAVING: Final = "Server-Leaving"
HEADER_RETRY: Final = "Retry-After"
HEADER_TOKENS: Final = "X-Token-Usage"
HEADER_PARTS: Final = "X-Prompt-Prefix"
HEADER_OUTPUT_HINT: Final = "X-Length-Hint"
HEADER_RESUME: Final = "Last-Event-Id"

HEADERS_OF_ROUTERS: Final = frozenset(
    name.lower()
    for name in (
        HEADER_KEY,
        HEADER_WORKSPACE,
        HEADER_TARGET,
        HEADER_DEADLINE,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
"""Headers that only routers may set towards a backend server."""

HEADERS_OF_REQUESTS: Final = frozenset(
    name.lower()
    for name in (
        "Host",
        HEADER_REQUEST_ID,
        "X-Model",
        HEADER_TOKENS,
        HEADER_PARTS,
        HEADER_OUTPUT_HINT,
        HEADER_RESUME,
        HEADER_SEAL,
    )
)
"""Headers that are passed on even if a peer names them as its connection's."""

HEADERS_OF_CONNECTION: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)
"""Headers that concern one connection and are not passed on."""
