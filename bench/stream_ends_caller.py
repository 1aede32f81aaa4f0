"""A caller that sees on the wire how its stream ends, and may resume it."""

import asyncio
import dataclasses
import enum
import re
import socket
import time

EVENTS = 12
"""Number of events of a whole stream."""

TIMEOUT_S = 10.0
RESUMPTIONS = 4
"""Times that a caller resumes one stream at most."""

RESUME_PAUSE_S = 0.1
"""Pause before the second resumption; it doubles from then on."""

_EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


class End(enum.Enum):
    """How an answer ended on the wire.

    Attributes:
        MARKED: With its final chunk, or the last byte of its length.
        CLOSED: Its connection was closed in good order, and nothing else marks
            its end.
        UNFINISHED: The connection was closed in good order before the mark.
        RESET: The connection was reset.
        SILENT: Nothing more arrived.
    """

    MARKED = "marked"
    CLOSED = "closed"
    UNFINISHED = "no mark"
    RESET = "reset"
    SILENT = "silent"


class Verdict(enum.Enum):
    """What an answer's end told its caller, and whether it was true."""

    WHOLE = "whole told as whole"
    CUT = "cut told as cut"
    CUT_AS_WHOLE = "cut told as whole"
    WHOLE_AS_CUT = "whole told as cut"
    REFUSED = "refused"
    """No stream began, so that no end could be told."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer as it was received.

    Attributes:
        status: Its status; 0 if its head did not arrive.
        events: Numbers of its whole events, in order.
        end: How it ended.
        body: Its body, without the framing of chunks.
    """

    status: int
    events: tuple[int, ...]
    end: End
    body: bytes = b""

    @property
    def says_whole(self) -> bool:
        """Whether its caller takes it for a whole stream."""
        return self.status == 200 and self.end in (End.MARKED, End.CLOSED)


def judge(answer: Answer) -> Verdict:
    """Compares what a caller received with what the end told it."""
    if answer.status != 200:
        return Verdict.REFUSED
    if len(set(answer.events)) == EVENTS:
        return Verdict.WHOLE if answer.says_whole else Verdict.WHOLE_AS_CUT
    return Verdict.CUT_AS_WHOLE if answer.says_whole else Verdict.CUT


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """What resuming a broken stream came to.

    Attributes:
        tries: Number of requests that resumed it.
        events: Number of different events that the caller has at last.
        says_whole: Whether the last answer said that the stream is whole.
        extra_s: Seconds from the break to the end of the last answer.
    """

    tries: int
    events: int
    says_whole: bool
    extra_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A caller of one router.

    Attributes:
        address: Host and port of the router.
        host: Host name of the routes.
        key: API key.
        version: HTTP version of its requests.
    """

    address: str
    host: str
    key: str
    version: str = "1.1"

    async def async_send(
        self, path: str, request_id: str, resume_after: int = -1
    ) -> Answer:
        """Sends a request over a connection of its own; reads the answer.

        It reads from the socket, since a stream reader drops what it has not
        returned yet when the connection is reset.
        """
        loop = asyncio.get_running_loop()
        resume = (
            f"Last-Event-Id: {resume_after}\r\n" if resume_after >= 0 else ""
        )
        request = (
            f"POST {path} HTTP/{self.version}\r\nHost: {self.host}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Api-Key: {self.key}\r\n{resume}"
            "X-Deadline-Ms: 3000\r\nContent-Length: 8\r\n\r\nquestion"
        )
        host, _, port = self.address.rpartition(":")
        received = b""
        with socket.socket() as sock:
            sock.setblocking(False)
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await loop.sock_connect(sock, (host, int(port)))
                    await loop.sock_sendall(sock, request.encode())
                    while data := await loop.sock_recv(sock, 65_536):
                        received += data
                        answer = parse(received, None)
                        if answer.end is End.MARKED:
                            return answer
            except ConnectionError:
                return parse(received, End.RESET)
            except TimeoutError:
                return parse(received, End.SILENT)
        return parse(received, End.CLOSED)

    async def async_resume(
        self, path: str, request_id: str, broken: Answer
    ) -> Resumption:
        """Resumes a broken stream until an answer says that it is whole."""
        began = time.monotonic()
        events = set(broken.events)
        answer, tries = broken, 0
        while not answer.says_whole and tries < RESUMPTIONS:
            if tries:
                await asyncio.sleep(RESUME_PAUSE_S * 2 ** (tries - 1))
            tries += 1
            answer = await self.async_send(
                path, f"{request_id}-{tries}", max(events, default=-1)
            )
            events.update(answer.events)
        extra_s = time.monotonic() - began
        return Resumption(tries, len(events), answer.says_whole, extra_s)


def parse(received: bytes, connection_end: End | None) -> Answer:
    """Parses what has arrived of an answer.

    Args:
        received: The bytes.
        connection_end: How the connection ended; None if it is open.
    """
    head, separator, rest = received.partition(b"\r\n\r\n")
    end = connection_end or End.SILENT
    if not separator:
        end = End.UNFINISHED if end is End.CLOSED else end
        return Answer(0, (), end)
    status_line, *lines = head.decode("latin-1").lower().split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name: value.strip() for name, _, value in fields}
    body, is_marked, is_whole = rest, True, False
    if headers.get("transfer-encoding") == "chunked":
        body, is_whole = _decode_chunks(rest)
    elif "content-length" in headers:
        is_whole = len(rest) >= int(headers["content-length"])
    else:
        is_marked = False
    if is_whole:
        end = End.MARKED
    elif is_marked and end is End.CLOSED:
        end = End.UNFINISHED
    events = tuple(int(number) for number in _EVENT.findall(body))
    return Answer(int(status_line.split(" ")[1]), events, end, body)


def _decode_chunks(data: bytes) -> tuple[bytes, bool]:
    """Returns the whole chunks, and whether the final one has arrived."""
    body = b""
    while True:
        line, separator, rest = data.partition(b"\r\n")
        size = int(line, 16) if separator else 0
        if not separator or len(rest) < size + 2:
            return body, False
        if not size:
            return body, True
        body += rest[:size]
        data = rest[size + 2 :]
