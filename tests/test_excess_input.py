"""Clients that send more than the memory for waiting commands takes: it is read on, rejected, and their end is seen."""

import asyncio

import hiredis
import pytest
from pending_commands import (
    UnbufferedClient,
    answer_texts,
    expect_answers,
    send_up_to_pending_limit,
    unacknowledged_bytes,
)
from programs import record_outcomes
from test_endings import answer_after, connection_of

from elderlock.interface import Outcome
from elderlock.net.input_budget import InputBudget
from elderlock.net.resp import CommandReader
from elderlock.standins.clients import Client
from elderlock.standins.listener import reset
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server, answers
from elderlock.standins.settings import CUSTOMER, terms
from elderlock.standins.waiting import run, until

BODY_BYTES = 3000
WRITES = 200
LONG_BODY_BYTES = 64_000
LONG_WRITES = 300  # far more than the kernel's buffers take


def send_writes(client: Client, count: int = WRITES, body_bytes: int = BODY_BYTES) -> None:
    for number in range(count):
        client.send("API.WRITE", CUSTOMER, f"behind-{number}", terms(c="pay"), "x" * body_bytes)


def limit_input(limiter: Limiter, max_bytes: int) -> InputBudget:
    """Limit the memory for what is received from now on; no connection has a share of its own."""
    budget = limiter.clients.input_budget
    budget._max_bytes = max_bytes
    budget.share_bytes = 0
    return budget


