"""What routers tell each other, several times a second."""

from tamarackbridge import core


class ServerWork(core.Message, frozen=True, array_like=True):
    """Work that the sender has at one server."""

    server: str
    requests: int
    unread: int
    memory: int


class WorkspaceUse(core.Message, frozen=True, array_like=True):
    """What one workspace asked and got at the sender, over the window."""

    workspace: str
    asked: int
    served: int


class Held(core.Message, frozen=True, array_like=True):
    """A prompt part that the sender lets a server read or use."""

    server: str
    chain: int


class Status(core.Message, frozen=True, array_like=True):
    """The sender's part of the shared view.

    Attributes:
        work: All its work; servers that are missing have none.
        held: Prompt parts in use since the last message.
        use: Use of workspaces; None where it has not changed much.
        waiting: Requests that wait at the sender.
        configuration: Version of the sender's configuration; 0 for none.
        configuration_age_ms: Its age when this was sent.
        leaving: Whether the sender is shutting down.
    """

    work: tuple[ServerWork, ...] = ()
    held: tuple[Held, ...] = ()
    use: tuple[WorkspaceUse, ...] | None = None
    waiting: int = 0
    configuration: int = 0
    configuration_age_ms: int = 0
    leaving: bool = False
