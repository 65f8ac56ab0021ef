"""The agent's file and the group's, read strictly: whatever is wrong comes out as one plain line."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from elderlock.control.files import read_toml
from elderlock.rollout.disruption_budget import DisruptionBudget

if TYPE_CHECKING:  # of the agent alone: commands that only read the group's file do not wait for it
    from elderlock.fleet.supervision.supervisor import Policy

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MOST_LENT = 64
MOST_VOTERS = 5  # a majority of five outlives two; more would make each permit slower and no safer
LONGEST_SOCKET = 100  # bytes of a Unix socket's path; the kernel takes 107


class FileError(Exception):
    """A file cannot be used; the text is one plain line for the operator."""


class TlsPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """PEM files. `ca` signs the other side's certificates."""

    certificate: str
    key: str
    ca: str


class AgentPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`state` is a directory of the agent's own (mode 0700); `tokens` its file of tokens; `group` and
    `peer_token` are needed to talk to other agents."""

    name: str
    listen: str
    state: str
    tokens: str
    group: str = ""
    peer_token: str = ""
    tls: TlsPart | None = None


class LimiterPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`config` is the file that PROXY_CONFIG shall name. `control`: a socket of the operators' choice.
    `authz`: a TOML file with an `[authz]` part, for the limiter's own gRPC door."""

    name: str
    command: tuple[str, ...]
    config: str
    directory: str = "."
    control: str = ""
    authz: str = ""
    start: bool = True


class SupervisePart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Seconds, and a count of exits."""

    first_backoff: float = 0.2
    most_backoff: float = 30.0
    steady: float = 10.0
    crashes: int = 5
    window: float = 60.0
    stop_within: float = 6.0


class LendPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many workers of the load generator this machine lends to operators at once; none unless it says so."""

    workers: int = 0


class VersionsPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`folder`: where versions of limiters lie side by side, each in a folder of its name with a `version.toml`."""

    folder: str = "versions"


class AgentFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`authz`: the agent's own door for questions, checked by the room that it switches on."""

    agent: AgentPart
    limiter: tuple[LimiterPart, ...] = ()
    authz: dict[str, Any] | None = None
    supervise: SupervisePart = SupervisePart()
    lend: LendPart = LendPart()
    versions: VersionsPart | None = None

    def policy(self) -> Policy:
        from elderlock.fleet.supervision.supervisor import Policy

        s = self.supervise
        return Policy(
            1000 * s.first_backoff,
            1000 * s.most_backoff,
            1000 * s.steady,
            s.crashes,
            1000 * s.window,
            1000 * s.stop_within,
        )


class MemberPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`zone`: where its machine stands, for a budget by floor."""

    name: str
    address: str
    zone: str = msgspec.field(name="floor", default="")


class GroupPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`token`: a file with the token alone, for whoever asks with this file."""

    token: str = ""
    tls: TlsPart | None = None


class GroupFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`budget`: what may be out at once, alike in the files of all agents. With it, drains need permits that a majority
    of the voters grants: the first five agents, or as many as there are."""

    group: GroupPart = GroupPart()
    agent: tuple[MemberPart, ...] = ()
    budget: DisruptionBudget | None = None

    def voters(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.agent[:MOST_VOTERS])


def address(text: str) -> tuple[str, int]:
    """`host:port`, the host an IP address: no name is looked up. Raises `ValueError`."""
    host, found, port = text.rpartition(":")
    if not found or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
        raise ValueError(f"{text!r} is not an address like 127.0.0.1:7440")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def is_loopback(host: str) -> bool:
    return ipaddress.ip_address(host).is_loopback


def _names(path: Path, what: str, names: list[str]) -> None:
    for name in names:
        if not NAME.fullmatch(name):
            raise FileError(f"{path}: {name!r} is no name for {what}: letters, digits, '.', '_', '-'")
    double = {name for name in names if names.count(name) > 1}
    if double:
        raise FileError(f"{path}: {what} {sorted(double)[0]} stands there twice")


def read_agent(path: Path) -> AgentFile:
    """Paths in it count from the file's own folder. Raises `FileError`."""
    file = read_toml(path, AgentFile, FileError)
    _names(path, "agent", [file.agent.name])
    _names(path, "limiter", [limiter.name for limiter in file.limiter])
    try:
        host, _ = address(file.agent.listen)
    except ValueError as error:
        raise FileError(f"{path}: agent.listen: {error}") from None
    if not is_loopback(host) and file.agent.tls is None:
        raise FileError(f"{path}: {host} is not loopback: the agent listens there with [agent.tls] only")
    if bool(file.agent.group) != bool(file.agent.peer_token):
        raise FileError(f"{path}: agent.group and agent.peer_token go together")
    folder = path.resolve().parent
    for limiter in file.limiter:
        if not limiter.command:
            raise FileError(f"{path}: limiter {limiter.name} has no command")
        control = control_path(folder, file, limiter)
        if len(str(control).encode()) > LONGEST_SOCKET:
            raise FileError(f"{path}: {control} is too long for a socket, {LONGEST_SOCKET} bytes at most")
    supervise = file.supervise
    if min(supervise.first_backoff, supervise.stop_within, supervise.window) <= 0 or supervise.crashes < 1:
        raise FileError(f"{path}: [supervise] needs times above 0 and one crash at least")
    if not 0 <= file.lend.workers <= MOST_LENT:
        raise FileError(f"{path}: [lend] workers lies between 0 and {MOST_LENT}")
    return file


def control_path(folder: Path, file: AgentFile, limiter: LimiterPart) -> Path:
    return folder / (limiter.control or f"{file.agent.state}/{limiter.name}/control.sock")


def read_group(path: Path) -> GroupFile:
    """Raises `FileError`."""
    file = read_toml(path, GroupFile, FileError)
    if not file.agent:
        raise FileError(f"{path}: no [[agent]] is named")
    _names(path, "agent", [agent.name for agent in file.agent])
    if file.budget is not None and (trouble := file.budget.validation_error()):
        raise FileError(f"{path}: [budget]: {trouble}")
    for agent in file.agent:
        try:
            host, _ = address(agent.address)
        except ValueError as error:
            raise FileError(f"{path}: agent {agent.name}: {error}") from None
        if not is_loopback(host) and file.group.tls is None:
            raise FileError(f"{path}: agent {agent.name} is off loopback and needs [group.tls]")
    return file
