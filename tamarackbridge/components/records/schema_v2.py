"""Schema version 2 of the workspace kind.

Version 2 groups the limits and the identification of the end user. Every
record of version 1 corresponds to exactly one record of version 2, and the
other way round.
"""

import dataclasses
from typing import Annotated

import pydantic
from pydantic import dataclasses as checked

from tamarackbridge.components.records import models, schema_v1


@checked.dataclass(frozen=True, slots=True, config=schema_v1.CONFIG)
class LimitsV2:
    """Limits of one workspace, per service, in the whole fleet.

    Attributes:
        queued: Requests that may wait.
        running: Requests that may run at once.
    """

    queued: schema_v1.Count = 256
    running: schema_v1.Count = 64


@checked.dataclass(frozen=True, slots=True, config=schema_v1.CONFIG)
class EndUserV2:
    """How the end users of a workspace are identified.

    Attributes:
        header: Header that identifies the end user; empty for none.
    """

    header: schema_v1.HeaderName = ""


@checked.dataclass(frozen=True, slots=True, config=schema_v1.CONFIG)
class WorkspaceV2:
    """A tenant and its share of capacity.

    Attributes:
        name: Name of the workspace.
        share: Weight relative to other workspaces.
        key_hashes: SHA-256 hashes, in lower-case hex, of the callers' keys.
        limits: Limits on its requests.
        end_user: How its end users are identified.
    """

    name: schema_v1.Name
    share: schema_v1.Share
    key_hashes: Annotated[
        tuple[schema_v1.Sha256, ...],
        pydantic.Field(min_length=1, max_length=16),
    ]
    limits: LimitsV2 = dataclasses.field(default_factory=LimitsV2)
    end_user: EndUserV2 = dataclasses.field(default_factory=EndUserV2)

    def to_model(self) -> models.Workspace:
        """Converts to the internal form."""
        return models.Workspace(
            name=self.name,
            share=self.share,
            key_hashes=self.key_hashes,
            max_queued=self.limits.queued,
            max_running=self.limits.running,
            end_user_header=self.end_user.header,
        )

    @classmethod
    def from_model(cls, model: models.Workspace) -> "WorkspaceV2":
        """Converts from the internal form."""
        return cls(
            name=model.name,
            share=model.share,
            key_hashes=model.key_hashes,
            limits=LimitsV2(model.max_queued, model.max_running),
            end_user=EndUserV2(model.end_user_header),
        )
