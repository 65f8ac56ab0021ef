"""A process stays within its memory limit, whatever its clients send."""

import asyncio
import gc
import socket
import subprocess
import sys
import weakref
from pathlib import Path

import hiredis
import pytest
from programs import connect_when_ready, free_port, start_program
from test_endings import connection_of

from elderlock.net import memory_budget
from elderlock.net.memory_budget import MemoryBudget
from elderlock.standins.discovery import Discovery
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server
from elderlock.standins.settings import CUSTOMER, raw_config, target, terms
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT

MEMORY_MB = 64
CLIENTS = 300
WAVES = 5
MEMORY_MB_OF_NEW_CUSTOMERS = 48
NEW_CUSTOMERS = 25_000
CUSTOMERS_AT_ONCE = 100
PARENT_MB = 300
KB_PER_MB = 1024
LARGE_COMMAND: bytes = hiredis.pack_command(("API.WRITE", CUSTOMER, "large", terms(), "x" * 65_000))  # type: ignore[arg-type]
HALF_A_COMMAND = LARGE_COMMAND[:-100]
MANY_ARGUMENTS = b"*16\r\n" + (b"$4000\r\n" + b"x" * 4000 + b"\r\n") * 15


def peak_memory_mb(process_id: int) -> float:
    """Return the most memory that a process has had at once."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / KB_PER_MB


@pytest.mark.parametrize("unfinished", [HALF_A_COMMAND, MANY_ARGUMENTS], ids=["half", "many-arguments"])
def test_process_stays_within_its_limit_under_large_incomplete_commands(tmp_path: Path, unfinished: bytes) -> None:
    """Guards against: hundreds of clients that stop half way through a command take the process over its memory limit."""

    async def test() -> None:
        server = await Server().start()
        agent = await Discovery({"rev": 1, "all": True, "targets": [target("s", server.endpoint)]}).start()
        port = free_port()
        raw = raw_config(f"127.0.0.1:{port}", "%s:%d" % agent.address)
        raw["limits"]["memory_mb"] = MEMORY_MB
        process = await start_program(tmp_path / "config.json", raw)
        usual = await connect_when_ready(port)
        for wave in range(WAVES):
            clients = [await asyncio.open_connection("127.0.0.1", port) for _ in range(CLIENTS)]
            for _, writer in clients:
                writer.write(unfinished)
            await asyncio.gather(*(writer.drain() for _, writer in clients))
            assert await usual.ask(f"wave-{wave}") == b"value"
            for _, writer in clients:
                writer.transport.abort()
        assert peak_memory_mb(process.pid) < MEMORY_MB
        process.kill()
        await process.wait()

    run(test())


def test_process_stays_within_its_limit_under_requests_of_ever_new_customers(tmp_path: Path) -> None:
    """Guards against: memory grows with each new name while one client sends rejected requests at full speed."""

    async def test() -> None:
        server = await Server().start()
        agent = await Discovery({"rev": 1, "all": True, "targets": [target("s", server.endpoint)]}).start()
        port = free_port()
        raw = raw_config(f"127.0.0.1:{port}", "%s:%d" % agent.address)
        raw["limits"]["memory_mb"] = MEMORY_MB_OF_NEW_CUSTOMERS
        process = await start_program(tmp_path / "config.json", raw)
        client = await connect_when_ready(port)
        for first in range(0, NEW_CUSTOMERS, CUSTOMERS_AT_ONCE):
            for number in range(first, first + CUSTOMERS_AT_ONCE):
                client.send("API.READ", f"{number:016x}", f"{number}", terms(t="tiny", units=4))
            for _ in range(CUSTOMERS_AT_ONCE):
                assert "BUSY" in str(await client.answer())
        assert peak_memory_mb(process.pid) < MEMORY_MB_OF_NEW_CUSTOMERS
        process.kill()
        await process.wait()

    run(test())


def test_input_of_a_closed_connection_is_freed_without_garbage_collection() -> None:
    """Guards against: connections that have ended keep what they received until the collector happens to run."""

    async def test() -> None:
        limiter = await Limiter.start()
        client = socket.create_connection(("127.0.0.1", limiter.port))
        client.send(HALF_A_COMMAND[:8000])
        await until(lambda: len(limiter.clients) == 1 and connection_of(limiter).unhandled_bytes() > 0)
        connection = weakref.ref(connection_of(limiter))
        client.close()
        await until(lambda: not len(limiter.clients))
        await until(lambda: connection() is None)

    gc.collect()
    gc.disable()
    try:
        run(test())
    finally:
        gc.enable()


@pytest.mark.parametrize("memory_mb", [32.0, 64.0, 192.0])
def test_parts_of_the_budget_leave_room_for_the_program(memory_mb: float) -> None:
    for program_mb in (15.0, 27.0, 500.0):
        budget = MemoryBudget.of(memory_mb, program_mb)
        held_mb = (budget.requests + 2 * budget.input + budget.remembered_ids + budget.accounts) / 2**20
        assert 0 < held_mb <= max(memory_mb - program_mb, memory_mb / 8)


def test_measured_memory_of_the_program_is_its_own() -> None:
    """Guards against: a limiter that a large process starts takes that process's memory for its own, and holds little."""
    ballast = bytearray(PARENT_MB << 20)
    ballast[:: 1 << 12] = b"x" * len(ballast[:: 1 << 12])  # touches each page
    code = "from elderlock.net.memory_budget import measured_program_mb; print(measured_program_mb())"
    completed = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert 1.0 < float(completed.stdout) < PARENT_MB
    assert len(ballast) == PARENT_MB << 20


def test_memory_of_the_program_that_the_system_does_not_tell_counts_as_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(memory_budget, "MEMORY_PATH", tmp_path / "missing")
    assert memory_budget.measured_program_mb() == 0.0
