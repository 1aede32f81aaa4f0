"""The headers that the platform's callers and backend servers use."""

from collections.abc import Iterable, Mapping, Sequence
from email import utils
import math

from tamarackbridge.components.gateway import models
from tamarackbridge.platform import const

_MAX_DIGITS = 12
"""Longest number that is read."""

_MAX_PARTS = 64
"""Longest list of prompt parts that is read; prompts have a few."""

_NOT_RUN_STATUSES = frozenset((400, 408, 429, 503))


class PlatformDialect:
    """Translates between the platform's headers and the gateway's records."""

    def read_request(
        self,
        method: str,
        target: str,
        host: str,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> models.Request | None:
        """Returns a call, or None if it names no identifier."""
        headers = _decoded(raw_headers)
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(const.HEADER_REQUEST_ID.lower(), "")
        if not request_id:
            return None
        read, generated = _tokens(values.get(const.HEADER_TOKENS.lower(), ""))
        patience_ms = _count(values.get(const.HEADER_DEADLINE.lower(), ""))
        return models.Request(
            request_id=request_id,
            method=method,
            host=host,
            target=target,
            headers=_passed_on(headers, const.HEADERS_OF_ROUTERS),
            key=values.get(const.HEADER_KEY.lower(), ""),
            client_timeout_s=patience_ms / const.MS_PER_S
            if patience_ms
            else None,
            prompt_tokens=read,
            output_tokens=generated,
            output_hint=_count(
                values.get(const.HEADER_OUTPUT_HINT.lower(), "")
            ),
            prompt_blocks=_parts(values.get(const.HEADER_PARTS.lower(), "")),
            resume_after=values.get(const.HEADER_RESUME.lower(), ""),
        )

    def preview(self, data: bytes) -> models.RequestPreview | None:
        """Looks at the bytes of one request."""
        head, end, body = data.partition(b"\r\n\r\n")
        if not end:
            return None
        lines = head.decode("latin-1").split("\r\n")
        if not lines[0].endswith(" HTTP/1.1"):
            return None
        values: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            lowered = name.lower()
            if not colon or lowered in values or lowered in _UNCOMMON:
                return None
            values[lowered] = value.strip()
        length = values.get("content-length", "0")
        if len(length) > _MAX_DIGITS or not length.isdecimal():
            return None
        if int(length) != len(body):
            return None
        request_id = values.get(const.HEADER_REQUEST_ID.lower(), "")
        if not request_id.isascii() or not request_id.isprintable():
            return None
        if not request_id:
            return None
        patience_ms = _count(values.get(const.HEADER_DEADLINE.lower(), ""))
        read, generated = _tokens(values.get(const.HEADER_TOKENS.lower(), ""))
        return models.RequestPreview(
            request_id=request_id,
            key=values.get(const.HEADER_KEY.lower(), ""),
            client_timeout_s=patience_ms / const.MS_PER_S
            if patience_ms
            else None,
            prompt_tokens=read,
            output_tokens=generated,
            output_hint=_count(
                values.get(const.HEADER_OUTPUT_HINT.lower(), "")
            ),
        )

    def write_request(
        self, request: models.Request, metadata: models.AttemptMetadata
    ) -> models.HeaderList:
        """Returns the headers of a call to a backend server."""
        left_ms = max(int(metadata.remaining_s * const.MS_PER_S), 1)
        headers = list(request.headers)
        headers.append((const.HEADER_DEADLINE, str(left_ms)))
        headers.append((const.HEADER_TARGET, metadata.server))
        if metadata.workspace:
            headers.append((const.HEADER_WORKSPACE, metadata.workspace))
        if metadata.resume_after != request.resume_after:
            resume = const.HEADER_RESUME.lower()
            headers = [it for it in headers if it[0].lower() != resume]
            headers.append((const.HEADER_RESUME, metadata.resume_after))
        return tuple(headers)

    def read_response_head(
        self,
        request: models.Request,
        status: int,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> models.ResponseHead:
        """Reads the head of an answer."""
        headers = _decoded(raw_headers)
        values = {name.lower(): value for name, value in headers}
        leaving = values.get(const.HEADER_LEAVING.lower(), "").strip()
        retry_s = _retry_after_s(values)
        unreadable = []
        if leaving not in ("", _LEAVES):
            unreadable.append(const.HEADER_LEAVING)
        if retry_s is None:
            unreadable.append(const.HEADER_RETRY)
        return models.ResponseHead(
            status=status,
            disposition=_told(request, status, values),
            sealed=const.HEADER_SEAL.lower() in values,
            headers=_passed_on(headers, _KEPT_FROM_CALLERS),
            retry_after_s=retry_s or 0.0,
            announces_shutdown=leaving == _LEAVES,
            invalid_headers=tuple(unreadable),
            has_request_id=const.HEADER_REQUEST_ID.lower() in values,
        )

    def rejection_headers(self, request_id: str) -> Mapping[str, str]:
        """Returns the headers of a refusal."""
        return {const.HEADER_REQUEST_ID: request_id} if request_id else {}


_KEPT_FROM_CALLERS = frozenset((const.HEADER_LOAD.lower(),))

_UNCOMMON = frozenset(("transfer-encoding", "expect", "upgrade"))
"""Headers of requests whose bytes tell too little by themselves."""

_LEAVES = "1"
"""The only value with which a server says that it leaves."""


def _told(
    call: models.Request, status: int, values: Mapping[str, str]
) -> models.Disposition:
    echoed = values.get(const.HEADER_REQUEST_ID.lower())
    if echoed is not None and echoed != call.request_id:
        return models.Disposition.MISMATCHED
    if status == 421:
        return models.Disposition.MISDIRECTED
    if const.HEADER_NOT_RUN.lower() in values and status in _NOT_RUN_STATUSES:
        return models.Disposition.NOT_RUN
    if echoed is None and const.HEADER_SEAL.lower() in values:
        return models.Disposition.MISMATCHED
    return models.Disposition.ANSWERED


def _decoded(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in raw_headers
    ]


def _passed_on(
    headers: Sequence[tuple[str, str]], dropped: frozenset[str]
) -> models.HeaderList:
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    named -= const.HEADERS_OF_REQUESTS
    left_out = named | dropped | const.HEADERS_OF_CONNECTION
    return tuple(it for it in headers if it[0].lower() not in left_out)


def _tokens(text: str) -> tuple[int, int]:
    read, _, generated = text.partition(",")
    return _count(read), _count(generated)


def _parts(text: str) -> tuple[models.PromptBlock, ...]:
    if not text:
        return ()
    found = []
    for entry in text.split(",")[:_MAX_PARTS]:
        name, _, tokens = entry.strip().partition(":")
        found.append(models.PromptBlock(name, _count(tokens)))
    return tuple(found)


def _count(text: str) -> int:
    text = text.strip()
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return 0
    return int(text)


def _retry_after_s(values: Mapping[str, str]) -> float | None:
    """Returns the seconds after which a server suggests to come back.

    A date counts from the server's own, as clocks differ between VMs. 0 where
    there is no advice; None where it is not readable.
    """
    text = values.get(const.HEADER_RETRY.lower(), "").strip()
    if not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_between(values.get("date", ""), text)
    return seconds if seconds >= 0 else None


def _seconds_between(begin: str, end: str) -> float:
    """Returns the seconds from one HTTP date to another; NaN if unreadable."""
    try:
        first = utils.parsedate_to_datetime(begin)
        last = utils.parsedate_to_datetime(end)
        return max((last - first).total_seconds(), 0.0)
    except (TypeError, ValueError, OverflowError):
        return math.nan
