"""Rate limits that servers name in their answers.

Load pattern: a server in trouble names the rate that it takes from all routers
together. Few routers get its answers while the rate is low, so each passes on
what a server has said last.
"""

from collections.abc import Mapping
import dataclasses

from tamarackbridge.components.knowledge import models as knowledge

KEPT_S = 60.0
"""Time for which a statement counts. Routers that send to a limited server hear
from it every few seconds."""

MIN_PER_S = 0.2
"""Lowest rate that is kept to, so that some answer tells when a limit ends."""

MIN_CHANGE = 0.05
"""Relative change of a limit that others are told at once; smaller ones go with
the regular reports. A server may name another rate in each answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a server has said about its rate limit.

    Attributes:
        server: Name of the server.
        address: Address at which it listens.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        per_s: Requests a second; None if it has no limit any more.
        at: Time of the answer.
    """

    server: str
    address: str
    started_ms: int
    per_s: float | None
    at: float

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """Identifies one process of the server, from start to exit."""
        return (self.server, self.address, self.started_ms)


class RateLimits:
    """The latest statements of all servers that have named a limit.

    Attributes:
        changes: Counts changes of limits, so that readers notice that results
            they keep are outdated.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._statements: dict[str, Statement] = {}
        self._has_unsent = False

    def record(
        self, server: knowledge.BackendServer, per_s: float | None, now: float
    ) -> bool:
        """Records what an answer of a server says.

        Returns:
            Whether its limit has changed.
        """
        return self.apply(
            Statement(
                server.name, server.address, server.started_ms, per_s, now
            )
        )

    def apply(self, statement: Statement) -> bool:
        """Records a statement that this or another router got.

        Returns:
            Whether the server's limit has changed by it.
        """
        known = self._statements.get(statement.server)
        if known is None:
            if statement.per_s is None:
                return False
        elif known.incarnation == statement.incarnation:
            if statement.at <= known.at:
                return False
        elif statement.started_ms < known.started_ms:
            return False
        self._statements[statement.server] = statement
        if known is not None and not _is_change(known.per_s, statement.per_s):
            return False
        self.changes += 1
        self._has_unsent = True
        return True

    def per_s(
        self, server: knowledge.BackendServer, now: float
    ) -> float | None:
        """Returns the rate that a server takes from all routers, if limited."""
        known = self._statements.get(server.name)
        if (
            known is None
            or known.per_s is None
            or known.incarnation != server.incarnation
            or now - known.at >= KEPT_S
        ):
            return None
        return max(known.per_s, MIN_PER_S)

    def statements(self, now: float) -> list[Statement]:
        """Returns the statements that count, for the other routers."""
        self._statements = _recent(self._statements, now)
        return list(self._statements.values())

    def pop_unsent_change(self) -> bool:
        """Returns whether limits changed since this was last called."""
        has_unsent, self._has_unsent = self._has_unsent, False
        return has_unsent


def _is_change(before: float | None, per_s: float | None) -> bool:
    if before is None or per_s is None:
        return before is not per_s
    return abs(per_s - before) > MIN_CHANGE * max(per_s, before)


def _recent(
    statements: Mapping[str, Statement], now: float
) -> dict[str, Statement]:
    return {
        name: statement
        for name, statement in statements.items()
        if now - statement.at < KEPT_S
    }
