"""Attempts over loopback: outcomes, connection pools, drains and deadlines."""

import asyncio
import contextlib
import socket

import pytest
from programs import record_outcomes

from elderlock.interface import Event, Outcome, RequestArrived, ServerState
from elderlock.net.clock import Clock
from elderlock.net.config import parse_config
from elderlock.net.endpoint_list import parse_endpoint_list
from elderlock.net.gateway import DEADLINE_MARGIN_MS
from elderlock.net.server_connection import Attempt
from elderlock.net.server_pool import ServerPools
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Answer, Server, answers, served
from elderlock.standins.settings import raw_config, target
from elderlock.standins.waiting import run, until


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
        (b"*1000000000\r\n", Outcome.ERROR),  # a parser that allocates memory for it would hang
        (b"*3\r\n$3000000000\r\n" + b"x" * 300000, Outcome.ERROR),
        (b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n", Outcome.ERROR),  # the length is too short
        (b"*3\r\n$9\r\nvalue\r\n$-1\r\n$-1\r\n", Outcome.ERROR),  # the length is too great
        (b"*3\r\n$99\r\nvalue\r\n$-1\r\n$-1\r\n", Outcome.ERROR),  # the length is too great, so the answer never ends
        (b"*2\r\n$5\r\nvalue\r\n$-1\r\n", Outcome.ERROR),
        (b"*1\r\n$5\r\nvalue\r\n", Outcome.ERROR),
        (b"*4\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.ERROR),
        (b"$5\r\nvalue\r\n", Outcome.ERROR),
        (b"-" + b"x" * 3000, Outcome.ERROR),  # a line without a line end
        (b"*3\r\n$5\r\nvalue\r\n$3\r\n?%?\r\n$4\r\n=,=,\r\n", Outcome.OK),  # only the figures are unusable
        (b"*3\r\n$5\r\nvalue\r\n:86\r\n$7\r\nqueue=x\r\n", Outcome.OK),
        (served(b"one") + b"\x00", Outcome.OK),
    ],
)
def test_each_answer_has_its_outcome(answer: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server(answers(answer)).start())
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        received = await client.ask("x")
        assert outcomes[0] is outcome
        assert isinstance(received, bytes) == (outcome is Outcome.OK)
        assert await client.ask("y") is not None  # the limiter still answers

    run(test())


def test_broken_connection_is_a_reset_and_another_server_serves() -> None:
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
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        assert await client.ask("x") == b"again"
        assert outcomes == [Outcome.RESET, Outcome.OK]

    run(test())


def test_refused_connection_counts_as_not_executed_and_does_not_reenter_the_limiter() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start()
        limiter.tell(target("s-0", "127.0.0.1:1"))
        outcomes = record_outcomes(limiter)
        client = await limiter.client()
        answer = await client.ask("x")
        assert str(answer).startswith("BUSY")  # a refusal, because no server can have executed the request
        assert set(outcomes) == {Outcome.CONNECT_FAILED}
        limiter.tell(target("s-1", server.endpoint))
        assert await client.ask("y") == b"value"

    run(test())


def test_most_recently_used_connection_is_reused_first() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        for number in range(20):
            assert await client.ask(f"x{number}") == b"value"
        assert server.accepted == 1

    run(test())


@pytest.mark.parametrize("extra_bytes", [b"*", b"garbage\r\n", served(b"duplicate")])
def test_connection_with_bytes_after_its_answer_is_not_reused(extra_bytes: bytes) -> None:
    async def test() -> None:
        server = await Server(answers(served(b"one") + extra_bytes, served(b"two"))).start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        assert [await client.ask("x"), await client.ask("y")] == [b"one", b"two"]
        assert server.accepted == 2

    run(test())


def test_bytes_on_an_idle_connection_close_it() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        assert await client.ask("x") == b"value"
        server.writers[0].write(served(b"duplicate"))
        await until(lambda: server.lost == 1)

    run(test())


def test_connection_is_not_reused_at_once_so_that_a_duplicate_answers_no_request() -> None:
    """The duplicate arrives at a time when a reused connection would already carry the next request."""

    async def test() -> None:
        async def behave(command: list[bytes]) -> Answer:
            if command[2] == b"b":
                server.writers[0].write(served(b"a"))  # a duplicate of the first answer
            return served(command[2])

        server = await Server(behave).start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 1e6
        client = await limiter.client()
        assert await client.ask("a") == b"a"
        assert await client.ask("b") == b"b"

    run(test())


