"""The simulated event loop, network, processes and machines that the shells run on."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import secrets
import signal
import sqlite3
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from elderlock.fleet.agent_store import StoreError
from elderlock.fleet.messages import AuditLine
from elderlock.sim.models.link_conditions import LinkConditions, LinkDelays
from elderlock.sim.virtual import loop as virtual
from elderlock.sim.virtual.host import SimHost
from elderlock.sim.virtual.loop import START_MONOTONIC_S, DeadlockError, LivelockError, SimLoop
from elderlock.sim.virtual.network import Network
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process, context_of, start
from elderlock.sim.virtual.streams import KERNEL_BUFFER_BYTES
from elderlock.sim.virtual.system import RealTimeError, simulated_system

HERE, THERE = Machine("here", "a", "127.0.1.1"), Machine("there", "b", "127.0.1.2")
AT = ("127.0.1.2", 80)


class FaultAtStep:
    """Injects a fault into the n-th step of a kind."""

    def __init__(self, kind: str, number: int, fault: str) -> None:
        self._kind, self._steps_left, self._fault = kind, number, fault

    def at(self, kind: str, process: Process | None) -> str:
        if kind != self._kind:
            return ""
        self._steps_left -= 1
        return self._fault if self._steps_left == 0 else ""


def world(faults: Any = None, **delays: float) -> tuple[SimLoop, Network]:
    loop = SimLoop(1)
    network = Network(loop, LinkConditions(LinkDelays(**delays), random.Random(1)), random.Random(2), faults)
    network.assign_host(HERE.host, HERE)
    network.assign_host(THERE.host, THERE)
    return loop, network


def run(loop: SimLoop, work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    async def main() -> Any:
        return await work()

    try:
        return loop.run_until_complete(main())
    finally:
        loop.discard_pending()
        loop.close()


class RecordingProtocol(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: Any = None
        self.received = b""
        self.reads = 0
        self.lost_errors: list[Exception | None] = []
        self.paused = False
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.reads += 1

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost_errors.append(exc)
        if not self.closed.done():
            self.closed.set_result(None)


async def connect_pair(loop: SimLoop, network: Network) -> tuple[RecordingProtocol, RecordingProtocol, Process]:
    """Returns the ends of a connection from HERE to a server THERE, and the server's process."""
    accepted: list[RecordingProtocol] = []

    def make_protocol() -> RecordingProtocol:
        accepted.append(RecordingProtocol())
        return accepted[-1]

    process = Process(1, "server", THERE)

    async def serve() -> None:
        await loop.create_server(make_protocol, *AT)
        await asyncio.Event().wait()

    start(loop, process, serve)
    await asyncio.sleep(0.1)
    _, client = await context_of(Process(2, "client", HERE)).run(
        loop.create_task, loop.create_connection(RecordingProtocol, *AT)
    )
    await asyncio.sleep(0.1)
    return client, accepted[0], process


def test_the_clock_jumps_over_a_sleep() -> None:
    loop, _ = world()

    async def work() -> float:
        await asyncio.sleep(86_400.0)
        return asyncio.get_running_loop().time()

    assert run(loop, work) == pytest.approx(START_MONOTONIC_S + 86_400.0)


def test_the_seed_determines_the_order_of_timers_due_at_the_same_time() -> None:
    orders = set()
    for seed in range(8):
        loop = SimLoop(seed)
        order: list[int] = []
        for number in range(2):
            loop.call_at(START_MONOTONIC_S + 1.0, order.append, number)
        run(loop, lambda: asyncio.sleep(2.0))
        orders.add(tuple(order))
    assert orders == {(0, 1), (1, 0)}


def test_a_deadlock_names_the_waiting_tasks() -> None:
    loop, _ = world()

    async def work() -> None:
        process = Process(1, "n7", HERE)

        async def stuck() -> None:
            await asyncio.Event().wait()

        start(loop, process, stuck)
        await asyncio.Event().wait()

    with pytest.raises(DeadlockError, match=r"n7 in .*stuck|world in .*work"):
        run(loop, work)


def test_a_livelock_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(virtual, "MAX_STEPS_AT_ONE_TIME", 1000)
    loop, _ = world()

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(LivelockError, match="the clock stays at"):
        run(loop, spin)


def test_bytes_arrive_once_and_in_order_when_reads_are_split() -> None:
    loop, network = world()
    sent = random.Random(3).randbytes(500_000)

    async def work() -> None:
        client, server, _ = await connect_pair(loop, network)
        for at in range(0, len(sent), 7001):
            client.transport.write(sent[at : at + 7001])
        client.transport.close()
        await server.closed
        assert server.received == sent and server.lost_errors == [None]
        assert server.reads > len(sent) / 7001  # some were split

    run(loop, work)


