"""Stand-in for an inference engine with continuous batching."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import hashlib
import json
from typing import Any

from aiohttp import web
import msgspec

from standins import backend, base

ATTR_RESUME = "X-Resume-Offset"
_WORDS = ("ewe ", "ram ", "calf ", "bull ", "mare ", "foal ", "kid ", "hen ")


@dataclasses.dataclass(slots=True)
class EngineFaults(backend.BackendFaults):
    """Faults and delays of an engine.

    Attributes:
        first_token_s: Time to the first token.
        token_s: Time between tokens with one request in flight.
        load_slope: Growth of the time between tokens for each further
            request in flight, as a fraction of `token_s`.
        cold_factor: Factor on the time between tokens during warm-up.
        cut_after: Number of tokens after which the connection of a stream is
            aborted; 0 for never.
        resume: Whether the header X-Resume-Offset is obeyed.
        plain_status: Status of an answer that is sent in place of tokens; 0 for
            tokens.
        plain_type: Content type of that answer.
    """

    first_token_s: float = 0.02
    token_s: float = 0.005
    load_slope: float = 0.1
    cold_factor: float = 4.0
    cut_after: int = 0
    resume: bool = True
    plain_status: int = 0
    plain_type: str = "text/plain"


class CompletionRequest(msgspec.Struct):
    """Body of a completion request."""

    prompt: str
    model: str = ""
    max_tokens: int = 16
    stream: bool = False


class Engine(backend.Backend):
    """Generates completions that depend on request identifier and prompt alone.

    Attributes:
        runs: Number of starts from offset 0 by request identifier.
        tokens: Number of tokens generated.
        cancelled: Number of requests whose client disconnected.
    """

    faults: EngineFaults

    def __init__(
        self, faults: EngineFaults | None = None, seed: int = 0
    ) -> None:
        super().__init__(faults or EngineFaults(), seed)
        self.runs: dict[str, int] = {}
        self.tokens = 0
        self.cancelled = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the completion route."""
        super().add_routes(router)
        router.add_post("/v1/completions", self._async_complete)

    def state(self) -> dict[str, Any]:
        """Returns load, counters and runs."""
        return {
            **super().state(),
            "runs": self.runs,
            "tokens": self.tokens,
            "cancelled": self.cancelled,
        }

    async def _async_complete(self, req: web.Request) -> web.StreamResponse:
        self.count("completion")
        refusal = await self.async_admit(req)
        if refusal is not None:
            return refusal
        try:
            return await self._async_run(req)
        except asyncio.CancelledError:
            if req.transport is not None and not req.transport.is_closing():
                return base.abort_connection(req)
            self.cancelled += 1
            raise
        except ConnectionError:
            self.cancelled += 1
            raise
        finally:
            self.release()

    async def _async_run(self, req: web.Request) -> web.StreamResponse:
        try:
            body = msgspec.json.decode(await req.read(), type=CompletionRequest)
        except msgspec.MsgspecError as exc:
            return web.Response(status=400, text=str(exc))
        start_offset = self._start_offset(req)
        if start_offset == 0:
            request_id = req.headers.get(backend.ATTR_REQUEST_ID, "")
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        answer_id = self.answer_id(req)
        await asyncio.sleep(self.faults.first_token_s + self.faults.late_s)
        if self.faults.plain_status:
            headers = {backend.ATTR_REQUEST_ID: answer_id}
            return web.Response(
                status=self.faults.plain_status,
                text="data: [DONE]\n\n",
                content_type=self.faults.plain_type,
                headers=headers,
            )
        if body.stream:
            return await self._async_stream(req, body, start_offset, answer_id)
        return await self._async_send_completion(req, body, answer_id)

    async def _async_send_completion(
        self, req: web.Request, body: CompletionRequest, answer_id: str
    ) -> web.StreamResponse:
        text = ""
        async for _, word in self._async_tokens(req, body, 0):
            text += word
        answer = {
            "id": answer_id,
            "choices": [{"text": text}],
            "usage": _usage(body),
        }
        if self.rng.random() < self.faults.truncated:
            return await async_truncated(req, json.dumps(answer), answer_id)
        headers = {backend.ATTR_REQUEST_ID: answer_id}
        return web.json_response(answer, headers=headers)

    async def _async_stream(
        self,
        req: web.Request,
        body: CompletionRequest,
        start_offset: int,
        answer_id: str,
    ) -> web.StreamResponse:
        resp = web.StreamResponse(
            headers={
                backend.ATTR_REQUEST_ID: answer_id,
                "Content-Type": "text/event-stream",
            }
        )
        await resp.prepare(req)
        truncate = self.rng.random() < self.faults.truncated
        sent = 0
        async for index, word in self._async_tokens(req, body, start_offset):
            if self.faults.cut_after and sent >= self.faults.cut_after:
                return _abort(req, resp)
            if truncate and index == body.max_tokens - 1:
                await resp.write_eof()
                return resp
            event: dict[str, Any] = {
                "id": answer_id,
                "index": index,
                "choices": [{"text": word}],
            }
            if index == body.max_tokens - 1:
                event["usage"] = _usage(body)
            await resp.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
            sent += 1
        await resp.write(b"data: [DONE]\n\n")
        await resp.write_eof()
        return resp

    async def _async_tokens(
        self, req: web.Request, body: CompletionRequest, start_offset: int
    ) -> AsyncIterator[tuple[int, str]]:
        request_id = req.headers.get(backend.ATTR_REQUEST_ID, "")
        seed = hashlib.sha256(f"{request_id}\n{body.prompt}".encode()).digest()
        for index in range(start_offset, body.max_tokens):
            self.tokens += 1
            yield index, _WORDS[(seed[index % 32] + index) % len(_WORDS)]
            await asyncio.sleep(self._token_s())

    def _token_s(self) -> float:
        others = len(self.running) - 1
        interval_s = self.faults.token_s * (1 + self.faults.load_slope * others)
        return (
            interval_s * self.faults.cold_factor
            if self.warming_up
            else interval_s
        )

    def _start_offset(self, req: web.Request) -> int:
        if not self.faults.resume:
            return 0
        return int(req.headers.get(ATTR_RESUME, "0"))


def _usage(body: CompletionRequest) -> dict[str, int]:
    return {
        "prompt_tokens": len(body.prompt.split()),
        "completion_tokens": body.max_tokens,
    }


def _abort(req: web.Request, resp: web.StreamResponse) -> web.StreamResponse:
    if req.transport is not None:
        req.transport.abort()
    return resp


async def async_truncated(
    req: web.Request, text: str, answer_id: str
) -> web.StreamResponse:
    """Sends half of an answer with the Content-Length of the full answer."""
    body = text.encode()
    resp = web.StreamResponse(
        headers={
            backend.ATTR_REQUEST_ID: answer_id,
            "Content-Length": str(len(body)),
        }
    )
    await resp.prepare(req)
    await resp.write(body[: len(body) // 2])
    return _close(req, resp)


def _close(req: web.Request, resp: web.StreamResponse) -> web.StreamResponse:
    if req.transport is not None:
        req.transport.close()
    return resp
