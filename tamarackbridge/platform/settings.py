"""The platform's settings file: lines of `key=value`."""

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
    """What the platform tells one router process.

    Attributes:
        node: Name of the VM.
        zone: Availability zone of the VM.
        zones: All availability zones.
        callers: Where callers connect.
        readiness: Where the balancer asks whether this router is ready.
        peers: Where the other routers connect.
        offload_port: Where the other routers offload requests, on each VM;
            0 where there is none.
        metrics_host: Address of the metrics listener.
        metrics_port: Its port.
        seeds: Peer addresses of some routers; may be stale.
        store: Address of the platform's store.
        bounds: Times and shares that the router must keep to.
        max_descriptors: Descriptors that the process may open.
        memory_mb: Memory that the process may use, in megabytes.
        cores: Processor that the process may use, in cores.
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

    def offload_address(self, peer: str) -> tuple[str, int]:
        """Returns where a peer takes requests: ports are the same on all VMs.

        Args:
            peer: Where it listens for the other routers.
        """
        return peer.rpartition(":")[0], self.offload_port


def path() -> pathlib.Path:
    """Returns where the platform put the settings file."""
    return pathlib.Path(
        os.environ.get(const.SETTINGS_VARIABLE, const.SETTINGS_PATH)
    )


def load(file: pathlib.Path) -> Settings:
    """Reads the settings file.

    Raises:
        SettingsError: It can't be read, or a value is missing or wrong.
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
    """Reads settings from the text of a file.

    Raises:
        SettingsError: A value is missing or wrong.
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
            part for part in values.get("seeds", "").split(",") if part
        ),
        store=_address(values, "provider.address"),
        bounds=_bounds(values),
        max_descriptors=int(_number(values, "limits.max_fds", 4096)),
        memory_mb=_number(values, "limits.memory_mb", 256),
        cores=_number(values, "limits.cpu_share", 1.0)
        * _number(values, "limits.cores", 1.0),
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
    )


def _zones(values: Mapping[str, str]) -> tuple[str, ...]:
    prefix = "zones."
    found = [key[len(prefix) :] for key in values if key.startswith(prefix)]
    return tuple(sorted(found))


def _text(values: Mapping[str, str], key: str) -> str:
    value = values.get(key, "")
    if not value:
        raise exceptions.SettingsError(key, "a value is required")
    return value


def _number(values: Mapping[str, str], key: str, default: float) -> float:
    text = values.get(key, "")
    if not text:
        return default
    try:
        value = float(text)
    except ValueError:
        raise exceptions.SettingsError(key, "a number is required") from None
    if not 0 <= value < float("inf"):
        raise exceptions.SettingsError(key, "a number from 0 is required")
    return value


def _first_port(values: Mapping[str, str], key: str) -> int:
    """Returns the first of the ports for traffic between VMs; 0 for none."""
    text = values.get(key, "").partition(",")[0].strip()
    if not text:
        return 0
    if not (text.isascii() and text.isdigit()) or not 0 < int(text) < 65_536:
        raise exceptions.SettingsError(key, "FIRST,LAST is required")
    return int(text)


def _address(values: Mapping[str, str], key: str) -> Address:
    host, _, port = _text(values, key).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise exceptions.SettingsError(key, "HOST:PORT is required")
    return Address(host, int(port))
