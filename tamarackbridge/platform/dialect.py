"""Codec of the headers that the platform's callers and servers use."""

from collections.abc import Iterable, Mapping, Sequence
from email import utils
import math
import re

import msgspec

from tamarackbridge.components.gateway import models
from tamarackbridge.platform import const

_MAX_DIGITS = 12
"""Digits of the longest number that is parsed; a longer one counts as none."""

_MAX_PROMPT_BLOCKS = 64
"""Prompt blocks that are parsed from one header; prompts have a few."""

_LOAD = re.compile(
    r"([0-9]{1,5}),([0-9]{1,5}),([0-9]{1,5})(?:,([0-9]{1,5}(?:\.[0-9]{1,3})?))?"
)
"""RUNNING,WAITING,SLOTS and the optional work factor. Five digits are more than
any server has slots, and a factor of a thousand."""

_USUAL_WORK = 100.0
"""Work factor of a server that works at its usual speed."""

_NOT_RUN_STATUSES = frozenset((400, 408, 429, 503))


class PlatformDialect:
    """Translates between the platform's headers and the gateway's models."""

    def read_request(
        self,
        method: str,
        target: str,
        host: str,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> models.Request | None:
        """Parses a request.

        Returns:
            The request; None if it has no identifier, or token counts that are
            not written in ASCII.
        """
        headers = _decode_headers(raw_headers)
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(const.HEADER_REQUEST_ID.lower(), "")
        if not request_id:
            return None
        usage = values.get(const.HEADER_TOKENS.lower(), "")
        if not usage.isascii():
            return None
        prompt_tokens, output_tokens = _token_counts(usage)
        timeout_ms = _parse_count(values.get(const.HEADER_DEADLINE.lower(), ""))
        return models.Request(
            request_id=request_id,
            method=method,
            host=host,
            target=target,
            headers=_forwarded(headers, const.ROUTER_ONLY_HEADERS),
            key=values.get(const.HEADER_KEY.lower(), ""),
            caller_timeout_s=timeout_ms / const.MS_PER_S
            if timeout_ms
            else None,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            output_hint=_parse_count(
                values.get(const.HEADER_OUTPUT_HINT.lower(), "")
            ),
            prompt_blocks=_prompt_blocks(
                values.get(const.HEADER_PROMPT_BLOCKS.lower(), "")
            ),
            resume_after=values.get(const.HEADER_RESUME.lower(), ""),
        )

    def preview(self, data: bytes) -> models.RequestPreview | None:
        """Previews a request from its raw bytes.

        Returns:
            The preview; None if the bytes are not one whole request of the
            common form.
        """
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
            if not colon or lowered in values or lowered in _NOT_PREVIEWED:
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
        timeout_ms = _parse_count(values.get(const.HEADER_DEADLINE.lower(), ""))
        prompt_tokens, output_tokens = _token_counts(
            values.get(const.HEADER_TOKENS.lower(), "")
        )
        return models.RequestPreview(
            request_id=request_id,
            key=values.get(const.HEADER_KEY.lower(), ""),
            caller_timeout_s=timeout_ms / const.MS_PER_S
            if timeout_ms
            else None,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            output_hint=_parse_count(
                values.get(const.HEADER_OUTPUT_HINT.lower(), "")
            ),
        )

    def write_request(
        self, request: models.Request, metadata: models.AttemptMetadata
    ) -> models.HeaderList:
        """Returns the headers of one attempt at a backend server."""
        left_ms = max(int(metadata.remaining_s * const.MS_PER_S), 1)
        headers = list(request.headers)
        headers.append((const.HEADER_DEADLINE, str(left_ms)))
        headers.append((const.HEADER_TARGET, metadata.server))
        if metadata.workspace:
            headers.append((const.HEADER_WORKSPACE, metadata.workspace))
        if metadata.copy_from:
            headers.append((const.HEADER_COPY_FROM, metadata.copy_from))
        if metadata.resume_after != request.resume_after:
            resume = const.HEADER_RESUME.lower()
            headers = [
                header for header in headers if header[0].lower() != resume
            ]
            if metadata.resume_after:
                headers.append((const.HEADER_RESUME, metadata.resume_after))
        return tuple(headers)

    def read_response_head(
        self,
        request: models.Request,
        status: int,
        raw_headers: Sequence[tuple[bytes, bytes]],
    ) -> models.ResponseHead:
        """Parses the status and headers of a server's response."""
        headers = _decode_headers(raw_headers)
        values = {name.lower(): value for name, value in headers}
        leaving = values.get(const.HEADER_LEAVING.lower(), "").strip()
        retry_after_s = _retry_after_s(values)
        unreadable = []
        if leaving not in ("", _LEAVING_VALUE):
            unreadable.append(const.HEADER_LEAVING)
        if retry_after_s is None:
            unreadable.append(const.HEADER_RETRY)
        limit_text = values.get(const.HEADER_LIMIT.lower(), "").strip()
        limit_per_s = _parse_rate(limit_text)
        if limit_text and limit_per_s is None:
            unreadable.append(const.HEADER_LIMIT)
        load_text = values.get(const.HEADER_LOAD.lower(), "").strip()
        load = _parse_load(load_text)
        if load_text and load is None:
            unreadable.append(const.HEADER_LOAD)
        return models.ResponseHead(
            status=status,
            disposition=_outcome(request, status, values),
            sealed=const.HEADER_SEAL.lower() in values,
            headers=_forwarded(headers, _INTERNAL_HEADERS),
            retry_after_s=retry_after_s or 0.0,
            announces_shutdown=leaving == _LEAVING_VALUE,
            limit_per_s=limit_per_s,
            invalid_headers=tuple(unreadable),
            has_request_id=const.HEADER_REQUEST_ID.lower() in values,
            load=load,
        )

    @property
    def report_path(self) -> str:
        """Path at which an engine reports about itself."""
        return const.REPORT_PATH

    def read_started_ms(self, report: bytes) -> int:
        """Returns when an engine says that it started; 0 if it does not."""
        try:
            return _REPORT.decode(report).born
        except (msgspec.MsgspecError, RecursionError):
            return 0

    def rejection_headers(self, request_id: str) -> Mapping[str, str]:
        """Returns the headers of a response that rejects a request."""
        return {const.HEADER_REQUEST_ID: request_id} if request_id else {}


class _Report(msgspec.Struct):
    """The part of an engine's report that is read."""

    born: int = 0


_REPORT = msgspec.json.Decoder(_Report)

_INTERNAL_HEADERS = frozenset((const.HEADER_LOAD.lower(),))

_NOT_PREVIEWED = frozenset(("transfer-encoding", "expect", "upgrade"))
"""Requests with one of these headers have no preview: their body is not
delimited by its length, or the caller expects an answer before it."""

_LEAVING_VALUE = "1"
"""Only value of the header with which a server announces its shutdown."""


def _outcome(
    request: models.Request, status: int, values: Mapping[str, str]
) -> models.Disposition:
    echoed = values.get(const.HEADER_REQUEST_ID.lower())
    if echoed is not None and echoed != request.request_id:
        return models.Disposition.MISMATCHED
    if status == 421:
        return models.Disposition.MISDIRECTED
    if const.HEADER_NOT_RUN.lower() in values and status in _NOT_RUN_STATUSES:
        return models.Disposition.NOT_RUN
    if echoed is None and const.HEADER_SEAL.lower() in values:
        return models.Disposition.MISMATCHED
    return models.Disposition.ANSWERED


def _decode_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in raw_headers
    ]


