"""Removes the stored records of generations that nobody needs any more."""

from collections.abc import Sequence

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.configuration import const, stored
from tamarackbridge.components.object_api import messages as store

TAG = "configuration:old:"

TRIES = 2
"""Generations looked at after each change, so that a lost call is made up."""


class Cleaner:
    """Deletes what is older than the generations that are kept."""

    def clean(self, head: stored.Head) -> Sequence[core.Envelope]:
        """Looks for the first generations that are too old.

        Args:
            head: The head before the change that was accepted.
        """
        newest = head.generation - const.KEPT_GENERATIONS
        old = [
            change
            for change in head.changes
            if newest - TRIES < change.generation <= newest
        ]
        return [_get(stored.data_key(c.generation, c.change_id)) for c in old]

    def take(self, reply: store.StoreReply) -> Sequence[core.Envelope]:
        """Deletes what was found, if nobody changed it since."""
        if not reply.tag.startswith(TAG):
            return ()
        return [_delete(found) for found in reply.objects]


def _get(key: str) -> core.Envelope:
    return core.Envelope(core_const.STORE_NODE, store.StoreGet(key, TAG))


def _delete(found: store.StoredObject) -> core.Envelope:
    delete = store.StoreDelete(found.key, found.version, "")
    return core.Envelope(core_const.STORE_NODE, delete)
