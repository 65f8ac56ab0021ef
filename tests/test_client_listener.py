"""The listener for clients: timeouts, limits on connections, and the drain."""

import asyncio

import pytest

from elderlock.net import client_listener
from elderlock.standins.boxes import Server, answers, served
from elderlock.standins.parts import Limiter
from elderlock.standins.waiting import run, until

HOURS = 10000.0


@pytest.mark.parametrize("sent", [b"", b"*1\r\n$4\r\nPI", b"*"])
def test_connection_without_a_complete_command_is_closed(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Silent and half-way ones would hold their descriptors for good."""
    monkeypatch.setattr(client_listener, "SILENCE_LIMIT_S", 0.05)
    monkeypatch.setattr(client_listener, "TIMEOUT_CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        kept, client = await limiter.client(), await limiter.client()
        kept.send("PING")
        await kept.answer()
        client.writer.write(sent)
        assert str(await client.answer()).startswith("ERR ")
        assert await client.answer() is None
        assert await kept.ask("x") == b"value"  # one that has asked stays, however long ago

    run(test())


def test_flood_of_connections_evicts_its_own_connections_first() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        limiter.clients._max_connections = 8
        usual = [await limiter.client() for _ in range(4)]
        for number, client in enumerate(usual):
            assert await client.ask(f"a{number}") == b"value"
        flood = [await limiter.client() for _ in range(50)]
        assert [await client.answer() for client in flood[:40]] == [None] * 40
        assert len(limiter.clients) == 8
        for number, client in enumerate(usual):
            assert await client.ask(f"b{number}") == b"value"

    run(test())


def test_idle_connections_above_the_limit_are_closed_the_oldest_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients may hold a third of the descriptors: kept for good by some, they would leave the others none. The longest
    idle ends in an orderly way, one that was used just now does not."""
    monkeypatch.setattr(client_listener, "RECENT_USE_S", 0.0)

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        limiter.clients._max_idle = 8
        crowd = []
        for number in range(30):
            crowd.append(await limiter.client())
            assert await crowd[-1].ask(f"a{number}") == b"value"
        assert [await client.answer() for client in crowd[:22]] == [None] * 22
        for number, client in enumerate(crowd[-8:]):
            assert await client.ask(f"b{number}") == b"value"
        monkeypatch.setattr(client_listener, "RECENT_USE_S", 60.0)
        more = [await limiter.client() for _ in range(8)]
        for number, client in enumerate([*more, *crowd[-8:]]):
            assert await client.ask(f"c{number}") == b"value"

    run(test())


def test_new_connection_is_served_although_all_others_were_just_used() -> None:
    """A restart nearby brings a crowd at once; those turned away for idle connections would all fail."""

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        limiter.clients._max_connections = 8
        crowd = [await limiter.client() for _ in range(8)]
        for number, client in enumerate(crowd):
            assert await client.ask(f"a{number}") == b"value"
        late = []
        for number in range(8):
            late.append(await limiter.client())
            assert await late[-1].ask(f"b{number}") == b"value"
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
        got = [await client.answer()]
        while got[-1] is not None:
            got.append(await client.answer())
        assert len(got) < 50

    run(test())


def test_drain_answers_all_commands_that_came_together() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client, held = await limiter.client(), await limiter.client()
        held.writer.write(b"*1\r\n$4\r\nPI")  # begun, so it is owed an answer once it is whole
        client.send("PING")
        await client.answer()
        limiter.clients.is_draining = True
        client.writer.write(b"*1\r\n$4\r\nPING\r\n" * 3)
        answers = [await client.answer() for _ in range(4)]
        assert answers[-1] is None and not any(a is None for a in answers[:3])
        held.writer.write(b"NG\r\n")
        assert await held.answer() is not None
        assert await held.answer() is None

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
        busy.read("owed")
        await until(lambda: len(server.commands) == 1)
        drain = asyncio.ensure_future(limiter.clients.drain(accept_for_s=1.0, time_limit_s=HOURS))
        assert await idle.answer() is None
        late = await limiter.client()
        late.read("late")
        await until(lambda: len(server.commands) == 2)
        release.set()
        assert [await busy.answer(), await busy.answer()] == [b"owed", None]
        assert [await late.answer(), await late.answer()] == [b"late", None]
        await drain

    run(test())
