"""Connections whose commands wait to be handled are not idle: nothing closes them before each command is answered.

`docs/incidents/2026-12-04-close-over-waiting-commands.md` describes the fault. A test forces the order of events: it
writes to blocking sockets without a step of the event loop in between, so that the loop finds all of them in its next
poll, in the order in which they were written.
"""

import asyncio
import socket

import pytest
from pending_commands import BlockingServer, UnbufferedClient, expect_answers, send_up_to_pending_limit
from test_endings import connection_of

from elderlock.net import client_listener
from elderlock.net.command_scheduler import ScheduledConnection
from elderlock.net.connection_owner import CloseReason
from elderlock.standins.clients import Client
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server
from elderlock.standins.settings import target
from elderlock.standins.waiting import run, until

PING = b"*1\r\n$4\r\nPING\r\n"


async def limiter_with_waiting_command() -> tuple[BlockingServer, Limiter, Client]:
    """Return a server that has to answer a request, its limiter, and a client with one command over the limit."""
    server = BlockingServer()
    limiter = await Limiter.start()
    limiter.tell(target("s-0", server.endpoint))
    client = await limiter.client()
    send_up_to_pending_limit(client)
    client.send("PING")
    await server.receive()
    await until(lambda: connection_of(limiter).unhandled_bytes() > 0)
    return server, limiter, client


def test_connection_with_waiting_commands_is_not_closed_as_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the limit on idle connections closes one between its last pending answer and its next command."""
    monkeypatch.setattr(client_listener, "RECENT_USE_S", 0.0)

    async def test() -> None:
        server, limiter, client = await limiter_with_waiting_command()
        other = socket.create_connection(("127.0.0.1", limiter.port))
        await until(lambda: len(limiter.clients) == 2)
        limiter.clients._max_idle = 1
        server.answer(b"value")  # makes all answers of the first connection ready
        other.send(PING)  # handled in the same poll; the limit on idle connections is then exceeded
        await expect_answers(client, "value")
        assert await client.answer() == b"PONG"
        other.close()

    run(test())


def test_connection_with_waiting_commands_is_not_evicted() -> None:
    """Guards against: a new connection at the limit of descriptors evicts one whose commands wait to be handled."""

    async def test() -> None:
        server, limiter, client = await limiter_with_waiting_command()
        limiter.clients._max_connections = 1
        other = socket.create_connection(("127.0.0.1", limiter.port))  # accepted first, in the same poll
        server.answer(b"value")
        await expect_answers(client, "value")
        assert await client.answer() == b"PONG"
        other.close()

    run(test())


def test_connection_whose_first_command_waits_for_its_turn_is_not_evicted() -> None:
    """Guards against: a connection without a handled command is closed with a reset, though one of its commands was read."""

    async def test() -> None:
        limiter = await Limiter.start()
        first = UnbufferedClient(limiter.port)
        await until(lambda: len(limiter.clients) == 1)
        waiting: list[ScheduledConnection] = []
        limiter.clients.scheduler.run = waiting.append  # type: ignore[method-assign,assignment]
        limiter.clients._max_connections = 1
        first.send("PING")
        await until(lambda: bool(waiting))
        other = socket.create_connection(("127.0.0.1", limiter.port))
        other.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(other, 64) == b""  # there is no other to close
        limiter.clients.scheduler.queue(waiting[0])
        answer = await first.answer()
        assert answer is not None and "LOADING" in str(answer)  # as it has no list of servers
        other.close()

    run(test())


def test_connection_with_waiting_commands_does_not_time_out() -> None:
    """Guards against: the check for incomplete commands closes a connection whose complete commands wait."""

    async def test() -> None:
        server, limiter, client = await limiter_with_waiting_command()
        connection = connection_of(limiter)
        loop = asyncio.get_running_loop()
        checked_while_waiting = False

        def check() -> None:
            """Check between the last pending answer and the next command, whenever that falls."""
            nonlocal checked_while_waiting
            if not connection._pending_answers and connection.unhandled_bytes():
                checked_while_waiting = True
                connection.check_timeout(loop.time() + 1.0)  # as if it had waited too long
            if not checked_while_waiting:
                loop.call_soon(check)

        check()
        server.answer(b"value")
        await expect_answers(client, "value")
        assert await client.answer() == b"PONG"
        assert checked_while_waiting

    run(test())


def test_connection_with_part_of_a_command_is_not_closed_as_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the limit on idle connections closes one in the middle of a command."""
    monkeypatch.setattr(client_listener, "RECENT_USE_S", 0.0)

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        assert await client.ask("before") == b"value"
        client.writer.write(PING[:5])
        await until(lambda: connection_of(limiter).unhandled_bytes() > 0)
        limiter.clients._max_idle = 1
        assert await (await limiter.client()).ask("other") == b"value"
        client.writer.write(PING[5:])
        assert await client.answer() == b"PONG"

    run(test())


@pytest.mark.parametrize("reason", [CloseReason.IDLE_LIMIT, CloseReason.DESCRIPTOR_LIMIT])
def test_connection_with_unread_input_is_not_idle(reason: CloseReason, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: a command that arrived while the process was held up is dropped with its connection."""
    monkeypatch.setattr(client_listener, "RECENT_USE_S", 0.0)

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        first = socket.create_connection(("127.0.0.1", limiter.port))
        first.send(PING)
        await until(lambda: len(limiter.clients._used) == 1)
        assert first.recv(64) == b"+PONG\r\n"
        first.send(PING)  # in the limiter's socket, and not read: the loop has made no step since
        if reason is CloseReason.IDLE_LIMIT:
            limiter.clients._max_idle = 0
            limiter.clients._retire_oldest_idle()
        else:
            assert limiter.clients._eviction_candidate(connection_of(limiter)) is None
        await until(lambda: connection_of(limiter) is not None)
        first.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(first, 64) == b"+PONG\r\n"
        first.close()

    run(test())
