"""Limiters as their agents meet them: the real desk behind a control socket that breaks on command."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from enum import Enum
from pathlib import Path

from elderlock.control import messages as m
from elderlock.control.command_authority import CommandAuthority, Session
from elderlock.control.records import Record
from elderlock.control.transport import Connection, ConnectionLimits, FrameServer
from elderlock.standins.waiting import unix_ms


class Trouble(Enum):
    NONE = "none"
    STOPPED = "stopped"  # takes connections and messages, and acts on them once it goes on
    LATE = "late"  # acts at once and answers late
    DIES = "dies"  # acts, and its connection ends before the answer
    EMPTY = "empty"  # its connection ends and nothing was done
    HALF = "half"  # acts, and sends half its answer
    NOISE = "noise"  # answers what is no message


def box(uid: str, **changes: object) -> m.ServerStatus:
    """A box in good health, as a limiter shows it."""
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
    return m.ServerStatus(**values)  # type: ignore[arg-type]


def state(limiter: str, boxes: Iterable[m.ServerStatus] = (), **changes: object) -> m.LimiterState:
    """What a limiter in good health says of itself."""
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
        "counts": m.AnswerCounts(served=100),
        "plans": {},
        "accounts": {},
        "accounts_known": 0,
        "answer_p50_ms": 20.0,
        "answer_p99_ms": 60.0,
        "servers": tuple(boxes),
        "throttle": m.ThrottleStatus("not_overloaded", 0.0, 1.0, 1.0),
        "peers": (),
        "records": (),
        "records_digest": "",
        "owner": "",
        "owner_epoch": 0,
        **changes,
    }
    return m.LimiterState(**values)  # type: ignore[arg-type]


class ScriptedLimiter:
    """`in_force` are the boxes it keeps new work from, since when (Unix ms): what a tool's claims are held
    against. `restart` is a new process, which begins with the records given."""

    def __init__(self, name: str, path: Path, boxes: Sequence[str] = ("s-1", "s-2", "s-3", "s-4")) -> None:
        self.name, self.build, self.pid = name, "1", 0
        self.path, self._uids = path, boxes
        self.trouble, self.delay = Trouble.NONE, 0.0
        self.only: type[m.Message] | None = None  # the one kind of message that meets the trouble
        self.in_force: dict[str, float] = {}
        self.left_in_work: dict[str, int] = {}
        self.down = False  # drained itself
        self.stops = 0
        self.received: list[m.ToLimiter] = []
        self._held: list[tuple[Connection[Session], m.ToLimiter]] = []
        self._server: FrameServer[Session] | None = None
        self.restart()

    def restart(self, records: Iterable[Record] = ()) -> None:
        self.started_at = unix_ms()
        self.in_force, self.down = {}, False
        self._held.clear()
        self.desk = CommandAuthority(self, records)
        if self._server is not None:
            for connection in list(self._server.connections):
                connection.abort()

    async def listen(self) -> ScriptedLimiter:
        bounds = ConnectionLimits(m.MAXIMUM_MESSAGE_BYTES, m.MAXIMUM_HELLO_BYTES)
        self._server = FrameServer(bounds, Session, self._handle, lambda text: b"")
        await self._server.listen_unix(self.path)
        return self

    def vanish(self) -> None:
        """The process is gone; its socket stays behind, as after a kill."""
        if self._server is not None:
            self._server.close()

    # The face

    def state(self, id: int, accounts: int) -> m.LimiterState:
        drained = self.desk.records.drained_targets("box")
        boxes = [
            box(
                uid,
                drained_by=drained[uid].requested_by if uid in drained else "",
                open_requests=self.left_in_work.get(uid, 0),
            )
            for uid in self._uids
        ]
        return state(
            self.name,
            boxes,
            id=id,
            records=tuple(self.desk.records),
            is_drained=self.down,
            ready=not self.down,
            records_digest=self.desk.records.digest(),
            owner=self.desk.owner,
            owner_epoch=self.desk.owner_epoch,
        )

    def drain(self, boxes: dict[str, Record], limiter: bool) -> None:
        now = unix_ms()
        self.in_force = {uid: self.in_force.get(uid, now) for uid in boxes}
        self.down = limiter

    def open_requests_at(self, boxes: Iterable[str]) -> dict[str, int]:
        return {uid: self.left_in_work.get(uid, 0) for uid in boxes}

    def open_requests(self) -> int:
        return 0

    def stop(self) -> None:
        self.stops += 1

    # The socket

    def _handle(self, connection: Connection[Session], body: bytes) -> None:
        message = m.decode_request(body)
        self.received.append(message)
        if self.only is not None and not isinstance(message, self.only):
            return self._answer(connection, message, Trouble.NONE)
        if self.trouble is Trouble.STOPPED:
            self._held.append((connection, message))
        elif self.trouble is Trouble.EMPTY:
            connection.abort()
        else:
            self._answer(connection, message, self.trouble)

    def _answer(self, connection: Connection[Session], message: m.ToLimiter, trouble: Trouble) -> None:
        answer = self.desk.handle(connection.session, message, unix_ms())
        if isinstance(answer, m.Welcome):
            connection.on_identified()
        body = m.encode_message(answer)
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
        """Goes on; what came while it was stopped is acted on now, in its order."""
        self.trouble = Trouble.NONE
        held, self._held = self._held, []
        for connection, message in held:
            self._answer(connection, message, Trouble.NONE)
