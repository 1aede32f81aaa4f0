"""Mutual TLS between routers."""

import ssl

from absl import logging

from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import contexts, exceptions, reloader


class PeerCredentials:
    """Credentials of one router towards the others, read anew when changed.

    Both sides present a certificate that an authority in `client_ca` signed.
    """

    def __init__(self, cfg: settings.TlsSettings) -> None:
        if not cfg.client_ca:
            raise exceptions.TlsError("peer.tls: client_ca is needed")
        self._cfg = cfg
        self._server = reloader.ReloadingContext(cfg)
        self._seen = reloader.fingerprint(cfg)
        self._client = _client_context(cfg)

    def server(self) -> ssl.SSLContext:
        """Returns the listener's context, which takes changed files in."""
        return self._server.context

    def client(self) -> ssl.SSLContext:
        """Returns the context for a new connection, from the newest files."""
        self.reload()
        return self._client

    def reload(self) -> None:
        """Takes the files in if they have changed."""
        self._server.reload()
        now = reloader.fingerprint(self._cfg)
        if now == self._seen:
            return
        self._seen = now
        try:
            self._client = _client_context(self._cfg)
        except exceptions.TlsError as exc:
            logging.warning("peer certificates not reloaded: %s", exc)


def _client_context(cfg: settings.TlsSettings) -> ssl.SSLContext:
    return contexts.client_context(cfg.client_ca, cfg.certificate, cfg.key)
