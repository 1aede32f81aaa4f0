"""What the entry knows of one request."""

import dataclasses

from tamarackbridge.components.records import models
from tamarackbridge.components.telemetry import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One caller's request, accepted and authenticated.

    Attributes:
        request_id: Identifier, unique in the fleet.
        workspace: The tenant that pays.
        service: The service it is for.
        route: The route it matched.
        path: Path and query towards the backend server.
        headers: Headers that are passed on.
        body: The whole body.
        end_user: End user within the workspace; empty when unknown.
        hint_cost: Caller's estimate of the cost; 0 for none.
        idempotency_key: The caller's key; empty for none.
        deadline: Monotonic time by which the answer must be whole.
        span: The span of the whole request.
    """

    request_id: str
    workspace: models.Workspace
    service: models.Service
    route: models.Route
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    end_user: str
    hint_cost: float
    idempotency_key: str
    deadline: float
    span: spans.Span = dataclasses.field(default_factory=spans.NullSpan)