async def expect_only_the_first_request(limiter: Limiter, server: Server, outcomes: list[Outcome]) -> None:
    """Wait until the client's end is detected: its first request is cancelled, and no other is forwarded."""
    await until(lambda: server.lost == 1 and not len(limiter.clients))
    assert outcomes == [Outcome.CANCELLED]  # cancelled before its timeout
    assert [command[2] for command in server.commands] == [b"first"]
    assert limiter.gateway.open_request_count == 0
    assert limiter.clients.input_budget.used_bytes == 0
    assert len(limiter.gateway.requests.ids) == 0


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("max_bytes", [0, BODY_BYTES * WRITES // 2, 1 << 30])
def test_disconnect_is_detected_behind_more_commands_than_wait(max_bytes: int, is_reset: bool) -> None:
    """Guards against: attempts go on for a client that has gone, as its connection is not read for want of memory."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter)._commands.is_empty())
        limit_input(limiter, max_bytes)
        send_writes(client)
        await until(lambda: not unacknowledged_bytes(client.writer))
        if is_reset:
            reset(client.writer)
        else:
            client.writer.close()
        await expect_only_the_first_request(limiter, server, outcomes)

    run(test())


def test_disconnect_is_detected_behind_more_bytes_than_the_kernel_takes() -> None:
    """Guards against: a client that goes with much unsent is seen to end only when its other commands are answered."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter)._commands.is_empty())
        send_writes(client, LONG_WRITES, LONG_BODY_BYTES)
        client.writer.close()  # sends the rest, and then the end
        await expect_only_the_first_request(limiter, server, outcomes)

    run(test())


def test_commands_in_front_of_the_clients_end_are_not_forwarded() -> None:
    """Guards against: a client sends more than one read takes and goes, and its first commands are sent on afterwards."""

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        other = await limiter.client()
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        assert await other.ask("before") == b"value"  # leaves a connection to the server, to be used at once
        client = UnbufferedClient(limiter.port)
        await until(lambda: len(limiter.clients) == 2)
        for number in range(3 * len(limiter.clients.receive_buffer) // BODY_BYTES):
            client.send("API.WRITE", CUSTOMER, f"{number}", terms(), "x" * BODY_BYTES)
        client.close()  # in the same step of the event loop, so that all of it lies in the socket
        await until(lambda: len(limiter.clients) == 1)
        assert [command[2] for command in server.commands] == [b"before"]
        assert limiter.gateway.open_request_count == 0

    run(test())


def test_commands_that_find_no_memory_are_rejected_in_their_order() -> None:
    async def test() -> None:
        release = asyncio.Event()
        server = await Server(answer_after(release)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter)._commands.is_empty())
        budget = limit_input(limiter, 10 * BODY_BYTES)
        for _ in range(WRITES):
            client.send("PING", "x" * BODY_BYTES)
        await until(lambda: budget.rejected_count > 0 and not unacknowledged_bytes(client.writer))
        release.set()
        await expect_answers(client, "first")
        texts = await answer_texts(client, WRITES)
        stored = texts.index("BUSY")
        assert 1 <= stored < 10
        assert texts == ["PONG"] * stored + ["BUSY"] * (WRITES - stored)
        client.send("PING")
        assert await client.answer() == b"PONG"
        assert budget.used_bytes == 0

    run(test())


def test_incomplete_command_that_finds_no_memory_is_rejected_once_it_is_complete() -> None:
    """Guards against: clients that stop half way through a large command use up the memory of the process."""

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        budget = limit_input(limiter, 0)
        client = await limiter.client()
        client.send("API.WRITE", CUSTOMER, "large", terms(), "x" * LONG_BODY_BYTES)
        assert await answer_texts(client, 1) == ["BUSY"]
        budget.share_bytes = BODY_BYTES
        client.send("PING")
        assert await answer_texts(client, 1) == ["PONG"]
        assert server.commands == [] and budget.used_bytes == 0
        assert len(limiter.gateway.requests.ids) == 0

    run(test())


def test_stalled_command_gives_way_to_one_that_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the large commands of clients that stop half way keep other clients' large commands out."""
    monkeypatch.setattr("elderlock.net.input_budget.STALLED_AFTER_S", 0.0)

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        budget = limit_input(limiter, LONG_BODY_BYTES + BODY_BYTES)
        stalled, growing = await limiter.client(), await limiter.client()
        command: bytes = hiredis.pack_command(("API.WRITE", CUSTOMER, "stalled", terms(), "x" * LONG_BODY_BYTES))  # type: ignore[arg-type]
        stalled.writer.write(command[: 2 * BODY_BYTES])
        await until(lambda: budget.used_bytes > BODY_BYTES)
        growing.send("API.WRITE", CUSTOMER, "growing", terms(), "x" * LONG_BODY_BYTES)
        assert await growing.answer() == b"value"
        assert budget.discarded_count == 1 and budget.used_bytes < BODY_BYTES
        stalled.writer.write(command[2 * BODY_BYTES :])
        assert await answer_texts(stalled, 1) == ["BUSY"]

    run(test())


def test_client_that_is_never_read_to_the_end_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: commands of a client that sends faster than it is read are forwarded after it has gone."""
    monkeypatch.setattr("elderlock.net.client_connection.MAX_FULL_READS", 2)
    monkeypatch.setattr("elderlock.net.client_connection.MAX_TIME_BEHIND_S", 0.0)

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        await until(lambda: len(limiter.clients) == 1)
        connection = connection_of(limiter)
        monkeypatch.setattr(connection, "_has_unread_input", lambda: True)
        buffer_bytes = len(limiter.clients.receive_buffer)
        client.send("API.WRITE", CUSTOMER, "early", terms(), "x" * 3 * buffer_bytes)
        client.send("API.WRITE", CUSTOMER, "late", terms(), "x" * 3 * buffer_bytes)
        assert (await answer_texts(client, 1))[0] == "BUSY"
        assert [command[2] for command in server.commands] in ([], [b"late"])

    run(test())


def test_half_close_behind_200_commands_ends_them_all() -> None:
    """A half-close counts as the client's end: nothing that waits behind the pending answers is forwarded."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        for number in range(200):
            client.read(f"behind-{number}")
        await until(lambda: len(server.commands) == 1)
        client.writer.write_eof()
        await until(lambda: server.lost == 1 and not len(limiter.clients))
        assert [command[2] for command in server.commands] == [b"first"]
        assert limiter.gateway.open_request_count == 0

    run(test())


@pytest.mark.parametrize("cut", range(1, 60, 7))
def test_discarded_command_leaves_the_next_one_intact(cut: int) -> None:
    reader = CommandReader()
    command = b"*5\r\n$1\r\na\r\n$0\r\n\r\n$3\r\nabc\r\n$2\r\nde\r\n$20\r\n" + b"x" * 20 + b"\r\n"
    following = b"*1\r\n$4\r\nPING\r\n"
    reader.feed(command[:cut])
    assert reader.next_message() is None
    reader.discard_message()
    messages = []
    for index in range(cut, len(command + following)):
        reader.feed((command + following)[index : index + 1])
        if (message := reader.next_message()) is not None:
            messages.append(message)
    expected_first = [] if cut >= 4 else [b"a", b"", b"abc", b"de", b"x" * 20]
    assert messages == [expected_first, [b"PING"]]
    assert reader.held_bytes() == 0
