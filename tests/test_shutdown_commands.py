"""Commands that wait on their connection while the limiter shuts down: each of them is answered, none is forwarded.

`docs/incidents/2026-12-04-shutdown-over-waiting-commands.md` describes the fault.
"""

import asyncio
import json
import signal
from pathlib import Path

import hiredis
import pytest
from pending_commands import (
    BlockingServer,
    UnbufferedClient,
    answer_texts,
    expect_answers,
    send_up_to_pending_limit,
    unacknowledged_bytes,
)
from programs import connect_when_ready, free_port, raw_config_with_deadline, start_program
from test_endings import connection_of

from elderlock.net import client_listener
from elderlock.net.client_connection import MAX_PENDING_ANSWERS
from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server, answers
from elderlock.standins.settings import CUSTOMER, raw_config, target, terms
from elderlock.standins.waiting import run, until

LONG_TIME_S = 10000.0
HOLD_UP_S = 0.12
SHUTDOWN_CLIENTS = 15
SHUTDOWN_COMMANDS = 800


def send_write(client: Client, name: str, request_class: str) -> None:
    client.send("API.WRITE", CUSTOMER, name, terms(c=request_class), "body")


@pytest.mark.parametrize("request_class", ["lookup", "pay"])
def test_commands_behind_a_hanging_server_are_rejected_at_the_end_of_a_drain(request_class: str) -> None:
    """Guards against: requests taken before SIGTERM are forwarded after all others have failed, and get no answer."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        for number in range(3):
            send_write(client, f"behind-{number}", request_class)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter).unhandled_bytes() > 0)
        await limiter.clients.drain(accept_for_s=0.0, time_limit_s=0.0)
        await expect_answers(client, "ERR failed")
        assert await answer_texts(client, 4) == ["BUSY"] * 3 + [None]
        assert [command[2] for command in server.commands] == [b"first"]

    run(test())


def test_thousands_of_waiting_commands_are_rejected_at_the_end_of_a_drain() -> None:
    """Guards against: commands take turns, and the process ends before the turns of all that wait have come."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        clients = [await limiter.client() for _ in range(SHUTDOWN_CLIENTS)]
        for index, client in enumerate(clients):
            client.read(f"first-{index}")
            for _ in range(MAX_PENDING_ANSWERS - 1):
                client.send("PING")
            for number in range(SHUTDOWN_COMMANDS):
                client.read(f"behind-{index}-{number}")
        await until(lambda: all(not unacknowledged_bytes(client.writer) for client in clients))
        await limiter.clients.drain(accept_for_s=0.0, time_limit_s=0.0)
        assert not limiter.clients._used  # the process would end now
        for client in clients:
            texts = await answer_texts(client, MAX_PENDING_ANSWERS + SHUTDOWN_COMMANDS)
            assert {(text or "end").split()[0] for text in texts} <= {"PONG", "BUSY", "ERR"}
            assert await client.answer() is None

    run(test())


def test_command_completed_after_open_requests_have_failed_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: a request whose last byte comes in the flush time is forwarded, and the process then ends."""
    monkeypatch.setattr(client_listener, "FLUSH_TIMEOUT_S", LONG_TIME_S)

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.read("first")
        command: bytes = hiredis.pack_command(("API.READ", CUSTOMER, "partial", terms()))  # type: ignore[arg-type]
        client.writer.write(command[:40])
        await until(lambda: len(server.commands) == 1)
        drain = asyncio.ensure_future(limiter.clients.drain(accept_for_s=0.0, time_limit_s=0.0))
        assert await answer_texts(client, 1) == ["ERR failed"]
        client.writer.write(command[40:])
        assert await answer_texts(client, 2) == ["BUSY", None]
        await drain
        assert [command[2] for command in server.commands] == [b"first"]

    run(test())


def test_command_in_the_socket_is_rejected_at_the_end_of_a_drain() -> None:
    """Guards against: a connection with an unread command in its socket closes with the last of its answers."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = UnbufferedClient(limiter.port)
        client.send("API.READ", CUSTOMER, "first", terms())
        await until(lambda: len(server.commands) == 1)
        end_requests = limiter.gateway.end_requests

        def end_requests_after_a_command() -> None:
            client.send("API.WRITE", CUSTOMER, "in-the-socket", terms(c="pay"), "body")
            end_requests()  # in the same step, so that the command is not read before

        limiter.gateway.end_requests = end_requests_after_a_command  # type: ignore[method-assign]
        await limiter.clients.drain(accept_for_s=0.0, time_limit_s=0.0)
        answered = [await client.answer() for _ in range(3)]
        assert [str(answer) for answer in answered] == ["ERR failed", "BUSY", "None"]
        assert [command[2] for command in server.commands] == [b"first"]

    run(test())


