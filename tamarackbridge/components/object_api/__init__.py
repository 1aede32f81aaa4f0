"""Access to the platform's object API."""

from typing import Protocol

from tamarackbridge import core
from tamarackbridge.components.object_api import messages


class ObjectApi(Protocol):
    """Interface to the platform's object API."""

    async def async_call(self, call: core.Message) -> messages.StoreReply:
        """Executes one `Store...` message and returns its reply.

        Never raises for a platform failure; the reply then has the status
        `UNKNOWN`.
        """
        ...
