"""The listener for clients: timeouts, limits on connections, and the drain."""

import asyncio

import pytest

from elderlock.net import client_listener
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server, answers, served
from elderlock.standins.waiting import run, until

LONG_TIME_S = 10000.0


@pytest.mark.parametrize("sent", [b"", b"*1\r\n$4\r\nPI", b"*"])
def test_connection_without_a_complete_command_is_closed(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that send nothing, or half a command, would otherwise hold their descriptors forever."""
    monkeypatch.setattr(client_listener, "SILENCE_LIMIT_S", 0.05)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        used, client = await limiter.client(), await limiter.client()
        used.send("PING")
        await used.answer()
        client.writer.write(sent)
        assert str(await client.answer()).startswith("ERR ")
        assert await client.answer() is None
        assert await used.ask("x") == b"value"  # a connection that has sent a command stays open while idle

    run(test())


def test_flood_of_connections_evicts_its_own_connections_first() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        limiter.clients._max_connections = 8
        established = [await limiter.client() for _ in range(4)]
        for number, client in enumerate(established):
            assert await client.ask(f"a{number}") == b"value"
        flood = [await limiter.client() for _ in range(50)]
        assert [await client.answer() for client in flood[:40]] == [None] * 40
        assert len(limiter.clients) == 8
        for number, client in enumerate(established):
            assert await client.ask(f"b{number}") == b"value"

    run(test())


def test_idle_connections_above_the_limit_are_closed_the_oldest_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients may hold up to a third of the descriptors: idle connections without a limit would leave none for other
    clients. The longest idle connection is closed gracefully, a recently used one is not closed."""
    monkeypatch.setattr(client_listener, "RECENT_USE_S", 0.0)

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        limiter.clients._max_idle = 8
        clients = []
        for number in range(30):
            clients.append(await limiter.client())
            assert await clients[-1].ask(f"a{number}") == b"value"
        assert [await client.answer() for client in clients[:22]] == [None] * 22
        for number, client in enumerate(clients[-8:]):
            assert await client.ask(f"b{number}") == b"value"
        monkeypatch.setattr(client_listener, "RECENT_USE_S", 60.0)
        new_clients = [await limiter.client() for _ in range(8)]
        for number, client in enumerate([*new_clients, *clients[-8:]]):
            assert await client.ask(f"c{number}") == b"value"

    run(test())


def test_new_connection_is_served_although_all_others_were_just_used() -> None:
    """When another limiter restarts, many clients connect here at once. A connection rejected in favour of idle ones
    would fail its client's request."""

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        limiter.clients._max_connections = 8
        clients = [await limiter.client() for _ in range(8)]
        for number, client in enumerate(clients):
            assert await client.ask(f"a{number}") == b"value"
        new_clients = []
        for number in range(8):
            new_clients.append(await limiter.client())
            assert await new_clients[-1].ask(f"b{number}") == b"value"
        assert len(limiter.clients) == 8

    run(test())


def test_client_that_does_not_read_its_answers_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_listener, "SILENCE_LIMIT_S", 0.05)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        limiter = await Limiter.start(await Server(answers(served(b"x" * 60000))).start())
        client = await limiter.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        number = 0
        while not client.writer.is_closing() and (number < 100 or len(limiter.clients)):
            client.read(f"r{number}")
            number += 1
            await asyncio.sleep(0.001)
        assert len(limiter.clients) == 0

    run(test())


def test_client_that_sends_only_errors_is_closed() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        for _ in range(500):
            client.send("NOSUCH")
        received = [await client.answer()]
        while received[-1] is not None:
            received.append(await client.answer())
        assert len(received) < 50

    run(test())


def test_drain_answers_all_commands_that_were_received_together() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client, partial = await limiter.client(), await limiter.client()
        partial.writer.write(b"*1\r\n$4\r\nPI")  # an incomplete command, which is answered once it is complete
        client.send("PING")
        await client.answer()
        limiter.clients.is_draining = True
        client.writer.write(b"*1\r\n$4\r\nPING\r\n" * 3)
        answers = [await client.answer() for _ in range(4)]
        assert answers[-1] is None and not any(answer is None for answer in answers[:3])
        partial.writer.write(b"NG\r\n")
        assert await partial.answer() is not None
        assert await partial.answer() is None

    run(test())


def test_drain_accepts_new_connections_answers_pending_requests_and_closes() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            await release.wait()
            return served(command[2])

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        idle, busy = await limiter.client(), await limiter.client()
        idle.send("PING")
        await idle.answer()
        busy.read("open")
        await until(lambda: len(server.commands) == 1)
        drain = asyncio.ensure_future(limiter.clients.drain(accept_for_s=1.0, time_limit_s=LONG_TIME_S))
        assert await idle.answer() is None
        late = await limiter.client()
        late.read("late")
        await until(lambda: len(server.commands) == 2)
        release.set()
        assert [await busy.answer(), await busy.answer()] == [b"open", None]
        assert [await late.answer(), await late.answer()] == [b"late", None]
        await drain

    run(test())