def test_connect_that_hangs_leaves_time_for_another_server() -> None:
    async def test() -> None:
        server = await Server().start()
        with socket.socket() as silent, contextlib.ExitStack() as backlog:
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            for _ in range(4):  # fill the backlog, so that further connections get no answer
                filler = backlog.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(silent.getsockname())
            limiter = await Limiter.start(**{"dial-timeout": 60000.0})
            limiter.tell(target("s-0", "127.0.0.1:%d" % silent.getsockname()[1]))
            outcomes = record_outcomes(limiter)
            client = await limiter.client()
            client.read("x", d=3000)
            await until(lambda: limiter.gateway.server_pools.connection_count == 1)
            limiter.tell(target("s-1", server.endpoint), complete=False)
            assert await client.answer() == b"value"
            assert set(outcomes[:-1]) == {Outcome.CONNECT_FAILED} and outcomes[-1] is Outcome.OK

    run(test())


def test_new_server_at_a_known_address_gets_new_connections() -> None:
    async def test() -> None:
        server, pools = await Server().start(), PoolsWithoutGateway()
        pools.apply(target("s-0", server.endpoint))
        pools.send()
        await until(lambda: pools.outcomes == [Outcome.OK])
        new = target("s-1", server.endpoint, boot_ms=1e12)
        listed = parse_endpoint_list({"rev": 2, "all": False, "targets": [new]}, pools.settings)
        replaced = pools.server_pools.apply_list(listed)
        assert [(entry.server_id, entry.state) for entry in replaced] == [("s-0", ServerState.REMOVED)]
        await until(lambda: server.lost == 1)
        pools.send()
        assert pools.outcomes[-1] is Outcome.NOT_FORWARDED
        # A late list names the old server again: the newer server keeps the address.
        old = parse_endpoint_list({"rev": 3, "all": False, "targets": [target("s-0", server.endpoint)]}, pools.settings)
        assert [entry.server_id for entry in pools.server_pools.apply_list(old)] == ["s-0"]

    run(test())


@pytest.mark.parametrize("old_boot_ms", [0.0, 1e12])
@pytest.mark.parametrize("new_boot_ms", [0.0, 1.5e12])
@pytest.mark.parametrize("is_old_listed_first", [False, True])
def test_running_server_at_the_address_of_a_draining_one_gets_the_requests(
    old_boot_ms: float, new_boot_ms: float, is_old_listed_first: bool
) -> None:
    """Guards against: a server is taken for one that has gone from its address, as its start time is not later."""

    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start()
        limiter.tell(target("old", server.endpoint, boot_ms=old_boot_ms))
        entries = [
            target("old", server.endpoint, "draining", old_boot_ms),
            target("new", server.endpoint, boot_ms=new_boot_ms),
        ]
        limiter.tell(*(entries if is_old_listed_first else reversed(entries)))
        client = await limiter.client()
        assert await client.ask("x") == b"value"
        assert list(limiter.gateway.server_pools.endpoints()) == ["new"]
        limiter.tell(target("old", server.endpoint, "draining", old_boot_ms), complete=False)  # told once more
        assert await client.ask("y") == b"value"

    run(test())


def test_idle_connections_close_before_the_keepalive_ends_and_on_a_drain() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start(server)
        limiter.gateway.server_pools.reuse_delay_ms = 0.0
        client = await limiter.client()
        assert await client.ask("x") == b"value"
        limiter.gateway.server_pools.idle_limit_ms = -1.0  # every idle connection has expired
        limiter.gateway.server_pools.close_expired()
        await until(lambda: server.lost == 1)
        assert await client.ask("y") == b"value"
        limiter.tell(target("s-0", server.endpoint, state="draining"), complete=False)
        await until(lambda: server.lost == 2)

    run(test())


def test_draining_server_gets_no_request_and_a_restarted_one_gets_new_connections() -> None:
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


class PoolsWithoutGateway:
    """Server pools without a gateway, so that a test can act while a connection is being established."""

    def __init__(self) -> None:
        config = parse_config(raw_config())
        self.settings = config.socket_settings
        self.outcomes: list[Outcome] = []
        loop = asyncio.get_running_loop()
        self.server_pools = ServerPools(
            loop, self.settings, 1200.0, config.max_descriptors, Clock().now_ms, self._attempt_ended
        )
        self.server_pools.reuse_delay_ms = 0.0

    def _attempt_ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        self.outcomes.append(outcome)

    def apply(self, *targets: dict[str, object]) -> None:
        self.server_pools.apply_list(
            parse_endpoint_list({"rev": 1, "all": False, "targets": list(targets)}, self.settings)
        )

    def send(self, timeout_ms: float = 60000.0) -> Attempt:
        return self.server_pools.start_attempt("r", 0, "s-0", timeout_ms, lambda wait_ms: b"*1\r\n$1\r\nx\r\n")


