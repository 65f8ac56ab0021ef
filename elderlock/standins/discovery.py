"""Discovery: the whole list, and watches that carry changes, over HTTP/1.1 with chunked bodies."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from elderlock.standins.listener import Door, Fault, Listener
from elderlock.standins.servers import SimulatedServer

HEARTBEAT = 2.0  # s between the empty lines of a watch


class Discovery(Listener):
    """The agent that a limiter asks. Scripted: `whole` is what it gives, and the test writes watch lines
    with `say`. With `rows`, each door's list is made anew from what `rows(door)` gives."""

    def __init__(
        self, whole: dict[str, Any] | None = None, rows: Callable[[int], list[dict[str, Any]]] | None = None
    ) -> None:
        super().__init__()
        self.whole = whole or {}
        self.rows = rows
        self.rev = 1
        self.requested_paths: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.waiting: list[tuple[Door, asyncio.StreamWriter]] = []
        self.holds_answers = False  # takes what it is asked and says nothing
        self.ignores_requests = False  # and what it is asked for now is never answered
        self.watch_doors: dict[asyncio.StreamWriter, Door] = {}
        self._beat: asyncio.TimerHandle | None = None

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.doors[0].port

    async def start(self, doors: int = 1) -> Discovery:
        await self.open(doors)
        if self.rows is not None:
            self._heartbeat()
        return self

    def _heartbeat(self) -> None:
        self._beat = asyncio.get_running_loop().call_later(HEARTBEAT, self._heartbeat)
        for writer, door in list(self.watch_doors.items()):
            self.write_line(door, writer, b"\n")

    async def close(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        await super().close()

    async def serve(self, door: Door, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                path = line.split()[1].decode()
                self.requested_paths.append(path)
                if self.ignores_requests:
                    continue
                if "watch=1" not in path:
                    self.waiting.append((door, writer))
                    if not self.holds_answers:
                        self.release_answers()
                    continue
                door.write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.watches.append(writer)
                self.watch_doors[writer] = door
                if self.rows is not None and f"after={self.rev}" not in path:
                    self.write_line(door, writer, self._list(door) + b"\n")
        finally:
            self.watch_doors.pop(writer, None)

    def _list(self, door: Door) -> bytes:
        if self.rows is None:
            return json.dumps(self.whole).encode()
        return json.dumps({"rev": self.rev, "all": True, "targets": self.rows(door.number)}).encode()

    def release_answers(self) -> None:
        for door, writer in self.waiting:
            body = self._list(door)
            door.write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.waiting.clear()

    def send_line(self, line: bytes) -> None:
        self.watches[-1].write(b"%x\r\n%b\r\n" % (len(line), line))

    def write_line(self, door: Door, writer: asyncio.StreamWriter, line: bytes) -> None:
        door.write(writer, b"%x\r\n%b\r\n" % (len(line), line))


class Registry:
    """The boxes of a group as all its limiters' agents list them, each with its own endpoints: late (s), `stale` (as
    the list was), listing the `dead`, where it is told to."""

    def __init__(self) -> None:
        self.boxes: dict[str, Any] = {}
        self.dead: dict[str, Any] = {}
        self.frozen_list: list[dict[str, Any]] | None = None
        self.delay_s = 0.0
        self.discovery = Discovery(rows=self.rows)

    def rows(self, door: int) -> list[dict[str, Any]]:
        if self.frozen_list is not None:
            return self.frozen_list
        return [box.target(door) for box in (*self.boxes.values(), *self.dead.values())]

    def add(self, box: SimulatedServer) -> None:
        self.boxes[box.uid] = box
        self.announce(box)

    def remove(self, uid: str) -> Any:
        box = self.boxes.pop(uid)
        box.state = "removed"
        self.announce(box)
        return box

    def announce(self, *boxes: SimulatedServer) -> None:
        """Tells every watch of these boxes' present entries, unless its door is broken: what is written to a
        broken door is lost, and the list comes whole when the watch is renewed."""
        if self.frozen_list is not None:
            return
        if self.delay_s > 0:
            asyncio.get_running_loop().call_later(self.delay_s, self._send_changes, boxes)
        else:
            self._send_changes(boxes)

    def _send_changes(self, boxes: tuple[SimulatedServer, ...]) -> None:
        self.discovery.rev += 1
        for writer, door in list(self.discovery.watch_doors.items()):
            line = {"rev": self.discovery.rev, "all": False, "targets": [box.target(door.number) for box in boxes]}
            self.discovery.write_line(door, writer, json.dumps(line).encode() + b"\n")

    def announce_complete_list(self) -> None:
        """Every watch hears the whole list."""
        self.discovery.rev += 1
        for writer, door in list(self.discovery.watch_doors.items()):
            line = {"rev": self.discovery.rev, "all": True, "targets": self.rows(door.number)}
            self.discovery.write_line(door, writer, json.dumps(line).encode() + b"\n")

    async def fail(self, fault: Fault, doors: list[int] | None = None) -> None:
        await self.discovery.fail(fault, doors)
