"""The fakes speak the real protocols, and injected faults take effect.

If an injected fault had no effect, every test that relies on it would pass without testing anything.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import hiredis
import pytest

from elderlock.net.config import parse_config
from elderlock.net.discovery import Discovery as Watcher
from elderlock.net.endpoint_list import EndpointList
from elderlock.net.peers import PeerTransport
from elderlock.standins import servers
from elderlock.standins.counter import Counter
from elderlock.standins.discovery import Registry
from elderlock.standins.listener import Fault
from elderlock.standins.network import Network
from elderlock.standins.servers import MISSING, OLD, STD, Server, SimulatedServer
from elderlock.standins.settings import raw_config, terms
from elderlock.standins.waiting import run, unix_ms, until


async def exchange(port: int, *commands: tuple[str, ...], within: float = 5.0) -> list[object]:
    """Returns the answers, followed by 'end', 'reset' or 'silence' if the connection failed before the last answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    parser = hiredis.Reader(notEnoughData=MISSING)
    received: list[object] = []
    try:
        for command in commands:
            writer.write(hiredis.pack_command(command))  # type: ignore[arg-type]
            while (answer := parser.gets()) is MISSING:
                async with asyncio.timeout(within):
                    data = await reader.read(4096)
                if not data:
                    return [*received, "end"]
                parser.feed(data)
            received.append(answer)
    except TimeoutError:
        return [*received, "silence"]
    except ConnectionError:
        return [*received, "reset"]
    finally:
        writer.transport.abort()
    return received


READ_COMMAND = ("API.READ", "0" * 16, "r1", terms())


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (Fault.SILENT, ["silence"]),
        (Fault.RESET, ["reset"]),
        (Fault.EMPTY, ["end"]),
        (Fault.HALF, ["silence"]),
        (Fault.SLOW, [[b"value", None, b"queue=2"]]),
        (Fault.NONE, [[b"value", None, b"queue=2"]]),
    ],
)
def test_a_fault_affects_its_port_and_no_other(fault: Fault, expected: list[object]) -> None:
    async def test() -> None:
        server = Server()
        await server.open(2)
        await server.fail(fault, [0], delay=0.05)
        timeout_s = 0.3 if expected == ["silence"] else 5.0
        assert await exchange(server.ports[0].port, READ_COMMAND, within=timeout_s) == expected
        assert await exchange(server.ports[1].port, READ_COMMAND) == [[b"value", None, b"queue=2"]]
        await server.close()

    run(test())


def test_a_refusing_port_accepts_no_connection_and_reopens_with_the_same_number() -> None:
    async def test() -> None:
        server = await Server().start()
        port = server.ports[0].port
        await server.fail(Fault.REFUSING)
        with pytest.raises(ConnectionRefusedError):
            await exchange(port, READ_COMMAND)
        await server.fail(Fault.NONE)
        assert len(await exchange(port, READ_COMMAND)) == 1 and server.ports[0].port == port
        await server.close()

    run(test())


class HeldTimers(servers._LoopTime):
    """Real time whose timers only start to run with `release`."""

    def __init__(self) -> None:
        self.held: list[tuple[float, Callable[..., None], tuple[Any, ...]]] | None = []

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        if self.held is None:
            return super().after(wait, do, *args)
        self.held.append((wait, do, args))
        return super().after(1e9, do, *args)

    def release(self) -> None:
        held, self.held = self.held or [], None
        for wait, do, args in held:
            self.after(wait, do, *args)


def test_a_server_queues_and_refuses_requests_reports_its_load_and_warms_up() -> None:
    async def test() -> None:
        server = SimulatedServer("s", STD, "floor-2", seed=1)
        await server.open()
        server.model._time = timers = HeldTimers()
        tasks = [
            asyncio.create_task(exchange(server.ports[0].port, READ_COMMAND, within=60.0))
            for _ in range(server.kind.cores + server.kind.shape.room + 5)
        ]
        await until(lambda: len(server.sent) == len(tasks))  # all requests have arrived before the first one ends
        timers.release()
        answers = [answer for task in tasks for answer in await task]
        busy = [answer for answer in answers if isinstance(answer, hiredis.ReplyError)]
        served = [answer for answer in answers if isinstance(answer, list)]
        assert len(busy) == 5 and str(busy[0]) == f"BUSY queue={server.kind.shape.room}"
        assert len(served) == server.kind.cores + server.kind.shape.room and served[0][0] == b"box=s request=r1"
        assert {answer[2] for answer in served} > {b"queue=0"}  # the queue became shorter while requests were processed
        assert len(server.sent) == len(tasks) and {command.port_index for command in server.sent} == {0}
        assert server.model.pace(unix_ms()) == STD.speed > OLD.speed
        await server.restart()
        cold_pace = server.model.pace(server.boot_ms)
        assert cold_pace == pytest.approx(STD.shape.cold_share)
        assert server.model.pace(server.boot_ms + STD.shape.cold_ms) == STD.speed
        await server.close()

    run(test(), within=60.0)


