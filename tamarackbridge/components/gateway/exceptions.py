"""Exceptions of the gateway."""

from tamarackbridge import exceptions


class GatewayError(exceptions.TamarackbridgeError):
    """Base class of the gateway's exceptions."""


class NotSentError(GatewayError):
    """No part of the request was sent to a backend server."""


class LostError(GatewayError):
    """The request may have run; its response is missing or incomplete."""


class ConnectionRejectedError(LostError):
    """A server accepts connections, and closes each without a response."""


class BodyReleasedError(GatewayError):
    """The memory of a request's body has been released."""


class CallerGoneError(GatewayError):
    """The caller closed its connection."""


class ResponseAbortedError(GatewayError):
    """A response in progress was aborted so that it looks incomplete."""
