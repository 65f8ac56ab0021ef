"""Requests that are not idempotent, over loopback connections: they are served and not executed a second time."""

import asyncio
from dataclasses import replace

import hiredis
import pytest
from helpers import KEYED_CLASS, limiter_settings, start_harness

from elderlock.interface import Outcome
from elderlock.net.config import parse_config
from elderlock.standins.clients import Client
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Answer, Server, answers, served
from elderlock.standins.settings import CUSTOMER, raw_config, terms
from elderlock.standins.waiting import run, until

BODY = bytes(range(256)) * 256  # a body of the maximum length, with every value of a byte


def write(client: Client, name: str, body: bytes = b"body", verb: str = "API.WRITE") -> None:
    packed: bytes = hiredis.pack_command((verb, CUSTOMER, name, terms(c="pay"), body))  # type: ignore[arg-type]
    client.writer.write(packed)


@pytest.mark.parametrize("body", [b"", b"\r\n$-1\r\n", BODY], ids=["empty", "a RESP null", "the longest"])
def test_a_write_is_served_and_forwarded_unchanged(body: bytes) -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        write(client, "9b1f", body)
        assert await client.answer() == b"value"
        verb, customer, request_id, forwarded_terms, forwarded_body = server.commands[0]
        assert (verb, customer, request_id, forwarded_body) == (b"API.WRITE", CUSTOMER.encode(), b"9b1f", body)
        assert forwarded_terms.startswith(b"c=pay,t=team,d=")

    run(test())


def test_a_write_of_an_idempotent_class_is_served_and_a_read_of_another_class_is_rejected() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        client.send("API.WRITE", CUSTOMER, "safe", terms(), "body")
        assert await client.answer() == b"value"
        assert str(await client.ask("unsafe", c="pay")).startswith("ERR API.READ")
        assert [command[2] for command in server.commands] == [b"safe"]

    run(test())


@pytest.mark.parametrize(
    "arguments", [(CUSTOMER, "id", terms(c="pay")), (CUSTOMER, "id", terms(c="pay"), "body", "more"), ()]
)
def test_a_write_with_wrong_arguments_is_answered_and_not_forwarded(arguments: tuple[str, ...]) -> None:
    async def test() -> None:
        server = await Server().start()
        client = await (await Limiter.start(server)).client()
        client.send("API.WRITE", *arguments)
        assert str(await client.answer()).startswith("ERR wrong number")
        write(client, "next")
        assert await client.answer() == b"value"  # the connection stays open
        assert [command[2] for command in server.commands] == [b"next"]

    run(test())


def test_a_body_over_the_limit_is_rejected_before_it_is_read() -> None:
    async def test() -> None:
        client = await (await Limiter.start(await Server().start())).client()
        start: bytes = hiredis.pack_command(("API.WRITE", CUSTOMER, "id", terms(c="pay")))  # type: ignore[arg-type]
        client.writer.write(b"*5" + start[2:] + b"$65537\r\n")
        assert str(await client.answer()).startswith("ERR Protocol error")
        assert await client.answer() is None

    run(test())


def test_a_request_that_is_not_idempotent_fails_when_its_connection_breaks() -> None:
    async def test() -> None:
        async def behave(command: list[bytes]) -> Answer:
            for server in servers:
                if command in server.commands:
                    server.reset()
            return None

        servers = [await Server(behave).start(), await Server(behave).start()]
        limiter = await Limiter.start(*servers)
        client = await limiter.client()
        write(client, "once")
        assert str(await client.answer()) == "ERR failed"  # not rejected, as it may have run
        assert sum(len(server.commands) for server in servers) == 1

    run(test())


def test_a_request_that_was_not_executed_is_sent_to_another_server() -> None:
    async def test() -> None:
        full_servers = [await Server(answers(b"-BUSY queue=9\r\n")).start() for _ in range(2)]
        limiter = await Limiter.start(*full_servers)
        client = await limiter.client()
        write(client, "full")
        assert str(await client.answer()).startswith("BUSY")  # a rejection, as no attempt can have run
        assert sum(len(server.commands) for server in full_servers) > 1

    run(test())


@pytest.mark.parametrize(("remaining_ms", "is_retried"), [(251.0, True), (249.0, False)])
def test_a_keyed_request_is_retried_only_within_its_deduplication_window(remaining_ms: float, is_retried: bool) -> None:
    """A retry may wait for its connection. A server that gets it after the window would execute it a second time."""
    base = limiter_settings()
    harness = start_harness(replace(base, capabilities=replace(base.capabilities, connect_timeout_ms=250.0)))
    name = harness.send_request(class_index=1)
    harness.run_until(KEYED_CLASS.deduplication_window_ms - base.clock_tick_ms - remaining_ms)
    harness.end_attempt(name, Outcome.RESET)
    assert len(harness.attempted_servers(name)) == 1 + is_retried
    assert harness.final_answers.get(name, []) == ([] if is_retried else ["Fail"])


def test_the_connect_timeout_of_the_settings_is_applied() -> None:
    raw = raw_config()
    raw["settings"]["policy-limits"]["dial-timeout"] = 130.0
    assert parse_config(raw).settings.capabilities.connect_timeout_ms == 130.0


def test_bodies_count_against_the_memory_of_open_requests() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> Answer:
            await release.wait()
            return served(b"value")

        limiter = await Limiter.start(await Server(behave).start())
        limiter.gateway.requests.free_bytes = 3.0 * len(BODY)  # enough for one such request and a short one
        first, second = await limiter.client(), await limiter.client()
        write(first, "long", BODY)
        await until(lambda: limiter.gateway.open_request_count == 1)
        write(second, "another", BODY)
        assert str(await second.answer()).startswith("BUSY")
        second.read("short")
        await until(lambda: limiter.gateway.open_request_count == 2)
        release.set()
        assert (await first.answer(), await second.answer()) == (b"value", b"value")
        write(second, "another", BODY)
        assert await second.answer() == b"value"  # the memory of the first request is free again
        assert limiter.gateway.requests.free_bytes == 3.0 * len(BODY)

    run(test())
