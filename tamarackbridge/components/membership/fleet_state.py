"""A router's local copy of the fleet objects, complete up to one version.

The store numbers the versions of all objects in one sequence, so a single
number describes the copy: every change up to that version is included. The
version only increases; an older value never replaces a newer one.
"""

from collections.abc import Iterable

from tamarackbridge.components.membership import const
from tamarackbridge.components.object_api import messages as store


class FleetState:
    """The newest known value of each fleet object.

    Attributes:
        version: Highest version among the objects. The copy includes every
            change of a fleet object up to this version.
        unreadable: Version of a fleet object that this router can't decode;
            0 for none.
    """

    def __init__(self) -> None:
        self.version = 0
        self.unreadable = 0
        self._objects: dict[str, store.StoredObject] = {}
        self._applied = 0

    def merge(
        self, objects: Iterable[store.StoredObject]
    ) -> tuple[store.StoredObject, ...]:
        """Merges objects into the copy and returns those that were newer."""
        changed = []
        for obj in objects:
            present = self._objects.get(obj.key)
            if present is None or present.version < obj.version:
                self._objects[obj.key] = obj
                changed.append(obj)
                self.version = max(self.version, obj.version)
        return tuple(changed)

    def record_applied(self, version: int) -> None:
        """Records that the configuration of a version is in force."""
        self._applied = max(self._applied, version)

    @property
    def known(self) -> int:
        """Version up to which every object is known, decoded and in force."""
        known = self.version
        cfg = self._objects.get(const.KEY_CONFIG)
        if cfg is not None and cfg.version > self._applied:
            known = cfg.version - 1
        if self.unreadable:
            known = min(known, self.unreadable - 1)
        return known

    def get(self, key: str) -> store.StoredObject | None:
        """Returns the object of a key, None if there is none."""
        return self._objects.get(key)

    def changed_since(self, version: int) -> tuple[store.StoredObject, ...]:
        """Returns all objects that changed after `version`."""
        return tuple(
            obj for obj in self._objects.values() if obj.version > version
        )
