"""The entry's side of claims: asks a keeper and reports how attempts ended."""

from collections.abc import Sequence
import dataclasses
import random
from typing import ClassVar

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.claims import const, messages, ranges
from tamarackbridge.components.membership import messages as membership

_ANSWER = messages.ClaimAnswer
_STATE = messages.ClaimState


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt of this router to run the work of a key.

    Attributes:
        deadline: Time until which the entry waits for an answer.
        running: Whether the entry was told to run.
        unanswered: Messages sent since the last answer.
        close: How the attempt ended; None while it is open.
    """

    request_id: str
    ask: messages.ClaimAsk
    deadline: float
    sent_at: float
    unanswered: int = 0
    running: bool = False
    waiting_answer: messages.ClaimAnswer = _ANSWER.UNAVAILABLE
    close: messages.ClaimSettle | None = None


def origin(attempt: str) -> tuple[str, int]:
    """Returns the router of an attempt and the router's incarnation."""
    node, _, rest = attempt.partition(".")
    incarnation = rest.partition(".")[0]
    return node, int(incarnation) if incarnation.isdecimal() else 0


class ClaimClient:
    """Holds every attempt of this router until its end is stored."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.ClaimWant,
        messages.ClaimClose,
        messages.ClaimReply,
        messages.ClaimSettled,
        membership.RosterChanged,
    )

    def __init__(
        self, node: str, rng: random.Random, incarnation: int = 0
    ) -> None:
        self._node = node
        self._keepers: tuple[str, ...] = (node,)
        self._life = f"{node}.{incarnation}.{rng.getrandbits(32):08x}"
        self._count = 0
        self._attempts: dict[str, _Attempt] = {}
        self._by_request: dict[str, str] = {}
        self._out: list[core.Envelope] = []

    @property
    def open_attempts(self) -> int:
        """Number of attempts whose end is not stored yet."""
        return len(self._attempts)

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes one message in."""
        match delivery.msg:
            case messages.ClaimWant() as want:
                self._want(want, now)
            case messages.ClaimClose() as close:
                self._close(close, now)
            case messages.ClaimReply() as reply:
                self._reply(delivery, reply, now)
            case messages.ClaimSettled() as settled:
                self._settled(settled)
            case membership.RosterChanged() as roster:
                self._keepers = ranges.keepers(roster) or (self._node,)
        return self._flush()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Repeats what was not answered and ends waits."""
        for attempt in list(self._attempts.values()):
            if attempt.close is None and not attempt.running:
                if now >= attempt.deadline:
                    self._give_up(attempt, attempt.waiting_answer, now)
                    continue
            elif attempt.close is None:
                continue
            if now - attempt.sent_at >= const.ASK_RESEND_S:
                self._send(attempt, now)
        return self._flush()

    def _flush(self) -> list[core.Envelope]:
        out, self._out = self._out, []
        return out

    def _want(self, want: messages.ClaimWant, now: float) -> None:
        self._count += 1
        name = f"{self._life}.{self._count}"
        ask = messages.ClaimAsk(want.key, want.body_hash, name)
        attempt = _Attempt(want.request_id, ask, now + want.wait_s, now)
        self._attempts[name] = attempt
        self._by_request[want.request_id] = name
        self._send(attempt, now)

    def _close(self, close: messages.ClaimClose, now: float) -> None:
        name = self._by_request.get(close.request_id)
        if name is None:
            return
        attempt = self._attempts[name]
        if attempt.close is not None:
            return
        state = close.state if attempt.running else _STATE.ABANDONED
        attempt.close = messages.ClaimSettle(
            key=attempt.ask.key,
            body_hash=attempt.ask.body_hash,
            attempt=name,
            state=state,
            status=close.status,
            content_type=close.content_type,
            body=close.body,
        )
        attempt.unanswered = 0
        self._send(attempt, now)

    def _reply(
        self, delivery: core.Delivery, reply: messages.ClaimReply, now: float
    ) -> None:
        attempt = self._attempts.get(reply.attempt)
        if attempt is None:
            self._disown(reply)
            return
        attempt.unanswered = 0
        if attempt.close is not None or attempt.running:
            return
        if reply.answer is _ANSWER.WAITING:
            return
        if reply.answer is _ANSWER.IN_PROGRESS:
            attempt.waiting_answer = reply.answer
        elif reply.answer is _ANSWER.RUN:
            self._run(attempt, now - delivery.age_s)
        elif reply.answer is _ANSWER.UNAVAILABLE:
            self._give_up(attempt, reply.answer, now)
        else:
            self._forget(attempt)
            self._tell(attempt, reply)

    def _run(self, attempt: _Attempt, sent_at: float) -> None:
        attempt.running = True
        result = messages.ClaimResult(
            request_id=attempt.request_id,
            answer=_ANSWER.RUN,
            start_by=sent_at + const.RUN_USE_S,
        )
        self._out.append(core.Envelope(core_const.LOCAL_NODE, result))

    def _tell(self, attempt: _Attempt, reply: messages.ClaimReply) -> None:
        result = messages.ClaimResult(
            request_id=attempt.request_id,
            answer=reply.answer,
            status=reply.status,
            content_type=reply.content_type,
            body=reply.body,
        )
        self._out.append(core.Envelope(core_const.LOCAL_NODE, result))

    def _give_up(
        self, attempt: _Attempt, answer: messages.ClaimAnswer, now: float
    ) -> None:
        """Closes an attempt that was not told to run."""
        result = messages.ClaimResult(attempt.request_id, answer)
        self._out.append(core.Envelope(core_const.LOCAL_NODE, result))
        close = messages.ClaimClose(attempt.request_id, _STATE.ABANDONED)
        self._close(close, now)

    def _disown(self, reply: messages.ClaimReply) -> None:
        """Gives back a claim for an attempt of this life that has ended."""
        mine = reply.attempt.startswith(f"{self._life}.")
        if reply.answer is not _ANSWER.RUN or not mine:
            return
        settle = messages.ClaimSettle(
            reply.key, "", reply.attempt, _STATE.ABANDONED
        )
        self._out.append(core.Envelope(self._keeper(reply.key), settle))

    def _settled(self, settled: messages.ClaimSettled) -> None:
        attempt = self._attempts.get(settled.attempt)
        if attempt is None or attempt.close is None:
            return
        self._forget(attempt)
        closed = messages.ClaimClosed(attempt.request_id)
        self._out.append(core.Envelope(core_const.LOCAL_NODE, closed))

    def _forget(self, attempt: _Attempt) -> None:
        del self._attempts[attempt.ask.attempt]
        self._by_request.pop(attempt.request_id, None)

    def _keeper(self, key: str) -> str:
        return ranges.keeper_of(ranges.range_of(key), self._keepers)

    def _send(self, attempt: _Attempt, now: float) -> None:
        place = attempt.unanswered // const.SENDS_PER_KEEPER
        number = ranges.range_of(attempt.ask.key)
        keeper = ranges.stand_in(number, self._keepers, place)
        attempt.sent_at = now
        attempt.unanswered += 1
        msg = attempt.close or attempt.ask
        self._out.append(core.Envelope(keeper, msg))
