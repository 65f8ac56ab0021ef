"""Clients over loopback: commands, errors in commands, and the order of answers."""

import asyncio

import hiredis
import pytest

from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server, answers, served
from elderlock.standins.settings import CUSTOMER, terms
from elderlock.standins.waiting import run, until


def test_request_is_served_and_forwarded_in_the_protocols_form() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("9b1f", r=1) == b"value"
        verb, customer, request_id, text = server.commands[0]
        assert (verb, customer, request_id) == (b"API.READ", CUSTOMER.encode(), b"9b1f")
        values = dict(pair.split("=") for pair in text.decode().split(","))
        assert 0 < int(values.pop("d")) <= 1200  # how long the limiter waits, not how long the client does
        assert values == {"c": "lookup", "t": "team", "units": "1", "spread": "1", "first": "0", "r": "1"}

    run(test())


def test_ping_succeeds_once_a_server_list_is_known() -> None:
    async def test() -> None:
        limiter = await Limiter.start()
        client = await limiter.client()
        client.send("PING")
        assert isinstance(await client.answer(), hiredis.ReplyError)
        limiter.tell({"uid": "s-0", "endpoint": "127.0.0.1:1", "state": "up"})
        client.send("PING")
        assert await client.answer() == b"PONG"

    run(test())


def test_answers_are_sent_in_the_order_of_their_commands() -> None:
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
        await until(lambda: len(server.commands) == 2)  # the second is forwarded before the first is answered
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
def test_bad_command_gets_an_error_and_is_not_forwarded(parts: tuple[str, ...]) -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.send(*parts)
        answer = await client.answer()
        assert isinstance(answer, hiredis.ReplyError)
        assert str(answer).startswith("ERR ")
        assert await client.ask("good") == b"value"  # the connection stays open
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
        b"*1\r\n$3\r\nPING\r\n",  # the string is longer than announced, so the following bytes are shifted
        b"*1\r\n$4\r\nPINGxx*1\r\n$4\r\nPING\r\n",
        b"*1\r\n" * 1000,
        b"k" * 3000,
        b"*1000000000\r\n",
    ],
)
def test_malformed_input_gets_an_error_and_the_connection_closes(data: bytes) -> None:
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
def test_excessive_length_after_a_valid_command_gets_an_error_however_it_is_split(pieces: int) -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        data = b"*1\r\n$4\r\nPING\r\n*1\r\n$90000000\r\nxxx"
        for start in range(0, len(data), len(data) // min(pieces, len(data))):
            client.writer.write(data[start : start + len(data) // min(pieces, len(data))])
            await asyncio.sleep(0)
        assert await client.answer() is not None
        assert str(await client.answer()).startswith("ERR ")
        assert await client.answer() is None

    run(test())


def test_id_of_an_open_request_is_not_forwarded_again() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            await release.wait()
            return served(b"first")

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        first, second = await limiter.client(), await limiter.client()
        first.read("same")
        await until(lambda: len(server.commands) == 1)
        assert str(await second.ask("same")).startswith("ERR ")
        release.set()
        assert await first.answer() == b"first"
        assert len(server.commands) == 1
        assert await second.ask("same") == b"first"  # the first request is answered, so its id may be used again

    run(test())


def test_request_above_the_limit_of_open_requests_is_rejected_at_once() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server(answers(None)).start())
        assert limiter.gateway.requests.max_count == 2000  # from the settings; 192 MB of memory would allow more
        limiter.gateway.requests.max_count = 3
        client = await limiter.client()
        for number in range(3):
            client.read(f"open{number}")
        other = await limiter.client()
        await until(lambda: len(limiter.gateway.requests) == 3)
        assert str(await other.ask("more")).startswith("BUSY")
        client.close()
        await until(lambda: not limiter.gateway.requests)  # all requests of the closed client are removed

    run(test())


def test_many_pipelined_commands_are_all_answered() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        for _ in range(2000):
            client.send("PING")
        client.read("last")
        received = [await client.answer() for _ in range(2001)]
        assert received[-1] == b"value"

    run(test())


def test_commands_split_anywhere_never_reach_the_limit_of_a_single_command() -> None:
    """Each chunk ends inside a command, so the reader's buffer never becomes empty while many commands pass."""

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        ping = b"*1\r\n$4\r\nPING\r\n"
        stream = ping * 20000
        for start in range(5, len(stream), 10 * len(ping)):
            client.writer.write(stream[0 if start == 5 else start : start + 10 * len(ping)])
            await client.writer.drain()
            for _ in range(10 if start + 10 * len(ping) <= len(stream) else 0):
                assert not isinstance(await client.answer(), hiredis.ReplyError)

    run(test())


def test_disconnect_of_a_client_ends_its_attempt() -> None:
    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.read("cancelled")
        await until(lambda: len(server.commands) == 1)
        client.close()
        await until(lambda: server.lost == 1)  # the limiter closes the connection to cancel the attempt

    run(test())


def test_request_over_quota_is_rejected_at_once_with_a_retry_delay() -> None:
    """The limiter does not delay a rejection to slow the client down: the retry delay in the answer does that."""

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("1", t="tiny") == b"value"
        answer = await client.ask("2", t="tiny")
        assert str(answer) == "BUSY 500"  # the longest retry delay that clients follow
        assert len(server.commands) == 1

    run(test())
