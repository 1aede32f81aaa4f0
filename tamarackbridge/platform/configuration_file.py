"""Reads a configuration and registrations from files, to check them.

The content is what the store holds: an object with `spec`, or the `spec`
itself. It is decoded by the functions that routers use.
"""

from collections.abc import Mapping
import dataclasses
import json
import pathlib
import re
from typing import Any

import msgspec

from tamarackbridge.components.configuration_check import models
from tamarackbridge.helpers import json_lines
from tamarackbridge.platform import exceptions, records

_KEYS: Mapping[str, str] = {
    "workspaces": "tenants",
    "keys": "api_keys",
    "prefix": "path_prefix",
    "timeout_s": "timeout_ms",
    "target_s": "target_latency_ms",
    "target_gap_s": "target_gap_ms",
}
"""Keys of the file by attributes of the router's records."""

_PATH = re.compile(r"`\$([^`]*)`")
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")


class FileError(exceptions.PlatformError):
    """A file can't be read as a configuration, or as registrations."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFile:
    """A configuration that was read from a file.

    Attributes:
        candidate: The configuration; None if it has errors.
        errors: What routers can't decode.
    """

    candidate: models.Candidate | None
    errors: tuple[models.Finding, ...]
    _lines: Mapping[json_lines.Path, int]
    _root: json_lines.Path

    def key(self, place: models.Place) -> str:
        """Returns a place as operators find it in the file."""
        text = ""
        for step in self._path(place):
            text += f"[{step}]" if isinstance(step, int) else f".{step}"
        return text.removeprefix(".")

    def line(self, place: models.Place) -> int:
        """Returns the line of a place, or of the nearest part around it."""
        path = (*self._root, *self._path(place))
        while path not in self._lines:
            path = path[:-1]
        return self._lines[path]

    def _path(self, place: models.Place) -> json_lines.Path:
        path: json_lines.Path = ()
        for step in place:
            key = _KEYS.get(step, step) if isinstance(step, str) else step
            if key == "split":
                # Routers use `service` if a route has both.
                key = "service"
                split = (*self._root, *path, "traffic_split")
                if (*self._root, *path, key) not in self._lines:
                    key = "traffic_split" if split in self._lines else key
            path = (*path, key)
        return path


def load(path: pathlib.Path) -> ConfigurationFile:
    """Reads a configuration.

    Raises:
        FileError: The file can't be read, or is no JSON.
    """
    text, document = _load_json(path)
    root: json_lines.Path = ()
    if isinstance(document, dict) and "spec" in document:
        root, document = ("spec",), document["spec"]
    try:
        lines = json_lines.find(text)
    except RecursionError as exc:
        raise FileError(f"{path}: nested too deeply") from exc
    errors = tuple(_error(text) for text in records.find_errors(document))
    candidate = None
    if not errors:
        candidate = models.Candidate(
            records.configuration(document),
            *records.names(document),
        )
    return ConfigurationFile(candidate, errors, lines, root)


def load_servers(path: pathlib.Path) -> Mapping[str, int]:
    """Returns the number of servers by service, without draining ones.

    The file holds a list of registrations as the store returns it, or only its
    items.

    Raises:
        FileError: The file can't be read, or a registration is invalid.
    """
    _, document = _load_json(path)
    items = document.get("items") if isinstance(document, dict) else document
    if not isinstance(items, list):
        raise FileError(f"{path}: expected a list of registrations")
    counts: dict[str, int] = {}
    for index, item in enumerate(items):
        try:
            name = item["metadata"]["name"]
            server = records.server(name, item["spec"])
        except (KeyError, TypeError, exceptions.RecordError) as exc:
            raise FileError(f"{path}: items[{index}]: {exc}") from exc
        if not server.draining:
            counts[server.service] = counts.get(server.service, 0) + 1
    return counts


def _load_json(path: pathlib.Path) -> tuple[str, Any]:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        raise FileError(f"{path}: {exc.strerror}") from exc
    except UnicodeError as exc:
        raise FileError(f"{path}: {exc}") from exc
    try:
        json.loads(text)  # Only its errors tell the line.
        return text, msgspec.json.decode(text)
    except json.JSONDecodeError as exc:
        raise FileError(f"{path}:{exc.lineno}: {exc.msg}") from exc
    except RecursionError as exc:
        raise FileError(f"{path}: nested too deeply") from exc
    except ValueError as exc:  # Also what only the routers' decoder rejects.
        raise FileError(f"{path}: {exc}") from exc


def _error(text: str) -> models.Finding:
    """Returns the finding for an error, whose text may end with its path."""
    found = _PATH.search(text)
    place: models.Place = ()
    if found is not None:
        place = tuple(
            name if name else int(index)
            for name, index in _STEP.findall(found[1])
        )
        text = text[: found.start()].removesuffix(" - at ")
    return models.Finding(models.Kind.ERROR, place, text)