def _forwarded(
    headers: Sequence[tuple[str, str]], dropped: frozenset[str]
) -> models.HeaderList:
    listed = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }
    listed -= const.END_TO_END_HEADERS
    excluded = listed | dropped | const.HOP_BY_HOP_HEADERS
    return tuple(
        header for header in headers if header[0].lower() not in excluded
    )


def _token_counts(text: str) -> tuple[int, int]:
    """Returns the tokens of the prompt and of the output."""
    prompt, _, output = text.partition(",")
    return _parse_count(prompt), _parse_count(output)


def _prompt_blocks(text: str) -> tuple[models.PromptBlock, ...]:
    if not text:
        return ()
    blocks = []
    for entry in text.split(",")[:_MAX_PROMPT_BLOCKS]:
        name, _, tokens = entry.strip().partition(":")
        blocks.append(models.PromptBlock(name, _parse_count(tokens)))
    return tuple(blocks)


def _parse_count(text: str) -> int:
    """Returns a number; 0 if the text is none or has too many digits."""
    text = text.strip()
    # int() does not read all digits of Unicode, as superscripts.
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return 0
    return int(text)


def _parse_load(text: str) -> models.ServerLoad | None:
    """Returns a server's load figures; None if they are missing or invalid."""
    match = _LOAD.fullmatch(text)
    if match is None:
        return None
    running, waiting, slots = (int(match[number]) for number in (1, 2, 3))
    work_factor = None
    if match[4] is not None:
        work_factor = float(match[4]) / _USUAL_WORK
        if work_factor <= 0:
            return None
    if not slots:
        return None
    return models.ServerLoad(running, waiting, slots, work_factor)


def _parse_rate(text: str) -> float | None:
    """Returns a rate; None if the text is not a number of at least 0."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate < math.inf else None


def _retry_after_s(values: Mapping[str, str]) -> float | None:
    """Returns the seconds in `Retry-After`; None if they can't be parsed.

    A date is compared to the `Date` of the same response, because clocks
    differ between VMs. Returns 0 if there is no such header.
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
    """Returns the seconds between two HTTP dates; NaN if one is malformed.

    They are 0 if the second date is the earlier one.
    """
    try:
        first = utils.parsedate_to_datetime(begin)
        last = utils.parsedate_to_datetime(end)
        return max((last - first).total_seconds(), 0.0)
    except (TypeError, ValueError, OverflowError):
        return math.nan