def test_the_counter_adds_refuses_invalid_calls_and_loses_its_counts() -> None:
    async def test() -> None:
        counter = Counter()
        await counter.open()
        port = counter.ports[0].port
        add_command = ("TALLY", "a", "2.5", "60000")
        assert await exchange(port, ("PING",), add_command, ("TALLY", "a", "-1", "60000")) == [b"PONG", b"2.5", b"1.5"]
        invalid_commands = (("TALLY", "b", "1", "x"), ("TALLY", "", "1", "5"), ("TALLY", "a", "2e9", "5"))
        answers = await exchange(port, add_command, *invalid_commands)
        assert answers[0] == b"4" and [str(answer) for answer in answers[1:]] == ["ERR no such call"] * 3
        counter.lose()
        assert await exchange(port, add_command) == [b"2.5"]
        await counter.close()

    run(test())


def test_discovery_sends_each_limiter_its_own_endpoints_and_their_changes() -> None:
    async def test() -> None:
        registry = Registry()
        await registry.discovery.start(2)
        listed_servers = [SimulatedServer(f"s-{number}", STD, "a", number) for number in range(2)]
        for server in listed_servers:
            await server.open(2)
        registry.add(listed_servers[0])
        lists: list[EndpointList] = []
        watcher = Watcher(parse_config(raw_config()).socket_settings, lists.append)
        watcher.follow(("127.0.0.1", registry.discovery.ports[1].port))
        await until(lambda: bool(lists))
        # without a watch, changes would arrive as a complete list
        await until(lambda: bool(registry.discovery.watch_ports))
        assert lists[0].is_complete and lists[0].servers[0].address[1] == listed_servers[0].ports[1].port
        registry.add(listed_servers[1])
        registry.remove("s-0")
        await until(lambda: lists[-1].version == registry.discovery.rev)
        states = [
            (listed.entry.server_id, listed.entry.state.value) for change in lists[1:] for listed in change.servers
        ]
        assert ("s-1", "running") in states and states[-1] == ("s-0", "gone")
        watcher.stop()
        await registry.discovery.close()
        for server in listed_servers:
            await server.close()

    run(test())


def test_datagrams_arrive_from_the_senders_relay_address_and_a_partition_stops_them() -> None:
    async def test() -> None:
        network = Network(3, seed=1)
        await network.open()
        received: list[tuple[int, int, bytes]] = []
        peers = []
        for number in range(3):
            split_addresses = (address.rpartition(":") for address in network.peers(number))
            addresses = [(peer_host, int(peer_port)) for peer_host, _, peer_port in split_addresses]
            host, _, port = network.everyone(number).rpartition(":")
            peer = PeerTransport(
                tuple(addresses),
                (host, int(port)),
                1000.0,
                lambda sender, data, number=number: received.append((number, sender, data)),  # type: ignore[misc]
                unix_ms,
            )
            listen_address = addresses[number]
            await asyncio.get_running_loop().create_datagram_endpoint(lambda peer=peer: peer, local_addr=listen_address)  # type: ignore[misc]
            peers.append(peer)
        peers[0].send(2, b"one")
        await until(lambda: received == [(2, 0, b"one")])
        peers[1].send(-1, b"all")
        await until(lambda: len(received) == 3)
        assert sorted(received[1:]) == [(0, 1, b"all"), (2, 1, b"all")]
        network.isolate(2)
        peers[0].send(2, b"cut")
        peers[0].send(1, b"goes")
        await until(lambda: (1, 0, b"goes") in received)
        assert not any(data == b"cut" for _, _, data in received)
        for peer in peers:
            peer.close()
        network.close()

    run(test())
