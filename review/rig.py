"""Small stand-ins on loopback for the cases of the review, and the start of a limiter by the deploy file's command.

Only the standard library is used. Discovery, the servers and the clients follow `PROTOCOL-elderlock.md`.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
CUSTOMER = b"00000000b4d65521"
ZONES = ["floor-2", "floor-3", "floor-4"]
KINDS = ["std-2c", "old-2c"]
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TIME_LIMIT_S = 110.0
READY_TIMEOUT_S = 30.0


def has_trouble() -> bool:
    """Whether the disruption is wanted; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt`: what was sent, answered and run, each line with the ms since the start."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_ms(self) -> float:
        """Return the ms since the start."""
        return (time.monotonic() - self._started_s) * 1000.0

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_ms():10.1f} {text}\n")

    def close(self) -> None:
        """Write the last lines to the disk."""
        self._file.close()


def encode(*parts: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def request_terms(wait_ms: int) -> bytes:
    """Return the names and values of a request of the one customer."""
    return b"c=ticket-lookup,t=business,d=%d,units=1,spread=1,first=0" % wait_ms


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read one command; return None at the end of the connection."""
    try:
        header = await reader.readuntil(b"\r\n")
        parts = []
        for _ in range(int(header[1:])):
            length = int((await reader.readuntil(b"\r\n"))[1:])
            parts.append((await reader.readexactly(length + 2))[:-2])
    except (asyncio.IncompleteReadError, OSError):
        return None
    return parts


async def read_answer(reader: asyncio.StreamReader) -> bytes | None:
    """Read a limiter's answer: a line, or `$` and the value of a bulk string; return None at the connection's end."""
    try:
        line = (await reader.readuntil(b"\r\n"))[:-2]
        if line[:1] == b"$" and line != b"$-1":
            return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]
    except (asyncio.IncompleteReadError, OSError):
        return None
    return line


def value_of(request_id: bytes) -> bytes:
    """Return the value that servers make for a request, and for no other."""
    return b"value of " + request_id


def served(request_id: bytes) -> bytes:
    """Encode a server's answer: the value, no figure on use, and a load report."""
    value = value_of(request_id)
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$7\r\nqueue=0\r\n" % (len(value), value)


async def wait_until_arrived(writer: asyncio.StreamWriter) -> None:
    """Wait until the other side's machine has acknowledged all that was written."""
    sock: socket.socket = writer.get_extra_info("socket")
    while writer.transport.get_write_buffer_size() or _unacknowledged_bytes(sock):  # noqa: ASYNC110 - no event tells it
        await asyncio.sleep(0.001)


def _unacknowledged_bytes(sock: socket.socket) -> int:
    count: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0"))[0]
    return count


class Discovery:
    """The agent of discovery: it answers at once with the whole list, and keeps watches open, as nothing changes."""

    def __init__(self) -> None:
        self.targets: list[dict[str, Any]] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def add(self, uid: str, port: int, zone: str, kind: str) -> None:
        """Add a warm server."""
        self.targets.append(
            {
                "uid": uid,
                "endpoint": f"127.0.0.1:{port}",
                "az": zone,
                "model": kind,
                "pod_group": 0,
                "state": "up",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"watch=1" not in head.split(b"\r\n", 1)[0]:
                body = json.dumps({"rev": 1, "all": True, "targets": self.targets}).encode() + b"\n"
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
                    await asyncio.sleep(2.0)
        writer.close()


Behaviour = Callable[["Connection", list[bytes]], Awaitable[None]]


class Connection:
    """A server's side of a connection from the limiter.

    Attributes:
        server: The server.
        writer: Writes to the limiter.
        begun_count: The number of commands begun on this connection.
    """

    def __init__(self, server: Server, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.writer = writer
        self.begun_count = 0


class Server:
    """A server: it begins a command when its last byte has come, and answers in the order of the commands.

    Attributes:
        number: Its number from 0.
        kind: Its machine kind.
        port: Its port.
        begun: For each command that it began, the time in ms and the request's id.
        runs: The ids of the requests that it has run to their end.
    """

    def __init__(self, number: int, record: Record, behaviour: Behaviour) -> None:
        self.number = number
        self.kind = KINDS[number % len(KINDS)]
        self.port = 0
        self.begun: list[tuple[float, bytes]] = []
        self.runs: list[bytes] = []
        self._record = record
        self._behaviour = behaviour

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self, writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (parts := await read_command(reader)) is not None:
                if not parts[0].startswith(b"API."):
                    writer.write(b"-ERR unknown command\r\n")
                    continue
                connection.begun_count += 1
                self.begun.append((self._record.now_ms(), parts[2]))
                self._record.add(f"server s-{self.number} begins {parts[2].decode()} {parts[3].decode()}")
                await self._behaviour(connection, parts)
        writer.close()


def limiter_settings(effect: str) -> dict[str, Any]:
    """Return the settings of the limiter: the figures of `hcm-lookup`, with the class's effect."""
    return {
        "ordinal": 0,
        "peers-total": 1,
        "quantum": 4.0,
        "zone": 0,
        "zones": ZONES,
        "kinds": KINDS,
        "membership-mode": "automatic",
        "services": [
            {
                "name": "ticket-lookup",
                "goal-time": 1200.0,
                "deadline": 4000.0,
                "effect": effect,
                "dedup-scope": "all",
                "memory-span": 0.0,
                "late-worth": 0.0,
                "credit": 1.0,
                "stream": False,
            }
        ],
        "plans": [
            {
                "name": "business",
                "price": 1.1,
                "quota-rate": 400.0,
                "burst": 2000.0,
                "parallel": 0,
                "beyond-earns": 0.0,
                "beyond-costs": 1.0,
                "hard-rate": 0.0,
                "never-over-depth": 0.0,
                "hard-slack": 0.0,
            }
        ],
        "rules": {
            "ask-every": 10000.0,
            "cold": 17000.0,
            "cold-share": 0.24,
            "drain-grace": 250.0,
            "fall": 1000.0,
            "grace-to-answer": 16.0,
            "tip-multiple": 2.0,
        },
        "policy-limits": {
            "dial-timeout": 250.0,
            "keepalive": 15000.0,
            "max-open": 20000,
            "max-retry-after": 500.0,
            "may-cancel": True,
            "most-tries": 6,
            "peers": False,
            "probes": False,
            "retry-after": False,
            "second-copies": True,
        },
        "family-info": {"largest": 1, "metering": 0.0, "peer-intake": 100.0, "shared-counter": False},
        "report": {"fields": ["q"], "how": "piggyback"},
    }


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Limiter:
    """A limiter process, started by the `run` command of the deploy file.

    Attributes:
        port: The port that clients connect to.
        process: The process.
    """

    def __init__(self, discovery: Discovery, effect: str, descriptors: int) -> None:
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.port = _free_port()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": descriptors},
            "peers": [],
            "settings": limiter_settings(effect),
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        (folder / "tmp").mkdir()
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(path),
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": str(config["listen"]),
            "PROXY_DISCOVERY": str(config["discovery"]),
            "TMPDIR": str(folder / "tmp"),
        }
        environment.pop("ELDERLOCK_OPERATORS", None)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self._log_path = folder / "log"
        with self._log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    async def wait_until_ready(self) -> None:
        """Wait until it answers `PING` with `+PONG`.

        Raises:
            RuntimeError: It does not in time.
        """
        ends_at_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_at_s and self.process.poll() is None:
            with contextlib.suppress(OSError):
                reader, writer = await self.connect()
                writer.write(encode(b"PING"))
                answer = await read_answer(reader)
                writer.close()
                if answer == b"+PONG":
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the limiter does not get ready: " + self._log_path.read_text(encoding="utf-8")[-500:])

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def close(self) -> None:
        """End the process, stopped or not."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._folder.cleanup()


class Group:
    """A small deployment: discovery, servers and one limiter.

    Attributes:
        record: The record of the run.
        servers: The servers.
        limiter: The limiter.
    """

    def __init__(self, record: Record, servers: list[Server], limiter: Limiter) -> None:
        self.record = record
        self.servers = servers
        self.limiter = limiter


async def start_group(
    record: Record, server_count: int, behaviour: Behaviour, effect: str, descriptors: int = 1024
) -> Group:
    """Start discovery, servers and one limiter; returns once the limiter is ready."""
    discovery = Discovery()
    await discovery.start()
    servers = [Server(number, record, behaviour) for number in range(server_count)]
    for server in servers:
        await server.start()
        discovery.add(f"s-{server.number}", server.port, ZONES[server.number % len(ZONES)], server.kind)
    limiter = Limiter(discovery, effect, descriptors)
    try:
        await limiter.wait_until_ready()
    except BaseException:
        limiter.close()
        raise
    record.add(f"limiter is ready with {server_count} servers, trouble {int(has_trouble())}")
    return Group(record, servers, limiter)


def run_case(
    folder: Path,
    server_count: int,
    behaviour: Behaviour,
    effect: str,
    play: Callable[[Group], Awaitable[str | None]],
    descriptors: int = 1024,
) -> None:
    """Run a case and exit: 1 if `play` returns how the rule was broken, 0 if it returns None, 2 if it can't run."""
    record = Record(folder / "record.txt")

    async def run() -> str | None:
        async with asyncio.timeout(TIME_LIMIT_S):
            group = await start_group(record, server_count, behaviour, effect, descriptors)
            try:
                return await play(group)
            finally:
                group.limiter.close()

    def end(_number: int, _frame: object) -> None:
        raise SystemExit(EXIT_NOT_RUN)

    signal.signal(signal.SIGTERM, end)
    try:
        broken = asyncio.run(run())
    except Exception as error:  # noqa: BLE001 - whatever keeps the case from running is no broken rule
        status, text = EXIT_NOT_RUN, f"could not run: {error!r}"
    else:
        status, text = (
            (EXIT_HELD, "the rule held") if broken is None else (EXIT_BROKEN, f"the rule is broken: {broken}")
        )
    record.add(text)
    record.close()
    print(text)
    sys.exit(status)
