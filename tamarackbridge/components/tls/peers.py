"""Mutual TLS between routers, as gRPC takes it."""

import pathlib

from absl import logging
import grpc

from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import exceptions, reloader


class PeerCredentials:
    """Credentials of one router towards the others, read anew when changed.

    Both sides present a certificate that an authority in `client_ca` signed.
    """

    def __init__(self, cfg: settings.TlsSettings) -> None:
        if not cfg.client_ca:
            raise exceptions.TlsError("peer.tls: client_ca is needed")
        self._cfg = cfg
        self._seen = reloader.fingerprint(cfg)
        self._served = self._seen
        self._files = _read(cfg)

    def server(self) -> grpc.ServerCredentials:
        """Returns the listener's credentials; asked anew by handshakes."""
        return grpc.dynamic_ssl_server_credentials(
            self._configuration(),
            self._changed_configuration,
            require_client_authentication=True,
        )

    def channel(self) -> grpc.ChannelCredentials:
        """Returns credentials for a new channel, from the newest files."""
        self._refresh()
        key, certificate, authority = self._files
        return grpc.ssl_channel_credentials(authority, key, certificate)

    def _configuration(self) -> grpc.ServerCertificateConfiguration:
        key, certificate, authority = self._files
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], authority
        )

    def _changed_configuration(
        self,
    ) -> grpc.ServerCertificateConfiguration | None:
        self._refresh()
        if self._served == self._seen:
            return None
        self._served = self._seen
        return self._configuration()

    def _refresh(self) -> None:
        now = reloader.fingerprint(self._cfg)
        if now == self._seen:
            return
        self._seen = now
        try:
            self._files = _read(self._cfg)
        except exceptions.TlsError as exc:
            logging.warning("peer certificates not reloaded: %s", exc)


def _read(cfg: settings.TlsSettings) -> tuple[bytes, bytes, bytes]:
    try:
        return (
            pathlib.Path(cfg.key).read_bytes(),
            pathlib.Path(cfg.certificate).read_bytes(),
            pathlib.Path(cfg.client_ca).read_bytes(),
        )
    except OSError as exc:
        raise exceptions.TlsError(f"peer.tls: {exc}") from exc
