"""`[authz]` of the operators' file: where the door listens, whom it takes, how a question is read."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path

import msgspec

SOURCES = ("extension", "header", "path", "query", "value")
HEADER = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class AuthzError(Exception):
    """The part cannot be used; the text is one plain line for the operator."""


class Tls(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """PEM files, read anew at each reload. With `ca` callers must show a certificate that it signed."""

    certificate: str
    key: str
    ca: str = ""


class Caller(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Who may ask for which accounts. `subject`: of the caller's certificate (its common name, or an
    alternative name); empty for callers without one. `accounts`: account numbers (16 hex digits), or `*`."""

    accounts: tuple[str, ...]
    subject: str = ""


class FieldSource(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where one part of a question stands: a context extension, a request header, the query, a pattern with
    one group over the path, or a fixed value. The first of these that is there counts."""

    extension: str = ""
    header: str = ""
    query: str = ""
    path: str = ""
    value: str = ""


class RequestMapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    account: FieldSource = FieldSource(extension="account", header="x-account")
    plan: FieldSource = FieldSource(extension="plan", header="x-plan")
    request_class: FieldSource = FieldSource(extension="class", header="x-class")
    request: FieldSource = FieldSource(extension="request", header="x-request-id")
    units: FieldSource = FieldSource(extension="units", header="x-units", value="1")
    spread: FieldSource = FieldSource(extension="spread", header="x-spread")
    first: FieldSource = FieldSource(extension="first", header="x-first")
    deadline_ms: FieldSource = FieldSource(extension="deadline-ms", header="x-deadline-ms")


class ServerLimits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bytes, counts and seconds."""

    connections: int = 256
    handshake: float = 5.0  # s that a new connection has to speak
    streams: int = 256  # questions of one connection at once
    questions: int = 2000  # undecided over all connections; more are turned away at once
    message: int = 64 << 10
    metadata: int = 16 << 10
    kept: int = 20_000  # permissions remembered for a repeated question
    ping_strikes: int = 2  # of a caller that pings more often than `ping_interval`
    ping_interval: float = 10.0
    idle: float = 300.0
    drain: float = 3.0  # that open questions have at an orderly end


class AuthzFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`longest_ms`: what a question waits for at most; also where neither it nor gRPC names a deadline."""

    listen: str
    tls: Tls | None = None
    askers: tuple[Caller, ...] = ()
    mapping: RequestMapping = RequestMapping()
    bounds: ServerLimits = ServerLimits()
    longest_ms: float = 2000.0
    reflection: bool = True

    def check(self) -> tuple[str, int]:
        """The address. Raises `AuthzError`."""
        host, found, port = self.listen.rpartition(":")
        try:
            at = ipaddress.ip_address(host.strip("[]"))
            number = int(port) if found else -1
        except ValueError:
            number, at = -1, ipaddress.ip_address("127.0.0.1")
        if not 0 <= number < 65536:
            raise AuthzError(f"authz.listen: {self.listen!r} is not an address like 127.0.0.1:9191")
        if not at.is_loopback and (self.tls is None or not self.tls.ca):
            raise AuthzError("authz: off loopback the door needs [authz.tls] with a ca for its callers")
        if not self.askers:
            raise AuthzError("authz: no [[authz.askers]]: nobody could ask")
        for asker in self.askers:
            for account in asker.accounts:
                if account != "*" and not re.fullmatch(r"[0-9a-f]{16}", account):
                    raise AuthzError(f"authz.askers: {account!r} is neither 16 hex digits nor '*'")
            if asker.subject and (self.tls is None or not self.tls.ca):
                raise AuthzError("authz.askers: a subject is known with [authz.tls] and its ca only")
        for name in RequestMapping.__struct_fields__:
            self._check_field(name, getattr(self.mapping, name))
        b = self.bounds
        if min(self.longest_ms, b.connections, b.handshake, b.streams, b.questions, b.message) <= 0:
            raise AuthzError("authz: bounds and longest_ms are above 0")
        return str(at), number

    @staticmethod
    def _check_field(name: str, field: FieldSource) -> None:
        if field == FieldSource():
            raise AuthzError(f"authz.mapping.{name}: none of {', '.join(SOURCES)} is given")
        if field.header and not HEADER.fullmatch(field.header):
            raise AuthzError(f"authz.mapping.{name}: {field.header!r} is no header's name in lower case")
        if field.path:
            try:
                groups = re.compile(field.path).groups
            except re.error as error:
                raise AuthzError(f"authz.mapping.{name}: {error}") from None
            if groups != 1:
                raise AuthzError(f"authz.mapping.{name}: the pattern over the path has one group, not {groups}")


def read_tls_files(part: Tls, folder: Path) -> tuple[bytes, bytes, bytes | None]:
    """Key, certificate chain, and the callers' authority. Raises `AuthzError`."""
    try:
        key, chain = (folder / part.key).read_bytes(), (folder / part.certificate).read_bytes()
        return key, chain, (folder / part.ca).read_bytes() if part.ca else None
    except OSError as error:
        raise AuthzError(f"authz.tls: {error.filename}: {error.strerror}") from None
