"""Checks whether a server is still the process that got a request."""

import asyncio
import enum

from tamarackbridge import core
from tamarackbridge.components.gateway import exceptions, models, servers
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.telemetry import events

MS_PER_S = 1_000

MAX_CLOCK_SKEW_MS = 5_000
"""Largest difference between the clocks of two VMs that is expected."""


class Instance(enum.Enum):
    """Whether a server is still the process that it was.

    Attributes:
        SAME: It answers, and does not say that it is another.
        REJECTING: It accepts connections and closes them, as one that has too
            many. A process that has just started has few.
        OTHER: Another process answers.
        NO_ANSWER: It does not answer.
    """

    SAME = "same"
    REJECTING = "rejecting"
    OTHER = "other"
    NO_ANSWER = "no_answer"

    @property
    def is_alive(self) -> bool:
        """Returns whether the process that got the request is alive."""
        return self in (Instance.SAME, Instance.REJECTING)


class InstanceChecker:
    """Asks servers for their reports of themselves.

    Args:
        client: HTTP client for the servers.
        dialect: Reads the reports.
        clock: Clock of this VM.
    """

    def __init__(
        self,
        client: servers.ServerClient,
        dialect: models.Dialect,
        clock: core.Clock,
    ) -> None:
        self._client = client
        self._dialect = dialect
        self._clock = clock

    async def async_check(
        self, server: knowledge.BackendServer, sent_at: float, ended_at: float
    ) -> Instance:
        """Returns whether a server is still the process that got a request.

        Args:
            server: The server, as it was registered when it got the request.
            sent_at: Loop time at which it got the request.
            ended_at: Loop time after which it has to be asked.
        """
        try:
            report = await self._client.async_get_report(
                server.address, self._dialect.report_path, ended_at
            )
        except exceptions.ConnectionRejectedError:
            return Instance.REJECTING
        except (
            exceptions.NotSentError,
            exceptions.LostError,
            TimeoutError,
        ) as exc:
            detail = str(exc) or type(exc).__name__
            events.write(events.InstanceUnknown(server.name, detail))
            return Instance.NO_ANSWER
        started_ms = self._dialect.read_started_ms(report)
        sent_ms = self._wall_ms(sent_at)
        return _compare(started_ms, server.started_ms, sent_ms)

    def _wall_ms(self, loop_time: float) -> float:
        """Returns a loop time as Unix milliseconds of this VM's clock."""
        ago_s = asyncio.get_running_loop().time() - loop_time
        return (self._clock.wall() - ago_s) * MS_PER_S


def _compare(started_ms: int, registered_ms: int, sent_ms: float) -> Instance:
    """Returns whether a process is the one that got a request.

    Args:
        started_ms: Start of the process; 0 if unknown.
        registered_ms: Start of the process that was registered when the
            request was sent; 0 if unknown. Registrations may be outdated.
        sent_ms: Time at which the request was sent.
    """
    if not started_ms or started_ms == registered_ms:
        return Instance.SAME
    if started_ms < sent_ms - MAX_CLOCK_SKEW_MS:
        return Instance.SAME
    return Instance.OTHER if registered_ms else Instance.SAME