def test_drain_listed_while_connecting_stops_the_send() -> None:
    """The limiter chose the server before the list with the drain arrived. From then on nothing may be sent to it."""

    async def test() -> None:
        server, pools = await Server().start(), PoolsWithoutGateway()
        pools.apply(target("s-0", server.endpoint))
        pools.send()
        pools.apply(target("s-0", server.endpoint, state="draining"))
        await until(lambda: server.lost == 1)  # the connection is established and closed again
        assert pools.outcomes == [Outcome.NOT_FORWARDED]
        assert server.commands == []

    run(test())


def test_attempt_cancelled_or_timed_out_while_connecting_is_never_written() -> None:
    async def test() -> None:
        server, pools = await Server().start(), PoolsWithoutGateway()
        pools.apply(target("s-0", server.endpoint))
        pools.send().abandon(Outcome.CANCELLED)
        pools.send(timeout_ms=0.0).time_out()
        assert pools.outcomes == [Outcome.CANCELLED, Outcome.CONNECT_FAILED]
        await until(lambda: server.accepted == 2)
        pools.send()  # reuses one of the two connections
        await until(lambda: len(pools.outcomes) == 3)
        assert (len(server.commands), pools.outcomes[-1]) == (1, Outcome.OK)

    run(test())


def test_connect_that_never_succeeds_is_abandoned_and_no_longer_counted() -> None:
    """A server machine that is down neither accepts nor refuses connections."""

    async def test() -> None:
        pools = PoolsWithoutGateway()
        with socket.socket() as silent, contextlib.ExitStack() as backlog:
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            for _ in range(4):  # fill the backlog, so that further connections get no answer
                filler = backlog.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(silent.getsockname())
            pools.apply(target("s-0", "127.0.0.1:%d" % silent.getsockname()[1]))
            pools.send()
            await until(lambda: pools.outcomes == [Outcome.CONNECT_FAILED])
            assert pools.server_pools.connection_count == 1  # connecting goes on until the timeout in the settings
            await until(lambda: pools.server_pools.connection_count == 0)

    run(test())


def test_connections_are_limited_and_an_idle_one_of_another_server_is_closed() -> None:
    async def test() -> None:
        server, other, pools = await Server(answers(None)).start(), await Server().start(), PoolsWithoutGateway()
        pools.server_pools._max_connections, pools.server_pools._max_per_server = 3, 2
        pools.apply(target("s-0", other.endpoint))
        pools.send()
        await until(lambda: pools.outcomes == [Outcome.OK])
        pools.apply(target("s-0", server.endpoint))  # the address changed: the idle connection is closed
        for _ in range(3):
            pools.send()
        assert pools.outcomes[1:] == [
            Outcome.NOT_FORWARDED
        ]  # the limit is the limiter's and does not count against the server
        await until(lambda: len(server.commands) == 2 and pools.server_pools.connection_count == 2)

    run(test())


def test_request_is_answered_although_the_limiter_raises_on_it() -> None:
    async def test() -> None:
        limiter = await Limiter.start(await Server().start())
        client = await limiter.client()
        handle = limiter.gateway._limiter.handle

        def failing(event: Event, now_ms: float) -> list[object]:
            if isinstance(event, RequestArrived) and event.deadline_ms - now_ms < 1000.0:
                raise RuntimeError("a bug in the limiter")
            return handle(event, now_ms)  # type: ignore[return-value]

        limiter.gateway._limiter.handle = failing  # type: ignore[method-assign,assignment]
        assert str(await client.ask("x", d=200)).startswith("ERR")
        assert await client.ask("y", d=3000) == b"value"

    run(test())


def test_silent_server_is_abandoned_in_time_and_its_late_answer_is_dropped() -> None:
    async def test() -> None:
        server = await Server(answers(None)).start()
        limiter = await Limiter.start(server)
        client = await limiter.client()
        answer = await client.ask("x", d=300)
        assert str(answer).startswith("ERR")  # not a refusal, as the server may have executed the request
        forwarded = dict(pair.split(b"=") for pair in server.commands[0][3].split(b","))
        assert int(forwarded[b"d"]) <= 300 - DEADLINE_MARGIN_MS  # leaves time for the answer to reach the client
        await until(lambda: server.lost == len(server.commands))

    run(test())
