"""Access to the platform's object API."""

from typing import Protocol

from tamarackbridge import core
from tamarackbridge.components.object_api import messages


class ObjectApi(Protocol):
    """The platform's object API as the product uses it."""

    async def async_call(self, call: core.Message) -> messages.StoreReply:
        """Executes one `Store...` message and returns its reply.

        Never raises for a platform failure: that is a reply with status
        `UNKNOWN`.
        """
        ...
