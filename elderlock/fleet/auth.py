"""Authentication and authorisation: tokens, roles and mutual TLS.

Files with secrets are read only if no other user can read them. Tokens are never logged.
"""

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
    import ssl  # imported at run time only where TLS is used: it takes a tenth of the start of a command

ROLES: tuple[Role, ...] = ("viewer", "operator", "agent")
MINIMUM_TOKEN_LENGTH = 16
OTHERS_MODE_MASK = 0o077  # the permission bits of the group and of other users
ALLOWED_MESSAGES: dict[str, frozenset[str]] = {  # the tags of the messages that each role may send
    "viewer": frozenset({"show", "progress", "audit", "standing", "plans"}),
    "operator": frozenset(
        {"show", "progress", "audit", "intend", "order", "lend", "ask", "standing", "begin", "steer", "plans"}
    ),
    "agent": frozenset({"exchange", "progress", "prepare", "accept", "recall", "plans"}),
}


class Identity(msgspec.Struct, frozen=True):
    """The caller that a token belongs to.

    Attributes:
        name: The name of the operator or agent.
        role: Its role.
    """

    name: str
    role: Role


def _read_private(path: Path) -> str:
    """Return the text of a file that this user owns and no other user can read.

    Raises:
        FileError: Another user owns the file or can read it, or it cannot be read.
    """
    try:
        status = path.stat()
        mode = stat.S_IMODE(status.st_mode)
        if status.st_uid != os.geteuid() or mode & OTHERS_MODE_MASK:
            raise FileError(f"{path}: others can read it (mode {mode:04o}); chmod 600 and own it")
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise FileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FileError(f"{path}: not UTF-8 text") from None


def read_token(path: Path) -> str:
    """Read a file that holds one token.

    Raises:
        FileError: The file cannot be used.
    """
    token = _read_private(path).strip()
    if len(token) < MINIMUM_TOKEN_LENGTH or any(character.isspace() for character in token):
        raise FileError(f"{path}: a token needs at least {MINIMUM_TOKEN_LENGTH} characters and no spaces")
    return token


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


class Tokens:
    """The tokens that an agent accepts, stored as digests so that printing this object shows none."""

    def __init__(self, entries: list[tuple[bytes, Identity]]) -> None:
        """Make a list of tokens from their digests and identities."""
        self._entries = entries

    @classmethod
    def read(cls, path: Path) -> Tokens:
        """Read a file of tokens: lines of `role name token`, and comments that begin with `#`.

        Raises:
            FileError: The file cannot be used; the text contains no token.
        """
        entries, names = [], set()
        for number, line in enumerate(_read_private(path).splitlines(), 1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            words = line.split()
            if len(words) != 3 or words[0] not in ROLES or not NAME.fullmatch(words[1]):
                raise FileError(f"{path}: line {number} is not 'role name token', roles {', '.join(ROLES)}")
            role, name, token = words
            if len(token) < MINIMUM_TOKEN_LENGTH:
                raise FileError(f"{path}: line {number}: a token needs at least {MINIMUM_TOKEN_LENGTH} characters")
            if name in names:
                raise FileError(f"{path}: line {number}: {name} has a token already")
            names.add(name)
            entries.append((_digest(token), Identity(name, cast(Role, role))))
        if not entries:
            raise FileError(f"{path}: it contains no token")
        return cls(entries)

    def identify(self, token: str) -> Identity | None:
        """Return the identity that a token belongs to; None if it belongs to none.

        All entries are compared, each in constant time, so that the duration reveals nothing about the tokens.
        """
        token_digest, found_identity = _digest(token), None
        for digest, identity in self._entries:
            if hmac.compare_digest(digest, token_digest):
                found_identity = identity
        return found_identity


def server_tls(part: TlsPart, folder: Path) -> ssl.SSLContext:
    """Return the TLS context of a server that requires a certificate of each client.

    Args:
        part: The paths of the certificates.
        folder: The folder that relative paths start at.

    Raises:
        FileError: A file cannot be used.
    """
    import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load(context, part, folder)


def client_tls(part: TlsPart, folder: Path) -> ssl.SSLContext:
    """Return the TLS context of a client that trusts only the group's authority and checks the server's address.

    Args:
        part: The paths of the certificates.
        folder: The folder that relative paths start at.

    Raises:
        FileError: A file cannot be used.
    """
    import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return _load(context, part, folder)


def _load(context: ssl.SSLContext, part: TlsPart, folder: Path) -> ssl.SSLContext:
    import ssl

    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        _read_private(folder / part.key)
        context.load_cert_chain(folder / part.certificate, folder / part.key)
        context.load_verify_locations(folder / part.ca)
    except (OSError, ssl.SSLError) as error:
        raise FileError(f"tls: {part.certificate}, {part.key}, {part.ca}: {error}") from None
    return context
