"""Kinds of requests, and simulated backend servers that fail at random."""

import dataclasses
import json
import random

from tamarackbridge.components.entry import attempts
from tamarackbridge.components.entry import const as entry_const

EVENTS_PER_STREAM = 24
_END = attempts.End


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request in the mix.

    Attributes:
        name: Name in the results.
        rate: Requests a second in the whole fleet.
        work_s: Mean running time on a backend server.
        deadline_s: Time within which the complete answer must arrive.
        stream: Whether the answer is an event stream.
        keyed: Whether it is non-idempotent and carries an idempotency key.
    """

    name: str
    rate: float
    work_s: float
    deadline_s: float
    stream: bool = False
    keyed: bool = False


MIX = (
    Kind("order-file", 0.5, 3.0, 60.0, stream=True),
    Kind("wording-check", 3.0, 0.02, 1.0),
    Kind("press-check", 2.0, 0.02, 1.0),
    Kind("order-status", 3.0, 0.02, 2.0),
    Kind("payment", 1.5, 0.05, 15.0, keyed=True),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Result of one attempt on a backend server.

    Attributes:
        end: End of the attempt, if it fails before or without a response.
        status: Status of the response.
        headers: Headers of the response.
        body: Received part of the body.
    """

    end: attempts.End | None
    status: int
    headers: dict[str, str]
    body: bytes


def whole_body(request_id: str, kind: Kind) -> bytes:
    """Returns the only correct answer to a request."""
    if not kind.stream:
        return json.dumps({"of": request_id}).encode()
    events = [
        f'data: {{"id": "{request_id}", "index": {index}}}\n\n'.encode()
        for index in range(EVENTS_PER_STREAM)
    ]
    return b"".join(events) + b"data: [DONE]\n\n"


class Servers:
    """Backend servers that fail at random.

    Attributes:
        runs: Number of starts of the work, by idempotency key, or by request
            identifier if there is no key.
    """

    def __init__(self, rng: random.Random, fault: float) -> None:
        self.runs: dict[str, int] = {}
        self._rng = rng
        self._fault_probability = fault

    def run_attempt(
        self, kind: Kind, key: str, rid: str, offset: int
    ) -> tuple[float, Answer]:
        """Runs one attempt; returns its duration in seconds and its result.

        Args:
            kind: Kind of the request.
            key: Its idempotency key.
            rid: Its identifier.
            offset: Number of events that its caller has already.
        """
        took_s = kind.work_s * self._rng.uniform(0.5, 1.5)
        own_headers = {entry_const.HEADER_REQUEST_ID: rid}
        fault = "none"
        if self._rng.random() < self._fault_probability:
            fault = self._rng.choice(_FAULT_KINDS)
        if fault == "not_sent":
            return 0.01, Answer(_END.NOT_SENT, 0, {}, b"")
        if fault == "not_started":
            not_started_headers = {
                **own_headers,
                entry_const.HEADER_NOT_STARTED: "true",
            }
            return 0.01, Answer(None, 503, not_started_headers, b"")
        if not offset:
            work_key = key if kind.keyed else rid
            self.runs[work_key] = self.runs.get(work_key, 0) + 1
        body = self._body(kind, rid, offset, fault)
        if fault == "late":
            took_s += kind.deadline_s * 2
        if fault == "failed":
            return took_s, Answer(None, 500, own_headers, b"")
        if fault == "dies":
            return took_s, Answer(_END.TRUNCATED, 0, {}, b"")
        if fault == "crossed":
            other_headers = {entry_const.HEADER_REQUEST_ID: "another"}
            return took_s, Answer(
                None, 200, other_headers, whole_body("another", kind)
            )
        headers = {**own_headers, "Content-Length": str(len(body))}
        if fault == "truncated":
            body = body[: self._rng.randrange(len(body))]
        if fault == "empty" and not kind.stream:
            return took_s, Answer(None, 200, own_headers, b"")
        return took_s, Answer(None, 200, headers, body)

    def _body(self, kind: Kind, rid: str, offset: int, fault: str) -> bytes:
        body = whole_body(rid, kind)
        if not kind.stream:
            return body
        start = offset if self._rng.random() < 0.5 else 0
        events = body.split(b"\n\n")[start:]
        if fault == "crossed_event":
            events.insert(len(events) // 2, b'data: {"id": "x", "index": 0}')
        if fault == "skipped" and len(events) > 3:
            del events[len(events) // 2]
        return b"\n\n".join(events)


_FAULT_KINDS = (
    "not_sent",
    "not_started",
    "failed",
    "dies",
    "crossed",
    "crossed_event",
    "skipped",
    "truncated",
    "truncated",
    "empty",
    "late",
)
