"""Loads and validates the settings file of one router."""

import dataclasses
import pathlib
import tomllib

import result

from tamarackbridge.components.settings import models
from tamarackbridge.components.tls import contexts, exceptions
from tamarackbridge.helpers import validation

MAX_FILE_BYTES = 256 * 1024
"""Largest settings file, in bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """A settings file that can't be used.

    Attributes:
        file: Path of the file.
        key: Dotted path of the invalid key; empty for the whole file.
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
    """Parses and validates the content of a TOML settings file."""
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
        try:
            contexts.check_listener(name, getattr(cfg, name))
        except exceptions.TlsError as exc:
            return result.Err(SettingsError(file, "", str(exc)))
    return result.Ok(cfg)
