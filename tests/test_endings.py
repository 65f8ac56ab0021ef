"""Disconnects, cancelled attempts and shutdown while an answer is pending; see `docs/design/endings.md`.

The tests force the race: they write bytes before they close a connection, or make the server delay its answer.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import hiredis
import pytest
from programs import connect_when_ready, free_port, raw_config_with_deadline, record_outcomes, start_program

from elderlock.interface import Outcome
from elderlock.net.client_connection import MAX_CONSECUTIVE_ERRORS, MAX_PENDING_ANSWERS, ClientConnection
from elderlock.net.config import parse_config
from elderlock.net.connection_owner import CloseReason
from elderlock.net.shutdown import drain_time_limit_s
from elderlock.spawning import spawn
from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Answer, Server, answers, served
from elderlock.standins.settings import CUSTOMER, raw_config, target, terms
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT

LONG_VALUE = b"v" * (1 << 16)


def answer_after(release: asyncio.Event) -> Callable[[list[bytes]], Awaitable[Answer]]:
    async def behave(command: list[bytes]) -> Answer:
        await release.wait()
        return served(command[2])

    return behave


async def limiter_with_delayed_answers() -> tuple[asyncio.Event, Server, Limiter, Client]:
    """Return an event, a server that answers once the event is set, a limiter in front of that server, and a client."""
    release = asyncio.Event()
    server = await Server(answer_after(release)).start()
    limiter = await Limiter.start(server)
    return release, server, limiter, await limiter.client()


async def slow_client(limiter: Limiter) -> Client:
    """Connect a client that reads only on demand, with socket buffers that hold a small part of a long answer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", limiter.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=1)
    client = Client(reader, writer)
    client.send("PING")
    assert await client.answer() == b"PONG"
    transport = connection_of(limiter)._transport
    assert transport is not None
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return client


def connection_of(limiter: Limiter) -> ClientConnection:
    """Return the limiter's first open connection."""
    return next(iter([*limiter.clients._used, *limiter.clients._unused]))


# Disconnects of clients


