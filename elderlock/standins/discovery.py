"""A fake discovery service: complete endpoint lists and watches over HTTP/1.1 with chunked bodies."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from elderlock.standins.listener import Fault, Listener, ListeningPort
from elderlock.standins.servers import SimulatedServer

HEARTBEAT_S = 2.0  # the interval of the empty lines that keep a watch alive


class Discovery(Listener):
    """The discovery service that limiters request endpoint lists from.

    Without `rows` it is scripted: it answers each list request with `complete_list`, and the test writes the lines of a
    watch with `send_line`. With `rows` it sends heartbeats and computes the list for each limiter from
    `rows(port_index)`, where `port_index` is the number of the limiter's listening port.

    Attributes:
        complete_list: The scripted list.
        rows: Returns the entries of the list for a listening port.
        rev: The version of the list.
        requested_paths: The paths of all requests, in order.
        watches: The connections of all watches since the start, in order.
        waiting: The connections of list requests that have no answer yet.
        holds_answers: Whether list requests are held back until `release_answers`.
        ignores_requests: Whether requests that arrive now never get an answer.
        watch_ports: The listening port of each open watch.
    """

    def __init__(
        self, complete_list: dict[str, Any] | None = None, rows: Callable[[int], list[dict[str, Any]]] | None = None
    ) -> None:
        super().__init__()
        self.complete_list = complete_list or {}
        self.rows = rows
        self.rev = 1
        self.requested_paths: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.waiting: list[tuple[ListeningPort, asyncio.StreamWriter]] = []
        self.holds_answers = False
        self.ignores_requests = False
        self.watch_ports: dict[asyncio.StreamWriter, ListeningPort] = {}
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    @property
    def address(self) -> tuple[str, int]:
        """The host and port of the first listening port."""
        return "127.0.0.1", self.ports[0].port

    async def start(self, ports: int = 1) -> Discovery:
        """Opens the listening ports, one for each limiter, and returns the service itself."""
        await self.open(ports)
        if self.rows is not None:
            self._heartbeat()
        return self

    def _heartbeat(self) -> None:
        self._heartbeat_timer = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat)
        for writer, port in list(self.watch_ports.items()):
            self.write_line(port, writer, b"\n")

    async def close(self) -> None:
        """Closes all connections and listening ports and stops the heartbeats."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        await super().close()

    async def serve(self, port: ListeningPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers list requests and registers watches until the client closes the connection."""
        try:
            while request_line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                path = request_line.split()[1].decode()
                self.requested_paths.append(path)
                if self.ignores_requests:
                    continue
                if "watch=1" not in path:
                    self.waiting.append((port, writer))
                    if not self.holds_answers:
                        self.release_answers()
                    continue
                port.write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.watches.append(writer)
                self.watch_ports[writer] = port
                if self.rows is not None and f"after={self.rev}" not in path:
                    self.write_line(port, writer, self._encode_list(port) + b"\n")
        finally:
            self.watch_ports.pop(writer, None)

    def _encode_list(self, port: ListeningPort) -> bytes:
        if self.rows is None:
            return json.dumps(self.complete_list).encode()
        return json.dumps({"rev": self.rev, "all": True, "targets": self.rows(port.number)}).encode()

    def release_answers(self) -> None:
        """Answers all waiting list requests."""
        for port, writer in self.waiting:
            body = self._encode_list(port)
            port.write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.waiting.clear()

    def send_line(self, line: bytes) -> None:
        """Writes a chunk to the newest watch, whatever fault its listening port has."""
        self.watches[-1].write(b"%x\r\n%b\r\n" % (len(line), line))

    def write_line(self, port: ListeningPort, writer: asyncio.StreamWriter, line: bytes) -> None:
        """Writes a chunk to a watch, subject to the fault of its listening port."""
        port.write(writer, b"%x\r\n%b\r\n" % (len(line), line))


class Registry:
    """The servers of a group as discovery lists them, with a separate endpoint of each server for each limiter.

    Attributes:
        boxes: The listed servers by id.
        dead: Servers that are down but still listed, by id.
        frozen_list: The entries to list while discovery is stale; None while it is up to date.
        delay_s: The delay in seconds before changes are sent to watches.
        discovery: The service that sends the lists.
    """

    def __init__(self) -> None:
        self.boxes: dict[str, Any] = {}
        self.dead: dict[str, Any] = {}
        self.frozen_list: list[dict[str, Any]] | None = None
        self.delay_s = 0.0
        self.discovery = Discovery(rows=self.rows)

    def rows(self, port_index: int) -> list[dict[str, Any]]:
        """Returns the entries of the list for the limiter that uses listening port `port_index`."""
        if self.frozen_list is not None:
            return self.frozen_list
        return [server.target(port_index) for server in (*self.boxes.values(), *self.dead.values())]

    def add(self, server: SimulatedServer) -> None:
        """Lists a server and announces it."""
        self.boxes[server.uid] = server
        self.announce(server)

    def remove(self, uid: str) -> Any:
        """Takes a server off the list, announces its removal and returns it."""
        server = self.boxes.pop(uid)
        server.state = "removed"
        self.announce(server)
        return server

    def announce(self, *servers: SimulatedServer) -> None:
        """Sends the current entries of these servers to every watch, after the delay if one is set.

        A watch whose listening port has a fault loses the change. It gets a complete list when the limiter opens it
        again. While the list is frozen nothing is sent.
        """
        if self.frozen_list is not None:
            return
        if self.delay_s > 0:
            asyncio.get_running_loop().call_later(self.delay_s, self._send_changes, servers)
        else:
            self._send_changes(servers)

    def _send_changes(self, servers: tuple[SimulatedServer, ...]) -> None:
        self.discovery.rev += 1
        for writer, port in list(self.discovery.watch_ports.items()):
            targets = [server.target(port.number) for server in servers]
            line = {"rev": self.discovery.rev, "all": False, "targets": targets}
            self.discovery.write_line(port, writer, json.dumps(line).encode() + b"\n")

    def announce_complete_list(self) -> None:
        """Sends the complete list to every watch."""
        self.discovery.rev += 1
        for writer, port in list(self.discovery.watch_ports.items()):
            line = {"rev": self.discovery.rev, "all": True, "targets": self.rows(port.number)}
            self.discovery.write_line(port, writer, json.dumps(line).encode() + b"\n")

    async def fail(self, fault: Fault, ports: list[int] | None = None) -> None:
        """Sets the fault of the given listening ports of discovery, or of all."""
        await self.discovery.fail(fault, ports)
