"""Requests of one entry that wait for a permit, in bounded number."""

import dataclasses
import heapq

from tamarackbridge.components.dispatch import const, messages, wire


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """One waiting request.

    Attributes:
        want: The entry's request for a permit.
        shard: The shard that is asked at present.
        tried: All shards that have been asked.
        expires_at: Monotonic time of the deadline.
    """

    want: messages.Want
    shard: str
    tried: tuple[str, ...]
    expires_at: float

    def ask(self, now: float) -> messages.Ask:
        """Returns the `Ask` for the shard's dispatcher."""
        want = self.want
        return messages.Ask(
            shard=self.shard,
            request_id=want.request_id,
            workspace=want.workspace,
            end_user=want.end_user,
            route=want.route,
            hint_cost=wire.round_nearest(want.hint_cost),
            deadline_s=wire.round_up(self.expires_at - now),
            avoid=want.avoid,
        )


class PendingRequests:
    """The waiting requests, with their deadlines and resends."""

    def __init__(self) -> None:
        self._requests: dict[str, PendingRequest] = {}
        self._counts: dict[tuple[str, str], int] = {}
        self._paused: dict[tuple[str, str], float] = {}
        self._expiry: list[tuple[float, str]] = []
        self._resends: list[tuple[float, float, str]] = []

    def is_full(
        self, service: str, workspace: str, limit: int, now: float
    ) -> bool:
        """Returns whether a further request of a workspace is rejected."""
        key = (service, workspace)
        if now < self._paused.get(key, 0.0):
            return True
        return self._counts.get(key, 0) >= limit

    def pause(self, want: messages.Want, until: float) -> None:
        """Rejects further requests of a workspace until a monotonic time."""
        self._paused[(want.service, want.workspace)] = until

    def add(
        self, want: messages.Want, shard: str, now: float
    ) -> PendingRequest:
        """Adds one request."""
        expires_at = now + want.deadline_s
        request = PendingRequest(want, shard, (shard,), expires_at)
        self._requests[want.request_id] = request
        self._schedule(want.request_id, now, const.ASK_RESEND_S)
        heapq.heappush(self._expiry, (expires_at, want.request_id))
        key = (want.service, want.workspace)
        self._counts[key] = self._counts.get(key, 0) + 1
        return request

    def get(self, request_id: str) -> PendingRequest | None:
        """Returns a request, if it waits."""
        return self._requests.get(request_id)

    def pop(self, request_id: str) -> PendingRequest | None:
        """Removes and returns a request, if it waits."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        key = (request.want.service, request.want.workspace)
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
        return request

    def move(self, request: PendingRequest, shard: str) -> PendingRequest:
        """Moves a request to another shard; returns the changed request."""
        request_id = request.want.request_id
        moved = dataclasses.replace(
            request, shard=shard, tried=(*request.tried, shard)
        )
        self._requests[request_id] = moved
        return moved

    def schedule_resend(self, request_id: str, at: float) -> None:
        """Schedules a resend of a request's `Ask` at a monotonic time."""
        heapq.heappush(self._resends, (at, const.ASK_RESEND_S, request_id))

    def pop_due_resends(self, now: float) -> list[PendingRequest]:
        """Returns the requests whose `Ask` is to be resent now.

        The interval doubles with each resend.
        """
        due: list[PendingRequest] = []
        while self._resends and self._resends[0][0] <= now:
            _, interval_s, request_id = heapq.heappop(self._resends)
            if request_id in self._requests:
                due.append(self._requests[request_id])
                next_interval_s = min(2 * interval_s, const.MAX_ASK_RESEND_S)
                self._schedule(request_id, now, next_interval_s)
        return due

    def pop_expired(self, now: float) -> list[PendingRequest]:
        """Removes and returns the requests whose deadline has passed."""
        expired_requests: list[PendingRequest] = []
        while self._expiry and self._expiry[0][0] <= now:
            _, request_id = heapq.heappop(self._expiry)
            request = self.pop(request_id)
            if request is not None:
                expired_requests.append(request)
        return expired_requests

    def shards(self) -> set[str]:
        """Returns the shards at which requests wait."""
        return {request.shard for request in self._requests.values()}

    def at_shard(self, shard: str) -> list[PendingRequest]:
        """Returns the requests that wait at one shard, oldest first."""
        return [req for req in self._requests.values() if req.shard == shard]

    def _schedule(self, request_id: str, now: float, interval_s: float) -> None:
        entry = (now + interval_s, interval_s, request_id)
        heapq.heappush(self._resends, entry)
