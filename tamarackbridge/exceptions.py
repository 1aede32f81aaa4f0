"""Errors that more than one component raises."""


class TamarackbridgeError(Exception):
    """Base of every error that the product raises."""


class ServiceNotFoundError(TamarackbridgeError):
    """A service was asked for by a name that nobody registered."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no service is registered as {name!r}")
        self.name = name


class CodecError(TamarackbridgeError):
    """Bytes from outside did not decode to a known message."""