def test_a_paused_reader_pauses_the_writer() -> None:
    loop, network = world()

    async def work() -> None:
        client, server, _ = await connect_pair(loop, network)
        server.transport.pause_reading()
        while not client.paused:
            client.transport.write(b"x" * 10_000)
            await asyncio.sleep(0)
        assert server.received == b""
        server.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert not client.paused and len(server.received) > KERNEL_BUFFER_BYTES

    run(loop, work)


def test_a_half_closed_client_still_receives_data() -> None:
    loop, network = world()

    class HalfOpenProtocol(RecordingProtocol):
        def eof_received(self) -> bool:
            self.transport.write(b"last")
            return True

    async def work() -> None:
        accepted: list[HalfOpenProtocol] = []
        await loop.create_server(lambda: accepted.append(HalfOpenProtocol()) or accepted[-1], *AT)  # type: ignore[func-returns-value]
        _, client = await loop.create_connection(RecordingProtocol, *AT)
        client.transport.write_eof()
        await asyncio.sleep(0.1)
        assert client.received == b"last" and client.lost_errors == []

    run(loop, work)


@pytest.mark.parametrize("fault, received", [("reset", 0), ("half", 5), ("sent", 10), ("late", 10)])
def test_a_write_fails_as_injected(fault: str, received: int) -> None:
    loop, network = world(FaultAtStep("write", 1, fault))

    async def work() -> None:
        client, server, _ = await connect_pair(loop, network)
        client.transport.write(b"0123456789")
        began = loop.time()
        if fault != "late":
            await client.closed
            assert isinstance(client.lost_errors[0], ConnectionResetError)
        while len(server.received) < received:
            await asyncio.sleep(0.1)
        assert server.received == b"0123456789"[:received]
        assert fault != "late" or loop.time() - began > 2.9

    run(loop, work)


@pytest.mark.parametrize(
    "fault, error", [("refused", ConnectionRefusedError), ("silent", TimeoutError), ("reset", None)]
)
def test_a_connect_fails_as_injected(fault: str, error: type[OSError] | None) -> None:
    loop, network = world(FaultAtStep("connect", 1, fault))

    async def work() -> None:
        await loop.create_server(RecordingProtocol, *AT)
        if error is not None:
            with pytest.raises(error):
                await loop.create_connection(RecordingProtocol, *AT)
        else:
            _, client = await loop.create_connection(RecordingProtocol, *AT)
            await client.closed
            assert isinstance(client.lost_errors[0], ConnectionResetError)

    run(loop, work)


def test_a_killed_process_closes_its_streams_and_runs_nothing_more() -> None:
    loop, network = world()
    ran: list[str] = []

    async def work() -> None:
        client, _, process = await connect_pair(loop, network)

        async def clean_up() -> None:
            try:
                await asyncio.sleep(5.0)
            finally:
                ran.append("finally")

        context_of(process).run(loop.create_task, clean_up())
        await asyncio.sleep(0.1)
        process.signal(signal.SIGKILL, loop)
        await client.closed
        assert process.exit_code == -signal.SIGKILL and AT not in network.listening
        await asyncio.sleep(10.0)
        assert ran == []
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(RecordingProtocol, *AT)

    run(loop, work)


def test_a_paused_process_receives_in_order_when_it_continues() -> None:
    loop, network = world()

    async def work() -> None:
        client, server, process = await connect_pair(loop, network)
        process.signal(signal.SIGSTOP, loop)
        for number in range(20):
            client.transport.write(b"%d," % number)
        await asyncio.sleep(2.0)
        assert server.received == b""
        process.signal(signal.SIGCONT, loop)
        await asyncio.sleep(0.1)
        assert server.received == b"".join(b"%d," % n for n in range(20))

    run(loop, work)


def test_a_full_backlog_drops_the_next_connection_attempt() -> None:
    loop, network = world()

    async def work() -> None:
        process = Process(1, "server", THERE)

        async def serve() -> None:
            await loop.create_server(RecordingProtocol, *AT, backlog=3)
            await asyncio.Event().wait()

        start(loop, process, serve)
        await asyncio.sleep(0.1)
        process.signal(signal.SIGSTOP, loop)
        for _ in range(3):
            await loop.create_connection(RecordingProtocol, *AT)
        began = loop.time()
        loop.call_later(0.5, process.signal, signal.SIGCONT, loop)
        await loop.create_connection(RecordingProtocol, *AT)
        assert loop.time() - began >= 1.0  # the SYN was retransmitted

    run(loop, work)


def test_each_process_has_a_limit_of_descriptors() -> None:
    loop, _ = world()
    few = Machine("few", "a", "127.0.1.3", descriptors=3)

    async def work() -> None:
        await loop.create_server(RecordingProtocol, *AT)

        async def dial() -> int:
            for _ in range(3):
                await loop.create_connection(RecordingProtocol, *AT)
            with pytest.raises(OSError) as caught:
                await loop.create_connection(RecordingProtocol, *AT)
            assert caught.value.errno == errno.EMFILE
            return 7

        process = Process(1, "few", few)
        await start(loop, process, dial)
        assert process.exit_code == 7

    run(loop, work)


