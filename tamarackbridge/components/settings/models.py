"""The settings of one router process."""

import dataclasses
from typing import Annotated

import pydantic
from pydantic import dataclasses as checked

_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

NodeName = Annotated[str, pydantic.Field(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
ZoneName = Annotated[str, pydantic.Field(min_length=1, max_length=63)]
Sha256 = Annotated[str, pydantic.Field(pattern="^[0-9a-f]{64}$")]


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class TlsSettings:
    """Paths of the PEM files of one listener; empty for plain text.

    Attributes:
        certificate: Certificate chain that this side presents.
        key: Private key of the certificate.
        client_ca: Certificate authorities whose client certificates are
            accepted.
    """

    certificate: str = ""
    key: str = ""
    client_ca: str = ""


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class ListenSettings:
    """Where one listener accepts connections.

    Attributes:
        host: Address to listen on.
        port: Port to listen on; 0 lets the operating system choose one.
        allow_plain_text: Whether plain text is allowed on an address other
            than loopback.
    """

    host: str = "127.0.0.1"
    port: int = pydantic.Field(default=0, ge=0, le=65535)
    tls: TlsSettings = dataclasses.field(default_factory=TlsSettings)
    allow_plain_text: bool = False


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class LimitSettings:
    """Limits on callers' connections and requests.

    Attributes:
        max_header_bytes: Largest header line and largest header field.
        max_body_bytes: Largest request body.
        max_connections: Open connections of callers.
        max_held_requests: Requests that wait or run in this router.
        header_timeout_s: Longest time to receive a whole header.
        body_timeout_s: Longest time to receive a whole body.
        write_stall_s: Longest time that a caller may leave its answer unread.
    """

    max_header_bytes: int = pydantic.Field(default=16_384, ge=1024)
    max_body_bytes: int = pydantic.Field(default=4_194_304, ge=1024)
    max_connections: int = pydantic.Field(default=4096, ge=1)
    max_held_requests: int = pydantic.Field(default=4096, ge=1)
    header_timeout_s: float = pydantic.Field(default=10.0, gt=0)
    body_timeout_s: float = pydantic.Field(default=30.0, gt=0)
    write_stall_s: float = pydantic.Field(default=60.0, gt=0)


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class PlatformSettings:
    """How to reach the platform.

    Attributes:
        object_api: Base URL of the object API.
        vm_list: URL of the VM list.
        timeout_s: Time after which a call counts as unanswered.
        token_file: File with the bearer token; empty for none.
    """

    object_api: str
    vm_list: str
    timeout_s: float = pydantic.Field(default=2.0, gt=0)
    token_file: str = ""


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class OperatorSettings(ListenSettings):
    """The listener of the operators' interface.

    Attributes:
        token_hashes: SHA-256 hashes, in hex, of accepted bearer tokens.
    """

    token_hashes: tuple[Sha256, ...] = ()


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class ClaimSettings:
    """Idempotency claims.

    Attributes:
        retention_s: Time for which the outcome of a key is kept.
        max_outcome_bytes: Largest answer body that is kept for replay.
    """

    retention_s: float = pydantic.Field(default=86_400.0, ge=60)
    max_outcome_bytes: int = pydantic.Field(default=16_384, ge=0)


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class TelemetrySettings:
    """Logs and traces.

    Attributes:
        log_level: Lowest level that is logged.
        traces: Destination of spans: `off`, `log`, or the URL of an OTLP
            endpoint.
    """

    log_level: str = pydantic.Field(
        default="info", pattern="^(debug|info|warning|error)$"
    )
    traces: str = "off"


@checked.dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class Settings:
    """All settings of one router process.

    Attributes:
        node: Identifier of this router, unique in the fleet.
        zone: Availability zone of this VM.
        advertise: Address at which other routers reach this one, `host:port`.
        drain_timeout_s: Longest time that a graceful shutdown may take.
        drain_notice_s: Time at the start of a graceful shutdown during which
            requests are still accepted, so that the load balancer can notice
            that this router is not ready.
        caller: Listener for callers.
        peer: Listener for other routers.
        operator: Listener for operators.
        platform: The platform's services.
    """

    node: NodeName
    zone: ZoneName
    caller: ListenSettings
    peer: ListenSettings
    operator: OperatorSettings
    platform: PlatformSettings
    advertise: str = ""
    drain_timeout_s: float = pydantic.Field(default=60.0, gt=0)
    drain_notice_s: float = pydantic.Field(default=2.0, ge=0)
    limits: LimitSettings = dataclasses.field(default_factory=LimitSettings)
    claims: ClaimSettings = dataclasses.field(default_factory=ClaimSettings)
    telemetry: TelemetrySettings = dataclasses.field(
        default_factory=TelemetrySettings
    )