def test_second_sigterm_and_a_hold_up_lose_no_waiting_command(tmp_path: Path) -> None:
    """SIGTERM twice, with the process stopped for a moment in between, while a server hangs."""

    async def test() -> None:
        server = await Server(answers(None)).start()
        agent = await Discovery({"rev": 1, "all": True, "targets": [target("s", server.endpoint)]}).start()
        port = free_port()
        raw = raw_config_with_deadline(f"127.0.0.1:{port}", "%s:%d" % agent.address, deadline_ms=400.0)
        process = await start_program(tmp_path / "config.json", raw)
        client = await connect_when_ready(port)
        send_up_to_pending_limit(client)
        send_write(client, "behind", "pay")
        await until(lambda: len(server.commands) == 1)
        for number in (signal.SIGTERM, signal.SIGSTOP, signal.SIGTERM):
            process.send_signal(number)
        await asyncio.sleep(HOLD_UP_S)
        process.send_signal(signal.SIGCONT)
        await expect_answers(client, "ERR failed")
        assert await answer_texts(client, 2) == ["BUSY", None]
        assert await process.wait() == 0
        assert [command[2] for command in server.commands] == [b"first"]

    run(test())


@pytest.mark.parametrize("is_drained", [False, True])
def test_drain_whose_list_is_being_read_at_sigterm_is_kept(tmp_path: Path, is_drained: bool) -> None:
    """A request that is sent again during the shutdown goes to no server that drains since half a list came before it."""

    async def test() -> None:
        servers = {uid: BlockingServer() for uid in ("a", "b")}
        targets = [target(uid, server.endpoint) for uid, server in servers.items()]
        agent = await Discovery({"rev": 1, "all": True, "targets": targets}).start()
        port = free_port()
        process = await start_program(
            tmp_path / "config.json", raw_config(f"127.0.0.1:{port}", "%s:%d" % agent.address)
        )
        client, idle_client = await connect_when_ready(port), await connect_when_ready(port)
        receiving = {uid: asyncio.create_task(server.receive()) for uid, server in servers.items()}
        client.read("first")
        await asyncio.wait(receiving.values(), return_when=asyncio.FIRST_COMPLETED)
        (used,) = (uid for uid, task in receiving.items() if task.done())
        (other,) = servers.keys() - {used}
        state = "draining" if is_drained else "up"
        changed = target(other, servers[other].endpoint, state=state)
        line = json.dumps({"rev": 2, "all": False, "targets": [changed]}).encode() + b"\n"
        await until(lambda: bool(agent.watches))
        agent.send_line(line[:20])
        process.send_signal(signal.SIGTERM)
        assert await idle_client.answer() is None  # the shutdown has begun
        agent.send_line(line[20:])
        await until(lambda: not unacknowledged_bytes(agent.watches[-1]))
        servers[used].close_connection()
        if is_drained:
            answer = await client.answer()
            assert answer is not None and not isinstance(answer, bytes)
            assert not receiving[other].done()
        else:
            await receiving[other]
            servers[other].answer(b"value")
            assert await client.answer() == b"value"
        assert await process.wait() == 0
        receiving[other].cancel()

    run(test())
