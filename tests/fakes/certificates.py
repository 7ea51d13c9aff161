"""A certificate authority for the host certificates of tests."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

__all__ = ['CertificateAuthority']

_VALIDITY = datetime.timedelta(days=2)
_BACKDATING = datetime.timedelta(days=1)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


class CertificateAuthority:
    """Signs certificates and writes them to a directory."""

    def __init__(self, *, folder: pathlib.Path, name: str) -> None:
        """Creates the authority's key and certificate.

        Args:
            folder: the directory of the certificate and key files.
            name: the common name and the file name of the authority.
        """
        self._folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, self._key.public_key(), is_ca=True)
        self._write(f'{name}.pem', certificate)

    def issue(self,
              host: str,
              certificate_name: str | None = None) -> dict[str, str]:
        """Writes a certificate and a key for a host, replacing earlier ones.

        Args:
            host: the host, after which the files are named.
            certificate_name: the name in the certificate; the host by default.

        Returns:
            The `link_security` settings of the host.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(certificate_name or host, key.public_key())
        self._write(f'{host}.pem', certificate)
        pem = key.private_bytes(serialization.Encoding.PEM,
                                serialization.PrivateFormat.PKCS8,
                                serialization.NoEncryption())
        (self._folder / f'{host}.key').write_bytes(pem)
        return {
            'certificate_file': str(self._folder / f'{host}.pem'),
            'key_file': str(self._folder / f'{host}.key'),
            'authority_file': str(self._folder / f'{self._name}.pem')
        }

    def _write(self, name: str, certificate: x509.Certificate) -> None:
        pem = certificate.public_bytes(serialization.Encoding.PEM)
        (self._folder / name).write_bytes(pem)

    def _sign(self,
              name: str,
              public_key: ec.EllipticCurvePublicKey,
              is_ca: bool = False) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = x509.CertificateBuilder(
            issuer_name=_name(self._name),
            subject_name=_name(name),
            public_key=public_key,
            serial_number=x509.random_serial_number(),
            not_valid_before=now - _BACKDATING,
            not_valid_after=now + _VALIDITY)
        builder = builder.add_extension(x509.BasicConstraints(ca=is_ca,
                                                              path_length=None),
                                        critical=True)
        if not is_ca:
            names = x509.SubjectAlternativeName([x509.DNSName(name)])
            builder = builder.add_extension(names, critical=False)
        return builder.sign(self._key, hashes.SHA256())
