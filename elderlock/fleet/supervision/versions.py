"""The versions of limiters and agents on an agent's disk, each described by `FOLDER/NAME/version.toml`.

A version file says what differs from the limiter's section in the agent's file: the command, the working directory or
the configuration file. In its values `{limiter}` is replaced by the name of the limiter, `{agent}` by that of the agent
and `{version}` by the folder of the version.
"""

from __future__ import annotations

import hashlib
from pathlib import Path

import msgspec

from elderlock.control.files import read_toml
from elderlock.fleet.config import NAME, AgentFile, FileError, LimiterPart

DIGEST_LENGTH = 16


class VersionFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A version file. An empty value stands for the one in the agent's file.

    Attributes:
        command: The command of the limiter.
        directory: The working directory of the limiter, relative to the folder of the agent's file.
        config: The configuration file of the limiter, relative to the folder of the agent's file.
        agent: The command with which a launcher starts the agent, without the argument for the agent's file.
    """

    command: tuple[str, ...] = ()
    directory: str = ""
    config: str = ""
    agent: tuple[str, ...] = ()


class Launch(msgspec.Struct, frozen=True):
    """How to start a limiter.

    Attributes:
        command: The command line.
        directory: The working directory.
        config: The configuration file.
    """

    command: tuple[str, ...]
    directory: str
    config: str


class Versions:
    """The version folders of an agent."""

    def __init__(self, folder: Path, file: AgentFile) -> None:
        """Make a reader of the version folders.

        Args:
            folder: The folder of the agent's file, which paths in the file are relative to.
            file: The agent's file.
        """
        self._folder = folder / file.versions.folder if file.versions is not None else None

    def launch(self, part: LimiterPart, version: str) -> Launch:
        """Return how a limiter is started.

        Args:
            part: The limiter's section in the agent's file.
            version: The version; empty for the one in the agent's file.

        Raises:
            FileError: The version cannot be used.
        """
        if not version:
            return Launch(part.command, part.directory, part.config)
        file, version_folder = self._read(version)

        def fill_in(text: str) -> str:
            return text.replace("{limiter}", part.name).replace("{version}", str(version_folder))

        return Launch(
            tuple(fill_in(word) for word in file.command) or part.command,
            fill_in(file.directory) or part.directory,
            fill_in(file.config) or part.config,
        )

    def agent(self, version: str, name: str) -> tuple[str, ...]:
        """Return the command that starts an agent on a version.

        Args:
            version: The version; empty for the launcher's own, whose command is empty.
            name: The name of the agent.

        Raises:
            FileError: The version cannot be used.
        """
        if not version:
            return ()
        file, version_folder = self._read(version)
        if not file.agent:
            raise FileError(f"{version_folder / 'version.toml'}: it has no `agent` command")
        return tuple(word.replace("{agent}", name).replace("{version}", str(version_folder)) for word in file.agent)

    def _read(self, version: str) -> tuple[VersionFile, Path]:
        if self._folder is None:
            raise FileError("this agent's file has no [versions]")
        if not NAME.fullmatch(version):
            raise FileError(f"{version!r} is no name for a version: letters, digits, '.', '_', '-'")
        version_folder = self._folder / version
        file = read_toml(version_folder / "version.toml", VersionFile, FileError)
        if not (file.command or file.directory or file.config or file.agent):
            raise FileError(f"{version_folder / 'version.toml'}: it has neither command, directory, config nor agent")
        return file, version_folder

    def digests(self) -> tuple[tuple[str, str], ...]:
        """Return the name and digest of each version that can be used."""
        digests = []
        for path in sorted(self._folder.glob("*/version.toml")) if self._folder is not None else ():
            try:
                self._read(path.parent.name)
                digests.append((path.parent.name, hashlib.sha256(path.read_bytes()).hexdigest()[:DIGEST_LENGTH]))
            except (FileError, OSError):
                continue
        return tuple(digests)
