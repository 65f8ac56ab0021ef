"""Gives a limiter its control socket, as its operators' file says. Loaded only when there is such a file."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from elderlock import interface as api
from elderlock.control import messages as m
from elderlock.control.command_authority import CommandAuthority, Session
from elderlock.control.files import read_toml
from elderlock.control.limiter_status import LimiterStatus, config_digests
from elderlock.control.records import Record
from elderlock.control.transport import Connection, ConnectionLimits, FrameServer
from elderlock.decisions.context import MS_PER_SECOND
from elderlock.net.clients import Clients
from elderlock.net.config import Config, ConfigError
from elderlock.net.gateway import Gateway

if TYPE_CHECKING:
    from elderlock.control.shared import EvidenceView

MAXIMUM_CONNECTIONS = 16  # an agent holds one; the others are for whoever looks on
MINIMUM_SUBSET = 8  # boxes: with fewer, one that is slow is a large part of them
STOP_DELAY_S = 0.05  # s that the answer to a stop has to leave before the program ends
log = logging.getLogger(__name__)


class ControlFile(msgspec.Struct, forbid_unknown_fields=True):
    """`[control]` of the operators' file. `records`: a file of drains that are in force from the first
    request on; its agent writes it before each start."""

    socket: str
    records: str = ""


class RoutingFile(msgspec.Struct, forbid_unknown_fields=True):
    """`[routing]` of the operators' file, alike at all limiters of a group. `subset`: boxes that each limiter holds,
    0 for all. `away_ms`: what leaving the limiter's own floor counts as, in ms of latency."""

    subset: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    away_ms: Annotated[float, msgspec.Meta(ge=0.0, le=60_000.0)] = 0.0

    def to_routing(self, settings: api.Settings) -> api.Routing:
        """Raises `ConfigError`."""
        if 0 < self.subset < MINIMUM_SUBSET:
            raise ConfigError(f"[routing] subset is {self.subset}: 0 for all boxes, or {MINIMUM_SUBSET} at least")
        aim = min((c.latency_objective_ms for c in settings.request_classes), default=MS_PER_SECOND)
        return api.Routing(self.subset, self.away_ms / aim)


class SharedFile(msgspec.Struct, forbid_unknown_fields=True):
    """`[shared]` of the operators' file: what limiters tell one another beside quotas. `evidence`: on servers.
    `ceilings`: parts of hard ceilings go where they are needed."""

    evidence: bool = False
    ceilings: bool = False


class OperatorsFile(msgspec.Struct, forbid_unknown_fields=True):
    """`authz` and `quota` are checked by the rooms that they switch on."""

    control: ControlFile | None = None
    routing: RoutingFile | None = None
    authz: dict[str, Any] | None = None
    quota: dict[str, Any] | None = None
    shared: SharedFile | None = None


def read_operators_file(path: Path) -> OperatorsFile:
    """Raises `ConfigError` with one plain line."""
    return read_toml(path, OperatorsFile, ConfigError)


def read_records_file(path: Path) -> tuple[Record, ...]:
    """A file that is not there holds no drain. One that cannot be read is an error: to start without the
    drains it held would send work to a box that an operator took out."""
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=tuple[Record, ...])
    except FileNotFoundError:
        return ()
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"{path}: the drains in it cannot be read: {error}") from None


def build_version() -> str:
    try:
        return version("elderlock")
    except PackageNotFoundError:  # run from a checkout that is not installed
        return "source"


class ControlSocket:
    """The socket of a limiter that runs. `now`: ms of Unix time that go on evenly: by the machine's clock, a step back
    would tell a drain as earlier than it was, and keep a lease that its owner let lapse."""

    def __init__(self, desk: CommandAuthority, path: Path, now: Callable[[], float]) -> None:
        self._desk, self.path, self._now = desk, path, now
        bounds = ConnectionLimits(
            maximum_message_bytes=m.MAXIMUM_MESSAGE_BYTES,
            maximum_hello_bytes=m.MAXIMUM_HELLO_BYTES,
            maximum_connections=MAXIMUM_CONNECTIONS,
        )
        self._server: FrameServer[Session] = FrameServer(bounds, Session, self._handle, self._broken)

    async def listen(self) -> None:
        await self._server.listen_unix(self.path)

    @staticmethod
    def _broken(text: str) -> bytes:
        return m.encode_message(m.Refused("bad-message", text))

    def _handle(self, connection: Connection[Session], body: bytes) -> None:
        try:
            message = m.decode_request(body)
        except msgspec.DecodeError as error:
            return connection.send(m.encode_message(m.Refused("unknown-message", str(error))), last=True)
        answer = self._desk.handle(connection.session, message, self._now())
        if isinstance(answer, m.Welcome):
            connection.on_identified()
        refused = isinstance(answer, m.Refused) and not connection.session.is_greeted
        connection.send(m.encode_message(answer), last=refused)

    def close(self) -> None:
        self._server.close()
        self.path.unlink(missing_ok=True)


async def attach_control_socket(
    wanted: ControlFile,
    config_path: str,
    gateway: Gateway,
    clients: Clients,
    config: Config,
    discovery: Callable[[], str],
    stop: Callable[[], None],
    counter: Callable[[int], m.CounterStatus] | None = None,
    shared: EvidenceView | None = None,
    ceilings: Callable[[], m.CeilingStatus | None] = lambda: None,
) -> ControlSocket:
    """Before the gateway starts, so that not one list is taken without the drains."""
    records = read_records_file(Path(wanted.records)) if wanted.records else ()
    loop = asyncio.get_running_loop()

    def stop_soon() -> None:
        loop.call_later(STOP_DELAY_S, stop)

    digests = config_digests(config_path)
    view = LimiterStatus(
        gateway, clients, config, build_version(), discovery, stop_soon, digests, counter, shared, ceilings
    )
    gateway.watched_by(view)
    desk = CommandAuthority(view, records)
    view.read_records = lambda: (tuple(desk.records), desk.records.digest())
    view.read_owner = lambda: (desk.owner, desk.owner_epoch)
    control = ControlSocket(desk, Path(wanted.socket), gateway.now)
    await control.listen()
    log.info("control at %s, %d records of drains", control.path, len(desk.records))
    return control
