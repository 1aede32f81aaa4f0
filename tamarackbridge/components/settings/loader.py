"""Reads and checks the settings file of one router."""

import dataclasses
import ipaddress
import pathlib
import tomllib

import result

from tamarackbridge.components.settings import models
from tamarackbridge.helpers import validation

MAX_FILE_BYTES = 256 * 1024
"""Largest settings file, in bytes."""

CONF_ALLOW_PLAIN_TEXT = "allow_plain_text"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """A settings file that can't be used.

    Attributes:
        file: Path of the file.
        key: Dotted path of the wrong key; empty for the whole file.
        allowed: What is allowed there, in words.
    """

    file: str
    key: str
    allowed: str

    def __str__(self) -> str:
        """Returns the error as one line."""
        parts = (self.file, self.key, self.allowed)
        return ": ".join(part for part in parts if part)


_Loaded = result.Result[models.Settings, SettingsError]


def load(path: pathlib.Path) -> _Loaded:
    """Reads a TOML settings file."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        allowed = exc.strerror or "the file can't be read"
        return result.Err(SettingsError(str(path), "", allowed))
    return parse(data, str(path))


def parse(data: bytes, file: str) -> _Loaded:
    """Reads settings from the bytes of a TOML file."""
    if len(data) > MAX_FILE_BYTES:
        allowed = f"at most {MAX_FILE_BYTES} bytes"
        return result.Err(SettingsError(file, "", allowed))
    try:
        doc = tomllib.loads(data.decode())
    except (ValueError, RecursionError) as exc:
        reason = str(exc).partition("\n")[0][:200]
        allowed = f"TOML is required ({reason})"
        return result.Err(SettingsError(file, "", allowed))
    checked = validation.validate(models.Settings, doc)
    if isinstance(checked, result.Err):
        err = checked.err_value
        return result.Err(SettingsError(file, err.key, err.allowed))
    return _check_listeners(checked.ok_value, file)


def _check_listeners(cfg: models.Settings, file: str) -> _Loaded:
    for name in ("caller", "peer", "operator"):
        listen: models.ListenSettings = getattr(cfg, name)
        found = _check_tls(listen.tls) or _check_plain_text(listen)
        if found:
            key, allowed = found
            return result.Err(SettingsError(file, f"{name}.{key}", allowed))
    return result.Ok(cfg)


def _check_tls(tls: models.TlsSettings) -> tuple[str, str] | None:
    if bool(tls.certificate) != bool(tls.key):
        missing = "key" if tls.certificate else "certificate"
        allowed = "certificate and key are set together or not at all"
        return f"tls.{missing}", allowed
    if tls.client_ca and not tls.certificate:
        return "tls.client_ca", "allowed only with certificate and key"
    return None


def _check_plain_text(listen: models.ListenSettings) -> tuple[str, str] | None:
    if listen.tls.certificate or listen.allow_plain_text:
        return None
    if _is_loopback(listen.host):
        return None
    allowed = (
        "plain text is allowed on loopback only, unless"
        f" {CONF_ALLOW_PLAIN_TEXT} is true; set tls.certificate and tls.key"
    )
    return "host", allowed


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"
