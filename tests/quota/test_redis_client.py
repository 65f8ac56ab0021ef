"""Redis as the counter, one server and a cluster, against stand-ins that redirect, forget and fail over."""

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
    def __init__(self, addresses: Sequence[tuple[str, int]], cluster: bool) -> None:
        self.totals: dict[int, list[float]] = {}
        self.none: dict[int, list[tuple[bool, bool]]] = {}
        self.off = 0
        self.store = RedisClient(
            asyncio.get_running_loop(),
            RedisOptions(tuple(addresses), cluster, "q:"),
            200.0,
            StoreEvents(
                lambda token, total: self.totals.setdefault(token, []).append(total),
                lambda token, may, busy: self.none.setdefault(token, []).append((may, busy)),
                self._off,
            ),
        )
        self.token = 1000

    def _off(self) -> None:
        self.off += 1

    def outcomes(self, token: int) -> int:
        return len(self.totals.get(token, [])) + len(self.none.get(token, []))

    async def total(self, name: str, amount: float = 1.0) -> float:
        """Asks again till there is one; what was not added may be asked again."""
        while True:
            self.token += 1
            self.store.send([CounterCall(self.token, name, amount, 60_000.0)])
            while not self.outcomes(self.token):
                await asyncio.sleep(0.002)
            if self.token in self.totals:
                return self.totals[self.token][0]
            await asyncio.sleep(0.01)


async def alone() -> tuple[RedisServer, RedisHarness]:
    server = RedisServer()
    await server.open()
    return server, RedisHarness([("127.0.0.1", server.doors[0].port)], False)


def test_the_slot_of_a_key_is_the_published_one() -> None:
    assert slot_of(b"123456789") == 0x31C3 and slot_of(b"{user1000}.a") == slot_of(b"{user1000}.b")
    assert slot_of(b"foo{}{bar}") == slot_of(b"foo{}{bar}") != slot_of(b"bar")


def test_one_call_adds_sets_a_lifetime_and_returns_the_total() -> None:
    async def test() -> None:
        server, b = await alone()
        assert [await b.total("a:1", 2.5), await b.total("a:1", -0.5), await b.total("b:1", 1.0)] == [2.5, 2.0, 1.0]
        assert set(server.totals) == {b"q:a:1", b"q:b:1"}
        calls = server.calls
        b.store.send([CounterCall(n, "c", 1.0, 60_000.0) for n in range(100)])
        await until(lambda: all(b.outcomes(n) for n in range(100)))
        assert server.calls - calls == len(b.totals) - 3 and max(t[0] for t in b.totals.values()) == 100.0
        b.store.close()
        await server.close()

    run(test())


def test_a_restarted_server_is_noticed_and_nothing_is_added_twice() -> None:
    async def test() -> None:
        server, b = await alone()
        assert await b.total("a") == 1.0
        server.start_anew()
        assert await b.total("a") == 1.0  # empty, and its script loaded again
        assert b.off >= 1
        b.store.close()
        await server.close()

    run(test())


def test_loading_counts_as_busy_and_a_silent_call_fails_once() -> None:
    async def test() -> None:
        server, b = await alone()
        await b.total("a")
        server.loading = True
        b.store.send([CounterCall(1, "a", 1.0, 60_000.0)])
        await until(lambda: 1 in b.none)
        assert b.none[1] == [(False, True)]
        server.loading = False
        await server.fail(Fault.SILENT)
        b.store.send([CounterCall(2, "a", 1.0, 60_000.0)])
        await until(lambda: 2 in b.none)
        assert b.none[2] == [(True, False)]
        await server.fail(Fault.NONE)
        assert await b.total("a") >= 2.0
        assert b.outcomes(2) == 1
        b.store.close()
        await server.close()

    run(test())


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.EMPTY])
def test_a_call_whose_connection_breaks_may_have_added_and_is_not_retried(fault: Fault) -> None:
    async def test() -> None:
        server, b = await alone()
        await b.total("a")
        calls = server.calls
        await server.fail(fault)
        b.store.send([CounterCall(1, "a", 1.0, 60_000.0)])
        await until(lambda: 1 in b.none)
        assert b.none[1] == [(True, False)] and server.calls - calls <= 1 and b.off == 1
        await server.fail(Fault.NONE)
        b.store.close()
        await server.close()

    run(test())


def test_cluster_calls_go_by_slot_and_follow_redirects() -> None:
    async def test() -> None:
        cluster = await RedisCluster(3).open()
        b = RedisHarness(cluster.addresses[:1], True)
        for n in range(30):
            assert await b.total(f"a{n}", 2.0) == 2.0
        assert all(server.totals for server in cluster.servers)
        cluster.move(0, range(SLOTS // 2, SLOTS))
        for n in range(30):
            assert await b.total(f"a{n}", 1.0) == 3.0
        assert sum(server.redirected for server in cluster.servers) >= 1
        b.store.close()
        await cluster.close()

    run(test(), within=60.0)


def test_a_failover_reports_a_lost_connection() -> None:
    async def test() -> None:
        cluster = await RedisCluster(2).open()
        b = RedisHarness(cluster.addresses, True)
        name = next(f"a{n}" for n in range(99) if cluster.owner[slot_of(b"q:a%d" % n)] == 1)
        assert await b.total(name) == 1.0
        kept = dict(cluster.servers[1].totals)
        assert await b.total(name) == 2.0
        cluster.fail_over(1, kept)
        assert await b.total(name) == 2.0  # the write between is gone
        assert b.off >= 1
        b.store.close()
        await cluster.close()

    run(test(), within=60.0)


def test_the_client_follows_another_address() -> None:
    async def test() -> None:
        server, b = await alone()
        other = RedisServer()
        await other.open()
        assert await b.total("a") == 1.0
        b.store.follow([("127.0.0.1", other.doors[0].port)])
        assert b.off == 1
        assert await b.total("a") == 1.0 and other.calls == 1 and server.calls == 1
        b.store.close()
        await server.close()
        await other.close()

    run(test())
