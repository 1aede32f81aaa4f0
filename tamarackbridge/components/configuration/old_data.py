"""Deletes the stored records of outdated generations."""

from collections.abc import Sequence

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.configuration import const, stored
from tamarackbridge.components.object_api import messages as store

TAG = "configuration:old:"

LOOKUPS = 2
"""Number of outdated generations looked up after each change.

More than one, so that a deletion whose store call was lost is retried.
"""


class Cleaner:
    """Deletes records older than the last `KEPT_GENERATIONS` generations."""

    def clean(self, head: stored.Head) -> Sequence[core.Envelope]:
        """Looks up the newest outdated generations for deletion.

        Args:
            head: The head before the change that was accepted.
        """
        newest_outdated = head.generation - const.KEPT_GENERATIONS
        outdated = [
            change
            for change in head.changes
            if newest_outdated - LOOKUPS < change.generation <= newest_outdated
        ]
        return [
            _get(stored.data_key(c.generation, c.change_id)) for c in outdated
        ]

    def handle_store_reply(
        self, reply: store.StoreReply
    ) -> Sequence[core.Envelope]:
        """Deletes the objects found, unless they have changed since."""
        if not reply.tag.startswith(TAG):
            return ()
        return [_delete(found) for found in reply.objects]


def _get(key: str) -> core.Envelope:
    return core.Envelope(core_const.STORE_NODE, store.StoreGet(key, TAG))


def _delete(found: store.StoredObject) -> core.Envelope:
    delete = store.StoreDelete(found.key, found.version, "")
    return core.Envelope(core_const.STORE_NODE, delete)
