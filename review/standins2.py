"""Stand-ins for the cases of the second review: servers, discovery, clients, and the limiter's process.

They follow the operators' pages (PROTOCOL, DEPLOY) and need the standard library alone. All addresses are loopback
addresses. A case is one run of `run_case`, which gives the exit status: 0 if the rule held, 1 if it was broken, 2 if
the case couldn't run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))  # for the limiter's random numbers and a case's own


class Record:
    """What was sent, answered and run, in `record.txt` of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class CannotRunError(Exception):
    """The case couldn't run, so it says nothing about the rule."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def encode(*parts: str | bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    encoded = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in encoded)


async def read_value(reader: asyncio.StreamReader) -> Any:
    """Read one RESP2 value: bytes, None, a list, an int, or a line as text with its mark."""
    line = await reader.readuntil(b"\r\n")
    mark, rest = line[:1], line[1:-2]
    if mark == b"$":
        if int(rest) < 0:
            return None
        return (await reader.readexactly(int(rest) + 2))[:-2]
    if mark == b"*":
        return [await read_value(reader) for _ in range(int(rest))]
    if mark == b":":
        return int(rest)
    return line[:-2].decode()


class Request:
    """A request as a server reads it."""

    def __init__(self, parts: list[bytes], at_s: float) -> None:
        self.verb = parts[0].decode()
        self.customer = parts[1].decode()
        self.request_id = parts[2].decode()
        self.terms = dict(pair.split("=", 1) for pair in parts[3].decode().split(","))
        self.at_s = at_s


def answer_with(value: bytes) -> bytes:
    """Return a server's answer: the value, no figure on use and no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


