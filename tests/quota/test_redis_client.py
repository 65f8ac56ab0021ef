"""Redis as the counter, as one server and as a cluster, against fakes that redirect, lose counts and fail over."""

import asyncio
from collections.abc import Sequence

import pytest

from elderlock.quota.counter_call import CounterCall
from elderlock.quota.redis_client import RedisClient, RedisOptions
from elderlock.quota.store_client import StoreEvents
from elderlock.standins.listener import Fault
from elderlock.standins.redis import SLOTS, RedisCluster, RedisServer, slot_of
from elderlock.standins.waiting import run, until


class RedisHarness:
    """A client with the outcomes of its calls, by token, and the number of lost connections that it reports.

    A failure is recorded as whether the server may have added the amount, and whether it was busy.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]], is_cluster: bool) -> None:
        self.totals: dict[int, list[float]] = {}
        self.failures: dict[int, list[tuple[bool, bool]]] = {}
        self.connection_losses = 0
        self.client = RedisClient(
            asyncio.get_running_loop(),
            RedisOptions(tuple(addresses), is_cluster, "q:"),
            200.0,
            StoreEvents(
                lambda token, total: self.totals.setdefault(token, []).append(total),
                lambda token, may_have_added, is_busy: self.failures.setdefault(token, []).append(
                    (may_have_added, is_busy)
                ),
                self._on_connection_lost,
            ),
        )
        self.token = 1000

    def _on_connection_lost(self) -> None:
        self.connection_losses += 1

    def outcome_count(self, token: int) -> int:
        return len(self.totals.get(token, [])) + len(self.failures.get(token, []))

    async def add(self, name: str, amount: float = 1.0) -> float:
        """Call until there is a total; for calls that fail without adding anything."""
        while True:
            self.token += 1
            self.client.send([CounterCall(self.token, name, amount, 60_000.0)])
            while not self.outcome_count(self.token):
                await asyncio.sleep(0.002)
            if self.token in self.totals:
                return self.totals[self.token][0]
            await asyncio.sleep(0.01)


async def start_single_server() -> tuple[RedisServer, RedisHarness]:
    server = RedisServer()
    await server.open()
    return server, RedisHarness([("127.0.0.1", server.ports[0].port)], False)


def test_the_slot_of_a_key_matches_the_published_examples() -> None:
    assert slot_of(b"123456789") == 0x31C3 and slot_of(b"{user1000}.a") == slot_of(b"{user1000}.b")
    assert slot_of(b"foo{}{bar}") == slot_of(b"foo{}{bar}") != slot_of(b"bar")


def test_one_call_adds_sets_a_lifetime_and_returns_the_total() -> None:
    async def test() -> None:
        server, harness = await start_single_server()
        assert [await harness.add("a:1", 2.5), await harness.add("a:1", -0.5), await harness.add("b:1", 1.0)] == [
            2.5,
            2.0,
            1.0,
        ]
        assert set(server.totals) == {b"q:a:1", b"q:b:1"}
        calls_before = server.calls
        harness.client.send([CounterCall(n, "c", 1.0, 60_000.0) for n in range(100)])
        await until(lambda: all(harness.outcome_count(n) for n in range(100)))
        assert (
            server.calls - calls_before == len(harness.totals) - 3
            and max(totals[0] for totals in harness.totals.values()) == 100.0
        )
        harness.client.close()
        await server.close()

    run(test())


def test_a_restarted_server_is_detected_and_nothing_is_added_twice() -> None:
    async def test() -> None:
        server, harness = await start_single_server()
        assert await harness.add("a") == 1.0
        server.start_anew()
        assert await harness.add("a") == 1.0  # the server is empty, and the script is loaded again
        assert harness.connection_losses >= 1
        harness.client.close()
        await server.close()

    run(test())


def test_loading_counts_as_busy_and_a_call_without_an_answer_fails_once() -> None:
    async def test() -> None:
        server, harness = await start_single_server()
        await harness.add("a")
        server.loading = True
        harness.client.send([CounterCall(1, "a", 1.0, 60_000.0)])
        await until(lambda: 1 in harness.failures)
        assert harness.failures[1] == [(False, True)]
        server.loading = False
        await server.fail(Fault.SILENT)
        harness.client.send([CounterCall(2, "a", 1.0, 60_000.0)])
        await until(lambda: 2 in harness.failures)
        assert harness.failures[2] == [(True, False)]
        await server.fail(Fault.NONE)
        assert await harness.add("a") >= 2.0
        assert harness.outcome_count(2) == 1
        harness.client.close()
        await server.close()

    run(test())


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.EMPTY])
def test_a_call_whose_connection_breaks_may_have_added_and_is_not_retried(fault: Fault) -> None:
    async def test() -> None:
        server, harness = await start_single_server()
        await harness.add("a")
        calls_before = server.calls
        await server.fail(fault)
        harness.client.send([CounterCall(1, "a", 1.0, 60_000.0)])
        await until(lambda: 1 in harness.failures)
        assert (
            harness.failures[1] == [(True, False)]
            and server.calls - calls_before <= 1
            and harness.connection_losses == 1
        )
        await server.fail(Fault.NONE)
        harness.client.close()
        await server.close()

    run(test())


def test_cluster_calls_are_routed_by_slot_and_follow_redirects() -> None:
    async def test() -> None:
        cluster = await RedisCluster(3).open()
        harness = RedisHarness(cluster.addresses[:1], True)
        for n in range(30):
            assert await harness.add(f"a{n}", 2.0) == 2.0
        assert all(server.totals for server in cluster.servers)
        cluster.move(0, range(SLOTS // 2, SLOTS))
        for n in range(30):
            assert await harness.add(f"a{n}", 1.0) == 3.0
        assert sum(server.redirected for server in cluster.servers) >= 1
        harness.client.close()
        await cluster.close()

    run(test(), within=60.0)


def test_a_failover_reports_a_lost_connection() -> None:
    async def test() -> None:
        cluster = await RedisCluster(2).open()
        harness = RedisHarness(cluster.addresses, True)
        name = next(f"a{n}" for n in range(99) if cluster.owner[slot_of(b"q:a%d" % n)] == 1)
        assert await harness.add(name) == 1.0
        replicated = dict(cluster.servers[1].totals)
        assert await harness.add(name) == 2.0
        cluster.fail_over(1, replicated)
        assert await harness.add(name) == 2.0  # the write after the replication is lost
        assert harness.connection_losses >= 1
        harness.client.close()
        await cluster.close()

    run(test(), within=60.0)


def test_the_client_follows_another_address() -> None:
    async def test() -> None:
        server, harness = await start_single_server()
        other = RedisServer()
        await other.open()
        assert await harness.add("a") == 1.0
        harness.client.follow([("127.0.0.1", other.ports[0].port)])
        assert harness.connection_losses == 1
        assert await harness.add("a") == 1.0 and other.calls == 1 and server.calls == 1
        harness.client.close()
        await server.close()
        await other.close()

    run(test())
