"""Attempts over loopback: outcomes, pooled connections, drains and deadlines."""

import asyncio
import contextlib
import socket

import pytest

from elderlock.interface import AttemptEnded, Event, Outcome, RequestArrived, ServerState
from elderlock.net.clock import Clock
from elderlock.net.config import parse_config
from elderlock.net.endpoint_list import parse_endpoint_list
from elderlock.net.gateway import DEADLINE_MARGIN_MS
from elderlock.net.server_connection import Attempt
from elderlock.net.server_pool import ServerPools
from elderlock.standins.boxes import Answer, Server, answers, served
from elderlock.standins.parts import Limiter
from elderlock.standins.settings import raw_config, target
from elderlock.standins.waiting import run, until


def outcomes(limiter: Limiter) -> list[Outcome]:
    """Collects the outcomes that the module is told."""
    seen: list[Outcome] = []
    handle = limiter.gateway._limiter.handle

    def watched(event: Event, now: float) -> list[object]:
        if isinstance(event, AttemptEnded):
            seen.append(event.outcome)
        return handle(event, now)  # type: ignore[return-value]

    limiter.gateway._limiter.handle = watched  # type: ignore[method-assign,assignment]
    return seen


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (served(b""), Outcome.OK),
        (b"-ERR failed\r\n", Outcome.ERROR),
        (b"-ERR failed queue=3\r\n", Outcome.ERROR),
        (b"-BUSY\r\n", Outcome.FULL),
        (b"-BUSY queue=3\r\n", Outcome.FULL),
        (b":5\r\n", Outcome.ERROR),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.ERROR),
        (b"garbage\r\n", Outcome.ERROR),
        (served(b"one") + served(b"two"), Outcome.OK),
        (b"$200000000\r\n" + b"x" * 300000, Outcome.ERROR),
        (b"*1000000000\r\n", Outcome.ERROR),  # a reader that sets room aside for it stands still
        (b"*3\r\n$3000000000\r\n" + b"x" * 300000, Outcome.ERROR),
        (b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n", Outcome.ERROR),  # the length is too short
        (b"*3\r\n$9\r\nvalue\r\n$-1\r\n$-1\r\n", Outcome.ERROR),  # or too long
        (b"*3\r\n$99\r\nvalue\r\n$-1\r\n$-1\r\n", Outcome.ERROR),  # so that the rest never comes
        (b"*2\r\n$5\r\nvalue\r\n$-1\r\n", Outcome.ERROR),
        (b"*1\r\n$5\r\nvalue\r\n", Outcome.ERROR),
        (b"*4\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.ERROR),
        (b"$5\r\nvalue\r\n", Outcome.ERROR),
        (b"-" + b"x" * 3000, Outcome.ERROR),  # a line without an end
        (b"*3\r\n$5\r\nvalue\r\n$3\r\n?%?\r\n$4\r\n=,=,\r\n", Outcome.OK),  # spoils just the figures
        (b"*3\r\n$5\r\nvalue\r\n:86\r\n$7\r\nqueue=x\r\n", Outcome.OK),
        (served(b"one") + b"\x00", Outcome.OK),
    ],
)
def test_what_comes_back_has_its_outcome(answer: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server(answers(answer)).start())
        seen = outcomes(limiter)
        client = await limiter.client()
        got = await client.ask("x")
        assert seen[0] is outcome
        assert isinstance(got, bytes) == (outcome is Outcome.OK)
        assert await client.ask("y") is not None  # and the limiter goes on

    run(test())


def test_a_broken_connection_is_a_reset_and_another_server_serves() -> None:
    async def test() -> None:
        broken: list[Server] = []

        async def behave(command: list[bytes]) -> Answer:
            if not broken:
                broken.append(first if command in first.commands else second)
                broken[0].reset()
                return None
            return served(b"again")

        first, second = await Server(behave).start(), await Server(behave).start()
        limiter = await Limiter.start(first, second)
        seen = outcomes(limiter)
        client = await limiter.client()
        assert await client.ask("x") == b"again"
        assert seen == [Outcome.RESET, Outcome.OK]

    run(test())


def test_a_refused_connection_never_ran_and_does_not_reenter_the_module() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start()
        limiter.tell(target("s-0", "127.0.0.1:1"))
        seen = outcomes(limiter)
        client = await limiter.client()
        answer = await client.ask("x")
        assert str(answer).startswith("BUSY")  # a refusal: it is certain that nothing ran
        assert set(seen) == {Outcome.CONNECT_FAILED}
        limiter.tell(target("s-1", server.endpoint))
        assert await client.ask("y") == b"value"

    run(test())