def test_disconnect_is_detected_behind_more_commands_than_may_be_pending() -> None:
    """The limiter must keep reading the connection: otherwise it would not see the end behind the queued commands."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        client.read("first")
        for _ in range(MAX_PENDING_ANSWERS):
            client.send("PING")  # its answer is ready, but waits for the answer to the first command
        client.read("beyond")
        await until(lambda: len(server.commands) == 1)
        client.writer.write_eof()
        await until(lambda: server.lost == 1 and not len(limiter.clients))
        assert outcomes == [Outcome.CANCELLED]  # cancelled before its timeout
        assert [command[2] for command in server.commands] == [b"first"]
        assert limiter.gateway.open_request_count == 0

    run(test())


def test_commands_above_the_pending_limit_are_answered_once_there_is_capacity() -> None:
    async def test() -> None:
        release, server, limiter, client = await limiter_with_delayed_answers()
        client.read("first")
        for _ in range(2 * MAX_PENDING_ANSWERS):
            client.send("PING")
        client.read("last")
        await until(lambda: len(server.commands) == 1)
        release.set()
        assert await client.answer() == b"first"
        assert [await client.answer() for _ in range(2 * MAX_PENDING_ANSWERS)] == [b"PONG"] * 2 * MAX_PENDING_ANSWERS
        assert await client.answer() == b"last"

    run(test())


def test_time_that_a_command_is_queued_on_its_connection_counts_towards_its_clients_wait() -> None:
    """A client's wait starts with the last byte of its command, even if the command is queued because too many answers
    are pending. The server gets the remaining time, and a command without remaining time is not forwarded."""

    async def test() -> None:
        release, server, limiter, client = await limiter_with_delayed_answers()
        client.read("first")
        for _ in range(MAX_PENDING_ANSWERS):
            client.send("PING")
        client.read("over", d=20)
        client.read("beyond", d=900)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter).unhandled_bytes() > 0)
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        await asyncio.sleep(0.1)
        waited_ms = (loop.time() - started_at_s) * 1000.0
        release.set()
        assert await client.answer() == b"first"
        assert [await client.answer() for _ in range(MAX_PENDING_ANSWERS)] == [b"PONG"] * MAX_PENDING_ANSWERS
        refused = await client.answer()
        assert isinstance(refused, hiredis.ReplyError) and str(refused) == "BUSY"
        assert await client.answer() == b"beyond"
        assert [command[2] for command in server.commands] == [b"first", b"beyond"]
        forwarded = dict(pair.split(b"=") for pair in server.commands[1][3].split(b","))
        assert int(forwarded[b"d"]) <= 900.0 - waited_ms

    run(test())


def test_disconnect_with_unread_answers_ends_the_clients_attempts() -> None:
    """Unread answers keep the transport open, so only the end of the input shows that the client is gone."""

    async def test() -> None:
        async def behave(command: list[bytes]) -> Answer:
            return None if command[2] == b"last" else served(LONG_VALUE)

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        outcomes = record_outcomes(limiter)
        client = await slow_client(limiter)
        client.read("long")
        await until(lambda: len(server.commands) == 1 and limiter.gateway.open_request_count == 0)
        assert not connection_of(limiter).is_flushed()
        client.read("last")
        await until(lambda: len(server.commands) == 2)
        client.writer.write_eof()
        await until(lambda: limiter.gateway.open_request_count == 0 and server.lost == 1)
        assert outcomes == [Outcome.OK, Outcome.CANCELLED]
        assert len(server.commands) == 2  # nothing is retried

    run(test())


@pytest.mark.parametrize("cancel", [True, False])
def test_request_is_not_forwarded_if_its_client_disconnects_while_connecting(cancel: bool) -> None:
    """This also holds if the settings do not allow attempts to be cancelled, as this one is not sent yet."""

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server, **{"may-cancel": cancel})
        parts = [b"API.READ", CUSTOMER.encode(), b"abandoned", terms().encode()]
        replies: list[bytes] = []
        request_id = limiter.gateway.request_arrived(limiter.clients.parser.parse(parts), replies.append)
        assert request_id is not None
        limiter.gateway.client_disconnected(request_id)  # in the same step of the event loop, so before connecting ends
        await until(lambda: server.accepted == 1)
        client = await limiter.client()
        assert await client.ask("other") == b"value"
        assert [command[2] for command in server.commands] == [b"other"]
        assert replies == []

    run(test())


def test_answer_for_a_disconnected_client_reaches_no_other() -> None:
    async def test() -> None:
        release = asyncio.Event()
        server = await Server(answer_after(release)).start()
        limiter = await Limiter.start(server, **{"may-cancel": False})
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        client.read("abandoned")
        await until(lambda: len(server.commands) == 1)
        client.close()
        await until(lambda: limiter.gateway.open_request_count == 0)
        other = await limiter.client()
        other.read("other")
        await until(lambda: len(server.commands) == 2)
        assert server.accepted == 2  # the first connection is not reused, as its answer may still arrive
        release.set()
        assert await other.answer() == b"other"

    run(test())


# Connections that the limiter closes


def test_request_that_crosses_the_close_of_its_connection_is_not_forwarded() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("before") == b"value"
        client.read("crossing")  # in the socket's buffer, and not read yet
        connection_of(limiter).retire(CloseReason.IDLE_LIMIT)
        assert await client.answer() is None  # the client retries elsewhere
        assert [command[2] for command in server.commands] == [b"before"]

    run(test())


def test_drain_waits_for_the_rest_of_a_command_that_has_begun() -> None:
    async def test() -> None:
        release, server, limiter, client = await limiter_with_delayed_answers()
        command: bytes = hiredis.pack_command(("API.READ", CUSTOMER, "partial", terms()))  # type: ignore[arg-type]
        client.read("open")
        client.writer.write(command[:40])
        await until(lambda: len(server.commands) == 1)
        drain = asyncio.ensure_future(limiter.clients.drain(accept_for_s=0.0, time_limit_s=10_000.0))
        await until(lambda: limiter.clients.is_draining)
        release.set()
        assert await client.answer() == b"open"
        client.writer.write(command[40:])
        assert [await client.answer(), await client.answer()] == [b"partial", None]
        await drain

    run(test())


def test_eviction_spares_connections_with_unsent_answers() -> None:
    """The client reads slowly, and closing its connection would lose the buffered answer, although it is the oldest."""

    async def test() -> None:
        async def behave(command: list[bytes]) -> Answer:
            return served(LONG_VALUE if command[2] == b"long" else b"short")

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        limiter.clients._max_connections = 2
        slow = await slow_client(limiter)
        slow.read("long")
        await until(lambda: len(server.commands) == 1 and limiter.gateway.open_request_count == 0)
        assert not connection_of(limiter).is_flushed()
        other = await limiter.client()
        assert await other.ask("other") == b"short"
        third = await limiter.client()
        assert await third.ask("third") == b"short"
        assert await other.answer() is None  # evicted
        assert await slow.answer() == LONG_VALUE

    run(test())


def test_each_error_has_one_answer_before_the_connection_closes() -> None:
    async def test() -> None:
        client = await (await Limiter.start(await Server().start())).client()
        for _ in range(MAX_CONSECUTIVE_ERRORS + 1):
            client.send("API.READ", "x", "y", "z")
        received = [await client.answer() for _ in range(MAX_CONSECUTIVE_ERRORS + 1)]
        assert all(str(answer).startswith("ERR the customer") for answer in received[:-1])
        assert received[-1] is None

    run(test())


# Termination of the process


def test_requests_open_at_the_end_of_a_drain_are_failed_with_an_answer() -> None:
    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.read("open")
        await until(lambda: len(server.commands) == 1)
        await limiter.clients.drain(accept_for_s=0.0, time_limit_s=0.0)
        assert str(await client.answer()) == "ERR failed"
        assert await client.answer() is None
        assert limiter.gateway.open_request_count == 0

    run(test())


def test_drain_time_is_limited_by_the_settings_longest_deadline() -> None:
    raw = raw_config()
    raw["settings"]["services"] = [{**service, "deadline": 500.0} for service in raw["settings"]["services"]]
    assert 0.5 < drain_time_limit_s(parse_config(raw)) < 1.1  # SIGKILL may be sent after 0.5 s + 0.7 s
    assert 3.0 < drain_time_limit_s(parse_config(raw_config())) < 3.6  # the deadline is 4 s, of which 3 s count


def test_terminated_process_answers_requests_that_its_servers_never_answer(tmp_path: Path) -> None:
    async def test() -> None:
        server = await Server(answers(None)).start()
        agent = await Discovery({"rev": 1, "all": True, "targets": [target("s", server.endpoint)]}).start()
        port = free_port()
        raw = raw_config_with_deadline(f"127.0.0.1:{port}", "%s:%d" % agent.address, deadline_ms=400.0)
        process = await start_program(tmp_path / "config.json", raw)
        client = await connect_when_ready(port)
        client.read("open", d=20000)
        await until(lambda: len(server.commands) == 1)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # a reload during the drain changes nothing
        assert str(await client.answer()) == "ERR failed"
        assert await client.answer() is None
        assert await process.wait() == 0

    run(test())


# Descriptors


def test_idle_clients_at_the_descriptor_limit_leave_descriptors_for_discovery_and_servers(tmp_path: Path) -> None:
    """Discovery is down at the start, and the kernel limits the process to the configured number of descriptors."""

    async def test() -> None:
        server = await Server().start()
        complete_list = {"rev": 1, "all": True, "targets": [target("s", server.endpoint)]}
        agent = await Discovery(complete_list).start()
        agent.holds_answers = True  # accepts calls and does not answer them
        port, sockets = free_port(), 64
        raw = raw_config(f"127.0.0.1:{port}", "%s:%d" % agent.address)
        raw["limits"]["sockets"] = sockets
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw))
        process = await spawn(
            "/bin/sh",
            "-c",
            f'ulimit -n {sockets}; exec "{sys.executable}" -B -m elderlock',
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        idle: list[Any] = []
        with contextlib.ExitStack() as stack:
            while len(idle) < 4 * sockets:
                with contextlib.suppress(OSError):
                    idle.append(stack.enter_context(socket.create_connection(("127.0.0.1", port))))
                await asyncio.sleep(0)
            agent.holds_answers = False
            agent.release_answers()
            client = await connect_when_ready(port)
            assert await client.ask("x") == b"value"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        assert process.stderr is not None
        assert b"Traceback" not in await process.stderr.read()

    run(test())


def test_burst_of_connections_stays_within_the_clients_descriptor_limit() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        limiter.clients._max_connections = 8
        # The event loop does not run meanwhile, so none of these is accepted before all are connected.
        burst = [socket.create_connection(("127.0.0.1", limiter.port)) for _ in range(100)]
        maximum = 0
        while len(limiter.clients) < 8 or maximum == 0:
            await asyncio.sleep(0)
            maximum = max(maximum, len(limiter.clients))
        client = await limiter.client()
        assert await client.ask("x") == b"value"
        assert len(limiter.clients) <= 8
        for sock in burst:
            sock.close()

    run(test())
