"""Errors on the way to a backend server."""

from tamarackbridge import exceptions


class GatewayError(exceptions.TamarackbridgeError):
    """Base of the gateway's errors."""


class NotSentError(GatewayError):
    """The request did not leave this router."""


class LostError(GatewayError):
    """The request may have run; its answer is lost or not whole."""


class CallerGoneError(GatewayError):
    """The caller closed its connection."""


class AnswerCutError(GatewayError):
    """An answer under way was ended so that it does not look whole."""
