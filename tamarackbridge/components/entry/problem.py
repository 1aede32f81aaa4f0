"""Problem documents for rejected and failed requests (RFC 9457)."""

import dataclasses
import enum
import math

from aiohttp import web

from tamarackbridge.components.entry import const


class NotRun(enum.StrEnum):
    """Whether the work of a request is known not to have run."""

    TRUE = "true"
    """The work did not run."""
    FALSE = "false"
    """The work ran."""
    UNKNOWN = "unknown"


_STATUS: dict[const.Reason, int] = {
    const.Reason.UNAUTHORIZED: 401,
    const.Reason.UNKNOWN_ROUTE: 404,
    const.Reason.BAD_REQUEST: 400,
    const.Reason.TOO_LARGE: 413,
    const.Reason.HEADER_TOO_LARGE: 431,
    const.Reason.TIMEOUT: 408,
    const.Reason.QUEUE_FULL: 429,
    const.Reason.DEADLINE: 504,
    const.Reason.NO_CAPACITY: 503,
    const.Reason.NOT_SERVING: 503,
    const.Reason.NO_HOLDER: 503,
    const.Reason.DRAINING: 503,
    const.Reason.KEY_REQUIRED: 400,
    const.Reason.KEY_MISMATCH: 422,
    const.Reason.IN_PROGRESS: 409,
    const.Reason.STORE_UNAVAILABLE: 503,
    const.Reason.OUTCOME_UNKNOWN: 409,
    const.Reason.OUTCOME_NOT_KEPT: 409,
    const.Reason.BACKEND_FAILED: 502,
    const.Reason.TRUNCATED: 502,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A rejected or failed request.

    Attributes:
        reason: Why the request was rejected or failed.
        not_run: Whether the work is known not to have run.
        request_id: Identifier of the request in the fleet.
        detail: Explanation for human readers.
        retry_after_s: Seconds after which to retry; 0 to send no advice.
    """

    reason: const.Reason
    not_run: NotRun
    request_id: str
    detail: str = ""
    retry_after_s: float = 0.0

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return _STATUS[self.reason]

    def body(self) -> dict[str, str | int]:
        """Returns the problem document."""
        return {
            "type": f"urn:tamarackbridge:problem:{self.reason.value}",
            "title": self.reason.value.replace("_", " "),
            "status": self.status,
            "detail": self.detail,
            "reason": self.reason.value,
            "not_run": self.not_run.value,
            "request_id": self.request_id,
        }

    def response(self) -> web.Response:
        """Returns the HTTP answer with the problem document."""
        headers = {const.HEADER_REQUEST_ID: self.request_id}
        if self.retry_after_s > 0:
            headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        return web.json_response(
            self.body(),
            status=self.status,
            headers=headers,
            content_type=const.PROBLEM_CONTENT_TYPE,
        )