def test_connections_are_reused_the_latest_first() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        for number in range(20):
            assert await client.ask(f"x{number}") == b"value"
        assert server.accepted == 1

    run(test())


@pytest.mark.parametrize("more", [b"*", b"noise\r\n", served(b"copy")])
def test_a_connection_with_more_behind_its_answer_is_not_used_again(more: bytes) -> None:
    async def test() -> None:
        server = await Server(answers(served(b"one") + more, served(b"two"))).start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        assert [await client.ask("x"), await client.ask("y")] == [b"one", b"two"]
        assert server.accepted == 2

    run(test())


def test_what_comes_once_a_connection_is_idle_closes_it() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("x") == b"value"
        server.writers[0].write(served(b"copy"))
        await until(lambda: server.lost == 1)

    run(test())


def test_a_connection_is_not_used_again_at_once_so_that_a_copy_meets_no_request() -> None:
    """The copy comes when the next request would have been on the connection already."""

    async def test() -> None:
        async def behave(command: list[bytes]) -> Answer:
            if command[2] == b"b":
                server.writers[0].write(served(b"a"))  # again, behind the one that it sent before
            return served(command[2])

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 1e6
        client = await limiter.client()
        assert await client.ask("a") == b"a"
        assert await client.ask("b") == b"b"

    run(test())


def test_a_dial_that_hangs_leaves_time_for_another_server() -> None:
    async def test() -> None:
        server = await Server().start()
        with socket.socket() as silent, contextlib.ExitStack() as waiting:
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            for _ in range(4):
                filler = waiting.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(silent.getsockname())
            limiter = await Limiter.start(**{"dial-timeout": 60000.0})
            limiter.tell(target("s-0", "127.0.0.1:%d" % silent.getsockname()[1]))
            seen = outcomes(limiter)
            client = await limiter.client()
            client.read("x", d=3000)
            await until(lambda: limiter.gateway.server_pools.connection_count == 1)
            limiter.tell(target("s-1", server.endpoint), complete=False)
            assert await client.answer() == b"value"
            assert set(seen[:-1]) == {Outcome.CONNECT_FAILED} and seen[-1] is Outcome.OK

    run(test())


def test_a_new_server_at_a_known_address_inherits_nothing() -> None:
    async def test() -> None:
        server, bare = await Server().start(), Bare()
        bare.tell(target("s-0", server.endpoint))
        bare.send()
        await until(lambda: bare.ended == [Outcome.OK])
        new = target("s-1", server.endpoint, boot_ms=1e12)
        listed = parse_endpoint_list({"rev": 2, "all": False, "targets": [new]}, bare.settings)
        gone = bare.servers.apply_list(listed)
        assert [(entry.server_id, entry.state) for entry in gone] == [("s-0", ServerState.REMOVED)]
        await until(lambda: server.lost == 1)
        bare.send()
        assert bare.ended[-1] is Outcome.NOT_FORWARDED
        # told again under its old name, late: the younger one keeps the address
        old = parse_endpoint_list({"rev": 3, "all": False, "targets": [target("s-0", server.endpoint)]}, bare.settings)
        assert [entry.server_id for entry in bare.servers.apply_list(old)] == ["s-0"]

    run(test())


def test_idle_connections_go_before_the_keepalive_ends_and_on_a_drain() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        assert await client.ask("x") == b"value"
        limiter.gateway.server_pools.idle_limit_ms = -1.0  # all that is idle is too old
        limiter.gateway.server_pools.close_expired()
        await until(lambda: server.lost == 1)
        assert await client.ask("y") == b"value"
        limiter.tell(target("s-0", server.endpoint, state="draining"), complete=False)
        await until(lambda: server.lost == 2)

    run(test())


def test_nothing_goes_to_a_server_that_drains_and_a_restart_gets_new_connections() -> None:
    async def test() -> None:
        first, second = await Server().start(), await Server().start()
        limiter = await Limiter.start(first, second)
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        limiter.tell(target("s-0", first.endpoint, state="draining"), complete=False)
        for number in range(10):
            assert await client.ask(f"x{number}") == b"value"
        assert (len(first.commands), len(second.commands)) == (0, 10)
        limiter.tell(target("s-1", second.endpoint, boot_ms=limiter.clock.now_ms() - 60000.0), complete=False)
        await until(lambda: second.lost == 1)
        assert await client.ask("y") == b"value"
        assert second.accepted == 2

    run(test())


