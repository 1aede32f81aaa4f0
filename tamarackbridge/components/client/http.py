"""HTTP client of the operator interface of routers."""

import asyncio
from collections.abc import Sequence
import dataclasses
import pathlib
import ssl
from typing import TypeVar
from urllib import parse

import aiohttp
import msgspec
import result

from tamarackbridge.components.client import const
from tamarackbridge.components.operator import messages
from tamarackbridge.components.tls import contexts
from tamarackbridge.helpers import response_limits

_T = TypeVar("_T")

_EXIT_OF_STATUS = {
    401: const.Exit.UNAUTHORIZED,
    403: const.Exit.UNAUTHORIZED,
    409: const.Exit.CONFLICT,
    502: const.Exit.UNAVAILABLE,
    503: const.Exit.UNAVAILABLE,
    504: const.Exit.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """Addresses and credentials for the operator interface.

    Attributes:
        urls: Base URLs of the operator interfaces of one or more routers.
        token_file: File with the bearer token; `None` for none.
        ca: PEM file of the authorities that issue routers' certificates.
        certificate: PEM file of a client certificate.
        key: PEM file of the client certificate's private key.
    """

    urls: tuple[str, ...]
    token_file: pathlib.Path | None = None
    ca: pathlib.Path | None = None
    certificate: pathlib.Path | None = None
    key: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """A call that did not succeed.

    Attributes:
        exit_code: Exit code of the program.
        detail: One line of text for the operator.
    """

    exit_code: const.Exit
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call to the operator interface."""

    method: str
    path: str
    query: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def url(self, base: str) -> str:
        """Returns the URL of this call at the router with this base URL."""
        query = f"?{parse.urlencode(self.query)}" if self.query else ""
        return f"{base.rstrip('/')}{self.path}{query}"


def path(*parts: str) -> str:
    """Joins a fixed prefix and the other parts, which are percent-encoded."""
    head, *rest = parts
    return "/".join([head, *(parse.quote(part, safe="") for part in rest)])


class Client:
    """Makes calls to one or to all of the configured routers."""

    def __init__(self, access: Access) -> None:
        self._access = access

    def call(self, call: Call, kind: type[_T]) -> result.Result[_T, CallError]:
        """Makes a call, at one router after another until one answers.

        If none answers, the most severe error is returned. A change carries
        an identifier, so that it is made once even when several routers
        receive it.
        """
        return asyncio.run(self._async_call(call, kind))

    def call_all(
        self, call: Call, kind: type[_T]
    ) -> list[result.Result[_T, CallError]]:
        """Makes a read call at every router at once; returns all results."""
        return asyncio.run(self._async_call_all(call, kind))

    async def _async_call(
        self, call: Call, kind: type[_T]
    ) -> result.Result[_T, CallError]:
        worst = CallError(const.Exit.USAGE, "no router URL was given")
        async with self._session() as session:
            for base in self._access.urls:
                answer = await _async_call_router(session, base, call, kind)
                if isinstance(answer, result.Ok):
                    return answer
                if not isinstance(answer.err_value, _UnansweredError):
                    return answer
                worst = max(worst, answer.err_value, key=_severity)
        return result.Err(worst)

    async def _async_call_all(
        self, call: Call, kind: type[_T]
    ) -> list[result.Result[_T, CallError]]:
        async with self._session() as session:
            calls = [
                _async_call_router(session, base, call, kind)
                for base in self._access.urls
            ]
            return list(await asyncio.gather(*calls))

    def _session(self) -> aiohttp.ClientSession:
        headers = {}
        if self._access.token_file is not None:
            token = self._access.token_file.read_text().strip()
            headers["Authorization"] = f"Bearer {token}"
        connector = aiohttp.TCPConnector(ssl=self._ssl_context())
        response_limits.bind(connector)
        return aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=const.CALL_TIMEOUT_S),
            headers=headers,
        )

    def _ssl_context(self) -> ssl.SSLContext:
        access = self._access
        return contexts.client_context(
            _to_text(access.ca),
            _to_text(access.certificate),
            _to_text(access.key),
        )


class _UnansweredError(CallError):
    """A router did not answer; the call may be retried at another one."""

    __slots__ = ()


def _to_text(path: pathlib.Path | None) -> str:
    return "" if path is None else str(path)


def _severity(err: CallError) -> int:
    """Ranks an unknown outcome above an unreachable router."""
    return err.exit_code


async def _async_call_router(
    session: aiohttp.ClientSession, base: str, call: Call, kind: type[_T]
) -> result.Result[_T, CallError]:
    url = call.url(base)
    try:
        async with session.request(
            call.method,
            url,
            data=call.body or None,
            headers=dict(call.headers),
            allow_redirects=False,
        ) as resp:
            body = await resp.read()
            response_limits.check_valid(resp)
            return _decode(base, resp.status, body, kind)
    except aiohttp.InvalidURL:
        return result.Err(CallError(const.Exit.USAGE, f"{base} is no URL"))
    except aiohttp.ClientConnectorError as exc:
        detail = f"{base} can't be reached: {exc.strerror or exc}"
        return result.Err(_UnansweredError(const.Exit.UNAVAILABLE, detail))
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        reason = str(exc) or type(exc).__name__
        return result.Err(_unanswered(call, f"{base} gave no answer: {reason}"))


def _unanswered(call: Call, detail: str) -> CallError:
    if call.method == "GET":
        return _UnansweredError(const.Exit.UNAVAILABLE, detail)
    hint = "; the change may be written, read the records before retrying"
    return _UnansweredError(const.Exit.UNKNOWN, detail + hint)


def _decode(
    base: str, status: int, body: bytes, kind: type[_T]
) -> result.Result[_T, CallError]:
    try:
        if status == 200:
            return result.Ok(msgspec.json.decode(body, type=kind))
        problem = msgspec.json.decode(body, type=messages.Problem)
    except msgspec.MsgspecError:
        detail = f"{base} answered {status} with a body that can't be decoded"
        return result.Err(CallError(const.Exit.REFUSED, detail))
    code = _EXIT_OF_STATUS.get(status, const.Exit.REFUSED)
    return result.Err(CallError(code, problem.detail))


def urls(values: Sequence[str]) -> tuple[str, ...]:
    """Splits comma-separated base URLs; drops empty ones."""
    found = [part.strip() for value in values for part in value.split(",")]
    return tuple(part for part in found if part)
