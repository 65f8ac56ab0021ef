"""The loop, the network, processes and machines that the shells run on."""

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
from elderlock.sim.virtual.network import KERNEL_BUFFER_BYTES, Network
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process, context_of, start
from elderlock.sim.virtual.system import RealTimeError, simulated_system

HERE, THERE = Machine("here", "a", "127.0.1.1"), Machine("there", "b", "127.0.1.2")
AT = ("127.0.1.2", 80)


class Scripted:
    """Fails the n-th step of a kind in a way."""

    def __init__(self, kind: str, number: int, way: str) -> None:
        self._kind, self._left, self._way = kind, number, way

    def at(self, kind: str, process: Process | None) -> str:
        if kind != self._kind:
            return ""
        self._left -= 1
        return self._way if self._left == 0 else ""


def world(faults: Any = None, **delays: float) -> tuple[SimLoop, Network]:
    loop = SimLoop(1)
    network = Network(loop, LinkConditions(LinkDelays(**delays), random.Random(1)), random.Random(2), faults)
    network.assign_host(HERE.host, HERE)
    network.assign_host(THERE.host, THERE)
    return loop, network


def run(loop: SimLoop, work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    async def whole() -> Any:
        return await work()

    try:
        return loop.run_until_complete(whole())
    finally:
        loop.discard_pending()
        loop.close()


class Echo(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: Any = None
        self.got = b""
        self.reads = 0
        self.lost: list[Exception | None] = []
        self.paused = False
        self.over = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data
        self.reads += 1

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)
        if not self.over.done():
            self.over.set_result(None)


async def pair(loop: SimLoop, network: Network) -> tuple[Echo, Echo, Process]:
    """A client here and a server there, in a process of its own."""
    served: list[Echo] = []

    def make() -> Echo:
        served.append(Echo())
        return served[-1]

    process = Process(1, "server", THERE)

    async def serve() -> None:
        await loop.create_server(make, *AT)
        await asyncio.Event().wait()

    start(loop, process, serve)
    await asyncio.sleep(0.1)
    _, client = await context_of(Process(2, "client", HERE)).run(loop.create_task, loop.create_connection(Echo, *AT))
    await asyncio.sleep(0.1)
    return client, served[0], process


def test_time_jumps_and_costs_nothing() -> None:
    loop, _ = world()

    async def work() -> float:
        await asyncio.sleep(86_400.0)  # in life this would be the suite's last test
        return asyncio.get_running_loop().time()

    assert run(loop, work) == pytest.approx(START_MONOTONIC_S + 86_400.0)


def test_timers_of_one_instant_come_in_an_order_that_the_seed_gives() -> None:
    orders = set()
    for seed in range(8):
        loop = SimLoop(seed)
        told: list[int] = []
        for number in range(2):
            loop.call_at(START_MONOTONIC_S + 1.0, told.append, number)
        run(loop, lambda: asyncio.sleep(2.0))
        orders.add(tuple(told))
    assert orders == {(0, 1), (1, 0)}


def test_a_deadlock_says_who_waits_for_what() -> None:
    loop, _ = world()

    async def work() -> None:
        process = Process(1, "n7", HERE)

        async def stuck() -> None:
            await asyncio.Event().wait()

        start(loop, process, stuck)
        await asyncio.Event().wait()

    with pytest.raises(DeadlockError, match=r"n7 in .*stuck|world in .*work"):
        run(loop, work)


def test_a_livelock_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(virtual, "MAX_STEPS_AT_ONE_TIME", 1000)
    loop, _ = world()

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(LivelockError, match="the clock stays at"):
        run(loop, spin)


def test_bytes_come_whole_once_and_in_order_however_they_are_cut() -> None:
    loop, network = world()
    sent = random.Random(3).randbytes(500_000)

    async def work() -> None:
        client, server, _ = await pair(loop, network)
        for at in range(0, len(sent), 7001):
            client.transport.write(sent[at : at + 7001])
        client.transport.close()
        await server.over
        assert server.got == sent and server.lost == [None]
        assert server.reads > len(sent) / 7001  # some were split

    run(loop, work)


def test_a_reader_that_pauses_pauses_the_writer() -> None:
    loop, network = world()

    async def work() -> None:
        client, server, _ = await pair(loop, network)
        server.transport.pause_reading()
        while not client.paused:
            client.transport.write(b"x" * 10_000)
            await asyncio.sleep(0)
        assert server.got == b""
        server.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert not client.paused and len(server.got) > KERNEL_BUFFER_BYTES

    run(loop, work)


def test_a_half_closed_end_still_gets_its_answer() -> None:
    loop, network = world()

    class Keeps(Echo):
        def eof_received(self) -> bool:
            self.transport.write(b"last")
            return True

    async def work() -> None:
        made: list[Keeps] = []
        await loop.create_server(lambda: made.append(Keeps()) or made[-1], *AT)  # type: ignore[func-returns-value]
        _, client = await loop.create_connection(Echo, *AT)
        client.transport.write_eof()
        await asyncio.sleep(0.1)
        assert client.got == b"last" and client.lost == []

    run(loop, work)


@pytest.mark.parametrize("way, got", [("reset", 0), ("half", 5), ("sent", 10), ("late", 10)])
def test_a_write_fails_in_each_way(way: str, got: int) -> None:
    loop, network = world(Scripted("write", 1, way))

    async def work() -> None:
        client, server, _ = await pair(loop, network)
        client.transport.write(b"0123456789")
        began = loop.time()
        if way != "late":
            await client.over
            assert isinstance(client.lost[0], ConnectionResetError)
        while len(server.got) < got:
            await asyncio.sleep(0.1)
        assert server.got == b"0123456789"[:got]
        assert way != "late" or loop.time() - began > 2.9

    run(loop, work)


@pytest.mark.parametrize("way, error", [("refused", ConnectionRefusedError), ("silent", TimeoutError), ("reset", None)])
def test_a_connect_fails_in_each_way(way: str, error: type[OSError] | None) -> None:
    loop, network = world(Scripted("connect", 1, way))

    async def work() -> None:
        await loop.create_server(Echo, *AT)
        if error is not None:
            with pytest.raises(error):
                await loop.create_connection(Echo, *AT)
        else:
            _, client = await loop.create_connection(Echo, *AT)
            await client.over
            assert isinstance(client.lost[0], ConnectionResetError)

    run(loop, work)


def test_a_killed_process_resets_its_streams_and_runs_nothing_more() -> None:
    loop, network = world()
    ran: list[str] = []

    async def work() -> None:
        client, _, process = await pair(loop, network)

        async def clean_up() -> None:
            try:
                await asyncio.sleep(5.0)
            finally:
                ran.append("finally")

        context_of(process).run(loop.create_task, clean_up())
        await asyncio.sleep(0.1)
        process.signal(signal.SIGKILL, loop)
        await client.over
        assert process.exit_code == -signal.SIGKILL and AT not in network.listening
        await asyncio.sleep(10.0)
        assert ran == []
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(Echo, *AT)

    run(loop, work)


def test_a_paused_process_gets_what_came_in_its_order() -> None:
    loop, network = world()

    async def work() -> None:
        client, server, process = await pair(loop, network)
        process.signal(signal.SIGSTOP, loop)
        for number in range(20):
            client.transport.write(b"%d," % number)
        await asyncio.sleep(2.0)
        assert server.got == b""
        process.signal(signal.SIGCONT, loop)
        await asyncio.sleep(0.1)
        assert server.got == b"".join(b"%d," % n for n in range(20))

    run(loop, work)


def test_a_backlog_that_is_full_loses_who_comes_next() -> None:
    loop, network = world()

    async def work() -> None:
        process = Process(1, "server", THERE)

        async def serve() -> None:
            await loop.create_server(Echo, *AT, backlog=3)
            await asyncio.Event().wait()

        start(loop, process, serve)
        await asyncio.sleep(0.1)
        process.signal(signal.SIGSTOP, loop)
        for _ in range(3):
            await loop.create_connection(Echo, *AT)
        began = loop.time()
        loop.call_later(0.5, process.signal, signal.SIGCONT, loop)
        await loop.create_connection(Echo, *AT)
        assert loop.time() - began >= 1.0  # its SYN was sent again

    run(loop, work)


def test_descriptors_are_bounded_for_each_process() -> None:
    loop, _ = world()
    few = Machine("few", "a", "127.0.1.3", descriptors=3)

    async def work() -> None:
        await loop.create_server(Echo, *AT)

        async def dial() -> int:
            for _ in range(3):
                await loop.create_connection(Echo, *AT)
            with pytest.raises(OSError) as caught:
                await loop.create_connection(Echo, *AT)
            assert caught.value.errno == errno.EMFILE
            return 7

        process = Process(1, "few", few)
        await start(loop, process, dial)
        assert process.exit_code == 7

    run(loop, work)


def test_a_cut_is_one_way_and_what_waits_comes_after_it() -> None:
    loop, network = world()

    async def work() -> None:
        client, server, _ = await pair(loop, network)
        network.ways.add_cuts([("here", "there")])
        client.transport.write(b"to")
        server.transport.write(b"from")
        await asyncio.sleep(1.0)
        assert server.got == b"" and client.got == b"from"
        network.ways.remove_cuts([("here", "there")])
        await asyncio.sleep(1.0)
        assert server.got == b"to"

    run(loop, work)


def test_datagrams_are_lost_doubled_and_reordered() -> None:
    loop, network = world(jitter=20.0, datagram_loss=0.1, double=0.05)
    got: list[bytes] = []

    class Takes(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: Any) -> None:
            got.append(data)

    async def work() -> None:
        there = Process(1, "there", THERE)

        async def bind() -> None:
            await loop.create_datagram_endpoint(Takes, local_addr=AT)
            await asyncio.Event().wait()

        start(loop, there, bind)
        await asyncio.sleep(0)
        sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.1.1", 9))
        for number in range(500):
            sender.sendto(b"%03d" % number, AT)
            await asyncio.sleep(0.001)
        await asyncio.sleep(1.0)

    run(loop, work)
    assert 300 < len(set(got)) < 500 and len(got) > len(set(got)) and got != sorted(got)


def test_the_clock_and_chance_are_the_simulations_within_a_run_alone() -> None:
    loop, _ = world()
    before = time.time

    def seen(seed: int) -> list[Any]:
        fresh = SimLoop(seed)
        with simulated_system(fresh, seed):
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
        fresh.close()
        return drawn

    assert seen(1) == seen(1) and seen(1) != seen(2)
    assert seen(1)[-1] == seen(2)[-1] == random.Random(5).random()  # a seed that is given stays
    assert time.time is before
    loop.close()


def test_each_machine_has_its_own_clock_and_each_process_its_own_place() -> None:
    loop, _ = world()
    late = Machine("late", "a", offset=2500.0, drift=0.01)
    process = Process(4242, "p", late, {"WHERE": "here"})

    async def work() -> None:
        seen: list[Any] = []

        async def look() -> None:
            await asyncio.sleep(100.0)
            seen.extend([time.time(), time.monotonic(), os.getpid(), os.environ["WHERE"]])

        await start(loop, process, look)
        assert seen == [
            pytest.approx(virtual.START_UNIX_S + 103.5),
            pytest.approx(START_MONOTONIC_S + 101.0),
            4242,
            "here",
        ]
        assert "WHERE" not in os.environ and CURRENT_PROCESS.get() is None

    with simulated_system(loop, 1):
        run(loop, work)


@pytest.mark.parametrize("fails", ["disk-full", "disk-error"])
def test_a_disk_fails_on_command_and_a_killed_agent_keeps_what_it_kept(fails: str, tmp_path: Path) -> None:
    machine = Machine("m")
    loop, network = world()
    host = SimHost(machine, network.faults, lambda *given: pytest.fail("nothing is started"), {}, lambda *given: None)
    line = AuditLine(0.0, "an", "operator", "drain", 1, "")

    async def work() -> None:
        process = Process(1, "agent", machine)

        async def agent() -> None:
            host.lock(tmp_path / "lock")
            store = host.store(tmp_path / "store.db")
            store.save_records([], line)
            machine.disk_failure = fails
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
        with sqlite3.connect(tmp_path / "store.db") as kept:
            assert kept.execute("SELECT count(*) FROM audit").fetchone() == (1,)

    run(loop, work)
