"""The outstanding permits of one shard."""

from collections.abc import Iterator
import dataclasses

from tamarackbridge import const
from tamarackbridge.components.dispatch import messages

PermitKey = tuple[int, int]
"""Epoch and number of a permit."""


@dataclasses.dataclass(slots=True)
class Permit:
    """One outstanding permit, as its dispatcher knows it.

    Attributes:
        entry: Identifier of the router that holds the permit.
        share: The workspace's share when the permit was issued. A later
            change of the share does not change the charge for running work.
        hint: The caller's cost estimate; 0 when it gave none.
        charged: Cost charged to the workspace so far.
        granted_at: Monotonic time of issue, or the latest possible one.
        reported_at: Monotonic time at which its entry last reported it, or the
            earliest possible one.
        ends_at: Monotonic time by which its work has certainly ended.
    """

    epoch: int
    number: int
    request_id: str
    workspace: str
    end_user: str
    route: str
    server: str
    entry: str
    share: float
    hint: float
    charged: float
    granted_at: float
    reported_at: float
    ends_at: float

    @property
    def key(self) -> PermitKey:
        """Returns epoch and number."""
        return (self.epoch, self.number)


class PermitTable:
    """Permits, indexed by key, request, backend server, entry, workspace."""

    def __init__(self) -> None:
        self._permits: dict[PermitKey, Permit] = {}
        self._requests: dict[str, PermitKey] = {}
        self._servers: dict[str, dict[PermitKey, Permit]] = {}
        self._entries: dict[str, dict[PermitKey, Permit]] = {}
        self._workspaces: dict[str, int] = {}

    def add(self, permit: Permit) -> None:
        """Adds a permit that is not in the table."""
        self._permits[permit.key] = permit
        self._requests[permit.request_id] = permit.key
        self._servers.setdefault(permit.server, {})[permit.key] = permit
        self._entries.setdefault(permit.entry, {})[permit.key] = permit
        count = self._workspaces.get(permit.workspace, 0)
        self._workspaces[permit.workspace] = count + 1

    def pop(self, key: PermitKey) -> Permit | None:
        """Removes and returns a permit, if it is in the table."""
        permit = self._permits.pop(key, None)
        if permit is None:
            return None
        if self._requests.get(permit.request_id) == key:
            del self._requests[permit.request_id]
        del self._servers[permit.server][key]
        del self._entries[permit.entry][key]
        if not self._entries[permit.entry]:
            del self._entries[permit.entry]
        self._workspaces[permit.workspace] -= 1
        if not self._workspaces[permit.workspace]:
            del self._workspaces[permit.workspace]
        return permit

    def get(self, key: PermitKey) -> Permit | None:
        """Returns a permit, if it is in the table."""
        return self._permits.get(key)

    def has_request(self, request_id: str) -> bool:
        """Returns whether a request holds a permit."""
        return request_id in self._requests

    def on_server(self, server: str) -> list[Permit]:
        """Returns the permits for one backend server."""
        return list(self._servers.get(server, {}).values())

    def count_server(self, server: str) -> int:
        """Returns the number of outstanding permits for one backend server."""
        return len(self._servers.get(server, ()))

    def count_workspace(self, workspace: str) -> int:
        """Returns the number of outstanding permits of one workspace."""
        return self._workspaces.get(workspace, 0)

    def held_by(self, entry: str) -> list[Permit]:
        """Returns the permits that one entry holds."""
        return list(self._entries.get(entry, {}).values())

    def ended_by_progress(
        self, entry: str, msg: messages.Progress, sent_at: float
    ) -> list[Permit]:
        """Returns the permits that have ended according to a progress message.

        These are the entry's permits that the message leaves out, under which
        no work can start any more, and that were issued since the entry
        started, so that it would list them.

        Args:
            entry: The router that sent the message.
            msg: The message; it lists all permits that the entry holds.
            sent_at: Earliest monotonic time at which it can have been sent.
        """
        named = {number for number, _ in msg.used}
        up_since = sent_at - msg.up_s
        return [
            permit
            for permit in self.held_by(entry)
            if permit.epoch == msg.epoch
            and permit.number not in named
            and permit.granted_at + const.GRANT_USE_S < sent_at
            and up_since < permit.granted_at
        ]

    def workspaces(self) -> set[str]:
        """Returns the workspaces that hold permits."""
        return set(self._workspaces)

    def __iter__(self) -> Iterator[Permit]:
        return iter(list(self._permits.values()))

    def __len__(self) -> int:
        return len(self._permits)
