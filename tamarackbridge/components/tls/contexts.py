"""Creates TLS contexts from settings."""

import ipaddress
import ssl

from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import exceptions


def uses_tls(cfg: settings.ListenSettings) -> bool:
    """Returns whether a listener uses TLS."""
    return bool(cfg.tls.certificate)


def check_listener(name: str, cfg: settings.ListenSettings) -> None:
    """Rejects unsafe settings of a listener.

    Args:
        name: Name of the listener, for the error.
        cfg: Its settings.

    Raises:
        TlsError: Plain text on an address other than loopback without
            `allow_plain_text`, a certificate without its key, or a client
            authority without a certificate.
    """
    tls = cfg.tls
    if bool(tls.certificate) != bool(tls.key):
        raise exceptions.TlsError(
            f"{name}.tls: certificate and key are given together or not at all"
        )
    if tls.client_ca and not tls.certificate:
        raise exceptions.TlsError(
            f"{name}.tls: client_ca needs certificate and key"
        )
    if uses_tls(cfg) or cfg.allow_plain_text or is_loopback(cfg.host):
        return
    raise exceptions.TlsError(
        f"{name}: plain text is for loopback only; set {name}.tls or "
        f"{name}.allow_plain_text = true"
    )


def is_loopback(host: str) -> bool:
    """Returns whether only this machine can reach a listener's host."""
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def server_context(tls: settings.TlsSettings) -> ssl.SSLContext:
    """Returns a context for a listener.

    It requires client certificates if a client authority is set.

    Raises:
        TlsError: The files can't be read or don't match.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.client_ca:
            context.load_verify_locations(tls.client_ca)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as exc:
        raise exceptions.TlsError(f"{tls.certificate}: {exc}") from exc
    return context


def client_context(
    authority: str, certificate: str = "", key: str = ""
) -> ssl.SSLContext:
    """Returns a context for outgoing connections.

    Args:
        authority: File with the authorities that may sign the certificate of
            the server.
        certificate: File with the client's own certificate; empty for none.
        key: File with the key of the certificate.

    Raises:
        TlsError: The files can't be read or don't match.
    """
    try:
        context = ssl.create_default_context(cafile=authority)
        if certificate:
            context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as exc:
        raise exceptions.TlsError(f"{authority}: {exc}") from exc
    return context
