"""Exceptions of the platform's adapter."""

from tamarackbridge import exceptions


class PlatformError(exceptions.TamarackbridgeError):
    """Base class of the adapter's exceptions."""


class RecordError(PlatformError):
    """An object of the store does not match the schema of its kind."""


class SettingsError(PlatformError):
    """The settings file is missing or invalid.

    Attributes:
        key: Key of the invalid setting; empty for the whole file.
    """

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"{key}: {expected}" if key else expected)
        self.key = key
