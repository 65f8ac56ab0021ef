"""A client's request id is taken for as long as its request is open for the client that sent it."""

import asyncio

import hiredis
import pytest
from pending_commands import send_up_to_pending_limit
from test_endings import answer_after, connection_of

from elderlock.net.request_ids import RequestIds
from elderlock.standins.clients import Client
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Answer, Server, served
from elderlock.standins.settings import CUSTOMER, terms
from elderlock.standins.waiting import run, until

OTHER_CUSTOMER = "00000000b4d65522"


def send_payment(client: Client, name: str, customer: str = CUSTOMER) -> None:
    client.send("API.WRITE", customer, name, terms(c="pay"), "body")


async def expect_taken(limiter: Limiter, name: str) -> None:
    """Send a request with the id of another client's request, and expect an error."""
    other = await limiter.client()
    send_payment(other, name, OTHER_CUSTOMER)
    answer = await other.answer()
    assert isinstance(answer, hiredis.ReplyError) and "id is open" in str(answer)
    other.close()


def forwarded_ids(server: Server) -> list[bytes]:
    return [command[2] for command in server.commands]


def test_id_of_a_request_whose_answer_waits_behind_another_is_taken() -> None:
    """Guards against: review/7, an id is free once the limiter has the answer, which it still holds back."""

    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> Answer:
            if command[2] == b"slow":
                await release.wait()
            return served(b"value of " + command[2])

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        send_payment(client, "slow")
        send_payment(client, "quick")
        await until(lambda: len(server.commands) == 2 and limiter.gateway.open_request_count == 1)
        await expect_taken(limiter, "quick")
        release.set()
        assert [await client.answer(), await client.answer()] == [b"value of slow", b"value of quick"]
        assert sorted(forwarded_ids(server)) == [b"quick", b"slow"]

    run(test())


def test_id_of_a_command_that_waits_to_be_handled_is_taken() -> None:
    """Guards against: an id is free while its command waits behind too many pending answers."""

    async def test() -> None:
        release = asyncio.Event()
        server = await Server(answer_after(release)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        send_payment(client, "behind")
        await until(lambda: len(server.commands) == 1 and connection_of(limiter).unhandled_bytes() > 0)
        await expect_taken(limiter, "behind")
        release.set()
        await until(lambda: len(server.commands) == 2)
        assert forwarded_ids(server) == [b"first", b"behind"]

    run(test())


@pytest.mark.parametrize("request_class", ["lookup", "no-such-class"])
def test_ids_are_free_after_their_connection_has_ended(request_class: str) -> None:
    """An id that was never forwarded is held by its command alone, whether or not the command is valid."""

    async def test() -> None:
        server = await Server(answer_after(asyncio.Event())).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        send_up_to_pending_limit(client)
        client.read("behind", c=request_class)
        await until(lambda: len(server.commands) == 1 and connection_of(limiter).unhandled_bytes() > 0)
        assert len(limiter.gateway.requests.ids) == 2
        client.close()
        await until(lambda: not len(limiter.gateway.requests.ids))
        assert await (await limiter.client()).ask("behind", c="no-such-class") is not None

    run(test())


def test_id_has_several_holders_and_is_free_after_the_last() -> None:
    ids = RequestIds()
    assert ids.hold(b"a")
    ids.share(b"a")
    ids.release(b"a")
    assert not ids.hold(b"a")
    ids.release(b"a")
    assert len(ids) == 0 and ids.hold(b"a")
