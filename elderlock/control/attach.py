"""Opens a limiter's control socket as its operators' file configures it. Loaded only if there is such a file."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Annotated, Any

import msgspec

from elderlock import interface as api
from elderlock.control import messages
from elderlock.control.command_authority import CommandAuthority, Session
from elderlock.control.files import read_toml
from elderlock.control.limiter_status import LimiterParts, LimiterStatus, OptionalStatus, config_digests
from elderlock.control.records import Record
from elderlock.control.transport import Connection, ConnectionLimits, FrameServer
from elderlock.decisions.context import MS_PER_SECOND
from elderlock.net.config import ConfigError

MAXIMUM_CONNECTIONS = 16  # the agent uses one; the others are for operators who read the state
MINIMUM_SUBSET = 8  # servers; in a smaller subset a single slow server would take a large part of the requests
STOP_DELAY_S = 0.05  # time to send the answer to a stop before the process exits
log = logging.getLogger(__name__)


class ControlOptions(msgspec.Struct, forbid_unknown_fields=True):
    """`[control]` of the operators' file.

    Attributes:
        socket: The path of the control socket.
        records: The path of a file with the drain records to apply before the first request. The limiter's agent writes
            it before each start. Empty for none.
    """

    socket: str
    records: str = ""


class RoutingOptions(msgspec.Struct, forbid_unknown_fields=True):
    """`[routing]` of the operators' file, which should be the same at all limiters of a group.

    Attributes:
        subset: How many servers each limiter uses; 0 for all.
        away_ms: Latency penalty in ms that is added for servers in another zone.
    """

    subset: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    away_ms: Annotated[float, msgspec.Meta(ge=0.0, le=60_000.0)] = 0.0

    def to_routing(self, settings: api.Settings) -> api.Routing:
        """Return the routing for a limiter with these settings.

        Raises:
            ConfigError: The subset is too small.
        """
        if 0 < self.subset < MINIMUM_SUBSET:
            raise ConfigError(f"[routing] subset is {self.subset}: use 0 for all servers, or at least {MINIMUM_SUBSET}")
        objectives_ms = (request_class.latency_objective_ms for request_class in settings.request_classes)
        return api.Routing(self.subset, self.away_ms / min(objectives_ms, default=MS_PER_SECOND))


class SharedOptions(msgspec.Struct, forbid_unknown_fields=True):
    """`[shared]` of the operators' file: data that limiters exchange in addition to quotas.

    Attributes:
        evidence: Whether they share health evidence on servers.
        ceilings: Whether they exchange parts of hard ceilings by demand.
    """

    evidence: bool = False
    ceilings: bool = False


class OperatorsFile(msgspec.Struct, forbid_unknown_fields=True):
    """The operators' file. `authz` and `quota` are validated by the packages that they enable."""

    control: ControlOptions | None = None
    routing: RoutingOptions | None = None
    authz: dict[str, Any] | None = None
    quota: dict[str, Any] | None = None
    shared: SharedOptions | None = None


def read_operators_file(path: Path) -> OperatorsFile:
    """Read the operators' file.

    Raises:
        ConfigError: It cannot be read or is invalid; the text is a single line.
    """
    return read_toml(path, OperatorsFile, ConfigError)


def read_records_file(path: Path) -> tuple[Record, ...]:
    """Read a file of drain records; a missing file counts as empty.

    Raises:
        ConfigError: It cannot be read. A limiter that started without these drains would send requests to servers that
            an operator took out of service.
    """
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=tuple[Record, ...])
    except FileNotFoundError:
        return ()
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"{path}: the drain records cannot be read: {error}") from None


def build_version() -> str:
    """Return the version of this program; `source` for a checkout that is not installed."""
    try:
        return version("elderlock")
    except PackageNotFoundError:
        return "source"


class ControlSocket:
    """The control socket of a running limiter.

    Attributes:
        path: The path of the socket.
    """

    def __init__(self, authority: CommandAuthority, path: Path, now_unix_ms: Callable[[], float]) -> None:
        """Initialise a socket that does not listen yet.

        Args:
            authority: Answers the messages.
            path: The path of the socket.
            now_unix_ms: Returns the Unix time in ms from a clock that never steps back. A step back would report a
                drain as earlier than it was, and extend a claim that should have lapsed.
        """
        self._authority = authority
        self.path = path
        self._now_unix_ms = now_unix_ms
        limits = ConnectionLimits(
            maximum_message_bytes=messages.MAXIMUM_MESSAGE_BYTES,
            maximum_hello_bytes=messages.MAXIMUM_HELLO_BYTES,
            maximum_connections=MAXIMUM_CONNECTIONS,
        )
        self._server: FrameServer[Session] = FrameServer(
            limits, Session, self._handle, lambda text: messages.encode_message(messages.Refused("bad-message", text))
        )

    async def listen(self) -> None:
        """Bind the socket and listen on it.

        Raises:
            OSError: The socket cannot be bound.
        """
        await self._server.listen_unix(self.path)

    def _handle(self, connection: Connection[Session], body: bytes) -> None:
        try:
            message = messages.decode_request(body)
        except msgspec.DecodeError as error:
            connection.send(messages.encode_message(messages.Refused("unknown-message", str(error))), last=True)
            return
        answer = self._authority.handle(connection.session, message, self._now_unix_ms())
        if isinstance(answer, messages.Welcome):
            connection.on_identified()
        is_rejected = isinstance(answer, messages.Refused) and not connection.session.is_greeted
        connection.send(messages.encode_message(answer), last=is_rejected)

    def close(self) -> None:
        """Stop listening and remove the socket."""
        self._server.close()
        self.path.unlink(missing_ok=True)


async def attach_control_socket(
    options: ControlOptions, config_path: str, running: LimiterParts, optional: OptionalStatus
) -> ControlSocket:
    """Open the control socket of a limiter.

    This has to happen before the gateway starts, so that no endpoint list is applied without the drains.

    Args:
        options: `[control]` of the operators' file.
        config_path: The path of the limiter's configuration.
        running: The parts of the limiter.
        optional: The status of optional features.

    Raises:
        ConfigError: The file of drain records cannot be read.
        OSError: The socket cannot be bound.
    """
    records = read_records_file(Path(options.records)) if options.records else ()
    status = LimiterStatus(_with_delayed_stop(running), build_version(), config_digests(config_path), optional)
    running.gateway.set_observer(status)
    authority = CommandAuthority(status, records)
    status.read_records = lambda: (tuple(authority.records), authority.records.digest())
    status.read_owner = lambda: (authority.owner, authority.owner_epoch)
    control = ControlSocket(authority, Path(options.socket), running.gateway.now_ms)
    await control.listen()
    log.info("control socket at %s, %d drain records", control.path, len(authority.records))
    return control


def _with_delayed_stop(running: LimiterParts) -> LimiterParts:
    """Return the same parts with a delayed `stop`, so that the answer to the stop request is sent first."""
    loop = asyncio.get_running_loop()

    def stop_soon() -> None:
        loop.call_later(STOP_DELAY_S, running.stop)

    return dataclasses.replace(running, stop=stop_soon)
