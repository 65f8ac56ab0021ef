"""Versions of limiters that lie side by side on an agent's disk: `FOLDER/NAME/version.toml`.

A version says what differs from the limiter's part in the agent's file: its command, its directory, its configuration.
`{limiter}` in it stands for the limiter's name, `{agent}` for the agent's and `{version}` for the version's own folder.
"""

from __future__ import annotations

import hashlib
from pathlib import Path

import msgspec

from elderlock.control.files import read_toml
from elderlock.fleet.config import NAME, AgentFile, FileError, LimiterPart


class VersionFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What is empty is as in the agent's file. Paths count from the agent's folder."""

    command: tuple[str, ...] = ()
    directory: str = ""
    config: str = ""
    agent: tuple[str, ...] = ()  # how a base starts the agent, less the agent's file; empty: as it does by itself


class Launch(msgspec.Struct, frozen=True):
    command: tuple[str, ...]
    directory: str
    config: str


class Versions:
    def __init__(self, folder: Path, file: AgentFile) -> None:
        self._folder = folder / file.versions.folder if file.versions is not None else None

    def launch(self, part: LimiterPart, version: str) -> Launch:
        """How the limiter is started on that version; empty for the one in the agent's file. Raises `FileError`."""
        if not version:
            return Launch(part.command, part.directory, part.config)
        file, here = self._read(version)

        def filled(text: str) -> str:
            return text.replace("{limiter}", part.name).replace("{version}", str(here))

        return Launch(
            tuple(filled(word) for word in file.command) or part.command,
            filled(file.directory) or part.directory,
            filled(file.config) or part.config,
        )

    def agent(self, version: str, name: str) -> tuple[str, ...]:
        """The command that starts the agent of that name on that version; empty for the base's own. Raises
        `FileError`."""
        if not version:
            return ()
        file, here = self._read(version)
        if not file.agent:
            raise FileError(f"{here / 'version.toml'}: it says no agent")
        return tuple(word.replace("{agent}", name).replace("{version}", str(here)) for word in file.agent)

    def _read(self, version: str) -> tuple[VersionFile, Path]:
        if self._folder is None:
            raise FileError("this agent's file has no [versions]")
        if not NAME.fullmatch(version):
            raise FileError(f"{version!r} is no name for a version: letters, digits, '.', '_', '-'")
        here = self._folder / version
        file = read_toml(here / "version.toml", VersionFile, FileError)
        if not (file.command or file.directory or file.config or file.agent):
            raise FileError(f"{here / 'version.toml'}: it says neither command, directory, config nor agent")
        return file, here

    def digests(self) -> tuple[tuple[str, str], ...]:
        """Of all that can be used."""
        found = []
        for path in sorted(self._folder.glob("*/version.toml")) if self._folder is not None else ():
            try:
                self._read(path.parent.name)
                found.append((path.parent.name, hashlib.sha256(path.read_bytes()).hexdigest()[:16]))
            except (FileError, OSError):
                continue
        return tuple(found)
