"""Certificates for tests: a certificate authority, a server certificate for 127.0.0.1 and a client certificate."""

from __future__ import annotations

import datetime
import ipaddress
from collections.abc import Sequence
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec


def write_certificates(folder: Path, expired: bool = False, hosts: Sequence[str] = ()) -> None:
    """Writes the keys and certificates of an authority, a server and a client.

    Args:
        folder: The directory of the files `ca`, `server` and `client`, each with the suffixes `.crt` and `.key`.
        expired: Whether the client certificate has expired.
        hosts: Addresses besides 127.0.0.1 for which the certificates are valid.
    """
    now = datetime.datetime.now(datetime.UTC)
    day = datetime.timedelta(days=1)

    def name(common_name: str) -> x509.Name:
        return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, common_name)])

    def write(path: Path, key: ec.EllipticCurvePrivateKey, certificate: x509.Certificate) -> None:
        path.with_suffix(".crt").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        pem = key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        path.with_suffix(".key").write_bytes(pem)
        path.with_suffix(".key").chmod(0o600)

    authority = ec.generate_private_key(ec.SECP256R1())
    root = (
        x509.CertificateBuilder()
        .subject_name(name("ca"))
        .issuer_name(name("ca"))
        .public_key(authority.public_key())
        .serial_number(1)
        .not_valid_before(now - 9 * day)
        .not_valid_after(now + 9 * day)
        .add_extension(x509.BasicConstraints(True, None), True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(authority.public_key()), False)
        .add_extension(x509.KeyUsage(True, False, False, False, False, True, True, False, False), True)
        .sign(authority, hashes.SHA256())
    )
    write(folder / "ca", authority, root)
    for serial_number, common_name in enumerate(("server", "client"), 2):
        key = ec.generate_private_key(ec.SECP256R1())
        valid_until = now - day if expired and common_name == "client" else now + 9 * day
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name(common_name))
            .issuer_name(name("ca"))
            .public_key(key.public_key())
            .serial_number(serial_number)
            .not_valid_before(now - 5 * day)
            .not_valid_after(valid_until)
            .add_extension(x509.BasicConstraints(False, None), True)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(authority.public_key()), False)
            .add_extension(
                x509.SubjectAlternativeName(
                    [x509.IPAddress(ipaddress.ip_address(host)) for host in ("127.0.0.1", *hosts)]
                ),
                False,
            )
            .sign(authority, hashes.SHA256())
        )
        write(folder / common_name, key, certificate)
