"""Who may do what: tokens from files whose mode is checked, roles, mutual TLS. Tokens are never logged."""

from __future__ import annotations

import hashlib
import hmac
import os
import stat
from pathlib import Path
from typing import TYPE_CHECKING, cast

import msgspec

from elderlock.fleet.config import NAME, FileError, TlsPart
from elderlock.fleet.messages import Role

if TYPE_CHECKING:
    import ssl  # loaded where there is TLS alone: it is a tenth of the command's start

ROLES: tuple[Role, ...] = ("viewer", "operator", "agent")
SHORTEST = 16  # characters
ALLOWED_MESSAGES: dict[str, frozenset[str]] = {
    "viewer": frozenset({"show", "progress", "audit", "standing", "plans"}),
    "operator": frozenset(
        {"show", "progress", "audit", "intend", "order", "lend", "ask", "standing", "begin", "steer", "plans"}
    ),
    "agent": frozenset({"exchange", "progress", "prepare", "accept", "recall", "plans"}),
}


class Identity(msgspec.Struct, frozen=True):
    name: str
    role: Role


def _private(path: Path) -> str:
    """The text of a file that only its owner, who is us, can read. Raises `FileError`."""
    try:
        about = path.stat()
        mode = stat.S_IMODE(about.st_mode)
        if about.st_uid != os.geteuid() or mode & 0o077:
            raise FileError(f"{path}: others can read it (mode {mode:04o}); chmod 600 and own it")
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise FileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FileError(f"{path}: not plain text") from None


def read_token(path: Path) -> str:
    token = _private(path).strip()
    if len(token) < SHORTEST or any(c.isspace() for c in token):
        raise FileError(f"{path}: a token has {SHORTEST} characters at least and no spaces")
    return token


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


class Tokens:
    """The tokens of an agent, held as digests: nothing that prints this object shows one."""

    def __init__(self, entries: list[tuple[bytes, Identity]]) -> None:
        self._entries = entries

    @classmethod
    def read(cls, path: Path) -> Tokens:
        """Lines of `role name token`; `#` begins a comment. Raises `FileError`, without the token."""
        entries, names = [], set()
        for number, line in enumerate(_private(path).splitlines(), 1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            parts = line.split()
            if len(parts) != 3 or parts[0] not in ROLES or not NAME.fullmatch(parts[1]):
                raise FileError(f"{path}: line {number} is not 'role name token', roles {', '.join(ROLES)}")
            if len(parts[2]) < SHORTEST:
                raise FileError(f"{path}: line {number}: a token has {SHORTEST} characters at least")
            if parts[1] in names:
                raise FileError(f"{path}: line {number}: {parts[1]} has a token already")
            names.add(parts[1])
            entries.append((_digest(parts[2]), Identity(parts[1], cast(Role, parts[0]))))
        if not entries:
            raise FileError(f"{path}: no token in it")
        return cls(entries)

    def identify(self, token: str) -> Identity | None:
        """Looks at every entry, each in constant time: how long it takes tells nothing."""
        given, found = _digest(token), None
        for digest, identity in self._entries:
            if hmac.compare_digest(digest, given):
                found = identity
        return found


def server_tls(part: TlsPart, folder: Path) -> ssl.SSLContext:
    """Wants a certificate of each client. Raises `FileError`."""
    import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load(context, part, folder)


def client_tls(part: TlsPart, folder: Path) -> ssl.SSLContext:
    """Trusts the group's own authority alone, and the address that its certificates name."""
    import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return _load(context, part, folder)


def _load(context: ssl.SSLContext, part: TlsPart, folder: Path) -> ssl.SSLContext:
    import ssl

    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        _private(folder / part.key)
        context.load_cert_chain(folder / part.certificate, folder / part.key)
        context.load_verify_locations(folder / part.ca)
    except (OSError, ssl.SSLError) as error:
        raise FileError(f"tls: {part.certificate}, {part.key}, {part.ca}: {error}") from None
    return context