def test_a_cut_blocks_one_direction_and_its_data_arrives_afterwards() -> None:
    loop, network = world()

    async def work() -> None:
        client, server, _ = await connect_pair(loop, network)
        network.ways.add_cuts([("here", "there")])
        client.transport.write(b"to")
        server.transport.write(b"from")
        await asyncio.sleep(1.0)
        assert server.received == b"" and client.received == b"from"
        network.ways.remove_cuts([("here", "there")])
        await asyncio.sleep(1.0)
        assert server.received == b"to"

    run(loop, work)


def test_datagrams_are_lost_duplicated_and_reordered() -> None:
    loop, network = world(jitter=20.0, datagram_loss=0.1, double=0.05)
    received: list[bytes] = []

    class RecordingDatagramProtocol(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: Any) -> None:
            received.append(data)

    async def work() -> None:
        there = Process(1, "there", THERE)

        async def bind() -> None:
            await loop.create_datagram_endpoint(RecordingDatagramProtocol, local_addr=AT)
            await asyncio.Event().wait()

        start(loop, there, bind)
        await asyncio.sleep(0)
        sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.1.1", 9))
        for number in range(500):
            sender.sendto(b"%03d" % number, AT)
            await asyncio.sleep(0.001)
        await asyncio.sleep(1.0)

    run(loop, work)
    assert 300 < len(set(received)) < 500 and len(received) > len(set(received)) and received != sorted(received)


def test_clocks_and_randomness_are_simulated_only_within_a_run() -> None:
    loop, _ = world()
    before = time.time

    def draw(seed: int) -> list[Any]:
        other_loop = SimLoop(seed)
        with simulated_system(other_loop, seed):
            assert time.time() == pytest.approx(virtual.START_UNIX_S) and time.monotonic() == START_MONOTONIC_S
            with pytest.raises(RealTimeError):
                time.sleep(1.0)
            drawn = [
                random.random(),
                random.Random().random(),
                random.SystemRandom().random(),
                os.urandom(4).hex(),
                secrets.token_hex(4),
                random.Random(5).random(),
            ]
        other_loop.close()
        return drawn

    assert draw(1) == draw(1) and draw(1) != draw(2)
    assert draw(1)[-1] == draw(2)[-1] == random.Random(5).random()  # an explicit seed is kept
    assert time.time is before
    loop.close()


def test_each_machine_has_its_own_clock_and_each_process_its_own_environment() -> None:
    loop, _ = world()
    late = Machine("late", "a", offset=2500.0, drift=0.01)
    process = Process(4242, "p", late, {"WHERE": "here"})

    async def work() -> None:
        observed: list[Any] = []

        async def observe() -> None:
            await asyncio.sleep(100.0)
            observed.extend([time.time(), time.monotonic(), os.getpid(), os.environ["WHERE"]])

        await start(loop, process, observe)
        assert observed == [
            pytest.approx(virtual.START_UNIX_S + 103.5),
            pytest.approx(START_MONOTONIC_S + 101.0),
            4242,
            "here",
        ]
        assert "WHERE" not in os.environ and CURRENT_PROCESS.get() is None

    with simulated_system(loop, 1):
        run(loop, work)


@pytest.mark.parametrize("failure", ["disk-full", "disk-error"])
def test_a_disk_fails_on_command_and_a_killed_agent_keeps_committed_data(failure: str, tmp_path: Path) -> None:
    machine = Machine("m")
    loop, network = world()
    host = SimHost(machine, network.faults, lambda *args: pytest.fail("a process was started"), {}, lambda *args: None)
    line = AuditLine(0.0, "an", "operator", "drain", 1, "")

    async def work() -> None:
        process = Process(1, "agent", machine)

        async def agent() -> None:
            host.lock(tmp_path / "lock")
            store = host.store(tmp_path / "store.db")
            store.save_records([], line)
            machine.disk_failure = failure
            with pytest.raises(StoreError):
                store.save_records([], line)
            with pytest.raises(OSError):
                host.write_private(tmp_path / "file", b"x")
            machine.disk_failure = ""
            await asyncio.Event().wait()

        start(loop, process, agent)
        await asyncio.sleep(0.1)
        with pytest.raises(BlockingIOError):
            host.lock(tmp_path / "lock")
        process.signal(signal.SIGKILL, loop)
        os.close(host.lock(tmp_path / "lock"))
        with sqlite3.connect(tmp_path / "store.db") as database:
            assert database.execute("SELECT count(*) FROM audit").fetchone() == (1,)

    run(loop, work)
