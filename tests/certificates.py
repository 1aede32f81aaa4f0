"""Certificate authority for tests."""

import datetime
import ipaddress
import pathlib
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from tamarackbridge.components.settings import models as settings

_BEGIN = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
_END = datetime.datetime(2100, 1, 1, tzinfo=datetime.UTC)


class Authority:
    """Issues certificates and writes them as PEM files."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.path = folder / f"{name}-ca.pem"
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(name)
        cert = _builder(self._name, self._name, self._key, True)
        signed = cert.sign(self._key, hashes.SHA256())
        self.path.write_bytes(_pem(signed))

    def issue(
        self, name: str, client_ca: pathlib.Path | None = None
    ) -> settings.TlsSettings:
        """Issues a certificate for `name` at 127.0.0.1; writes its files."""
        key = ec.generate_private_key(ec.SECP256R1())
        cert = _builder(_name(name), self._name, key, False).add_extension(
            x509.SubjectAlternativeName(
                [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            ),
            critical=False,
        )
        signed = cert.sign(self._key, hashes.SHA256())
        paths = [self._folder / f"{name}.{part}" for part in ("pem", "key")]
        paths[0].write_bytes(_pem(signed))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return settings.TlsSettings(
            certificate=str(paths[0]),
            key=str(paths[1]),
            client_ca=str(client_ca or ""),
        )

    def contexts(self, name: str) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        """Returns the contexts of a server `name`, and of its callers."""
        issued = self.issue(name)
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        server.load_cert_chain(issued.certificate, issued.key)
        return server, ssl.create_default_context(cafile=str(self.path))


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _pem(cert: x509.Certificate) -> bytes:
    return cert.public_bytes(serialization.Encoding.PEM)


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    is_ca: bool,
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(_BEGIN)
        .not_valid_after(_END)
        .add_extension(x509.BasicConstraints(is_ca, None), critical=True)
    )
