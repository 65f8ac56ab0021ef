"""Clients that send more than waits on one connection: their end is seen, and the memory for what waits is limited."""

import asyncio

import pytest
from pending_commands import expect_answers, send_up_to_pending_limit, unacknowledged_bytes
from programs import record_outcomes
from test_endings import answer_after, connection_of

from elderlock.interface import Outcome
from elderlock.net.client_connection import MAX_UNREAD_BYTES
from elderlock.net.excess_input import ExcessInput
from elderlock.standins.clients import Client
from elderlock.standins.listener import reset
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server, answers
from elderlock.standins.settings import CUSTOMER, terms
from elderlock.standins.waiting import run, until

BODY_BYTES = 3000
WRITES = 2 * MAX_UNREAD_BYTES // BODY_BYTES


def send_writes(client: Client) -> None:
    """Send more bytes than one connection may hold by itself."""
    for number in range(WRITES):
        client.send("API.WRITE", CUSTOMER, f"behind-{number}", terms(c="pay"), "x" * BODY_BYTES)


async def expect_only_the_first_request(limiter: Limiter, server: Server, outcomes: list[Outcome]) -> None:
    """Wait until the client's end is detected: its first request is cancelled, and no other is forwarded."""
    await until(lambda: server.lost == 1 and not len(limiter.clients))
    assert outcomes == [Outcome.CANCELLED]  # cancelled before its timeout
    assert [command[2] for command in server.commands] == [b"first"]
    assert limiter.gateway.open_request_count == 0
    assert limiter.clients.excess_input.used_bytes == 0


def test_disconnect_is_detected_behind_more_bytes_than_a_connection_may_hold() -> None:
    """Guards against: attempts begin for a client that has gone, as its connection is not read while much waits on it."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        send_writes(client)
        await until(lambda: len(server.commands) == 1)
        client.writer.close()
        await expect_only_the_first_request(limiter, server, outcomes)

    run(test())


@pytest.mark.parametrize("is_reset", [False, True])
def test_disconnect_is_detected_while_reading_is_paused(is_reset: bool) -> None:
    """Guards against: attempts go on for a client that has gone, as its connection is not read for want of memory."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        limiter.clients.excess_input = ExcessInput(max_bytes=0)
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        for number in range(MAX_UNREAD_BYTES // BODY_BYTES + 1):
            client.send("API.WRITE", CUSTOMER, f"behind-{number}", terms(c="pay"), "x" * BODY_BYTES)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter)._is_read_paused)
        await until(lambda: not unacknowledged_bytes(client.writer))
        if is_reset:
            reset(client.writer)
        else:
            client.writer.close()
        await expect_only_the_first_request(limiter, server, outcomes)

    run(test())


def test_reading_pauses_when_the_memory_for_waiting_commands_is_used_and_resumes_later() -> None:
    async def test() -> None:
        release = asyncio.Event()
        server = await Server(answer_after(release)).start()
        limiter = await Limiter.start(server)
        limiter.clients.excess_input = ExcessInput(max_bytes=BODY_BYTES)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        for _ in range(WRITES):
            client.send("PING", "x" * BODY_BYTES)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter)._is_read_paused)
        release.set()
        await expect_answers(client, "first")
        assert [await client.answer() for _ in range(WRITES)] == [b"PONG"] * WRITES
        assert limiter.clients.excess_input.used_bytes == 0

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
