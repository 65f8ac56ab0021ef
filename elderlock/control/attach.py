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
from elderlock.control.desk import Desk, Visitor
from elderlock.control.files import read_toml
from elderlock.control.records import Record
from elderlock.control.transport import Bounds, Connection, FrameServer
from elderlock.control.view import View, config_digests
from elderlock.decisions.context import MS_PER_SECOND
from elderlock.net.client_listener import ClientListener
from elderlock.net.config import Config, ConfigError
from elderlock.net.gateway import Gateway

if TYPE_CHECKING:
    from elderlock.control.shared import SharedView

CONNECTIONS = 16  # an agent holds one; the others are for whoever looks on
LEAST_SUBSET = 8  # boxes: with fewer, one that is slow is a large part of them
STOP_AFTER = 0.05  # s that the answer to a stop has to leave before the program ends
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

    def of(self, settings: api.Settings) -> api.Routing:
        """Raises `ConfigError`."""
        if 0 < self.subset < LEAST_SUBSET:
            raise ConfigError(f"[routing] subset is {self.subset}: 0 for all boxes, or {LEAST_SUBSET} at least")
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


def read_operators(path: Path) -> OperatorsFile:
    """Raises `ConfigError` with one plain line."""
    return read_toml(path, OperatorsFile, ConfigError)


def read_records(path: Path) -> tuple[Record, ...]:
    """A file that is not there holds no drain. One that cannot be read is an error: to start without the
    drains it held would send work to a box that an operator took out."""
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=tuple[Record, ...])
    except FileNotFoundError:
        return ()
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"{path}: the drains in it cannot be read: {error}") from None


def build() -> str:
    try:
        return version("elderlock")
    except PackageNotFoundError:  # run from a checkout that is not installed
        return "source"


class Control:
    """The socket of a limiter that runs. `now`: ms of Unix time that go on evenly: by the machine's clock, a step back
    would tell a drain as earlier than it was, and keep a lease that its owner let lapse."""

    def __init__(self, desk: Desk, path: Path, now: Callable[[], float]) -> None:
        self._desk, self.path, self._now = desk, path, now
        bounds = Bounds(longest=m.LONGEST, longest_first=m.LONGEST_HELLO, connections=CONNECTIONS)
        self._server: FrameServer[Visitor] = FrameServer(bounds, Visitor, self._handle, self._broken)

    async def listen(self) -> None:
        await self._server.listen_unix(self.path)

    @staticmethod
    def _broken(text: str) -> bytes:
        return m.encode(m.Refused("bad-message", text))

    def _handle(self, connection: Connection[Visitor], body: bytes) -> None:
        try:
            message = m.to_limiter(body)
        except msgspec.DecodeError as error:
            return connection.say(m.encode(m.Refused("unknown-message", str(error))), last=True)
        answer = self._desk.handle(connection.visitor, message, self._now())
        if isinstance(answer, m.Welcome):
            connection.identified()
        refused = isinstance(answer, m.Refused) and not connection.visitor.greeted
        connection.say(m.encode(answer), last=refused)

    def close(self) -> None:
        self._server.close()
        self.path.unlink(missing_ok=True)


async def attach(
    wanted: ControlFile,
    config_path: str,
    gateway: Gateway,
    clients: ClientListener,
    config: Config,
    discovery: Callable[[], str],
    stop: Callable[[], None],
    counter: Callable[[int], m.Counter] | None = None,
    shared: SharedView | None = None,
    ceilings: Callable[[], m.Ceilings | None] = lambda: None,
) -> Control:
    """Before the gateway starts, so that not one list is taken without the drains."""
    records = read_records(Path(wanted.records)) if wanted.records else ()
    loop = asyncio.get_running_loop()

    def stop_soon() -> None:
        loop.call_later(STOP_AFTER, stop)

    digests = config_digests(config_path)
    view = View(gateway, clients, config, build(), discovery, stop_soon, digests, counter, shared, ceilings)
    gateway.set_observer(view)
    desk = Desk(view, records)
    view.records = lambda: (tuple(desk.records), desk.records.digest())
    view.owner = lambda: (desk.owner, desk.owner_epoch)
    control = Control(desk, Path(wanted.socket), gateway.now_ms)
    await control.listen()
    log.info("control at %s, %d records of drains", control.path, len(desk.records))
    return control