class Server:
    """A server. `handle` returns the encoded answer, or None for no answer and an end of the connection."""

    def __init__(self, uid: str, record: Record, handle: Callable[[Request], Awaitable[bytes | None]]) -> None:
        self.uid = uid
        self._record = record
        self._handle = handle
        self.requests: list[Request] = []
        self.connections = 0
        self._server: asyncio.Server | None = None
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Server:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def target(self, state: str = "up", **fields: Any) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": "floor-2",
            "model": "std-2c",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
            **fields,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                parts = await read_value(reader)
                verb = parts[0].upper()
                if verb in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                    continue
                if verb not in (b"API.READ", b"API.WRITE"):
                    writer.write(b"-ERR unknown command\r\n")
                    continue
                request = Request(parts, self._record.now())
                self.requests.append(request)
                self._record.write(f"server {self.uid} got {request.request_id} of {request.customer}")
                answer = await self._handle(request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and reset the connections, as a process that ends does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Discovery:
    """Discovery's agent: the whole list, and watches with an empty line every 2 s.

    Attributes:
        answer_delay_s: The time from a call to the first byte of its answer.
        is_silent: Whether calls get no answer and watches tell nothing.
    """

    def __init__(self, record: Record, targets: list[dict[str, Any]], revision: int = 41) -> None:
        self._record = record
        self.revision = revision
        self.targets = targets
        self.answer_delay_s = 0.0
        self.is_silent = False
        self.calls = 0
        self.answered = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._watches: dict[asyncio.StreamWriter, int] = {}
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the agent's address."""
        return f"{HOST}:{self.port}"

    async def start(self) -> Discovery:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.revision, "all": True, "targets": self.targets}

    def change(self, *changed: dict[str, Any]) -> None:
        """Change the list, and tell each watch."""
        self.revision += 1
        uids = {entry["uid"] for entry in changed}
        kept = [entry for entry in self.targets if entry["uid"] not in uids]
        self.targets = kept + [entry for entry in changed if entry["state"] != "removed"]
        self._record.write(f"discovery has rev {self.revision}: {[(e['uid'], e['state']) for e in changed]}")
        line = {"rev": self.revision, "all": False, "targets": list(changed)}
        for writer in list(self._watches):
            self._tell(writer, line)

    def _tell(self, writer: asyncio.StreamWriter, line: dict[str, Any] | None) -> None:
        if self.is_silent:
            return
        text = b"\n" if line is None else json.dumps(line).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(text), text))
        if line is not None:
            self._watches[writer] = line["rev"]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                self.calls += 1
                number = self.calls
                self._record.write(f"discovery got call {number} {path}")
                await self._wait(self.answer_delay_s, reader)
                while self.is_silent and not reader.at_eof():
                    await self._wait(0.01, reader)
                if writer.is_closing() or reader.at_eof():
                    self._record.write(f"discovery: call {number} was given up before its answer")
                    return
                self.answered += 1
                self._record.write(f"discovery answers call {number} with rev {self.revision}")
                if "watch=1" in path:
                    await self._watch(path, writer)
                    return
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _wait(self, seconds: float, reader: asyncio.StreamReader) -> None:
        """Wait, but no longer than the caller stays."""
        ends_s = time.monotonic() + seconds
        while not reader.at_eof():
            left_s = ends_s - time.monotonic()
            if left_s <= 0.0:
                return
            await asyncio.sleep(min(0.005, left_s))

    async def _watch(self, path: str, writer: asyncio.StreamWriter) -> None:
        after = int(path.split("after=", 1)[1].split("&", 1)[0])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watches[writer] = after
        try:
            if after != self.revision:
                self._tell(writer, self.whole_list())
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self._tell(writer, None)
                await writer.drain()
        finally:
            self._watches.pop(writer, None)

    def end_watches(self) -> None:
        """End all open watches."""
        for writer in list(self._watches):
            writer.transport.abort()

    def close(self) -> None:
        """Take no new connection and close the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()


class Connection:
    """A client's connection to a limiter."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port: int) -> Connection:
        """Connect to a limiter."""
        return cls(*await asyncio.open_connection(HOST, port, limit=1 << 20))

    def send(self, *parts: str | bytes) -> None:
        """Send a command."""
        self.writer.write(encode(*parts))

    async def answer(self, timeout_s: float = 10.0) -> Any:
        """Read the next answer."""
        async with asyncio.timeout(timeout_s):
            return await read_value(self.reader)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def terms(**changes: Any) -> str:
    """Return the list of names and values of a request."""
    values = {"c": "ticket-lookup", "t": "shop", "d": 3000, "units": 1, "spread": 1, "first": 0, **changes}
    return ",".join(f"{name}={value}" for name, value in values.items())


def settings(number: int = 0, limiters: int = 1) -> dict[str, Any]:
    """Return the settings of a small deployment, as in the example of WIRE."""
    return {
        "client-habits": {"marks-retry": False},
        "family-info": {
            "cost-after": False,
            "count-fee": 0.005,
            "count-wait": 50.0,
            "largest": 1,
            "metering": 0.0,
            "peer-intake": 100.0,
            "shared-counter": True,
        },
        "kinds": ["std-2c", "old-2c"],
        "membership-mode": "automatic",
        "ordinal": number,
        "peers-total": limiters,
        "plans": [
            {
                "beyond-costs": 0.5,
                "beyond-earns": 0.0,
                "burst": 400.0,
                "hard-rate": 0.0,
                "hard-slack": 0.0,
                "name": "shop",
                "never-over-depth": 0.0,
                "parallel": 0,
                "price": 0.8,
                "quota-rate": 200.0,
            },
        ],
        "policy-limits": {
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400000,
            "dial-timeout": 250.0,
            "keepalive": 15000.0,
            "max-open": 20000,
            "max-retry-after": 500.0,
            "max-streams": 32,
            "may-cancel": True,
            "most-tries": 6,
            "peers": limiters > 1,
            "probes": False,
            "retry-after": False,
            "second-copies": True,
        },
        "quantum": 4.0,
        "report": {"fields": ["q"], "how": "piggyback"},
        "rules": {
            "ask-every": 10000.0,
            "cold": 17000.0,
            "cold-share": 0.24,
            "drain-grace": 250.0,
            "fall": 1000.0,
            "grace-to-answer": 16.0,
            "tip-multiple": 2.0,
        },
        "services": [
            {
                "credit": 1.0,
                "deadline": 4000.0,
                "dedup-scope": "all",
                "effect": "free",
                "goal-time": 1200.0,
                "late-worth": 0.0,
                "memory-span": 5000.0,
                "name": "ticket-lookup",
                "stream": False,
            }
        ],
        "stages": ["lookup-fleet"],
        "tier": 0,
        "weight-source": "rough",
        "workload": "gate",
        "zone": 0,
        "zones": ["floor-2", "floor-3", "floor-4"],
    }


