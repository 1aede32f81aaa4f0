"""One attempt of one request on one backend server."""

from collections.abc import Callable
import dataclasses
import time

import aiohttp
from aiohttp import web
import msgspec

from tamarackbridge.components.backend import client, exceptions
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import const, events
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.records import models

_DATA = b"data: "
_DONE = b"[DONE]"
_RETURNED_HEADERS = ("Content-Type", "ETag", "Cache-Control", "Location")


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    usage: _Usage | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


@dataclasses.dataclass(slots=True)
class Attempt:
    """How far one attempt has come.

    Attributes:
        sent: Whether any of it may have reached the backend server.
        prepared: Whether the caller has been sent the answer's header.
        whole: Whether the caller has the whole answer.
        used: Cost so far.
        first_byte_s: Time from start to the first byte of the answer.
        status: HTTP status of the answer; 0 while there is none.
        outcome: How the attempt ended.
    """

    sent: bool = False
    prepared: bool = False
    whole: bool = False
    used: float = 0.0
    first_byte_s: float = 0.0
    status: int = 0
    outcome: dispatch.Outcome = dispatch.Outcome.UNUSED
    tokens: int = 0
    body: bytes = b""
    content_type: str = ""


class Forwarder:
    """Sends requests to backend servers and streams answers through."""

    def __init__(self, backend: client.BackendClient) -> None:
        self._backend = backend

    async def async_run(
        self,
        req: web.Request,
        accepted: entry_models.Request,
        server: models.BackendServer,
        permit: dispatch.Permitted,
        report: Callable[[float], None],
    ) -> tuple[Attempt, web.StreamResponse | None]:
        """Runs one attempt.

        Args:
            req: The caller's request.
            accepted: What was accepted of it.
            server: Where it may run.
            permit: The permit that it runs under.
            report: Told the cost so far, now and then.

        Returns:
            How it went, and the answer where one was begun.
        """
        attempt = Attempt()
        started = time.monotonic()
        headers = dict(accepted.headers)
        headers[const.HEADER_REQUEST_ID] = accepted.request_id
        if server.checks_fencing:
            headers[const.HEADER_FENCING] = str(permit.epoch)
        answer: web.StreamResponse | None = None
        try:
            attempt.sent = True
            attempt.outcome = dispatch.Outcome.FAILED
            async with self._backend.async_open(
                accepted.route.method,
                server.address,
                accepted.path,
                headers,
                accepted.body,
            ) as resp:
                attempt.first_byte_s = time.monotonic() - started
                attempt.status = resp.status
                if not self._own(resp, accepted):
                    return attempt, None
                if resp.status >= 500:
                    self._failed(resp, attempt)
                    return attempt, None
                answer = _answer(resp, accepted)
                if _is_stream(resp):
                    await self._async_stream(
                        req, resp, answer, accepted, attempt, report, started
                    )
                else:
                    await self._async_plain(
                        req, resp, answer, accepted, attempt
                    )
        except exceptions.NotSentError:
            attempt.sent = False
        except exceptions.BackendError:
            attempt.outcome = dispatch.Outcome.FAILED
        finally:
            self._settle(accepted.service, attempt, started)
        return attempt, answer

    def _own(
        self, resp: aiohttp.ClientResponse, accepted: entry_models.Request
    ) -> bool:
        echoed = resp.headers.get(const.HEADER_REQUEST_ID)
        return echoed is None or echoed == accepted.request_id

    def _failed(self, resp: aiohttp.ClientResponse, attempt: Attempt) -> None:
        if resp.headers.get(const.HEADER_NOT_STARTED) == "true":
            attempt.sent = False
            attempt.outcome = dispatch.Outcome.COLD

    async def _async_plain(
        self,
        req: web.Request,
        resp: aiohttp.ClientResponse,
        answer: web.StreamResponse,
        accepted: entry_models.Request,
        attempt: Attempt,
    ) -> None:
        body = await resp.read()
        if not body and accepted.route.empty_is_failure:
            return
        attempt.outcome = dispatch.Outcome.OK
        attempt.body = body
        attempt.content_type = resp.headers.get("Content-Type", "")
        answer.content_length = len(body)
        await answer.prepare(req)
        attempt.prepared = True
        await answer.write(body)
        await answer.write_eof()
        attempt.whole = True

    async def _async_stream(
        self,
        req: web.Request,
        resp: aiohttp.ClientResponse,
        answer: web.StreamResponse,
        accepted: entry_models.Request,
        attempt: Attempt,
        report: Callable[[float], None],
        started: float,
    ) -> None:
        reported = started
        weight = accepted.service.output_weight
        async for batch in events.async_batches(resp.content):
            if not attempt.prepared:
                await answer.prepare(req)
                attempt.prepared = True
            await answer.write(batch)
            _count_events(batch, attempt, weight)
            now = time.monotonic()
            if now - reported > const.USED_REPORT_S:
                reported = now
                report(attempt.used)
        if attempt.whole:
            attempt.outcome = dispatch.Outcome.OK
            await answer.write_eof()

    def _settle(
        self, service: models.Service, attempt: Attempt, started: float
    ) -> None:
        if service.cost_rule is models.CostRule.SERVER_MS:
            attempt.used = (time.monotonic() - started) * 1000
        if not attempt.sent:
            attempt.used = 0.0
            if attempt.outcome is dispatch.Outcome.UNUSED:
                attempt.outcome = dispatch.Outcome.FAILED


def _count_events(batch: bytes, attempt: Attempt, weight: float) -> None:
    for line in batch.split(events.END):
        if not line.startswith(_DATA):
            continue
        data = line[len(_DATA) :].strip()
        if data == _DONE:
            attempt.whole = True
            continue
        attempt.tokens += 1
        attempt.used = max(attempt.used, attempt.tokens * weight)
        if b'"usage"' in data:
            attempt.used = _usage_cost(data, weight, attempt.used)


def _usage_cost(data: bytes, weight: float, fallback: float) -> float:
    try:
        usage = _CHUNK_DECODER.decode(data).usage
    except msgspec.MsgspecError:
        return fallback
    if usage is None:
        return fallback
    return usage.prompt_tokens + weight * usage.completion_tokens


def _is_stream(resp: aiohttp.ClientResponse) -> bool:
    return resp.content_type == "text/event-stream"


def _answer(
    resp: aiohttp.ClientResponse, accepted: entry_models.Request
) -> web.StreamResponse:
    headers = {
        name: resp.headers[name]
        for name in _RETURNED_HEADERS
        if name in resp.headers
    }
    headers[const.HEADER_REQUEST_ID] = accepted.request_id
    return web.StreamResponse(status=resp.status, headers=headers)
