"""Claim client: claims keys at their keepers and settles the attempts."""

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
    """An attempt of this router to run the work of a key.

    Attributes:
        deadline: Time until which the entry waits for an answer.
        sent_at: Time at which the last message to a keeper was sent.
        unanswered_messages: Messages sent since the last answer of a keeper.
        running: Whether the entry was allowed to run the work.
        waiting_answer: Answer to the entry if the deadline passes.
        close: Outcome to be stored; None while the attempt is open.
    """

    request_id: str
    ask: messages.ClaimAsk
    deadline: float
    sent_at: float
    unanswered_messages: int = 0
    running: bool = False
    waiting_answer: messages.ClaimAnswer = _ANSWER.UNAVAILABLE
    close: messages.ClaimSettle | None = None


def attempt_origin(attempt: str) -> tuple[str, int]:
    """Returns the router that made an attempt, and its incarnation."""
    node, _, rest = attempt.partition(".")
    incarnation = rest.partition(".")[0]
    return node, int(incarnation) if incarnation.isdecimal() else 0


class ClaimClient:
    """Tracks each attempt of this router until its outcome is stored."""

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
        self._attempt_prefix = f"{node}.{incarnation}.{rng.getrandbits(32):08x}"
        self._attempt_count = 0
        self._attempts: dict[str, _Attempt] = {}
        self._attempt_by_request: dict[str, str] = {}
        self._outbox: list[core.Envelope] = []

    @property
    def open_attempts(self) -> int:
        """Number of attempts whose outcome is not stored yet."""
        return len(self._attempts)

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        match delivery.msg:
            case messages.ClaimWant() as want:
                self._handle_want(want, now)
            case messages.ClaimClose() as close:
                self._close_attempt(close, now)
            case messages.ClaimReply() as reply:
                self._handle_reply(delivery, reply, now)
            case messages.ClaimSettled() as settled:
                self._handle_settled(settled)
            case membership.RosterChanged() as roster:
                self._keepers = ranges.keepers(roster) or (self._node,)
        return self._drain_outbox()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Resends unanswered messages and ends overdue waits."""
        for attempt in list(self._attempts.values()):
            if attempt.close is None and not attempt.running:
                if now >= attempt.deadline:
                    self._abandon(attempt, attempt.waiting_answer, now)
                    continue
            elif attempt.close is None:
                continue
            if now - attempt.sent_at >= const.RESEND_INTERVAL_S:
                self._send(attempt, now)
        return self._drain_outbox()

    def _drain_outbox(self) -> list[core.Envelope]:
        out, self._outbox = self._outbox, []
        return out

    def _handle_want(self, want: messages.ClaimWant, now: float) -> None:
        self._attempt_count += 1
        attempt_id = f"{self._attempt_prefix}.{self._attempt_count}"
        ask = messages.ClaimAsk(want.key, want.body_hash, attempt_id)
        attempt = _Attempt(want.request_id, ask, now + want.wait_s, now)
        self._attempts[attempt_id] = attempt
        self._attempt_by_request[want.request_id] = attempt_id
        self._send(attempt, now)

    def _close_attempt(self, close: messages.ClaimClose, now: float) -> None:
        attempt_id = self._attempt_by_request.get(close.request_id)
        if attempt_id is None:
            return
        attempt = self._attempts[attempt_id]
        if attempt.close is not None:
            return
        state = close.state if attempt.running else _STATE.ABANDONED
        attempt.close = messages.ClaimSettle(
            key=attempt.ask.key,
            body_hash=attempt.ask.body_hash,
            attempt=attempt_id,
            state=state,
            status=close.status,
            content_type=close.content_type,
            body=close.body,
        )
        attempt.unanswered_messages = 0
        self._send(attempt, now)

    def _handle_reply(
        self, delivery: core.Delivery, reply: messages.ClaimReply, now: float
    ) -> None:
        attempt = self._attempts.get(reply.attempt)
        if attempt is None:
            self._release_unknown(reply)
            return
        attempt.unanswered_messages = 0
        if attempt.close is not None or attempt.running:
            return
        if reply.answer is _ANSWER.WAITING:
            return
        if reply.answer is _ANSWER.IN_PROGRESS:
            attempt.waiting_answer = reply.answer
        elif reply.answer is _ANSWER.RUN:
            self._allow_run(attempt, now - delivery.age_s)
        elif reply.answer is _ANSWER.UNAVAILABLE:
            self._abandon(attempt, reply.answer, now)
        else:
            self._remove(attempt)
            self._send_result(attempt, reply)

    def _allow_run(self, attempt: _Attempt, sent_at: float) -> None:
        attempt.running = True
        result = messages.ClaimResult(
            request_id=attempt.request_id,
            answer=_ANSWER.RUN,
            start_by=sent_at + const.RUN_VALIDITY_S,
        )
        self._outbox.append(core.Envelope(core_const.LOCAL_NODE, result))

    def _send_result(
        self, attempt: _Attempt, reply: messages.ClaimReply
    ) -> None:
        result = messages.ClaimResult(
            request_id=attempt.request_id,
            answer=reply.answer,
            status=reply.status,
            content_type=reply.content_type,
            body=reply.body,
        )
        self._outbox.append(core.Envelope(core_const.LOCAL_NODE, result))

    def _abandon(
        self, attempt: _Attempt, answer: messages.ClaimAnswer, now: float
    ) -> None:
        """Ends an attempt that was not allowed to run."""
        result = messages.ClaimResult(attempt.request_id, answer)
        self._outbox.append(core.Envelope(core_const.LOCAL_NODE, result))
        close = messages.ClaimClose(attempt.request_id, _STATE.ABANDONED)
        self._close_attempt(close, now)

    def _release_unknown(self, reply: messages.ClaimReply) -> None:
        """Releases a claim granted to an ended attempt of this incarnation."""
        is_own = reply.attempt.startswith(f"{self._attempt_prefix}.")
        if reply.answer is not _ANSWER.RUN or not is_own:
            return
        settle = messages.ClaimSettle(
            reply.key, "", reply.attempt, _STATE.ABANDONED
        )
        self._outbox.append(core.Envelope(self._keeper(reply.key), settle))

    def _handle_settled(self, settled: messages.ClaimSettled) -> None:
        attempt = self._attempts.get(settled.attempt)
        if attempt is None or attempt.close is None:
            return
        self._remove(attempt)
        closed = messages.ClaimClosed(attempt.request_id)
        self._outbox.append(core.Envelope(core_const.LOCAL_NODE, closed))

    def _remove(self, attempt: _Attempt) -> None:
        del self._attempts[attempt.ask.attempt]
        self._attempt_by_request.pop(attempt.request_id, None)

    def _keeper(self, key: str) -> str:
        return ranges.keeper_of(ranges.range_of(key), self._keepers)

    def _send(self, attempt: _Attempt, now: float) -> None:
        keeper_rank = attempt.unanswered_messages // const.SENDS_PER_KEEPER
        range_number = ranges.range_of(attempt.ask.key)
        keeper = ranges.fallback_keeper(
            range_number, self._keepers, keeper_rank
        )
        attempt.sent_at = now
        attempt.unanswered_messages += 1
        msg = attempt.close or attempt.ask
        self._outbox.append(core.Envelope(keeper, msg))
