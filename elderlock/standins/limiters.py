"""Fake limiters for agents: the real command authority behind a control socket with fault injection."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from enum import Enum
from pathlib import Path

from elderlock.control import messages
from elderlock.control.command_authority import CommandAuthority, Session
from elderlock.control.records import Record
from elderlock.control.transport import Connection, ConnectionLimits, FrameServer
from elderlock.standins.waiting import unix_ms


class Trouble(Enum):
    """How the control socket misbehaves."""

    NONE = "none"
    STOPPED = "stopped"  # accepts connections and messages, and handles them after `mend`
    LATE = "late"  # handles a message at once and delays the answer
    DIES = "dies"  # handles a message, then closes the connection without an answer
    EMPTY = "empty"  # closes the connection without handling the message
    HALF = "half"  # handles a message and sends half of the answer
    NOISE = "noise"  # handles a message and sends bytes that do not decode


def server_status(uid: str, **changes: object) -> messages.ServerStatus:
    """Returns the status that a limiter reports of a healthy server; `changes` override fields."""
    values: dict[str, object] = {
        "uid": uid,
        "endpoint": "127.0.0.1:1",
        "zone": "floor-2",
        "kind": "std-2c",
        "weight": 2.0,
        "state": "running",
        "open_requests": 0,
        "connections": 1,
        "latency_ms": 20.0,
        "latency_age_ms": 10.0,
        "queue": 0,
        "report_age_ms": 10.0,
        "unavailable_reason": "",
        "drained_by": "",
        "generation": 0,
        **changes,
    }
    return messages.ServerStatus(**values)  # type: ignore[arg-type]


def limiter_state(
    limiter: str, boxes: Iterable[messages.ServerStatus] = (), **changes: object
) -> messages.LimiterState:
    """Returns the state that a healthy limiter reports; `changes` override fields."""
    values: dict[str, object] = {
        "id": 0,
        "limiter": limiter,
        "build": "1",
        "pid": 0,
        "uptime_ms": 1000.0,
        "config_digest": "c",
        "config_parts": {"plans": "p"},
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "list_version": 1,
        "list_age_ms": 5.0,
        "ready": True,
        "is_drained": False,
        "open_requests": 0,
        "clients": 1,
        "counts": messages.AnswerCounts(served=100),
        "plans": {},
        "accounts": {},
        "accounts_known": 0,
        "answer_p50_ms": 20.0,
        "answer_p99_ms": 60.0,
        "servers": tuple(boxes),
        "throttle": messages.ThrottleStatus("not_overloaded", 0.0, 1.0, 1.0),
        "peers": (),
        "records": (),
        "records_digest": "",
        "owner": "",
        "owner_epoch": 0,
        **changes,
    }
    return messages.LimiterState(**values)  # type: ignore[arg-type]


class ScriptedLimiter:
    """A limiter whose control socket misbehaves as a test requires.

    Attributes:
        name: The limiter's name.
        build: The build that it reports.
        pid: The process id that it reports.
        path: The path of the control socket.
        trouble: How the control socket misbehaves.
        delay: The delay of answers in seconds, for `Trouble.LATE`.
        only: The one type of message that `trouble` affects, or None for all.
        in_force: The drained servers and since when they get no new requests (Unix ms). Tests compare the reports of
            tools with it.
        left_in_work: The number of open requests at each server.
        down: Whether the limiter itself is drained.
        stops: The number of stop commands.
        received: All messages received, in order.
        started_at: When the process started, in Unix ms.
        authority: The command authority.
    """

    def __init__(self, name: str, path: Path, boxes: Sequence[str] = ("s-1", "s-2", "s-3", "s-4")) -> None:
        self.name, self.build, self.pid = name, "1", 0
        self.path, self._uids = path, boxes
        self.trouble, self.delay = Trouble.NONE, 0.0
        self.only: type[messages.Message] | None = None
        self.in_force: dict[str, float] = {}
        self.left_in_work: dict[str, int] = {}
        self.down = False
        self.stops = 0
        self.received: list[messages.ToLimiter] = []
        self._held: list[tuple[Connection[Session], messages.ToLimiter]] = []
        self._server: FrameServer[Session] | None = None
        self.restart()

    def restart(self, records: Iterable[Record] = ()) -> None:
        """Simulates a new process, which starts with the given records and closes all connections."""
        self.started_at = unix_ms()
        self.in_force, self.down = {}, False
        self._held.clear()
        self.authority = CommandAuthority(self, records)
        if self._server is not None:
            for connection in list(self._server.connections):
                connection.abort()

    async def listen(self) -> ScriptedLimiter:
        """Opens the control socket and returns the limiter itself."""
        limits = ConnectionLimits(messages.MAXIMUM_MESSAGE_BYTES, messages.MAXIMUM_HELLO_BYTES)
        self._server = FrameServer(limits, Session, self._handle, lambda text: b"")
        await self._server.listen_unix(self.path)
        return self

    def vanish(self) -> None:
        """Simulates a kill: nothing listens any more, but the socket file remains."""
        if self._server is not None:
            self._server.close()

    # Called by the command authority

    def state(self, id: int, accounts: int) -> messages.LimiterState:
        """Returns the state of the limiter as the answer to request `id`."""
        drained = self.authority.records.drained_targets("box")
        boxes = [
            server_status(
                uid,
                drained_by=drained[uid].requested_by if uid in drained else "",
                open_requests=self.left_in_work.get(uid, 0),
            )
            for uid in self._uids
        ]
        return limiter_state(
            self.name,
            boxes,
            id=id,
            records=tuple(self.authority.records),
            is_drained=self.down,
            ready=not self.down,
            records_digest=self.authority.records.digest(),
            owner=self.authority.owner,
            owner_epoch=self.authority.owner_epoch,
        )

    def drain(self, boxes: dict[str, Record], limiter: bool) -> None:
        """Drains the given servers, and the limiter itself if `limiter` is true; ends all other drains."""
        now = unix_ms()
        self.in_force = {uid: self.in_force.get(uid, now) for uid in boxes}
        self.down = limiter

    def open_requests_at(self, boxes: Iterable[str]) -> dict[str, int]:
        """Returns the number of open requests at each of the given servers."""
        return {uid: self.left_in_work.get(uid, 0) for uid in boxes}

    def open_requests(self) -> int:
        """Returns the number of open requests, which is always 0."""
        return 0

    def stop(self) -> None:
        """Counts a stop command."""
        self.stops += 1

    # The control socket

    def _handle(self, connection: Connection[Session], body: bytes) -> None:
        message = messages.decode_request(body)
        self.received.append(message)
        if self.only is not None and not isinstance(message, self.only):
            return self._answer(connection, message, Trouble.NONE)
        if self.trouble is Trouble.STOPPED:
            self._held.append((connection, message))
        elif self.trouble is Trouble.EMPTY:
            connection.abort()
        else:
            self._answer(connection, message, self.trouble)

    def _answer(self, connection: Connection[Session], message: messages.ToLimiter, trouble: Trouble) -> None:
        answer = self.authority.handle(connection.session, message, unix_ms())
        if isinstance(answer, messages.Welcome):
            connection.on_identified()
        body = messages.encode_message(answer)
        match trouble:
            case Trouble.DIES:
                connection.abort()
            case Trouble.LATE:
                asyncio.get_running_loop().call_later(self.delay, connection.send, body)
            case Trouble.HALF:
                connection.send(body[: len(body) // 2])
            case Trouble.NOISE:
                connection.send(b"\xc1" * 40)
            case _:
                connection.send(body)

    def mend(self) -> None:
        """Ends the fault and handles the messages that arrived while the limiter was stopped, in order."""
        self.trouble = Trouble.NONE
        held, self._held = self._held, []
        for connection, message in held:
            self._answer(connection, message, Trouble.NONE)
