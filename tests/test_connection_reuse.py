"""What lies unread in an idle connection to a server must not answer or end the next request.

`docs/incidents/2026-12-04-answer-of-another-request.md` describes the fault. The tests force the order of events: while
the process stands still, a client's command arrives, and behind it what the server sends on its idle connection.
"""

import asyncio
import time

import pytest
from pending_commands import BlockingServer, UnbufferedClient

from elderlock.net.server_pool import REUSE_DELAY_MS
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.settings import CUSTOMER, target, terms
from elderlock.standins.waiting import run

HOLD_UP_S = 2.0 * REUSE_DELAY_MS / 1000.0
REQUEST_CLASSES = ["lookup", "pay"]


def send_write(client: UnbufferedClient, name: str, request_class: str) -> None:
    client.send("API.WRITE", CUSTOMER, name, terms(c=request_class), "body")


async def client_of_limiter_with_idle_connection(server: BlockingServer, request_class: str) -> UnbufferedClient:
    """Start a limiter and let the server answer a request, on the connection that is then idle."""
    limiter = await Limiter.start()
    limiter.tell(target("s-0", server.endpoint))
    client = UnbufferedClient(limiter.port)
    send_write(client, "first", request_class)
    await server.receive()
    server.answer(b"first")
    assert await client.answer() == b"first"
    return client


async def answer_on_new_connection(server: BlockingServer) -> None:
    await server.receive()
    server.answer(b"second")


@pytest.mark.parametrize("request_class", REQUEST_CLASSES)
def test_copy_of_an_answer_that_arrives_in_a_hold_up_does_not_answer_the_next_request(request_class: str) -> None:
    """Guards against: a client gets the value of another request, as its connection was idle by the clock alone."""

    async def test() -> None:
        server = BlockingServer()
        client = await client_of_limiter_with_idle_connection(server, request_class)
        time.sleep(HOLD_UP_S)  # the process is held up
        send_write(client, "second", request_class)
        server.answer(b"first")
        answering = asyncio.create_task(answer_on_new_connection(server))
        assert await client.answer() == b"second"
        await answering

    run(test())


@pytest.mark.parametrize("request_class", REQUEST_CLASSES)
def test_connection_that_its_server_has_closed_is_not_reused(request_class: str) -> None:
    """Guards against: a request ends as reset, and may not be repeated, on a connection that was known to be closed."""

    async def test() -> None:
        server = BlockingServer()
        client = await client_of_limiter_with_idle_connection(server, request_class)
        time.sleep(HOLD_UP_S)  # the process is held up
        send_write(client, "second", request_class)
        server.close_connection()
        answering = asyncio.create_task(answer_on_new_connection(server))
        assert await client.answer() == b"second"
        await answering

    run(test())
