"""Authentication of operators: client certificate or bearer token."""

import hashlib
import hmac

from aiohttp import typedefs, web

from tamarackbridge.components.operator import const, responses
from tamarackbridge.components.settings import models


def middleware(cfg: models.OperatorSettings) -> typedefs.Middleware:
    """Returns the middleware that answers unauthenticated calls with 401."""

    @web.middleware
    async def async_authenticate(
        request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        if request.path in const.OPEN_PATHS or _is_operator(request, cfg):
            return await handler(request)
        detail = "a client certificate or a known bearer token is required"
        resp = responses.problem(401, "unauthorized", detail)
        resp.headers["WWW-Authenticate"] = "Bearer"
        return resp

    return async_authenticate


def _is_operator(req: web.Request, cfg: models.OperatorSettings) -> bool:
    if cfg.tls.client_ca and _peer_certificate(req):
        return True
    scheme, _, token = req.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        return False
    return token_matches(token, cfg.token_hashes)


def _peer_certificate(req: web.Request) -> bool:
    if req.transport is None:
        return False
    return bool(req.transport.get_extra_info("peercert"))


def token_matches(token: str, hashes: tuple[str, ...]) -> bool:
    """Returns whether the SHA-256 of `token` is one of `hashes`.

    Every hash is compared, each in constant time, so that the response time
    reveals nothing about them.
    """
    token_bytes = token.encode("utf-8", "surrogateescape")
    digest = hashlib.sha256(token_bytes).hexdigest()
    matches = [hmac.compare_digest(digest, expected) for expected in hashes]
    return any(matches)
