"""Mutual TLS between routers."""

import ssl

from absl import logging

from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import contexts, exceptions, reloader


class PeerCredentials:
    """Credentials of one router towards other routers, reloaded on change.

    Both sides present a certificate that an authority in `client_ca` signed.
    """

    def __init__(self, cfg: settings.TlsSettings) -> None:
        if not cfg.client_ca:
            raise exceptions.TlsError("peer.tls: client_ca is required")
        self._cfg = cfg
        self._server = reloader.ReloadingContext(cfg)
        self._loaded_fingerprint = reloader.fingerprint(cfg)
        self._client = _client_context(cfg)

    def server(self) -> ssl.SSLContext:
        """Returns the listener's context, which `reload` keeps current."""
        return self._server.context

    def client(self) -> ssl.SSLContext:
        """Returns the context for a new connection, from the newest files."""
        self.reload()
        return self._client

    def reload(self) -> None:
        """Reloads the files if they have changed."""
        self._server.reload()
        current = reloader.fingerprint(self._cfg)
        if current == self._loaded_fingerprint:
            return
        self._loaded_fingerprint = current
        try:
            self._client = _client_context(self._cfg)
        except exceptions.TlsError as exc:
            logging.warning(
                "peer certificates not reloaded, keeping the former ones: %s",
                exc,
            )


def _client_context(cfg: settings.TlsSettings) -> ssl.SSLContext:
    return contexts.client_context(cfg.client_ca, cfg.certificate, cfg.key)
