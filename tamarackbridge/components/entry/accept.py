"""Authenticates, routes and reads callers' requests."""

import asyncio
import hashlib
import uuid

from aiohttp import web
import result

from tamarackbridge.components.entry import const, problem
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.records import models
from tamarackbridge.components.telemetry import spans

_FORWARDED_HEADERS = frozenset(
    {"accept", "content-type", "idempotency-key", "traceparent", "tracestate"}
)


def _api_key(req: web.Request) -> str:
    header_key = req.headers.get(const.HEADER_API_KEY, "")
    if header_key:
        return header_key
    scheme, _, token = req.headers.get("Authorization", "").partition(" ")
    return token if scheme.lower() == "bearer" else ""


def find_workspace(
    req: web.Request, snapshot: models.Snapshot
) -> models.Workspace | None:
    """Returns the workspace of the request's API key, or None."""
    key = _api_key(req)
    if not key:
        return None
    digest = hashlib.sha256(key.encode()).hexdigest()
    for workspace in snapshot.workspaces.values():
        if digest in workspace.key_hashes:
            return workspace
    return None


def find_route(
    req: web.Request, snapshot: models.Snapshot
) -> tuple[models.Service, models.Route, str] | None:
    """Returns service, route and forwarded path for `/SERVICE/PATH?QUERY`."""
    name, _, remainder = req.path.lstrip("/").partition("/")
    service = snapshot.services.get(name)
    if service is None:
        return None
    path = f"/{remainder}"
    for route in service.routes:
        if route.matches(req.method, path):
            query = f"?{req.query_string}" if req.query_string else ""
            return service, route, path + query
    return None


def _cost_hint(req: web.Request) -> float:
    try:
        hint = float(req.headers.get(const.HEADER_COST_HINT, "0"))
    except ValueError:
        return 0.0
    return hint if 0 < hint < float("inf") else 0.0


async def async_accept(
    req: web.Request,
    snapshot: models.Snapshot,
    now: float,
    body_timeout_s: float,
    span: spans.Span,
) -> result.Result[entry_models.Request, problem.Problem]:
    """Authenticates and reads an HTTP request.

    Returns:
        The accepted request, or the problem for which it is rejected.
    """
    request_id = uuid.uuid4().hex

    def reject(reason: const.Reason, detail: str) -> problem.Problem:
        return problem.Problem(reason, problem.NotRun.TRUE, request_id, detail)

    workspace = find_workspace(req, snapshot)
    if workspace is None:
        detail = "no workspace has this key"
        return result.Err(reject(const.Reason.UNAUTHORIZED, detail))
    matched = find_route(req, snapshot)
    if matched is None:
        detail = "no service has this route"
        return result.Err(reject(const.Reason.UNKNOWN_ROUTE, detail))
    service, route, path = matched
    caller_key = req.headers.get(const.HEADER_IDEMPOTENCY_KEY, "")
    if not route.idempotent and not caller_key:
        detail = f"this route needs the header {const.HEADER_IDEMPOTENCY_KEY}"
        return result.Err(reject(const.Reason.KEY_REQUIRED, detail))
    try:
        async with asyncio.timeout(body_timeout_s):
            body = await req.read()
    except TimeoutError:
        detail = "the body took too long"
        return result.Err(reject(const.Reason.TIMEOUT, detail))
    except web.HTTPRequestEntityTooLarge:
        detail = "the body is too large"
        return result.Err(reject(const.Reason.TOO_LARGE, detail))
    headers = tuple(
        (name, value)
        for name, value in req.headers.items()
        if name.lower() in _FORWARDED_HEADERS
    )
    end_user = ""
    if workspace.end_user_header:
        end_user = req.headers.get(workspace.end_user_header, "")
    accepted = entry_models.Request(
        request_id=request_id,
        workspace=workspace,
        service=service,
        route=route,
        path=path,
        headers=headers,
        body=body,
        end_user=end_user,
        hint_cost=_cost_hint(req),
        idempotency_key=caller_key,
        deadline=now + route.deadline_s,
        span=span,
    )
    return result.Ok(accepted)
