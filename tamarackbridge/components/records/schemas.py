"""The schema versions of each record kind."""

from collections.abc import Mapping
import dataclasses
from typing import Any, Final, Protocol, Self

from tamarackbridge.components.records import (
    const,
    models,
    schema_v1,
    schema_v2,
)

Model = models.Workspace | models.Service | models.BackendServer | models.Zone
"""The internal form of one record."""


class Schema(Protocol):
    """One schema version of one kind: a pydantic data class."""

    def to_model(self) -> Any:
        """Converts to the internal form."""
        ...

    @classmethod
    def from_model(cls, model: Any) -> Self:
        """Converts from the internal form."""
        ...


SCHEMAS: Final[Mapping[str, Mapping[int, type[Any]]]] = {
    const.KIND_ZONE: {1: schema_v1.ZoneV1},
    const.KIND_SERVICE: {1: schema_v1.ServiceV1},
    const.KIND_SERVER: {1: schema_v1.ServerV1},
    const.KIND_WORKSPACE: {
        1: schema_v1.WorkspaceV1,
        2: schema_v2.WorkspaceV2,
    },
}
"""The data class of each kind and schema version."""

_KIND_OF: Final[Mapping[type[Any], str]] = {
    models.Zone: const.KIND_ZONE,
    models.Service: const.KIND_SERVICE,
    models.BackendServer: const.KIND_SERVER,
    models.Workspace: const.KIND_WORKSPACE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record, with the schema version of its writer.

    Attributes:
        schema_version: Schema version in which it is written back.
        model: Internal form of the record.
    """

    schema_version: int
    model: Model

    @property
    def kind(self) -> str:
        """Kind of the record."""
        return kind_of(self.model)

    @property
    def name(self) -> str:
        """Name of the record, unique within its kind."""
        return self.model.name


def kind_of(model: Model) -> str:
    """Returns the kind of an internal form."""
    return _KIND_OF[type(model)]
