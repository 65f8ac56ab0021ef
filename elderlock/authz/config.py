"""The table `[authz]` of the operators' file: the server's address, its callers, and how requests are read."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path

import msgspec

SOURCES = ("extension", "header", "path", "query", "value")
HEADER_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class AuthzError(Exception):
    """The table `[authz]` is invalid. The text is one line for the operator."""


class Tls(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The PEM files for TLS, which are read again at each reload.

    Attributes:
        certificate: The path of the certificate chain.
        key: The path of its private key.
        ca: The path of the certificate authority that must have signed the other side's certificate; empty for none.
    """

    certificate: str
    key: str
    ca: str = ""


class Caller(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The accounts that a caller may use.

    Attributes:
        accounts: Account numbers (16 hex digits), or `*` for all.
        subject: The common name or an alternative name of the caller's certificate; empty for callers without one.
    """

    accounts: tuple[str, ...]
    subject: str = ""


class FieldSource(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The sources of one field of a request. The first one that the request has is used, in the order below.

    Attributes:
        extension: The name of a context extension.
        header: The name of a request header, in lower case.
        query: The name of a query parameter.
        path: A regular expression that matches the whole path; its one group is the value.
        value: A fixed value.
    """

    extension: str = ""
    header: str = ""
    query: str = ""
    path: str = ""
    value: str = ""


class RequestMapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The sources of each field of a request.

    Attributes:
        account: The account whose quota is used.
        plan: The name of its plan.
        request_class: The name of the request class.
        request: The caller's id of the request.
        units: The units of quota that the request costs.
        spread: The number of limiters in the account's set.
        first: The number of the first one.
        deadline_ms: How long the caller waits.
    """

    account: FieldSource = FieldSource(extension="account", header="x-account")
    plan: FieldSource = FieldSource(extension="plan", header="x-plan")
    request_class: FieldSource = FieldSource(extension="class", header="x-class")
    request: FieldSource = FieldSource(extension="request", header="x-request-id")
    units: FieldSource = FieldSource(extension="units", header="x-units", value="1")
    spread: FieldSource = FieldSource(extension="spread", header="x-spread")
    first: FieldSource = FieldSource(extension="first", header="x-first")
    deadline_ms: FieldSource = FieldSource(extension="deadline-ms", header="x-deadline-ms")


class ServerLimits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The limits of the gRPC server.

    Attributes:
        maximum_connections: The maximum number of open connections.
        handshake_timeout_s: How long the handshake of a new connection may take.
        maximum_streams: The maximum number of concurrent requests on one connection.
        maximum_pending: The maximum number of undecided requests over all connections; others are rejected at once.
        maximum_message_bytes: The maximum size of a message.
        maximum_metadata_bytes: The maximum size of a request's metadata.
        maximum_permissions: The maximum number of requests whose answer is stored for retries.
        maximum_ping_strikes: How many pings of a caller may come too early before its connection is closed.
        minimum_ping_interval_s: The interval before which a ping is too early.
        idle_timeout_s: After how long an idle connection is closed.
        drain_timeout_s: How long open requests may take at shutdown.
    """

    maximum_connections: int = msgspec.field(name="connections", default=256)
    handshake_timeout_s: float = msgspec.field(name="handshake", default=5.0)
    maximum_streams: int = msgspec.field(name="streams", default=256)
    maximum_pending: int = msgspec.field(name="questions", default=2000)
    maximum_message_bytes: int = msgspec.field(name="message", default=64 << 10)
    maximum_metadata_bytes: int = msgspec.field(name="metadata", default=16 << 10)
    maximum_permissions: int = msgspec.field(name="kept", default=20_000)
    maximum_ping_strikes: int = msgspec.field(name="ping_strikes", default=2)
    minimum_ping_interval_s: float = msgspec.field(name="ping_interval", default=10.0)
    idle_timeout_s: float = msgspec.field(name="idle", default=300.0)
    drain_timeout_s: float = msgspec.field(name="drain", default=3.0)


class AuthzFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[authz]`.

    Attributes:
        listen: The address of the server.
        tls: The server's TLS files; None for no TLS.
        callers: The callers and their accounts.
        mapping: The sources of each field of a request.
        limits: The limits of the gRPC server.
        maximum_wait_ms: How long a request waits at most, and if neither it nor gRPC sets a deadline.
        reflection: Whether the server offers gRPC reflection.
    """

    listen: str
    tls: Tls | None = None
    callers: tuple[Caller, ...] = msgspec.field(name="askers", default=())
    mapping: RequestMapping = RequestMapping()
    limits: ServerLimits = msgspec.field(name="bounds", default=ServerLimits())
    maximum_wait_ms: float = msgspec.field(name="longest_ms", default=2000.0)
    reflection: bool = True

    def validate(self) -> tuple[str, int]:
        """Check the table, and return the server's IP address and port.

        Raises:
            AuthzError: A value is invalid, or values conflict.
        """
        host, separator, port_text = self.listen.rpartition(":")
        try:
            address = ipaddress.ip_address(host.strip("[]"))
            port = int(port_text) if separator else -1
        except ValueError:
            port, address = -1, ipaddress.ip_address("127.0.0.1")
        if not 0 <= port < 65536:
            raise AuthzError(f"authz.listen: {self.listen!r} is not an address like 127.0.0.1:9191")
        if not address.is_loopback and (self.tls is None or not self.tls.ca):
            raise AuthzError("authz.listen: an address off loopback needs [authz.tls] with a ca for its callers")
        if not self.callers:
            raise AuthzError("authz: [[authz.askers]] is missing, so no caller would be accepted")
        for caller in self.callers:
            for account in caller.accounts:
                if account != "*" and not re.fullmatch(r"[0-9a-f]{16}", account):
                    raise AuthzError(f"authz.askers: {account!r} is neither 16 hex digits nor '*'")
            if caller.subject and (self.tls is None or not self.tls.ca):
                raise AuthzError(f"authz.askers: the subject {caller.subject!r} needs [authz.tls] with a ca")
        for name in RequestMapping.__struct_fields__:
            self._check_field(name, getattr(self.mapping, name))
        limits = self.limits
        minimum = min(
            self.maximum_wait_ms,
            limits.maximum_connections,
            limits.handshake_timeout_s,
            limits.maximum_streams,
            limits.maximum_pending,
            limits.maximum_message_bytes,
        )
        if minimum <= 0:
            names = "connections, handshake, streams, questions and message"
            raise AuthzError(f"authz: longest_ms and {names} of [authz.bounds] must be above 0, and one is {minimum:g}")
        return str(address), port

    @staticmethod
    def _check_field(name: str, source: FieldSource) -> None:
        if source == FieldSource():
            raise AuthzError(f"authz.mapping.{name}: none of {', '.join(SOURCES)} is given")
        if source.header and not HEADER_PATTERN.fullmatch(source.header):
            raise AuthzError(f"authz.mapping.{name}: {source.header!r} is not the name of a header in lower case")
        if source.path:
            try:
                groups = re.compile(source.path).groups
            except re.error as error:
                raise AuthzError(f"authz.mapping.{name}: {error}") from None
            if groups != 1:
                raise AuthzError(f"authz.mapping.{name}: the path pattern must have one group, not {groups}")


def read_tls_files(tls: Tls, folder: Path) -> tuple[bytes, bytes, bytes | None]:
    """Return the private key, the certificate chain, and the certificate authority or None.

    Args:
        tls: The paths of the files.
        folder: The folder that relative paths start at.

    Raises:
        AuthzError: A file cannot be read.
    """
    try:
        key, chain = (folder / tls.key).read_bytes(), (folder / tls.certificate).read_bytes()
        return key, chain, (folder / tls.ca).read_bytes() if tls.ca else None
    except OSError as error:
        raise AuthzError(f"authz.tls: {error.filename}: {error.strerror}") from None
