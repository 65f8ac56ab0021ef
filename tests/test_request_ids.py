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
from elderlock.standins.settings import CUSTOMER, target, terms
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


@pytest.mark.parametrize("may_cancel", [False, True])
def test_id_of_a_forwarded_request_is_taken_after_its_client_has_left(may_cancel: bool) -> None:
    """Guards against: a request that may not be repeated runs twice, as its id comes again after its client has left."""

    async def test() -> None:
        release = asyncio.Event()
        server = await Server(answer_after(release)).start()
        limiter = await Limiter.start(server, **{"may-cancel": may_cancel})
        client = await limiter.client()
        send_payment(client, "left")
        await until(lambda: len(server.commands) == 1)
        client.close()
        await until(lambda: not len(limiter.clients) and limiter.gateway.open_request_count == 0)
        await expect_taken(limiter, "left")
        release.set()
        await until(lambda: not len(limiter.gateway.requests))
        await expect_taken(limiter, "left")
        assert forwarded_ids(server) == [b"left"]

    run(test())


def test_id_of_an_answer_that_was_held_back_is_taken_after_its_client_has_left() -> None:
    """Guards against: a request runs twice, as its client has left before its answer's turn came."""

    async def test() -> None:
        async def behave(command: list[bytes]) -> Answer:
            return None if command[2] == b"slow" else served(b"value")

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        send_payment(client, "slow")
        send_payment(client, "quick")
        await until(lambda: len(server.commands) == 2 and limiter.gateway.open_request_count == 1)
        client.close()
        await until(lambda: not len(limiter.clients) and not len(limiter.gateway.requests.ids))
        await expect_taken(limiter, "quick")
        await expect_taken(limiter, "slow")
        assert sorted(forwarded_ids(server)) == [b"quick", b"slow"]

    run(test())


def test_id_of_an_answered_request_is_free_only_if_its_class_may_be_repeated() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("read") == b"value"
        assert await client.ask("read") == b"value"
        send_payment(client, "paid")
        assert await client.answer() == b"value"
        await expect_taken(limiter, "paid")
        assert forwarded_ids(server) == [b"read", b"read", b"paid"]

    run(test())


def test_id_of_a_request_that_was_not_forwarded_is_free_after_its_answer() -> None:
    async def test() -> None:
        limiter = await Limiter.start()
        client = await limiter.client()
        assert str(await client.ask("rejected")).startswith("BUSY")
        server = await Server().start()
        limiter.tell(target("s-0", server.endpoint))
        assert await client.ask("rejected") == b"value"

    run(test())


def test_remembered_ids_are_forgotten_after_two_generations_or_when_they_are_too_many() -> None:
    ids = RequestIds(max_remembered=2, generation_ms=100.0)
    for request_id in (b"a", b"b"):
        ids.remember(request_id)
    ids.expire(now_ms=1000.0)
    ids.expire(now_ms=1099.0)  # the new generation is not over
    assert not ids.hold(b"a") and not ids.hold(b"b")
    for request_id in (b"c", b"d", b"e"):  # the third ends the generation
        ids.remember(request_id)
    assert ids.remembered_count == 3
    assert ids.hold(b"a") and not ids.hold(b"c") and not ids.hold(b"e")


def test_id_has_several_holders_and_is_free_after_the_last() -> None:
    ids = RequestIds(max_remembered=2, generation_ms=100.0)
    assert ids.hold(b"a")
    ids.share(b"a")
    ids.release(b"a")
    assert not ids.hold(b"a")
    ids.release(b"a")
    assert len(ids) == 0 and ids.hold(b"a")
