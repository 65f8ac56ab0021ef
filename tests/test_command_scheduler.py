"""Floods of commands: the event loop's steps stay short, and other clients' commands are handled in between.

A test forces the order of events: it writes to blocking sockets without a step of the event loop in between, so that the
loop finds all commands in its next poll, the flood's before those of the other client.
"""

import asyncio
import socket

import hiredis
import pytest

from elderlock.net.client_connection import MAX_HANDLED_PER_TURN, ClientConnection
from elderlock.net.command_scheduler import HANDLE_COST, MAX_STEP_COST
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server
from elderlock.standins.settings import terms
from elderlock.standins.waiting import run, until

FLOODING_CLIENTS = 20
COMMANDS_EACH = 150
CUSTOMER_OVER_QUOTA = "00000000b4d65523"
PING = b"*1\r\n$4\r\nPING\r\n"
MAX_HANDLED_PER_STEP = MAX_STEP_COST // HANDLE_COST + MAX_HANDLED_PER_TURN  # the last turn begins within the limit


def rejected_requests() -> bytes:
    """Return requests of a customer that is over its quota; each connection sends the same."""
    return b"".join(
        _pack("API.READ", CUSTOMER_OVER_QUOTA, f"{number}", terms(t="tiny")) for number in range(COMMANDS_EACH)
    )


def malformed_requests() -> bytes:
    """Return commands with errors, too few in a row to close the connection, and duplicates."""
    malformed = _pack("API.READ", "x")
    return (malformed * 9 + _pack("API.READ", CUSTOMER_OVER_QUOTA, "same", terms())) * (COMMANDS_EACH // 10)


def _pack(*parts: str) -> bytes:
    packed: bytes = hiredis.pack_command(parts)  # type: ignore[arg-type]
    return packed


async def connect(limiter: Limiter) -> socket.socket:
    """Connect a client whose commands are in the limiter's socket once `send` returns."""
    count = len(limiter.clients)
    sock = socket.create_connection(("127.0.0.1", limiter.port))
    sock.setblocking(False)
    await until(lambda: len(limiter.clients) == count + 1)
    return sock


def send(sock: socket.socket, commands: bytes) -> None:
    assert sock.send(commands) == len(commands)


class HandledCommands:
    """Records which connections' commands are handled, and how many in one step of the event loop."""

    def __init__(self, limiter: Limiter) -> None:
        self.connections: list[ClientConnection] = []
        self.max_in_step = 0
        self._in_step = 0
        self._original = limiter.clients.command_received
        limiter.clients.command_received = self._record  # type: ignore[method-assign]
        self._loop = asyncio.get_running_loop()
        self._loop.call_soon(self._next_step)

    def _record(self, connection: ClientConnection) -> None:
        self.connections.append(connection)
        self._in_step += 1
        self.max_in_step = max(self.max_in_step, self._in_step)
        self._original(connection)

    def _next_step(self) -> None:
        self._in_step = 0
        self._loop.call_soon(self._next_step)


@pytest.mark.parametrize("flood", [rejected_requests, malformed_requests])
def test_flood_delays_another_client_by_a_few_commands_of_each_connection(flood) -> None:  # type: ignore[no-untyped-def]
    """Guards against: review/8, all that floods have sent is handled before another client's command and all timers."""

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        floods = [await connect(limiter) for _ in range(FLOODING_CLIENTS)]
        other = await connect(limiter)
        other_connection = list(limiter.clients._unused)[-1]
        handled = HandledCommands(limiter)
        for sock in floods:
            send(sock, flood())
        send(other, PING)
        await until(lambda: len(handled.connections) == FLOODING_CLIENTS * COMMANDS_EACH + 1)
        handled_before = handled.connections.index(other_connection)
        assert handled_before <= 2 * FLOODING_CLIENTS * MAX_HANDLED_PER_TURN + MAX_HANDLED_PER_STEP
        assert handled.max_in_step <= 2 * MAX_HANDLED_PER_STEP  # a step begins in its callbacks or in its poll
        assert await asyncio.get_running_loop().sock_recv(other, 64) == b"+PONG\r\n"
        for sock in (*floods, other):
            sock.close()

    run(test())


def test_full_read_leaves_the_rest_of_the_socket_for_later_steps() -> None:
    """Guards against: the loop reads and handles all that one client's socket holds before it polls the others."""

    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        handled = HandledCommands(limiter)
        count = 4 * len(limiter.clients.receive_buffer) // len(PING)
        flood = await connect(limiter)
        send(flood, PING * count)
        await until(lambda: len(handled.connections) == count)
        assert handled.max_in_step <= 2 * MAX_HANDLED_PER_STEP
        flood.close()

    run(test())