class Limiter:
    """A limiter's process, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: str, **config: Any) -> None:
        self._record = record
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": f"{SEED:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": None,
            "settings": settings(),
            **config,
        }
        self._folder = folder
        self._path = folder / f"{self.config['name']}.json"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, **changes: Any) -> None:
        """Replace the configuration file, with changes."""
        self.config.update(changes)
        fresh = self._path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config), encoding="utf-8")
        fresh.replace(self._path)

    async def start(self) -> Limiter:
        """Write the configuration file and start the process."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith(("PROXY_", "ELDERLOCK_"))},
            "PROXY_NAME": self.config["name"],
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self._path),
        }
        log = (self._folder / f"{self.config['name']}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
        )
        log.close()
        self._record.write(f"limiter {self.config['name']} started")
        return self

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.write(f"limiter {self.config['name']} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.returncode is not None

    async def wait_for_end(self, limit_s: float) -> bool:
        """Wait until the process has ended; return False after the limit."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            return False
        return True

    def memory_mb(self) -> float:
        """Return the process's own memory in MB: pages that are not shared with files."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024.0
        raise CannotRunError("the memory of a process isn't told here")

    async def ping(self) -> Any:
        """Return the answer to `PING`, or None if there is none."""
        try:
            connection = await Connection.open(self.port)
        except OSError:
            return None
        try:
            connection.send("PING")
            return await connection.answer(1.0)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            return None
        finally:
            connection.close()

    async def wait_until_ready(self, limit_s: float = 30.0) -> float | None:
        """Wait until `PING` gets `+PONG`; return the seconds that it took, or None after the limit."""
        started_s = time.monotonic()
        while time.monotonic() - started_s < limit_s:
            if self.has_ended():
                raise CannotRunError(f"the limiter ended: {self.log()[-500:]}")
            if await self.ping() == "+PONG":
                took_s = time.monotonic() - started_s
                self._record.write(f"limiter {self.config['name']} is ready after {took_s:.2f} s")
                return took_s
            await asyncio.sleep(0.05)
        return None

    def log(self) -> str:
        """Return what the process has logged."""
        return (self._folder / f"{self.config['name']}.log").read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


@contextlib.asynccontextmanager
async def limiter(record: Record, folder: Path, discovery: str, **config: Any) -> AsyncIterator[Limiter]:
    """Start a limiter, and end it at the end of the block."""
    started = Limiter(record, folder, discovery, **config)
    try:
        yield await started.start()
    finally:
        await started.end()
        record.write(f"log of {started.config['name']}:\n{started.log()[-20000:]}")


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[bool]], limit_s: float = 115.0) -> None:
    """Run a case, which returns whether the rule held, and exit."""
    record = Record(folder)
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:

            async def limited() -> bool:
                task = asyncio.current_task()
                assert task is not None
                asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends what was started
                async with asyncio.timeout(limit_s):
                    return await case(record, Path(temporary))

            status = HELD if asyncio.run(limited()) else BROKEN
    except CannotRunError as error:
        record.say(f"can't run: {error}")
    except asyncio.CancelledError:
        record.say("can't run: it was told to end")
    except Exception:  # noqa: BLE001 - whatever it is, the case has not run
        record.say(f"can't run: {traceback.format_exc()}")
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case couldn't run"}[status])
    record.close()
    sys.stdout.flush()
    os._exit(status)
