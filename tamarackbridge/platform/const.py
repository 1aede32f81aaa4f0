"""Names that the users' platform defines."""

from typing import Final

SETTINGS_VARIABLE: Final = "TAMARACKBRIDGE_SETTINGS"
SETTINGS_PATH: Final = "/etc/tamarackbridge/settings.conf"
MS_PER_S: Final = 1_000
BYTES_PER_MEGABIT: Final = 125_000

READINESS_PATH: Final = "/readiness"
REPORT_PATH: Final = "/report"

KIND_CONFIGURATION: Final = "config"
NAME_CONFIGURATION: Final = "main"
KIND_SERVERS: Final = "servers"
KIND_EVACUATIONS: Final = "evacuations"
KIND_ROLLOUTS: Final = "rollouts"
HEADER_STORE_ERA: Final = "Store-Era"
KIND_MEMBERS: Final = "tamarackbridge-routers"
KIND_QUARANTINES: Final = "tamarackbridge-quarantines"

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_DEADLINE: Final = "X-Deadline-Ms"
HEADER_KEY: Final = "X-Api-Key"
HEADER_WORKSPACE: Final = "X-Tenant"
HEADER_TARGET: Final = "X-Target-Instance"
HEADER_SEAL: Final = "X-Response-Seal"
HEADER_NOT_RUN: Final = "X-Not-Executed"
HEADER_LOAD: Final = "X-Server-Load"
HEADER_LEAVING: Final = "Server-Leaving"
HEADER_LIMIT: Final = "Server-Limit"
HEADER_RETRY: Final = "Retry-After"
HEADER_TOKENS: Final = "X-Token-Usage"
HEADER_PROMPT_BLOCKS: Final = "X-Prompt-Prefix"
HEADER_OUTPUT_HINT: Final = "X-Length-Hint"
HEADER_RESUME: Final = "Last-Event-Id"
HEADER_COPY_FROM: Final = "Kv-Fetch"

ROUTER_ONLY_HEADERS: Final = frozenset(
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
        HEADER_COPY_FROM,
    )
)
"""Headers that only routers may set on requests to backend servers; those of a
caller are dropped."""

END_TO_END_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        "Host",
        HEADER_REQUEST_ID,
        "X-Model",
        HEADER_TOKENS,
        HEADER_PROMPT_BLOCKS,
        HEADER_OUTPUT_HINT,
        HEADER_RESUME,
        HEADER_SEAL,
    )
)
"""Headers that are forwarded even if the sender lists them in `Connection`."""

HOP_BY_HOP_HEADERS: Final = frozenset(
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
"""Headers that apply to one connection only and are not forwarded."""
