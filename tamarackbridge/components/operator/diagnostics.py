"""Diagnostics for bug reports: settings and status without secrets."""

from collections.abc import Mapping
import dataclasses
import platform
from typing import Any, Final
from urllib import parse

import msgspec

from tamarackbridge.components.operator import messages
from tamarackbridge.components.settings import models

REDACTED: Final = "**REDACTED**"
"""Text that replaces a secret."""

TO_REDACT: Final = frozenset({"token_hashes", "token_file", "key"})
"""Keys of settings whose values are redacted."""


class Diagnostics(msgspec.Struct, frozen=True):
    """The diagnostics to attach to a bug report."""

    python: str
    settings: dict[str, Any]
    status: messages.Status


def collect(cfg: models.Settings, status: messages.Status) -> Diagnostics:
    """Returns settings and status with secrets redacted."""
    settings = redact(dataclasses.asdict(cfg))
    return Diagnostics(platform.python_version(), settings, status)


def redact(values: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a copy with secrets, and credentials in URLs, redacted."""
    return {key: _redact_value(key, value) for key, value in values.items()}


def _redact_value(key: str, value: Any) -> Any:
    if isinstance(value, Mapping):
        return redact(value)
    if key in TO_REDACT:
        return REDACTED if value else value
    if isinstance(value, str):
        return _redact_url(value)
    return value


def _redact_url(value: str) -> str:
    try:
        parts = parse.urlsplit(value)
    except ValueError:
        return value
    if "@" in parts.netloc:
        host = parts.netloc.rpartition("@")[2]
        parts = parts._replace(netloc=f"{REDACTED}@{host}")
    if parts.scheme and parts.query:
        parts = parts._replace(query=REDACTED)
    return parts.geturl() if parts.scheme else value
