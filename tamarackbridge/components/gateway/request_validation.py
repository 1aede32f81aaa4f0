"""Validates a caller's HTTP request and turns it into a job."""

from collections.abc import Callable
import dataclasses
import hashlib

from aiohttp import web
import result

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    body_budget,
    body_reader,
    jobs,
    models,
    rejections,
)
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state

STALE_RETRY_S = 0.5
"""Retry-After while this router's copy of the configuration and registrations
is too old: another router may have a current one, and the store answers within
this time once it is back."""

_Reason = rejections.Reason
ValidationResult = result.Result[jobs.Job, rejections.Rejection]


class RequestValidator:
    """Checks the route, API key, body size and deadline of requests."""

    def __init__(
        self,
        local_copy: state.LocalCopy,
        dialect: models.Dialect,
        clock: core.Clock,
        bodies: body_budget.BodyBudget,
    ) -> None:
        self._body_reader = body_reader.BodyReader(bodies)
        self._local_copy = local_copy
        self._dialect = dialect
        self._clock = clock

    def read_request(self, req: web.BaseRequest) -> models.Request | None:
        """Returns the request without its body.

        Returns None if the request has no identifier.
        """
        return self._dialect.read_request(
            req.method, req.raw_path, req.host, req.raw_headers
        )

    def route_name(self, request: models.Request) -> str:
        """Returns the name of a request's route; empty if no route matches."""
        route = self._route(request)
        return "" if route is None else route.name

    def _route(self, request: models.Request) -> knowledge.Route | None:
        cfg = self._local_copy.configuration
        if cfg is None:
            return None
        return cfg.route(request.host, request.target.partition("?")[0])

    async def async_accept(
        self,
        req: web.BaseRequest,
        request: models.Request,
        begin_body: Callable[[], None],
    ) -> ValidationResult:
        """Validates a request and reads its body.

        Args:
            req: HTTP request of the caller.
            request: The request without its body.
            begin_body: Called when the body of a valid request is to be sent.

        Returns:
            The job for the request, or the rejection to send to the caller.
        """
        arrived = self._clock.monotonic()
        checked = self._check(request, arrived)
        if isinstance(checked, result.Err):
            return checked
        job = checked.ok_value
        read = await self._body_reader.async_read(
            req, self._max_body_bytes(), job.deadline - arrived, begin_body
        )
        if isinstance(read, result.Err):
            return read
        body, job.body_memory = read.ok_value
        job.request = dataclasses.replace(request, body=body)
        return result.Ok(job)

    def _max_body_bytes(self) -> int:
        cfg = self._local_copy.configuration
        limits = knowledge.Limits() if cfg is None else cfg.limits
        return limits.max_body_bytes

    def _check(self, request: models.Request, now: float) -> ValidationResult:
        cfg = self._local_copy.configuration
        if cfg is None:
            return _reject(_Reason.STALE_STATE, STALE_RETRY_S)
        route = self._route(request)
        if route is None:
            return self._deny(_Reason.NO_ROUTE, now)
        workspace = ""
        if cfg.workspaces is not None and not route.public:
            workspace_of_key = cfg.workspaces.get(request.key)
            if workspace_of_key is None:
                return self._deny(_Reason.INVALID_KEY, now)
            if not self._local_copy.may_accept_keys(now):
                return _reject(_Reason.STALE_STATE, STALE_RETRY_S)
            workspace = workspace_of_key
        service = pick_service(cfg, route, request.request_id)
        if service is None:
            return _reject(_Reason.NO_SERVER, STALE_RETRY_S)
        timeout_s = request.caller_timeout_s or route.timeout_s
        deadline = now + min(timeout_s, route.timeout_s)
        return result.Ok(
            jobs.Job(request, route, service, workspace, now, deadline)
        )

    def _deny(self, reason: rejections.Reason, now: float) -> ValidationResult:
        """Rejects a request whose route or key is not in the local copy.

        If the local copy is too old, the route or key may have been added
        since, so the caller is asked to retry instead.
        """
        if self._local_copy.may_reject_unknown(now):
            return _reject(reason)
        return _reject(_Reason.STALE_STATE, STALE_RETRY_S)


def pick_service(
    cfg: knowledge.Configuration, route: knowledge.Route, request_id: str
) -> knowledge.Service | None:
    """Picks a service of the route by a hash of the request id.

    The probability of each service is proportional to its weight.

    Returns:
        The service; None if the configuration does not define it.
    """
    total = sum(weight for _, weight in route.split)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / 2**64 * total
    for name, weight in route.split:
        position -= weight
        if position < 0:
            return cfg.services.get(name)
    return None


def _reject(
    reason: rejections.Reason, retry_after_s: float = 0.0
) -> ValidationResult:
    return result.Err(rejections.Rejection(reason, retry_after_s))
