"""Compares two configurations by their meaning.

The order of entries and the form of a value have none, and of routes with the
same host and prefix only the first is used.
"""

from collections.abc import Iterator, Mapping, Sequence
import dataclasses
import enum
from typing import Any

from tamarackbridge.components.configuration_check import models
from tamarackbridge.components.knowledge import models as knowledge

_IDENTITY = frozenset(("host", "prefix"))


def find(
    before: knowledge.Configuration, after: knowledge.Configuration
) -> Iterator[models.Change]:
    """Yields what differs, in a fixed order."""
    yield from _records("route", _by_address(before), _by_address(after))
    yield from _records("service", before.services, after.services)
    yield from _fields("limits", before.limits, after.limits)
    yield from _workspaces(before.workspaces, after.workspaces)


def _by_address(
    configuration: knowledge.Configuration,
) -> Mapping[str, knowledge.Route]:
    routes: dict[str, knowledge.Route] = {}
    for route in configuration.routes:
        routes.setdefault(f"{route.host.lower()}{route.prefix}", route)
    return routes


def _records(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[models.Change]:
    for name in sorted(before.keys() | after.keys()):
        subject = f"{kind} {name}"
        if name not in after:
            yield models.Change(subject, "", "present", "")
        elif name not in before:
            yield models.Change(subject, "", "", "present")
        else:
            yield from _fields(subject, before[name], after[name])


def _fields(subject: str, before: Any, after: Any) -> Iterator[models.Change]:
    for field in dataclasses.fields(before):
        if field.name in _IDENTITY:
            continue
        old, new = (
            _text(getattr(each, field.name)) for each in (before, after)
        )
        if old != new:
            yield models.Change(subject, field.name, old, new)


def _text(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case enum.Enum():
            return str(value.value)
        case int() | float():
            return f"{value:.10g}"
        case tuple():  # Weights count by their parts of the sum.
            total = sum(weight for _, weight in value) or 1
            parts = sorted((name, weight / total) for name, weight in value)
            return " ".join(f"{name}:{part:.3g}" for name, part in parts)
    return str(value)


def _workspaces(
    before: Mapping[str, str] | None, after: Mapping[str, str] | None
) -> Iterator[models.Change]:
    if (before is None) != (after is None):
        old, new = ("no" if keys is None else "yes" for keys in (before, after))
        yield models.Change("workspaces", "requests carry keys", old, new)
    keys_before, keys_after = _keys(before), _keys(after)
    for name in sorted(keys_before.keys() | keys_after.keys()):
        old_keys = keys_before.get(name, set())
        new_keys = keys_after.get(name, set())
        counts: Sequence[tuple[str, int]] = (
            ("keys added", len(new_keys - old_keys)),
            ("keys removed", len(old_keys - new_keys)),
        )
        for attribute, count in counts:
            if count:
                yield models.Change(
                    f"workspace {name}", attribute, "", str(count)
                )


def _keys(owners: Mapping[str, str] | None) -> Mapping[str, set[str]]:
    keys: dict[str, set[str]] = {}
    for key, name in (owners or {}).items():
        keys.setdefault(name, set()).add(key)
    return keys
