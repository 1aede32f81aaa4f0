"""Parser of the platform's settings file: lines of `key=value`."""

from collections.abc import Mapping
import dataclasses
import os
import pathlib

from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.gateway import metrics as gateway_metrics
from tamarackbridge.platform import const, exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router process.

    Attributes:
        node: Name of the VM.
        zone: Availability zone of the VM.
        zones: All availability zones.
        callers: Address at which callers connect.
        readiness: Address at which the load balancer checks readiness.
        peers: Address at which the other routers connect; identifies this
            router.
        offload_port: Port to which routers offload requests, the same on every
            VM; 0 for none.
        metrics_host: Address of the metrics listener.
        metrics_port: Port of the metrics listener.
        seeds: Peer addresses of some routers; may be outdated.
        store: Address of the platform's store.
        bounds: Time limits and rate limits that the router observes.
        max_descriptors: File descriptors that the process may open.
        memory_mb: Memory limit of the process, in megabytes.
        cores: Processor limit of the process, in cores.
        has_learned_speed: Whether the speeds of servers are learned.
    """

    node: str
    zone: str
    zones: tuple[str, ...]
    callers: Address
    readiness: Address
    peers: Address
    offload_port: int
    metrics_host: str
    metrics_port: int
    seeds: tuple[str, ...]
    store: Address
    bounds: fleet.Bounds
    max_descriptors: int
    memory_mb: float
    cores: float
    has_learned_speed: bool = True

    def offload_address(self, peer: str) -> tuple[str, int]:
        """Returns host and port to which requests for a peer are offloaded.

        Args:
            peer: Peer address of the other router. The offload port is the
                same on every VM.
        """
        return peer.rpartition(":")[0], self.offload_port


def path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(
        os.environ.get(const.SETTINGS_VARIABLE, const.SETTINGS_PATH)
    )


def load(file: pathlib.Path) -> Settings:
    """Loads the settings file.

    Raises:
        SettingsError: The file can't be read, or a value is missing or invalid.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as exc:
        detail = f"{file}: {exc.strerror}"
        raise exceptions.SettingsError("", detail) from exc
    except UnicodeError as exc:
        raise exceptions.SettingsError("", f"{file}: {exc}") from exc
    return parse(text)


def parse(text: str) -> Settings:
    """Parses the text of a settings file.

    Raises:
        SettingsError: A value is missing or invalid.
    """
    lines = (line.partition("=") for line in text.splitlines())
    values = {key.strip(): value.strip() for key, _, value in lines}
    ip = _text(values, "ip")
    return Settings(
        node=_text(values, "node"),
        zone=_text(values, "zone"),
        zones=_zones(values),
        callers=_address(values, "listen.front"),
        readiness=_address(values, "listen.readiness"),
        peers=_address(values, "listen.control"),
        offload_port=_first_port(values, "internal_ports"),
        metrics_host=ip,
        metrics_port=int(_number(values, "metrics.port", gateway_metrics.PORT)),
        seeds=tuple(
            seed for seed in values.get("seeds", "").split(",") if seed
        ),
        store=_address(values, "provider.address"),
        bounds=_bounds(values),
        max_descriptors=int(_number(values, "limits.max_fds", 4096)),
        memory_mb=_number(values, "limits.memory_mb", 256),
        cores=_number(values, "limits.cpu_share", 1.0)
        * _number(values, "limits.cores", 1.0),
        has_learned_speed=_switch(values, "placement.learned_speed", True),
    )


def _bounds(values: Mapping[str, str]) -> fleet.Bounds:
    def seconds(key: str, default_ms: float) -> float:
        return _number(values, f"bounds.{key}", default_ms) / const.MS_PER_S

    return fleet.Bounds(
        server_leave_s=seconds("drain_ms", 2_000),
        shutdown_s=_number(values, "bounds.grace_s", 8),
        configuration_s=seconds("config_apply_ms", 2_000),
        revocation_s=seconds("revoke_ms", 5_000),
        retry_ratio=_number(values, "bounds.retry_budget_ratio", 0.2),
        retry_window_s=_number(values, "bounds.budget_window_s", 10),
        retry_slack=_number(values, "bounds.budget_slack", 10),
        cold_overage=_number(values, "bounds.cold_overage", 1.5),
        cold_slack=_number(values, "bounds.cold_slack", 5),
        share_window_s=_number(values, "bounds.quota_window_s", 4),
        reuse_window_s=_number(values, "bounds.reuse_window_s", 10),
        heartbeat_s=_number(values, "heartbeat_ms", 1_200) / const.MS_PER_S,
        exposure_share=min(_number(values, "bounds.exposure_share", 0), 1.0),
        exposure_slack=_number(values, "bounds.exposure_slack", 50),
        rollback_s=seconds("rollback_ms", 5_000),
    )


def _zones(values: Mapping[str, str]) -> tuple[str, ...]:
    prefix = "zones."
    zones = [key[len(prefix) :] for key in values if key.startswith(prefix)]
    return tuple(sorted(zones))


def _text(values: Mapping[str, str], key: str) -> str:
    value = values.get(key, "")
    if not value:
        raise exceptions.SettingsError(key, "expected a value, got none")
    return value


def _number(values: Mapping[str, str], key: str, default: float) -> float:
    text = values.get(key, "")
    if not text:
        return default
    try:
        value = float(text)
    except ValueError:
        raise exceptions.SettingsError(
            key, f"expected a number, got {text!r}"
        ) from None
    if not 0 <= value < float("inf"):
        raise exceptions.SettingsError(
            key, f"expected a finite number of at least 0, got {text!r}"
        )
    return value


def _switch(values: Mapping[str, str], key: str, default: bool) -> bool:
    text = values.get(key, "")
    if not text:
        return default
    if text not in ("true", "false"):
        raise exceptions.SettingsError(
            key, f"expected true or false, got {text!r}"
        )
    return text == "true"


def _first_port(values: Mapping[str, str], key: str) -> int:
    """Returns the first port for traffic between VMs; 0 if none is set."""
    text = values.get(key, "").partition(",")[0].strip()
    if not text:
        return 0
    if not (text.isascii() and text.isdigit()) or not 0 < int(text) < 65_536:
        raise exceptions.SettingsError(
            key, "expected ports as FIRST,LAST, with FIRST from 1 to 65535"
        )
    return int(text)


def _address(values: Mapping[str, str], key: str) -> Address:
    host, _, port = _text(values, key).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise exceptions.SettingsError(
            key, "expected HOST:PORT, with a port from 0 to 65535"
        )
    return Address(host, int(port))
