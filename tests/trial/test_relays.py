"""Relays on real sockets: one-way cuts, short repairs, resets, half-closes, limited bandwidth, absent targets."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from elderlock.standins.waiting import run, until
from elderlock.standins.world import random_loopback_host
from elderlock.trial.link_conditions import LinkFaults, Location
from elderlock.trial.relay import DatagramRelay, Relay, Relays
from elderlock.trial.stalls import StallMonitor, summarize

HERE, THERE = Location.of("here", "floor-2"), Location.of("there", "floor-3")
CUT_TO, CUT_FROM = [("here", "there")], [("there", "here")]


class Echo(asyncio.Protocol):
    """Sends back what it receives; records the bytes and how its connections ended."""

    received: list[bytes]
    ends: list[str]
    open: list[asyncio.Transport]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.open.append(self.transport)

    def data_received(self, data: bytes) -> None:
        self.received.append(data)
        self.transport.write(data)

    def eof_received(self) -> bool:
        self.ends.append("eof")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.ends.append("reset" if isinstance(exc, ConnectionResetError) else "end")


def make_echo() -> Any:
    """Make a protocol class of its own, so that two tests never share the recorded bytes."""
    return type("RecordingEcho", (Echo,), {"received": [], "ends": [], "open": []})


class Setup:
    """An echo server behind a relay."""

    def __init__(self) -> None:
        self.link_faults = LinkFaults()
        self.relays = Relays(self.link_faults)
        self.echo: Any = make_echo()
        self.server: asyncio.Server | None = None
        self.address = (random_loopback_host(random.SystemRandom()), 0)

    async def listen(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(self.echo, *self.address)
        self.address = self.server.sockets[0].getsockname()

    async def relay(self) -> Relay:
        await self.listen()
        relay = self.relays.add(
            Relay(self.link_faults, HERE, THERE, self.address), (random_loopback_host(random.SystemRandom()), 0)
        )
        self.relays.watch()
        return relay

    async def connect(self, relay: Relay) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = relay.endpoint.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    @property
    def received(self) -> bytes:
        return b"".join(self.echo.received)


def run_with_relay(test: Callable[[Setup, Relay], Coroutine[Any, Any, None]]) -> None:
    async def run_test() -> None:
        setup = Setup()
        relay = await setup.relay()
        try:
            await test(setup, relay)
        finally:
            setup.relays.close()
            if setup.server is not None:
                setup.server.close()

    run(run_test())


def test_one_direction_is_cut_and_the_other_goes_on() -> None:
    async def test(setup: Setup, relay: Relay) -> None:
        reader, writer = await setup.connect(relay)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        setup.relays.inject("cut", CUT_FROM)
        writer.write(b"two")
        await until(lambda: setup.received == b"onetwo")  # it arrived, and its echo is held back
        setup.relays.inject("cut", CUT_TO)
        setup.relays.clear("cut", CUT_FROM)
        assert await reader.readexactly(3) == b"two"
        writer.write(b"six")
        setup.echo.open[0].write(b"!")
        assert await reader.readexactly(1) == b"!" and setup.received == b"onetwo"
        setup.relays.clear("cut", CUT_TO)
        assert await reader.readexactly(3) == b"six"

    run_with_relay(test)


def test_a_link_that_is_repaired_for_50_ms_at_a_time_loses_and_repeats_nothing() -> None:
    async def test(setup: Setup, relay: Relay) -> None:
        reader, writer = await setup.connect(relay)
        sent = b"".join(b"%04d " % n for n in range(2000))

        async def flap() -> None:
            while True:
                setup.relays.inject("cut", CUT_TO)
                await asyncio.sleep(0.03)
                setup.relays.clear("cut", CUT_TO)
                await asyncio.sleep(0.05)

        flapping = asyncio.ensure_future(flap())
        for at in range(0, len(sent), 500):
            writer.write(sent[at : at + 500])
            await asyncio.sleep(0.01)
        assert await reader.readexactly(len(sent)) == sent and setup.received == sent
        flapping.cancel()

    run_with_relay(test)


def test_connections_wait_while_the_link_is_cut_and_are_established_afterwards() -> None:
    async def test(setup: Setup, relay: Relay) -> None:
        reader, writer = await setup.connect(relay)
        setup.relays.inject("cut", CUT_TO)
        host, _, port = relay.endpoint.rpartition(":")
        waiting = [socket.socket() for _ in range(3)]
        for sock in waiting:
            sock.setblocking(False)
            assert sock.connect_ex((host, int(port))) != 0
        writer.write(b"x")
        for _ in range(20):  # no connection is established in many turns of the event loop
            await asyncio.sleep(0.005)
        for sock in waiting:
            with pytest.raises(OSError):
                sock.getpeername()
        assert relay.accepted_count == 1 and setup.received == b""
        setup.relays.clear("cut", CUT_TO)
        assert await reader.readexactly(1) == b"x"

        def is_connected(sock: socket.socket) -> bool:
            try:
                sock.getpeername()
            except OSError:
                return False
            return True

        await until(lambda: all(is_connected(sock) for sock in waiting))  # the kernel retries the SYN
        await until(lambda: relay.accepted_count == 4)
        for sock in waiting:
            sock.close()

    run_with_relay(test)


def test_resets_half_closes_and_ends_are_passed_on_as_such() -> None:
    async def test(setup: Setup, relay: Relay) -> None:
        reader, writer = await setup.connect(relay)
        writer.write(b"a")
        await reader.readexactly(1)
        relay.half_close(towards_target=True)
        await until(lambda: setup.echo.ends == ["eof"])
        writer.write(b"lost")
        setup.echo.open[0].write(b"still")
        assert await reader.readexactly(5) == b"still" and setup.received == b"a"
        relay.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        reader, writer = await setup.connect(relay)
        writer.write(b"b")
        await reader.readexactly(1)
        writer.close()
        await until(lambda: setup.echo.ends[-1] == "eof")
        setup.echo.open[-1].close()
        await until(lambda: not relay.connections)

    run_with_relay(test)


def test_the_end_of_a_connection_does_not_cross_a_cut() -> None:
    async def test(setup: Setup, relay: Relay) -> None:
        reader, writer = await setup.connect(relay)
        writer.write(b"a")
        await reader.readexactly(1)
        setup.relays.inject("cut", [*CUT_TO, *CUT_FROM])
        setup.echo.open[0].abort()
        writer.write(b"b")
        for _ in range(20):
            await asyncio.sleep(0.005)
        assert not reader.at_eof() and relay.connections
        setup.relays.clear("cut", [*CUT_TO, *CUT_FROM])
        assert await reader.read(1) == b""

    run_with_relay(test)


def test_limited_bandwidth_and_delay_keep_the_order_and_slow_down_a_fast_sender() -> None:
    async def test(setup: Setup, relay: Relay) -> None:
        setup.relays.inject("late", CUT_TO, 20.0)
        setup.relays.inject("trickle", CUT_TO, 400_000.0)
        reader, writer = await setup.connect(relay)
        sent = random.Random(1).randbytes(100_000)
        started_s = time.monotonic()
        writer.write(sent)
        assert await reader.readexactly(len(sent)) == sent
        assert time.monotonic() - started_s > 0.2  # by the bandwidth of 400 kB/s, however fast the machine is
        setup.relays.clear("trickle", CUT_TO, 400_000.0)
        setup.relays.inject("cut", CUT_TO)
        flood = b"x" * (8 << 20)
        writer.write(flood)
        await until(lambda: next(iter(relay.connections)).target.outgoing.size > 1 << 20)
        buffered = next(iter(relay.connections)).target.outgoing.size
        assert buffered < 3 << 20  # the relay buffers a bounded part of what is sent
        writer.transport.abort()

    run_with_relay(test)


def test_a_relay_refuses_connections_until_its_target_listens_again() -> None:
    async def test(setup: Setup, relay: Relay) -> None:
        assert setup.server is not None
        setup.server.close()
        await setup.server.wait_closed()
        with pytest.raises(OSError):  # the relay notices by the first connection, and refuses further ones
            reader, _ = await setup.connect(relay)
            await reader.readexactly(1)
        await until(lambda: not relay.listening)
        with pytest.raises(ConnectionRefusedError):
            await setup.connect(relay)
        await setup.listen()
        await until(lambda: relay.listening)
        reader, writer = await setup.connect(relay)
        writer.write(b"again")
        assert await reader.readexactly(5) == b"again"

    run_with_relay(test)


def test_a_unix_socket_is_relayed_too(tmp_path: Path) -> None:
    async def test() -> None:
        link_faults = LinkFaults()
        relays = Relays(link_faults)
        target_path, relay_path = tmp_path / "c.sock.own", tmp_path / "c.sock"
        echo: Any = make_echo()
        relay = relays.add(Relay(link_faults, HERE, THERE, str(target_path)), str(relay_path), listens=False)
        relays.watch()
        assert not relay_path.exists()
        server = await asyncio.get_running_loop().create_unix_server(echo, str(target_path))
        await until(lambda: relay.listening)
        reader, writer = await asyncio.open_unix_connection(str(relay_path))
        relays.inject("cut", CUT_TO)
        writer.write(b"x")
        for _ in range(10):
            await asyncio.sleep(0.005)
        assert echo.received == []
        relays.clear("cut", CUT_TO)
        assert await reader.readexactly(1) == b"x"
        server.close()
        relays.close()
        assert not relay_path.exists()

    run(test())


def test_datagrams_are_cut_in_one_direction_only() -> None:
    async def test() -> None:
        link_faults = LinkFaults()
        locations = [Location.of(f"n{n}") for n in range(3)]
        datagrams = DatagramRelay(link_faults, locations, random.Random(1))
        await datagrams.open()
        received: list[tuple[int, int, bytes]] = []
        datagrams.on_delivered = lambda owner, receiver, data: received.append((owner, receiver, data))
        sockets = []
        for listen in datagrams.listens:
            host, _, port = listen.rpartition(":")
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((host, int(port)))
            sockets.append(sock)

        def send(owner: int, to: str, data: bytes) -> None:
            host, _, port = to.rpartition(":")
            sockets[owner].sendto(data, (host, int(port)))

        link_faults.inject("cut", [("n0", "n1")])
        send(0, datagrams.peers(0)[1], b"lost")
        send(1, datagrams.peers(1)[0], b"heard")
        send(0, datagrams.everyone(0), b"all")
        await until(lambda: len(received) == 2 and datagrams.dropped == 2)
        assert set(received) == {(1, 0, b"heard"), (0, 2, b"all")}
        sockets[0].setblocking(False)
        data, sender = sockets[0].recvfrom(64)
        assert data == b"heard" and "%s:%d" % sender == datagrams.peers(0)[1]  # the address by which n0 knows n1
        link_faults.clear("cut", [("n0", "n1")])
        link_faults.inject("duplicate", [("n0", "n1")])
        send(0, datagrams.peers(0)[1], b"twice")
        await until(lambda: received.count((0, 1, b"twice")) == 2)
        datagrams.close()
        for sock in sockets:
            sock.close()

    run(test())


def test_a_stall_of_the_runner_is_recorded() -> None:
    async def test() -> None:
        started_s = time.monotonic()
        monitor = StallMonitor(lambda: (time.monotonic() - started_s) * 1000.0, dict)
        monitor.start()
        await asyncio.sleep(0.02)
        time.sleep(0.5)  # blocks the event loop, and so all relays
        # on a busy machine other stalls may follow
        await until(lambda: any(stall.duration_ms > 400.0 for stall in monitor.stalls))
        assert "stalled for" in summarize(monitor.stalls, 1000.0).text
        monitor.stop()

    run(test())