class Bare:
    """The pools alone, so that a test can act between the start of a dial and its end."""

    def __init__(self) -> None:
        config = parse_config(raw_config())
        self.settings = config.socket_settings
        self.ended: list[Outcome] = []
        loop = asyncio.get_running_loop()
        self.servers = ServerPools(loop, self.settings, 1200.0, config.max_descriptors, Clock().now_ms, self._ended)
        self.servers.reuse_delay_ms = 0.0

    def _ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        self.ended.append(outcome)

    def tell(self, *targets: dict[str, object]) -> None:
        self.servers.apply_list(parse_endpoint_list({"rev": 1, "all": False, "targets": list(targets)}, self.settings))

    def send(self, timeout: float = 60000.0) -> Attempt:
        return self.servers.start_attempt("r", 0, "s-0", timeout, lambda wait: b"*1\r\n$1\r\nx\r\n")


def test_a_drain_heard_while_dialling_stops_the_send() -> None:
    """The module chose the server before the news; the rule counts from the news."""

    async def test() -> None:
        server, bare = await Server().start(), Bare()
        bare.tell(target("s-0", server.endpoint))
        bare.send()
        bare.tell(target("s-0", server.endpoint, state="draining"))
        await until(lambda: server.lost == 1)  # dialled, and closed again
        assert bare.ended == [Outcome.NOT_FORWARDED]
        assert server.commands == []

    run(test())


def test_what_is_cancelled_or_out_of_time_while_dialling_is_never_written() -> None:
    async def test() -> None:
        server, bare = await Server().start(), Bare()
        bare.tell(target("s-0", server.endpoint))
        bare.send().abandon(Outcome.CANCELLED)
        bare.send(timeout=0.0).time_out()
        assert bare.ended == [Outcome.CANCELLED, Outcome.CONNECT_FAILED]
        await until(lambda: server.accepted == 2)
        bare.send()  # on one of the two, which were kept
        await until(lambda: len(bare.ended) == 3)
        assert (len(server.commands), bare.ended[-1]) == (1, Outcome.OK)

    run(test())


def test_a_dial_that_never_comes_up_is_given_up_and_counted_down() -> None:
    """A machine that vanished answers nothing: neither a connection nor a refusal."""

    async def test() -> None:
        bare = Bare()
        with socket.socket() as silent, contextlib.ExitStack() as waiting:
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            for _ in range(4):  # the queue of those not accepted fills, and further ones get no answer
                filler = waiting.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(silent.getsockname())
            bare.tell(target("s-0", "127.0.0.1:%d" % silent.getsockname()[1]))
            bare.send()
            await until(lambda: bare.ended == [Outcome.CONNECT_FAILED])
            assert bare.servers.connection_count == 1  # the dial goes on till the settings' time-out
            await until(lambda: bare.servers.connection_count == 0)

    run(test())


def test_connections_are_bounded_and_an_idle_one_elsewhere_gives_way() -> None:
    async def test() -> None:
        server, other, bare = await Server(answers(None)).start(), await Server().start(), Bare()
        bare.servers._max_connections, bare.servers._max_per_server = 3, 2
        bare.tell(target("s-0", other.endpoint))
        bare.send()
        await until(lambda: bare.ended == [Outcome.OK])
        bare.tell(target("s-0", server.endpoint))  # it moved: what was idle is closed
        for _ in range(3):
            bare.send()
        assert bare.ended[1:] == [Outcome.NOT_FORWARDED]  # the bound is ours, and says nothing of the server
        await until(lambda: len(server.commands) == 2 and bare.servers.connection_count == 2)

    run(test())


def test_a_request_is_answered_though_the_module_fails_on_it() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        handle = limiter.gateway._limiter.handle

        def failing(event: Event, now: float) -> list[object]:
            if isinstance(event, RequestArrived) and event.deadline_ms - now < 1000.0:
                raise RuntimeError("a fault in the module")
            return handle(event, now)  # type: ignore[return-value]

        limiter.gateway._limiter.handle = failing  # type: ignore[method-assign,assignment]
        assert str(await client.ask("x", d=200)).startswith("ERR")
        assert await client.ask("y", d=3000) == b"value"

    run(test())


def test_a_silent_server_is_given_up_in_time_and_late_answers_reach_nobody() -> None:
    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        answer = await client.ask("x", d=300)
        assert str(answer).startswith("ERR")  # it may have run, so no refusal
        waited = dict(pair.split(b"=") for pair in server.commands[0][3].split(b","))
        assert int(waited[b"d"]) <= 300 - DEADLINE_MARGIN_MS  # the answer has its way back to go in time
        await until(lambda: server.lost == len(server.commands))

    run(test())
