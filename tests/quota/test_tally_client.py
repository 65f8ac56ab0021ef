"""The client of the platform's counter against one that breaks: each call has one outcome, and nothing waits."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from elderlock.quota.counter_call import CounterCall
from elderlock.quota.store_client import StoreEvents
from elderlock.quota.tally_client import TallyClient, encode_call
from elderlock.standins.counter import Counter, Spoil
from elderlock.standins.listener import Fault
from elderlock.standins.waiting import run, until

Outcome = tuple[str, float | tuple[bool, bool]]


class TallyHarness:
    """A client, the outcomes of each call, and how often it said that the counter is off."""

    def __init__(self) -> None:
        self.counter, self.outcomes, self.off = Counter(), dict[int, list[Outcome]](), 0
        self.token = 1_000_000

    async def __aenter__(self) -> "TallyHarness":
        await self.counter.open(2)
        self.tally = TallyClient(
            asyncio.get_running_loop(),
            self.address(0),
            50.0,
            StoreEvents(
                lambda token, total: self.outcomes.setdefault(token, []).append(("total", total)),
                lambda token, may, busy: self.outcomes.setdefault(token, []).append(("none", (may, busy))),
                self._off,
            ),
        )
        return self

    def address(self, door: int) -> tuple[str, int]:
        return "127.0.0.1", self.counter.doors[door].port

    def _off(self) -> None:
        self.off += 1

    async def __aexit__(self, *_: object) -> None:
        self.tally.close()
        await self.counter.close()

    async def opened(self) -> None:
        """Calls till one is answered."""
        while not any(kind == "total" for kind, _ in self.outcomes.get(self.token, [])):
            self.token += 1
            self.tally.send([CounterCall(self.token, "warm", 1.0, 60_000.0)])
            await asyncio.sleep(0.01)
        await until(lambda: all(n in self.outcomes for n in range(1_000_001, self.token + 1)))
        self.token += 1
        self.outcomes[self.token] = []

    def send(self, *tokens: int) -> None:
        self.tally.send([CounterCall(token, f"n{token}", 2.5, 60_000.0) for token in tokens])


def run_with_harness(test: Callable[[TallyHarness], Awaitable[None]]) -> None:
    async def work() -> None:
        async with TallyHarness() as made:
            await test(made)

    run(work())


def test_a_call_is_encoded_as_a_resp2_array() -> None:
    assert (
        encode_call(CounterCall(1, "a:7", -2.5, 60_000.0))
        == b"*4\r\n$5\r\nTALLY\r\n$3\r\na:7\r\n$4\r\n-2.5\r\n$5\r\n60000\r\n"
    )


def test_calls_are_pipelined_and_totals_come_back_in_order() -> None:
    async def test(b: TallyHarness) -> None:
        b.send(1)
        assert b.outcomes[1] == [("none", (False, False))]  # no connection yet: it was not made
        await b.opened()
        b.send(*range(10, 40))
        await until(lambda: len(b.outcomes.get(39, [])) == 1)
        assert all(b.outcomes[n] == [("total", 2.5)] for n in range(10, 40))
        b.send(10)
        await until(lambda: len(b.outcomes[10]) == 2)
        assert b.outcomes[10][1] == ("total", 5.0) and b.counter.accepted == 1

    run_with_harness(test)


def test_a_busy_reply_fails_the_call_as_not_added() -> None:
    async def test(b: TallyHarness) -> None:
        await b.opened()
        b.counter.busy = True
        b.send(1, 2)
        await until(lambda: 2 in b.outcomes)
        assert b.outcomes[1] == b.outcomes[2] == [("none", (False, True))] and b.off == 0

    run_with_harness(test)


@pytest.mark.parametrize("spoil", [Spoil.NOISE, Spoil.TEXT, Spoil.MERGED, Spoil.CUT])
def test_a_garbled_reply_ends_the_connection_and_calls_behind_it_may_have_been_added(spoil: Spoil) -> None:
    async def test(b: TallyHarness) -> None:
        await b.opened()
        b.counter.spoil = spoil
        b.send(1, 2, 3)
        await until(lambda: all(n in b.outcomes for n in (1, 2, 3)))
        assert [b.outcomes[n] for n in (1, 2, 3)] == [[("none", (True, False))]] * 3
        await until(lambda: b.off == 1)
        await b.opened()  # it goes on with a new one

    run_with_harness(test)


def test_a_surplus_reply_ends_the_connection_before_the_next_call() -> None:
    async def test(b: TallyHarness) -> None:
        await b.opened()
        b.counter.spoil = Spoil.DOUBLED
        b.send(1)
        await until(lambda: b.off == 1)
        assert b.outcomes[1] == [("total", 2.5)]
        await b.opened()
        b.send(2)
        await until(lambda: 2 in b.outcomes)
        assert b.outcomes[2] == [("total", 2.5)]

    run_with_harness(test)


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.EMPTY, Fault.HALF])
def test_a_broken_connection_fails_each_call_once(fault: Fault) -> None:
    async def test(b: TallyHarness) -> None:
        await b.opened()
        await b.counter.fail(fault, [0])
        b.send(1, 2, 3)
        if fault is Fault.HALF:
            await asyncio.sleep(0.0)
            b.counter.reset()
        await until(lambda: all(n in b.outcomes for n in (1, 2, 3)))
        assert [len(b.outcomes[n]) for n in (1, 2, 3)] == [1, 1, 1] and b.off == 1

    run_with_harness(test)


def test_a_hanging_connection_is_closed_by_a_late_enough_call() -> None:
    async def test(b: TallyHarness) -> None:
        await b.opened()
        await b.counter.fail(Fault.SILENT, [0])
        b.send(1)
        token = 2
        while b.off == 0:
            b.send(token)
            token += 1
            await asyncio.sleep(0.01)
        assert b.outcomes[1] == [("none", (True, False))]
        await b.counter.fail(Fault.NONE, [0])
        await b.opened()

    run_with_harness(test)


def test_a_new_address_is_followed_at_once_and_calls_to_the_old_one_fail() -> None:
    async def test(b: TallyHarness) -> None:
        await b.opened()
        await b.counter.fail(Fault.SILENT, [0])
        b.send(1)
        b.tally.follow(b.address(1))
        await until(lambda: 1 in b.outcomes)
        assert b.outcomes[1] == [("none", (True, False))] and b.off >= 1
        await b.opened()
        assert not b.counter.doors[0].writers or b.counter.doors[1].writers
        off = b.off
        b.tally.follow(b.address(1))
        assert b.off == off  # where it is already

    run_with_harness(test)


def test_an_absent_counter_is_dialled_at_intervals_without_delaying_calls() -> None:
    async def test(b: TallyHarness) -> None:
        await b.counter.fail(Fault.REFUSING, [0])
        for n in range(200):
            b.send(n)
        assert all(b.outcomes[n] == [("none", (False, False))] for n in range(200))
        await b.counter.fail(Fault.NONE, [0])
        await b.opened()

    run_with_harness(test)


def test_the_client_keeps_to_one_connection_where_the_counter_resets_the_thirty_third() -> None:
    async def test(b: TallyHarness) -> None:
        others = [await asyncio.open_connection(*b.address(0)) for _ in range(32)]
        for n in range(3):
            b.send(n)
            await asyncio.sleep(0.11)
        await until(lambda: b.counter.refused >= 1)
        for _, writer in others:
            writer.close()
        await b.opened()
        assert len(b.counter.doors[0].writers) <= 1 + 32

    run_with_harness(test)
