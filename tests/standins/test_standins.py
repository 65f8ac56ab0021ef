"""The stand-ins speak their pages' protocols and break as they are told: a fault that does nothing would
make every test that leans on it pass in vain."""

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


async def talk(port: int, *commands: tuple[str, ...], within: float = 5.0) -> list[object]:
    """The answers, and 'end' or 'reset' for how the connection ended; 'silence' where nothing came."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    parser = hiredis.Reader(notEnoughData=MISSING)
    got: list[object] = []
    try:
        for command in commands:
            writer.write(hiredis.pack_command(command))  # type: ignore[arg-type]
            while (answer := parser.gets()) is MISSING:
                async with asyncio.timeout(within):
                    data = await reader.read(4096)
                if not data:
                    return [*got, "end"]
                parser.feed(data)
            got.append(answer)
    except TimeoutError:
        return [*got, "silence"]
    except ConnectionError:
        return [*got, "reset"]
    finally:
        writer.transport.abort()
    return got


READ = ("API.READ", "0" * 16, "r1", terms())


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
def test_a_door_breaks_as_told_and_the_others_do_not(fault: Fault, expected: list[object]) -> None:
    async def test() -> None:
        server = Server()
        await server.open(2)
        await server.fail(fault, [0], delay=0.05)
        within = 0.3 if expected == ["silence"] else 5.0
        assert await talk(server.doors[0].port, READ, within=within) == expected
        assert await talk(server.doors[1].port, READ) == [[b"value", None, b"queue=2"]]
        await server.close()

    run(test())


def test_a_refusing_door_takes_no_connection_and_is_back_at_its_port() -> None:
    async def test() -> None:
        server = await Server().start()
        port = server.doors[0].port
        await server.fail(Fault.REFUSING)
        with pytest.raises(ConnectionRefusedError):
            await talk(port, READ)
        await server.fail(Fault.NONE)
        assert len(await talk(port, READ)) == 1 and server.doors[0].port == port
        await server.close()

    run(test())


class Held(servers._LoopTime):
    """Whose timers begin to run once it is let go, however long that takes."""

    def __init__(self) -> None:
        self.held: list[tuple[float, Callable[..., None], tuple[Any, ...]]] | None = []

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        if self.held is None:
            return super().after(wait, do, *args)
        self.held.append((wait, do, args))
        return super().after(1e9, do, *args)

    def let_go(self) -> None:
        held, self.held = self.held or [], None
        for wait, do, args in held:
            self.after(wait, do, *args)


def test_a_box_queues_reports_turns_away_and_warms_up() -> None:
    async def test() -> None:
        box = SimulatedServer("s", STD, "floor-2", seed=1)
        await box.open()
        box.model._time = held = Held()
        asks = [
            asyncio.create_task(talk(box.doors[0].port, READ, within=60.0))
            for _ in range(box.kind.cores + box.kind.shape.room + 5)
        ]
        await until(lambda: len(box.sent) == len(asks))  # none is worked off before all have come
        held.let_go()
        answers = [answer for task in asks for answer in await task]
        busy = [a for a in answers if isinstance(a, hiredis.ReplyError)]
        served = [a for a in answers if isinstance(a, list)]
        assert len(busy) == 5 and str(busy[0]) == f"BUSY queue={box.kind.shape.room}"
        assert len(served) == box.kind.cores + box.kind.shape.room and served[0][0] == b"box=s request=r1"
        assert {a[2] for a in served} > {b"queue=0"}  # it fell as they were worked off
        assert len(box.sent) == len(asks) and {sent.door for sent in box.sent} == {0}
        assert box.model.pace(unix_ms()) == STD.speed > OLD.speed
        await box.restart()
        young = box.model.pace(box.boot_ms)
        assert young == pytest.approx(STD.shape.cold_share)
        assert box.model.pace(box.boot_ms + STD.shape.cold_ms) == STD.speed
        await box.close()

    run(test(), within=60.0)


def test_the_counter_adds_forgets_and_loses() -> None:
    async def test() -> None:
        counter = Counter()
        await counter.open()
        port = counter.doors[0].port
        add = ("TALLY", "a", "2.5", "60000")
        assert await talk(port, ("PING",), add, ("TALLY", "a", "-1", "60000")) == [b"PONG", b"2.5", b"1.5"]
        answers = await talk(port, add, ("TALLY", "b", "1", "x"), ("TALLY", "", "1", "5"), ("TALLY", "a", "2e9", "5"))
        assert answers[0] == b"4" and [str(a) for a in answers[1:]] == ["ERR no such call"] * 3
        counter.lose()
        assert await talk(port, add) == [b"2.5"]
        await counter.close()

    run(test())


def test_discovery_tells_each_door_its_own_endpoints_and_its_changes() -> None:
    async def test() -> None:
        registry = Registry()
        await registry.discovery.start(2)
        boxes = [SimulatedServer(f"s-{n}", STD, "a", n) for n in range(2)]
        for box in boxes:
            await box.open(2)
        registry.add(boxes[0])
        told: list[EndpointList] = []
        watcher = Watcher(parse_config(raw_config()).socket_settings, told.append)
        watcher.follow(("127.0.0.1", registry.discovery.doors[1].port))
        await until(lambda: bool(told))
        await until(lambda: bool(registry.discovery.watch_doors))  # changes before it would come as a whole list
        assert told[0].is_complete and told[0].servers[0].address[1] == boxes[0].doors[1].port
        registry.add(boxes[1])
        registry.remove("s-0")
        await until(lambda: told[-1].version == registry.discovery.rev)
        names = [(t.entry.server_id, t.entry.state.value) for each in told[1:] for t in each.servers]
        assert ("s-1", "running") in names and names[-1] == ("s-0", "gone")
        watcher.stop()
        await registry.discovery.close()
        for box in boxes:
            await box.close()

    run(test())


def test_datagrams_come_from_the_address_by_which_the_sender_is_known_and_a_cut_stops_them() -> None:
    async def test() -> None:
        network = Network(3, seed=1)
        await network.open()
        got: list[tuple[int, int, bytes]] = []
        peers = []
        for me in range(3):
            addresses = [(h, int(p)) for h, _, p in (a.rpartition(":") for a in network.peers(me))]
            host, _, port = network.everyone(me).rpartition(":")
            peer = PeerTransport(
                tuple(addresses),
                (host, int(port)),
                1000.0,
                lambda sender, data, me=me: got.append((me, sender, data)),  # type: ignore[misc]
                unix_ms,
            )
            own = addresses[me]
            await asyncio.get_running_loop().create_datagram_endpoint(lambda peer=peer: peer, local_addr=own)  # type: ignore[misc]
            peers.append(peer)
        peers[0].send(2, b"one")
        await until(lambda: got == [(2, 0, b"one")])
        peers[1].send(-1, b"all")
        await until(lambda: len(got) == 3)
        assert sorted(got[1:]) == [(0, 1, b"all"), (2, 1, b"all")]
        network.isolate(2)
        peers[0].send(2, b"cut")
        peers[0].send(1, b"goes")
        await until(lambda: (1, 0, b"goes") in got)
        assert not any(data == b"cut" for _, _, data in got)
        for peer in peers:
            peer.close()
        network.close()

    run(test())
