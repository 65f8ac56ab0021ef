"""Relays on real sockets: cuts of one direction, heals of 50 ms, resets, half closes, trickles, what is away."""

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
from elderlock.trial.lateness import Watch
from elderlock.trial.lateness import judged as lateness
from elderlock.trial.relay import Datagrams, Relay, Relays
from elderlock.trial.weather import Place, Ways

HERE, THERE = Place.of("here", "floor-2"), Place.of("there", "floor-3")
CUT_TO, CUT_FROM = [("here", "there")], [("there", "here")]


class Echo(asyncio.Protocol):
    """Answers all it gets; keeps what came and how its connections ended."""

    got: list[bytes]
    ends: list[str]
    open: list[asyncio.Transport]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.open.append(self.transport)

    def data_received(self, data: bytes) -> None:
        self.got.append(data)
        self.transport.write(data)

    def eof_received(self) -> bool:
        self.ends.append("eof")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.ends.append("reset" if isinstance(exc, ConnectionResetError) else "end")


class Bench:
    def __init__(self) -> None:
        self.ways = Ways()
        self.relays = Relays(self.ways)
        self.echo: Any = type("Heard", (Echo,), {"got": [], "ends": [], "open": []})
        self.server: asyncio.Server | None = None
        self.at = (random_loopback_host(random.SystemRandom()), 0)

    async def listen(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(self.echo, *self.at)
        self.at = self.server.sockets[0].getsockname()

    async def relay(self) -> Relay:
        await self.listen()
        relay = self.relays.add(
            Relay(self.ways, HERE, THERE, self.at), (random_loopback_host(random.SystemRandom()), 0)
        )
        self.relays.watch()
        return relay

    async def connect(self, relay: Relay) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = relay.endpoint.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    @property
    def heard(self) -> bytes:
        return b"".join(self.echo.got)


def bench(test: Callable[[Bench, Relay], Coroutine[Any, Any, None]]) -> None:
    async def whole() -> None:
        made = Bench()
        relay = await made.relay()
        try:
            await test(made, relay)
        finally:
            made.relays.close()
            if made.server is not None:
                made.server.close()

    run(whole())


def test_one_direction_is_cut_and_the_other_goes_on() -> None:
    async def test(b: Bench, relay: Relay) -> None:
        reader, writer = await b.connect(relay)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        b.relays.befall("cut", CUT_FROM)
        writer.write(b"two")
        await until(lambda: b.heard == b"onetwo")  # it came; its answer does not
        b.relays.befall("cut", CUT_TO)
        b.relays.mend("cut", CUT_FROM)
        assert await reader.readexactly(3) == b"two"
        writer.write(b"six")
        b.echo.open[0].write(b"!")
        assert await reader.readexactly(1) == b"!" and b.heard == b"onetwo"
        b.relays.mend("cut", CUT_TO)
        assert await reader.readexactly(3) == b"six"

    bench(test)


def test_a_cut_that_heals_for_50_ms_at_a_time_loses_and_repeats_nothing() -> None:
    async def test(b: Bench, relay: Relay) -> None:
        reader, writer = await b.connect(relay)
        sent = b"".join(b"%04d " % n for n in range(2000))

        async def flap() -> None:
            while True:
                b.relays.befall("cut", CUT_TO)
                await asyncio.sleep(0.03)
                b.relays.mend("cut", CUT_TO)
                await asyncio.sleep(0.05)

        flapping = asyncio.ensure_future(flap())
        for at in range(0, len(sent), 500):
            writer.write(sent[at : at + 500])
            await asyncio.sleep(0.01)
        assert await reader.readexactly(len(sent)) == sent and b.heard == sent
        flapping.cancel()

    bench(test)


def test_no_connection_comes_up_while_it_is_cut_and_those_that_wait_do_afterwards() -> None:
    async def test(b: Bench, relay: Relay) -> None:
        reader, writer = await b.connect(relay)
        b.relays.befall("cut", CUT_TO)
        host, _, port = relay.endpoint.rpartition(":")
        waiting = [socket.socket() for _ in range(3)]
        for sock in waiting:
            sock.setblocking(False)
            assert sock.connect_ex((host, int(port))) != 0
        writer.write(b"x")
        for _ in range(20):  # many turns of the loop, and nothing has come up
            await asyncio.sleep(0.005)
        for sock in waiting:
            with pytest.raises(OSError):
                sock.getpeername()
        assert relay.taken == 1 and b.heard == b""
        b.relays.mend("cut", CUT_TO)
        assert await reader.readexactly(1) == b"x"

        def up(sock: socket.socket) -> bool:
            try:
                sock.getpeername()
            except OSError:
                return False
            return True

        await until(lambda: all(up(sock) for sock in waiting))  # by the kernel's own next SYN
        await until(lambda: relay.taken == 4)
        for sock in waiting:
            sock.close()

    bench(test)


def test_a_reset_a_half_close_and_an_end_come_through_as_what_they_are() -> None:
    async def test(b: Bench, relay: Relay) -> None:
        reader, writer = await b.connect(relay)
        writer.write(b"a")
        await reader.readexactly(1)
        relay.half_close(towards_target=True)
        await until(lambda: b.echo.ends == ["eof"])
        writer.write(b"lost")
        b.echo.open[0].write(b"still")
        assert await reader.readexactly(5) == b"still" and b.heard == b"a"
        relay.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        reader, writer = await b.connect(relay)
        writer.write(b"b")
        await reader.readexactly(1)
        writer.close()
        await until(lambda: b.echo.ends[-1] == "eof")
        b.echo.open[-1].close()
        await until(lambda: not relay.links)

    bench(test)


def test_the_end_of_a_connection_does_not_cross_a_cut() -> None:
    async def test(b: Bench, relay: Relay) -> None:
        reader, writer = await b.connect(relay)
        writer.write(b"a")
        await reader.readexactly(1)
        b.relays.befall("cut", [*CUT_TO, *CUT_FROM])
        b.echo.open[0].abort()
        writer.write(b"b")
        for _ in range(20):
            await asyncio.sleep(0.005)
        assert not reader.at_eof() and relay.links
        b.relays.mend("cut", [*CUT_TO, *CUT_FROM])
        assert await reader.read(1) == b""

    bench(test)


def test_a_trickle_and_a_delay_keep_the_order_and_hold_back_a_fast_sender() -> None:
    async def test(b: Bench, relay: Relay) -> None:
        b.relays.befall("late", CUT_TO, 20.0)
        b.relays.befall("trickle", CUT_TO, 400_000.0)
        reader, writer = await b.connect(relay)
        sent = random.Random(1).randbytes(100_000)
        began = time.monotonic()
        writer.write(sent)
        assert await reader.readexactly(len(sent)) == sent
        assert time.monotonic() - began > 0.2  # 400 kB a second: not a bound on the machine, but on the relay
        b.relays.mend("trickle", CUT_TO, 400_000.0)
        b.relays.befall("cut", CUT_TO)
        flood = b"x" * (8 << 20)
        writer.write(flood)
        await until(lambda: next(iter(relay.links)).target.out.size > 1 << 20)
        held = next(iter(relay.links)).target.out.size
        assert held < 3 << 20  # what it holds of a flood is bounded
        writer.transport.abort()

    bench(test)


def test_what_is_away_refuses_and_is_back_when_it_listens_again() -> None:
    async def test(b: Bench, relay: Relay) -> None:
        assert b.server is not None
        b.server.close()
        await b.server.wait_closed()
        with pytest.raises(OSError):  # the first finds out, the others are refused
            reader, _ = await b.connect(relay)
            await reader.readexactly(1)
        await until(lambda: not relay.listening)
        with pytest.raises(ConnectionRefusedError):
            await b.connect(relay)
        await b.listen()
        await until(lambda: relay.listening)
        reader, writer = await b.connect(relay)
        writer.write(b"again")
        assert await reader.readexactly(5) == b"again"

    bench(test)


def test_a_unix_socket_goes_through_one_too(tmp_path: Path) -> None:
    async def test() -> None:
        ways = Ways()
        relays = Relays(ways)
        own, shown = tmp_path / "c.sock.own", tmp_path / "c.sock"
        echo: Any = type("Heard", (Echo,), {"got": [], "ends": [], "open": []})
        relay = relays.add(Relay(ways, HERE, THERE, str(own)), str(shown), listens=False)
        relays.watch()
        assert not shown.exists()
        server = await asyncio.get_running_loop().create_unix_server(echo, str(own))
        await until(lambda: relay.listening)
        reader, writer = await asyncio.open_unix_connection(str(shown))
        relays.befall("cut", CUT_TO)
        writer.write(b"x")
        for _ in range(10):
            await asyncio.sleep(0.005)
        assert echo.got == []
        relays.mend("cut", CUT_TO)
        assert await reader.readexactly(1) == b"x"
        server.close()
        relays.close()
        assert not shown.exists()

    run(test())


def test_datagrams_are_cut_one_way_while_the_other_way_lives() -> None:
    async def test() -> None:
        ways = Ways()
        places = [Place.of(f"n{n}") for n in range(3)]
        net = Datagrams(ways, places, random.Random(1))
        await net.open()
        seen: list[tuple[int, int, bytes]] = []
        net.on_delivered = lambda owner, receiver, data: seen.append((owner, receiver, data))
        socks = []
        for listen in net.listens:
            host, _, port = listen.rpartition(":")
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((host, int(port)))
            socks.append(sock)

        def send(owner: int, to: str, data: bytes) -> None:
            host, _, port = to.rpartition(":")
            socks[owner].sendto(data, (host, int(port)))

        ways.befall("cut", [("n0", "n1")])
        send(0, net.peers(0)[1], b"lost")
        send(1, net.peers(1)[0], b"heard")
        send(0, net.everyone(0), b"all")
        await until(lambda: len(seen) == 2 and net.dropped == 2)
        assert set(seen) == {(1, 0, b"heard"), (0, 2, b"all")}
        socks[0].setblocking(False)
        data, came = socks[0].recvfrom(64)
        assert data == b"heard" and "%s:%d" % came == net.peers(0)[1]  # from where it knows n1
        ways.mend("cut", [("n0", "n1")])
        ways.befall("duplicate", [("n0", "n1")])
        send(0, net.peers(0)[1], b"twice")
        await until(lambda: seen.count((0, 1, b"twice")) == 2)
        net.close()
        for sock in socks:
            sock.close()

    run(test())


def test_a_runner_that_stands_still_knows_it() -> None:
    async def test() -> None:
        began = time.monotonic()
        watch = Watch(lambda: (time.monotonic() - began) * 1000.0, dict)
        watch.start()
        await asyncio.sleep(0.02)
        time.sleep(0.5)  # the failure itself: the loop, and all relays with it, stand still
        # a busy machine may add others after it
        await until(lambda: any(stall.lasts > 400.0 for stall in watch.stalls))
        assert "stood still" in lateness(watch.stalls, 1000.0).text
        watch.stop()

    run(test())
