"""Reads the agent's file and the group's file strictly: every error is one line for the operator."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from elderlock.control.files import read_toml
from elderlock.rollout.disruption_budget import DisruptionBudget

if TYPE_CHECKING:  # only the agent needs it: commands that read only the group's file do not wait for the import
    from elderlock.fleet.supervision.supervisor import Policy

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAXIMUM_LEASED_WORKERS = 64
MAXIMUM_VOTERS = 5  # a majority of five survives the loss of two; more voters make each permit slower and no safer
MAXIMUM_SOCKET_PATH_BYTES = 100  # the kernel's limit is 107
MAXIMUM_PORT = 65535
MS_PER_S = 1000


class FileError(Exception):
    """A file cannot be used; the text is one line for the operator."""


class TlsPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A section with the paths of PEM files.

    Attributes:
        certificate: The own certificate.
        key: The own private key.
        ca: The authority that signs the peer's certificates.
    """

    certificate: str
    key: str
    ca: str


class AgentPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The `[agent]` section of the agent's file.

    Attributes:
        name: The name of the agent.
        listen: The address that the agent listens on.
        state: The folder for the agent's state (mode 0700), used by no other program.
        tokens: The file with the tokens that the agent accepts.
        group: The group's file; needed to talk to other agents.
        peer_token: The file with the token for other agents; needed to talk to other agents.
        tls: The certificates; needed unless the agent listens on loopback.
    """

    name: str
    listen: str
    state: str
    tokens: str
    group: str = ""
    peer_token: str = ""
    tls: TlsPart | None = None


class LimiterPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A `[[limiter]]` section of the agent's file.

    Attributes:
        name: The name of the limiter.
        command: The command that starts it.
        config: Its configuration file, which `PROXY_CONFIG` is set to.
        directory: Its working directory.
        control: Its control socket; empty for the default path.
        authz: A TOML file with an `[authz]` section for the limiter's own gRPC endpoint; empty for none.
        start: Whether the limiter is started before an operator has ordered anything.
    """

    name: str
    command: tuple[str, ...]
    config: str
    directory: str = "."
    control: str = ""
    authz: str = ""
    start: bool = True


class SupervisePart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The `[supervise]` section of the agent's file. See `supervisor.Policy`, which has the same settings in ms.

    Attributes:
        first_backoff_s: The backoff before the first restart.
        maximum_backoff_s: The longest backoff.
        backoff_reset_s: How long a process has to run for the next backoff to be the first again.
        maximum_exits: How many exits within `exit_window_s` end the restarts.
        exit_window_s: The time within which exits are counted.
        stop_timeout_s: The time from the request to stop to SIGKILL.
    """

    first_backoff_s: float = msgspec.field(name="first_backoff", default=0.2)
    maximum_backoff_s: float = msgspec.field(name="most_backoff", default=30.0)
    backoff_reset_s: float = msgspec.field(name="steady", default=10.0)
    maximum_exits: int = msgspec.field(name="crashes", default=5)
    exit_window_s: float = msgspec.field(name="window", default=60.0)
    stop_timeout_s: float = msgspec.field(name="stop_within", default=6.0)


class LendPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The `[lend]` section of the agent's file.

    Attributes:
        workers: How many load generator workers this machine leases to operators at the same time.
    """

    workers: int = 0


class VersionsPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The `[versions]` section of the agent's file.

    Attributes:
        folder: The folder of the versions, each in a folder of its name with a `version.toml`.
    """

    folder: str = "versions"


class AgentFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The agent's file.

    Attributes:
        agent: The agent.
        limiter: The limiters.
        authz: The settings of the agent's own gRPC endpoint, which the `authz` package checks.
        supervise: The settings of the supervisor.
        lend: How many load generator workers the machine leases.
        versions: Where versions are; None where there are none.
    """

    agent: AgentPart
    limiter: tuple[LimiterPart, ...] = ()
    authz: dict[str, Any] | None = None
    supervise: SupervisePart = SupervisePart()
    lend: LendPart = LendPart()
    versions: VersionsPart | None = None

    def policy(self) -> Policy:
        """Return the settings for a supervisor."""
        from elderlock.fleet.supervision.supervisor import Policy

        supervise = self.supervise
        return Policy(
            MS_PER_S * supervise.first_backoff_s,
            MS_PER_S * supervise.maximum_backoff_s,
            MS_PER_S * supervise.backoff_reset_s,
            supervise.maximum_exits,
            MS_PER_S * supervise.exit_window_s,
            MS_PER_S * supervise.stop_timeout_s,
        )


class MemberPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An `[[agent]]` section of the group's file.

    Attributes:
        name: The name of the agent.
        address: The address that the agent listens on.
        zone: The zone of its machine, for a budget by zone.
    """

    name: str
    address: str
    zone: str = msgspec.field(name="floor", default="")


class GroupPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The `[group]` section of the group's file.

    Attributes:
        token: A file that holds the token of the operators' commands.
        tls: The certificates of the operators' commands and of agents that call other agents.
    """

    token: str = ""
    tls: TlsPart | None = None


class GroupFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The group's file.

    Attributes:
        group: How to call the agents.
        agent: The agents.
        budget: What may be out of service at the same time; has to be the same in the files of all agents. With a
            budget, drains need permits that a majority of the voters grants.
    """

    group: GroupPart = GroupPart()
    agent: tuple[MemberPart, ...] = ()
    budget: DisruptionBudget | None = None

    def voters(self) -> tuple[str, ...]:
        """Return the names of the agents that vote: the first `MAXIMUM_VOTERS`."""
        return tuple(member.name for member in self.agent[:MAXIMUM_VOTERS])


def address(text: str) -> tuple[str, int]:
    """Parse `host:port`, where the host is an IP address: no name is looked up.

    Raises:
        ValueError: The text is not such an address.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAXIMUM_PORT:
        raise ValueError(f"{text!r} is not an address like 127.0.0.1:7440")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def is_loopback(host: str) -> bool:
    """Return whether an IP address is a loopback address."""
    return ipaddress.ip_address(host).is_loopback


def _check_names(path: Path, kind: str, names: list[str]) -> None:
    for name in names:
        if not NAME.fullmatch(name):
            raise FileError(f"{path}: {name!r} is no name for {kind}: letters, digits, '.', '_', '-'")
    duplicates = {name for name in names if names.count(name) > 1}
    if duplicates:
        raise FileError(f"{path}: {kind} {sorted(duplicates)[0]} is listed twice")


def read_agent(path: Path) -> AgentFile:
    """Read an agent's file. Relative paths in it start at the file's folder.

    Raises:
        FileError: The file cannot be used.
    """
    file = read_toml(path, AgentFile, FileError)
    _check_names(path, "agent", [file.agent.name])
    _check_names(path, "limiter", [limiter.name for limiter in file.limiter])
    try:
        host, _ = address(file.agent.listen)
    except ValueError as error:
        raise FileError(f"{path}: agent.listen: {error}") from None
    if not is_loopback(host) and file.agent.tls is None:
        raise FileError(f"{path}: {host} is not loopback: the agent listens there with [agent.tls] only")
    if bool(file.agent.group) != bool(file.agent.peer_token):
        raise FileError(f"{path}: agent.group and agent.peer_token have to be set together")
    folder = path.resolve().parent
    for limiter in file.limiter:
        if not limiter.command:
            raise FileError(f"{path}: limiter {limiter.name} has no command")
        control = control_path(folder, file, limiter)
        if len(str(control).encode()) > MAXIMUM_SOCKET_PATH_BYTES:
            raise FileError(f"{path}: {control} is too long for a socket, {MAXIMUM_SOCKET_PATH_BYTES} bytes at most")
    supervise = file.supervise
    shortest_s = min(supervise.first_backoff_s, supervise.stop_timeout_s, supervise.exit_window_s)
    if shortest_s <= 0 or supervise.maximum_exits < 1:
        raise FileError(f"{path}: [supervise] needs times above 0 and at least one crash")
    if not 0 <= file.lend.workers <= MAXIMUM_LEASED_WORKERS:
        raise FileError(f"{path}: [lend] workers must be between 0 and {MAXIMUM_LEASED_WORKERS}")
    return file


def control_path(folder: Path, file: AgentFile, limiter: LimiterPart) -> Path:
    """Return the path of a limiter's control socket.

    Args:
        folder: The folder of the agent's file.
        file: The agent's file.
        limiter: The limiter's section in it.
    """
    return folder / (limiter.control or f"{file.agent.state}/{limiter.name}/control.sock")


def read_group(path: Path) -> GroupFile:
    """Read a group's file. Relative paths in it start at the file's folder.

    Raises:
        FileError: The file cannot be used.
    """
    file = read_toml(path, GroupFile, FileError)
    if not file.agent:
        raise FileError(f"{path}: no [[agent]] is listed")
    _check_names(path, "agent", [agent.name for agent in file.agent])
    if file.budget is not None and (budget_error := file.budget.validation_error()):
        raise FileError(f"{path}: [budget]: {budget_error}")
    for agent in file.agent:
        try:
            host, _ = address(agent.address)
        except ValueError as error:
            raise FileError(f"{path}: agent {agent.name}: {error}") from None
        if not is_loopback(host) and file.group.tls is None:
            raise FileError(f"{path}: agent {agent.name} is not on loopback and needs [group.tls]")
    return file
