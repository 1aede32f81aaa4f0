"""TLS contexts from settings."""

import ipaddress
import ssl

from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import exceptions


def enabled(cfg: settings.ListenSettings) -> bool:
    """Tells whether a listener speaks TLS."""
    return bool(cfg.tls.certificate)


def check(name: str, cfg: settings.ListenSettings) -> None:
    """Refuses settings that would be unsafe.

    Args:
        name: Name of the listener, for the error.
        cfg: Its settings.

    Raises:
        TlsError: Plain text off loopback without leave, a certificate
            without its key, or a client authority without a certificate.
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
    if enabled(cfg) or cfg.allow_plain_text or is_loopback(cfg.host):
        return
    raise exceptions.TlsError(
        f"{name}: plain text is for loopback only; set {name}.tls or "
        f"{name}.allow_plain_text = true"
    )


def is_loopback(host: str) -> bool:
    """Tells whether a listener's host is reached from this machine alone."""
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def server_context(tls: settings.TlsSettings) -> ssl.SSLContext:
    """Returns a context for a listener.

    It demands client certificates if a client authority is set.

    Raises:
        TlsError: The files can't be read or don't fit each other.
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
        authority: File with the authorities that servers must be signed by.
        certificate: File with the client's own certificate; empty for none.
        key: File with the key of the certificate.

    Raises:
        TlsError: The files can't be read or don't fit each other.
    """
    try:
        context = ssl.create_default_context(cafile=authority)
        if certificate:
            context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as exc:
        raise exceptions.TlsError(f"{authority}: {exc}") from exc
    return context
