"""Errors of the platform's adapter."""

from tamarackbridge import exceptions


class PlatformError(exceptions.TamarackbridgeError):
    """Base of the adapter's errors."""


class RecordError(PlatformError):
    """An object of the store can't be read as what its kind says."""


class SettingsError(PlatformError):
    """The settings file can't be used.

    Attributes:
        key: Key of the wrong setting; empty for the whole file.
    """

    def __init__(self, key: str, allowed: str) -> None:
        super().__init__(f"{key}: {allowed}" if key else allowed)
        self.key = key
