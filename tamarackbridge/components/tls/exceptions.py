"""Errors of the TLS configuration."""

from tamarackbridge import exceptions


class TlsError(exceptions.TamarackbridgeError):
    """Certificates can't be used, or plain text is not allowed."""
