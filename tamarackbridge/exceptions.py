"""Exceptions raised by several components."""


class TamarackbridgeError(Exception):
    """Base class of the product's exceptions."""


class ServiceNotFoundError(TamarackbridgeError):
    """No service is registered under the requested name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no service is registered as {name!r}")
        self.name = name


class CodecError(TamarackbridgeError):
    """Received bytes could not be decoded to a known message."""
