"""A caller that sees how the answer to its request ends on the wire."""

import asyncio
import dataclasses
import enum
import socket

from tests.components.gateway import rig


class End(enum.Enum):
    """How an answer ended.

    Attributes:
        LENGTH: With the last byte of its stated length.
        FINAL_CHUNK: With a final chunk.
        CLOSED: The connection was closed in good order.
        RESET: The connection was reset.
    """

    LENGTH = "length"
    FINAL_CHUNK = "final_chunk"
    CLOSED = "closed"
    RESET = "reset"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer as it was received.

    Attributes:
        status: Its status; 0 if its head did not arrive.
        headers: Its headers, with names in lowercase.
        body: Its body, without the framing of chunks.
        end: How it ended.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    end: End

    @property
    def is_unmarked(self) -> bool:
        """Whether only the end of the connection can end the answer."""
        return not {"transfer-encoding", "content-length"} & set(self.headers)


async def async_send(
    env: rig.Environment,
    path: str,
    version: str = "1.1",
    request_id: str = "q1",
    resume_after: str = "",
    deadline_ms: int = 3000,
    begun: asyncio.Event | None = None,
    may_read: asyncio.Event | None = None,
    body: bytes = b"question",
    is_chunked: bool = False,
) -> Answer:
    """Sends a request over a connection of its own and reads the answer.

    It reads from the socket, since a stream reader drops what it has not yet
    returned when the connection is reset.

    Args:
        env: Environment of the router.
        path: Path of the request.
        version: HTTP version of the request.
        request_id: Its identifier.
        resume_after: ID of the last event that the caller has; empty if none.
        deadline_ms: Time that the caller waits.
        begun: Set once the answer has a body.
        may_read: Until it is set, the caller reads nothing, and its kernel
            takes a few KB.
        body: Body of the request.
        is_chunked: Whether the body is sent in chunks.
    """
    loop = asyncio.get_running_loop()
    resumed = f"Last-Event-Id: {resume_after}\r\n" if resume_after else ""
    length = f"Content-Length: {len(body)}"
    request = (
        f"POST {path} HTTP/{version}\r\nHost: {rig.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Api-Key: {rig.KEY}\r\n"
        f"{resumed}X-Deadline-Ms: {deadline_ms}\r\n"
        f"{'Transfer-Encoding: chunked' if is_chunked else length}\r\n\r\n"
    )
    if is_chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    with socket.socket() as sock:
        sock.setblocking(False)
        if may_read is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        address = env.cfg.callers
        await loop.sock_connect(sock, (address.host, address.port))
        await loop.sock_sendall(sock, request.encode() + body)
        if may_read is not None:
            await may_read.wait()
        received = b""
        while True:
            try:
                data = await loop.sock_recv(sock, 65_536)
            except ConnectionResetError:
                return _parse(received, End.RESET)
            received += data
            answer = _parse(received, End.CLOSED)
            if answer.body and begun is not None:
                begun.set()
            if not data or answer.end is not End.CLOSED:
                return answer


def _parse(received: bytes, connection_end: End) -> Answer:
    """Parses an answer that ended so far as its connection did."""
    head, separator, rest = received.partition(b"\r\n\r\n")
    if not separator:
        return Answer(0, {}, b"", connection_end)
    status_line, *lines = head.decode().split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    status = int(status_line.split(" ")[1])
    body, end = rest, connection_end
    if headers.get("transfer-encoding") == "chunked":
        body, is_whole = _decode_chunks(rest)
        end = End.FINAL_CHUNK if is_whole else connection_end
    elif "content-length" in headers:
        is_whole = len(rest) == int(headers["content-length"])
        end = End.LENGTH if is_whole else connection_end
    return Answer(status, headers, body, end)


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
