"""Clients over loopback: commands, bad input, order of answers, and the drain."""

import asyncio

import hiredis
import pytest

from elderlock.net import client_listener
from elderlock.standins.boxes import Server, answers, served
from elderlock.standins.parts import Limiter
from elderlock.standins.settings import CUSTOMER, terms
from elderlock.standins.waiting import run, until


def test_a_request_is_served_and_goes_on_in_form() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("9b1f", r=1) == b"value"
        verb, customer, name, text = server.commands[0]
        assert (verb, customer, name) == (b"API.READ", CUSTOMER.encode(), b"9b1f")
        values = dict(pair.split("=") for pair in text.decode().split(","))
        assert 0 < int(values.pop("d")) <= 1200  # what we will wait, not what the client will
        assert values == {"c": "lookup", "t": "team", "units": "1", "spread": "1", "first": "0", "r": "1"}

    run(test())


def test_ping_is_answered_once_a_list_is_known() -> None:
    async def test() -> None:
        limiter = await Limiter.start()
        client = await limiter.client()
        client.send("PING")
        assert isinstance(await client.answer(), hiredis.ReplyError)
        limiter.tell({"uid": "s-0", "endpoint": "127.0.0.1:1", "state": "up"})
        client.send("PING")
        assert await client.answer() == b"PONG"

    run(test())


def test_answers_keep_the_order_of_their_commands() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            if command[2] == b"slow":
                await release.wait()
            return served(command[2])

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.read("slow")
        client.read("quick")
        await until(lambda: len(server.commands) == 2)  # the second does not wait behind the first
        release.set()
        assert [await client.answer(), await client.answer()] == [b"slow", b"quick"]

    run(test())


@pytest.mark.parametrize(
    "parts",
    [
        ("NOSUCH", "x"),
        ("API.READ", CUSTOMER, "id"),
        ("API.READ", "zz", "id", terms()),
        ("API.READ", "00000002b4d65521", "id", terms()),
        ("API.READ", CUSTOMER, "", terms()),
        ("API.READ", CUSTOMER, "id", terms(c="nosuch")),
        ("API.READ", CUSTOMER, "id", terms(c="pay")),  # not safe to repeat
        ("API.READ", CUSTOMER, "id", terms(t="nosuch")),
        ("API.READ", CUSTOMER, "id", terms(d=None)),
        ("API.READ", CUSTOMER, "id", terms(d="nan")),
        ("API.READ", CUSTOMER, "id", terms(d=-5)),
        ("API.READ", CUSTOMER, "id", terms(units="x")),
        ("API.READ", CUSTOMER, "id", terms(d="1_0")),
        ("API.READ", CUSTOMER, "id", terms(d=" 900")),
        ("API.READ", CUSTOMER, "id", terms(d="1e3")),
        ("API.READ", CUSTOMER, "id", terms(units=0)),
        ("API.READ", CUSTOMER, "id", terms(units=5)),  # more than the settings' largest request
        ("API.READ", CUSTOMER, "id", terms(spread="1.7")),
        ("API.READ", CUSTOMER, "id", terms(first="+0")),
        ("API.READ", CUSTOMER, "id", terms(spread=0)),
        ("API.READ", CUSTOMER, "id", terms() + ",d=5"),
        ("API.READ", CUSTOMER, "id", terms() + ",\u00e9=5"),
        ("API.READ", CUSTOMER, "id", terms() + ",x=" + "y" * 2000),
    ],
)
def test_a_bad_command_is_answered_and_nothing_is_sent_on(parts: tuple[str, ...]) -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.send(*parts)
        answer = await client.answer()
        assert isinstance(answer, hiredis.ReplyError)
        assert str(answer).startswith("ERR ")
        assert await client.ask("good") == b"value"  # the connection goes on
        assert [command[2] for command in server.commands] == [b"good"]

    run(test())


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n",
        b"*1\r\n:5\r\n",
        b"+OK\r\n",
        b"*-1\r\n",
        b"*2\r\n$4\r\nPING\r\n$-1\r\n",
        b"*1000000\r\n",
        b"*1\r\n$90000000\r\n",
        b"*1\r\n$300000\r\n" + b"x" * 300000,
        b"*0\r\n",
        b"*01\r\n$4\r\nPING\r\n",
        b"*1\r\n$-5\r\n",
        b"*1\r\n$3\r\nPING\r\n",  # cut, and what follows shifted
        b"*1\r\n$4\r\nPINGxx*1\r\n$4\r\nPING\r\n",
        b"*1\r\n" * 1000,
        b"k" * 3000,
        b"*1000000000\r\n",
    ],
)
def test_broken_input_is_answered_and_the_connection_closed(data: bytes) -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        client.writer.write(data)
        answer = await client.answer()
        assert isinstance(answer, hiredis.ReplyError)
        assert str(answer).startswith("ERR ")
        assert await client.answer() is None

    run(test())


