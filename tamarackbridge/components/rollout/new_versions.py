"""Holds servers of a new version back until it is certain that none is ordered.

Load pattern: the servers of a rollout register at the time of its order, and
many routers learn of the one before the other. Those that don't know the order
would send the new servers as much as any.
"""

from collections.abc import Sequence

from tamarackbridge.components.knowledge import state


class NewVersions:
    """The versions that each service had without an order."""

    def __init__(self) -> None:
        self._established: dict[str, set[str]] = {}
        self._seen_at: dict[tuple[str, str], float] = {}

    def without_unconfirmed(
        self,
        service: str,
        servers: Sequence[state.RegisteredServer],
        confirmed_at: float,
        now: float,
    ) -> Sequence[state.RegisteredServer]:
        """Returns the servers whose versions are not held back.

        Args:
            service: Name of the service.
            servers: Its servers that may get new work.
            confirmed_at: A time at which the store held no order for it that
                this router doesn't know.
            now: The time.
        """
        if not servers:
            return servers
        versions = {registered.server.version for registered in servers}
        established = self._established.get(service)
        if established is None:
            self._established[service] = versions
            return servers
        if versions <= established:
            return servers
        for version in versions - established:
            seen_at = self._seen_at.setdefault((service, version), now)
            if confirmed_at > seen_at:
                established.add(version)
                del self._seen_at[service, version]
        found = [
            registered
            for registered in servers
            if registered.server.version in established
        ]
        return found or servers
