"""Requests of one entry that wait for a permit, at bounded memory."""

import dataclasses
import heapq

from tamarackbridge.components.dispatch import const, messages, wire


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request that waits.

    Attributes:
        shard: The shard that is asked now.
        tried: The shards that have been asked.
        expires_at: Monotonic time of the deadline.
    """

    want: messages.Want
    shard: str
    tried: tuple[str, ...]
    expires_at: float

    def ask(self, now: float) -> messages.Ask:
        """Returns the message to the shard's dispatcher."""
        want = self.want
        return messages.Ask(
            shard=self.shard,
            request_id=want.request_id,
            workspace=want.workspace,
            end_user=want.end_user,
            route=want.route,
            hint_cost=wire.whole(want.hint_cost),
            deadline_s=wire.whole_up(self.expires_at - now),
            avoid=want.avoid,
        )


class WaitingRequests:
    """The waiting requests, with deadlines and repeated asks."""

    def __init__(self) -> None:
        self._requests: dict[str, Request] = {}
        self._counts: dict[tuple[str, str], int] = {}
        self._paused: dict[tuple[str, str], float] = {}
        self._expiry: list[tuple[float, str]] = []
        self._retries: list[tuple[float, float, str]] = []

    def is_full(
        self, service: str, workspace: str, limit: int, now: float
    ) -> bool:
        """Tells whether one more request of a workspace must be refused."""
        key = (service, workspace)
        if now < self._paused.get(key, 0.0):
            return True
        return self._counts.get(key, 0) >= limit

    def pause(self, want: messages.Want, until: float) -> None:
        """Refuses a workspace's requests here until a monotonic time."""
        self._paused[(want.service, want.workspace)] = until

    def add(self, want: messages.Want, shard: str, now: float) -> Request:
        """Adds one request."""
        expires_at = now + want.deadline_s
        request = Request(want, shard, (shard,), expires_at)
        self._requests[want.request_id] = request
        self._schedule(want.request_id, now, const.ASK_RETRY_S)
        heapq.heappush(self._expiry, (expires_at, want.request_id))
        key = (want.service, want.workspace)
        self._counts[key] = self._counts.get(key, 0) + 1
        return request

    def get(self, request_id: str) -> Request | None:
        """Returns a request, if it waits."""
        return self._requests.get(request_id)

    def pop(self, request_id: str) -> Request | None:
        """Takes a request out, if it waits."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        key = (request.want.service, request.want.workspace)
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
        return request

    def move(self, request: Request, shard: str) -> Request:
        """Makes a request ask another shard."""
        request_id = request.want.request_id
        moved = dataclasses.replace(
            request, shard=shard, tried=(*request.tried, shard)
        )
        self._requests[request_id] = moved
        return moved

    def ask_again(self, request_id: str, at: float) -> None:
        """Lets a request's ask be sent again at a monotonic time."""
        heapq.heappush(self._retries, (at, const.ASK_RETRY_S, request_id))

    def unanswered(self, now: float) -> list[Request]:
        """Returns the requests whose ask must be sent again.

        The interval doubles each time.
        """
        found: list[Request] = []
        while self._retries and self._retries[0][0] <= now:
            _, interval_s, request_id = heapq.heappop(self._retries)
            if request_id in self._requests:
                found.append(self._requests[request_id])
                longer_s = min(2 * interval_s, const.MAX_ASK_RETRY_S)
                self._schedule(request_id, now, longer_s)
        return found

    def expired(self, now: float) -> list[Request]:
        """Takes the requests out whose deadline has passed."""
        found: list[Request] = []
        while self._expiry and self._expiry[0][0] <= now:
            _, request_id = heapq.heappop(self._expiry)
            request = self.pop(request_id)
            if request is not None:
                found.append(request)
        return found

    def shards(self) -> set[str]:
        """Returns the shards at which requests wait."""
        return {request.shard for request in self._requests.values()}

    def of_shard(self, shard: str) -> list[Request]:
        """Returns the requests that ask one shard, oldest first."""
        return [req for req in self._requests.values() if req.shard == shard]

    def _schedule(self, request_id: str, now: float, interval_s: float) -> None:
        entry = (now + interval_s, interval_s, request_id)
        heapq.heappush(self._retries, entry)
