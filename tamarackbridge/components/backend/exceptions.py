"""Errors of the backend side."""

from tamarackbridge import exceptions


class BackendError(exceptions.TamarackbridgeError):
    """A call to a backend server failed; the work may have started."""


class NotSentError(BackendError):
    """Nothing of the request left this router."""
