"""Errors of calls to backend servers."""

from tamarackbridge import exceptions


class BackendError(exceptions.TamarackbridgeError):
    """A call to a backend server failed; the work may have started."""


class NotSentError(BackendError):
    """The request was not sent; no work started on the backend server."""