@pytest.mark.parametrize("pieces", [1, 3, 1000])
def test_a_huge_length_behind_a_good_command_is_told_however_it_comes(pieces: int) -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        data = b"*1\r\n$4\r\nPING\r\n*1\r\n$90000000\r\nxxx"
        for at in range(0, len(data), len(data) // min(pieces, len(data))):
            client.writer.write(data[at : at + len(data) // min(pieces, len(data))])
            await asyncio.sleep(0)
        assert await client.answer() is not None
        assert str(await client.answer()).startswith("ERR ")
        assert await client.answer() is None

    run(test())


@pytest.mark.parametrize("sent", [b"", b"*1\r\n$4\r\nPI", b"*"])
def test_a_connection_without_a_whole_command_is_closed(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_flood_of_connections_takes_its_own_descriptors_first() -> None:
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


def test_clients_that_ask_once_and_stay_leave_room_for_others(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_new_connection_is_served_though_all_others_were_used_just_now() -> None:
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


def test_a_client_that_does_not_read_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_one_that_sends_nothing_but_mistakes_is_closed() -> None:
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


def test_the_id_of_an_open_request_is_not_sent_on_again() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            await release.wait()
            return served(b"own")

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        first, second = await limiter.client(), await limiter.client()
        first.read("same")
        await until(lambda: len(server.commands) == 1)
        assert str(await second.ask("same")).startswith("ERR ")
        release.set()
        assert await first.answer() == b"own"
        assert len(server.commands) == 1
        assert await second.ask("same") == b"own"  # it is answered: no longer open

    run(test())


def test_beyond_what_the_memory_bears_is_refused_at_once() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server(answers(None)).start())
        assert limiter.gateway.requests.max_count == 2000  # the settings', as 192 MB bear more
        limiter.gateway.requests.max_count = 3
        client = await limiter.client()
        for number in range(3):
            client.read(f"open{number}")
        other = await limiter.client()
        await until(lambda: len(limiter.gateway.requests) == 3)
        assert str(await other.ask("more")).startswith("BUSY")
        client.close()
        await until(lambda: not limiter.gateway.requests)  # and nothing of them is left

    run(test())


def test_many_pipelined_commands_are_all_answered() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        for _ in range(2000):
            client.send("PING")
        client.read("last")
        got = [await client.answer() for _ in range(2001)]
        assert got[-1] == b"value"

    run(test())


def test_commands_cut_anywhere_never_come_to_the_bound_of_one() -> None:
    """Each chunk ends inside a command, so the reader is never empty while far more than one passes."""

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        ping = b"*1\r\n$4\r\nPING\r\n"
        stream = ping * 20000
        for at in range(5, len(stream), 10 * len(ping)):
            client.writer.write(stream[0 if at == 5 else at : at + 10 * len(ping)])
            await client.writer.drain()
            for _ in range(10 if at + 10 * len(ping) <= len(stream) else 0):
                assert not isinstance(await client.answer(), hiredis.ReplyError)

    run(test())


def test_a_drain_answers_all_commands_that_came_in_together() -> None:
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


def test_a_client_that_goes_away_ends_its_attempt() -> None:
    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.read("gone")
        await until(lambda: len(server.commands) == 1)
        client.close()
        await until(lambda: server.lost == 1)  # the server hears of it by the end of its connection

    run(test())


def test_beyond_the_quota_is_refused_at_once_and_told_when_to_come_back() -> None:
    """Nothing is held back to keep a client from asking again: the advice does that."""

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("1", t="tiny") == b"value"
        answer = await client.ask("2", t="tiny")
        assert str(answer) == "BUSY 500"  # as long as clients heed
        assert len(server.commands) == 1

    run(test())


def test_a_drain_takes_new_connections_answers_what_is_owed_and_closes() -> None:
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


HOURS = 10000.0
