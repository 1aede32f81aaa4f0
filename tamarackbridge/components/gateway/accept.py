"""Turns a caller's HTTP request into a job, or refuses it."""

import asyncio
import dataclasses
import hashlib

from aiohttp import web
import result

from tamarackbridge import core
from tamarackbridge.components.gateway import answers, jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state

STALE_RETRY_S = 0.5
"""Advice while this router's knowledge is old: another router may be better
off, and the store answers within this time once it is back."""

BODY_TIMEOUT_S = 5.0
"""Longest time to send a body; the callers' shortest deadline is 1 s, and
4 MB take far less on the slowest link of theirs."""

_Reason = answers.Reason
Accepted = result.Result[jobs.Job, answers.Refusal]


class Acceptor:
    """Checks route, key, size and deadline of a request."""

    def __init__(
        self,
        known: state.LocalCopy,
        dialect: models.Dialect,
        clock: core.Clock,
    ) -> None:
        self._known = known
        self._dialect = dialect
        self._clock = clock

    def read_call(self, req: web.BaseRequest) -> models.Call | None:
        """Returns what the caller sent, without the body."""
        return self._dialect.read_call(
            req.method, req.raw_path, req.host, req.raw_headers
        )

    def route_name(self, call: models.Call) -> str:
        """Returns the name of a call's route; empty if there is none."""
        route = self._route(call)
        return "" if route is None else route.name

    def _route(self, call: models.Call) -> knowledge.Route | None:
        cfg = self._known.configuration
        if cfg is None:
            return None
        return cfg.route(call.host, call.target.partition("?")[0])

    async def async_accept(
        self, req: web.BaseRequest, call: models.Call
    ) -> Accepted:
        """Returns the job for a call, its body read."""
        arrived = self._clock.monotonic()
        admitted = self._check(call, arrived)
        if isinstance(admitted, result.Err):
            return admitted
        job = admitted.ok_value
        limit_s = min(BODY_TIMEOUT_S, job.deadline - arrived)
        try:
            async with asyncio.timeout(limit_s):
                body = await req.read()
                job.call = dataclasses.replace(call, body=body)
        except TimeoutError:
            return _refuse(_Reason.TOO_SLOW)
        except web.HTTPRequestEntityTooLarge:
            return _refuse(_Reason.TOO_LARGE)
        return result.Ok(job)

    def _check(self, call: models.Call, now: float) -> Accepted:
        cfg = self._known.configuration
        if cfg is None:
            return _refuse(_Reason.KNOWLEDGE_OLD, STALE_RETRY_S)
        route = self._route(call)
        if route is None:
            return self._deny(_Reason.NO_ROUTE, now)
        workspace = ""
        if cfg.workspaces is not None and not route.public:
            found = cfg.workspaces.get(call.key)
            if found is None:
                return self._deny(_Reason.NO_KEY, now)
            if not self._known.may_accept_keys(now):
                return _refuse(_Reason.KNOWLEDGE_OLD, STALE_RETRY_S)
            workspace = found
        service = pick_service(cfg, route, call.request_id)
        if service is None:
            return _refuse(_Reason.NO_SERVER, STALE_RETRY_S)
        patience_s = call.patience_s or route.timeout_s
        deadline = now + min(patience_s, route.timeout_s)
        return result.Ok(
            jobs.Job(call, route, service, workspace, now, deadline)
        )

    def _deny(self, reason: answers.Reason, now: float) -> Accepted:
        if self._known.may_reject_unknown(now):
            return _refuse(reason)
        return _refuse(_Reason.KNOWLEDGE_OLD, STALE_RETRY_S)


def pick_service(
    cfg: knowledge.Configuration, route: knowledge.Route, request_id: str
) -> knowledge.Service | None:
    """Returns the service for a request, by the weights of the route."""
    total = sum(weight for _, weight in route.split)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for name, weight in route.split:
        point -= weight
        if point < 0:
            return cfg.services.get(name)
    return None


def _refuse(reason: answers.Reason, retry_after_s: float = 0.0) -> Accepted:
    return result.Err(answers.Refusal(reason, retry_after_s))
