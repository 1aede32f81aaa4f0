"""An accepted request of a caller."""

import dataclasses

from tamarackbridge.components.records import models
from tamarackbridge.components.telemetry import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller that was authenticated and matched to a route.

    Attributes:
        request_id: Identifier that is unique in the fleet.
        workspace: The workspace whose API key was sent; it is charged.
        service: The service that the path names.
        route: The route of that service that method and path match.
        path: Path and query that are sent to the backend server.
        headers: Headers that are forwarded to the backend server.
        body: The complete body.
        end_user: End user within the workspace; empty when unknown.
        hint_cost: The caller's estimate of the cost; 0 if it sent none.
        idempotency_key: The caller's idempotency key; empty if it sent none.
        deadline: Monotonic time by which the answer must be complete.
        span: Trace span that covers the whole request.
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
