"""The client of the platform's counter under faults of the counter: each call has one outcome, and none blocks."""

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
    """A client of a fake counter, the outcomes of its calls, and the number of lost connections that it reports.

    A failure is recorded as whether the counter may have added the amount, and whether it was busy.
    """

    def __init__(self) -> None:
        self.counter = Counter()
        self.outcomes: dict[int, list[Outcome]] = {}
        self.connection_losses = 0
        self.token = 1_000_000

    async def __aenter__(self) -> "TallyHarness":
        await self.counter.open(2)
        self.client = TallyClient(
            asyncio.get_running_loop(),
            self.address(0),
            50.0,
            StoreEvents(
                lambda token, total: self.outcomes.setdefault(token, []).append(("total", total)),
                lambda token, may_have_added, is_busy: self.outcomes.setdefault(token, []).append(
                    ("failed", (may_have_added, is_busy))
                ),
                self._on_connection_lost,
            ),
        )
        return self

    def address(self, door: int) -> tuple[str, int]:
        return "127.0.0.1", self.counter.ports[door].port

    def _on_connection_lost(self) -> None:
        self.connection_losses += 1

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        await self.counter.close()

    async def connect(self) -> None:
        """Call until a call is answered."""
        while not any(kind == "total" for kind, _ in self.outcomes.get(self.token, [])):
            self.token += 1
            self.client.send([CounterCall(self.token, "warm", 1.0, 60_000.0)])
            await asyncio.sleep(0.01)
        await until(lambda: all(n in self.outcomes for n in range(1_000_001, self.token + 1)))
        self.token += 1
        self.outcomes[self.token] = []

    def send(self, *tokens: int) -> None:
        self.client.send([CounterCall(token, f"n{token}", 2.5, 60_000.0) for token in tokens])


def run_with_harness(test: Callable[[TallyHarness], Awaitable[None]]) -> None:
    async def run_test() -> None:
        async with TallyHarness() as harness:
            await test(harness)

    run(run_test())


def test_a_call_is_encoded_as_a_resp2_array() -> None:
    assert (
        encode_call(CounterCall(1, "a:7", -2.5, 60_000.0))
        == b"*4\r\n$5\r\nTALLY\r\n$3\r\na:7\r\n$4\r\n-2.5\r\n$5\r\n60000\r\n"
    )


def test_calls_are_pipelined_and_totals_come_back_in_order() -> None:
    async def test(harness: TallyHarness) -> None:
        harness.send(1)
        assert harness.outcomes[1] == [
            ("failed", (False, False))
        ]  # there is no connection yet, so the call was not sent
        await harness.connect()
        harness.send(*range(10, 40))
        await until(lambda: len(harness.outcomes.get(39, [])) == 1)
        assert all(harness.outcomes[n] == [("total", 2.5)] for n in range(10, 40))
        harness.send(10)
        await until(lambda: len(harness.outcomes[10]) == 2)
        assert harness.outcomes[10][1] == ("total", 5.0) and harness.counter.accepted == 1

    run_with_harness(test)


def test_a_busy_reply_fails_the_call_without_an_addition() -> None:
    async def test(harness: TallyHarness) -> None:
        await harness.connect()
        harness.counter.busy = True
        harness.send(1, 2)
        await until(lambda: 2 in harness.outcomes)
        assert (
            harness.outcomes[1] == harness.outcomes[2] == [("failed", (False, True))] and harness.connection_losses == 0
        )

    run_with_harness(test)


@pytest.mark.parametrize("spoil", [Spoil.NOISE, Spoil.TEXT, Spoil.MERGED, Spoil.CUT])
def test_a_malformed_reply_ends_the_connection_and_later_calls_may_have_been_added(spoil: Spoil) -> None:
    async def test(harness: TallyHarness) -> None:
        await harness.connect()
        harness.counter.spoil = spoil
        harness.send(1, 2, 3)
        await until(lambda: all(n in harness.outcomes for n in (1, 2, 3)))
        assert [harness.outcomes[n] for n in (1, 2, 3)] == [[("failed", (True, False))]] * 3
        await until(lambda: harness.connection_losses == 1)
        await harness.connect()  # it continues on a new connection

    run_with_harness(test)


def test_a_surplus_reply_ends_the_connection_before_the_next_call() -> None:
    async def test(harness: TallyHarness) -> None:
        await harness.connect()
        harness.counter.spoil = Spoil.DOUBLED
        harness.send(1)
        await until(lambda: harness.connection_losses == 1)
        assert harness.outcomes[1] == [("total", 2.5)]
        await harness.connect()
        harness.send(2)
        await until(lambda: 2 in harness.outcomes)
        assert harness.outcomes[2] == [("total", 2.5)]

    run_with_harness(test)


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.EMPTY, Fault.HALF])
def test_a_broken_connection_fails_each_call_once(fault: Fault) -> None:
    async def test(harness: TallyHarness) -> None:
        await harness.connect()
        await harness.counter.fail(fault, [0])
        harness.send(1, 2, 3)
        if fault is Fault.HALF:
            await asyncio.sleep(0.0)
            harness.counter.reset()
        await until(lambda: all(n in harness.outcomes for n in (1, 2, 3)))
        assert [len(harness.outcomes[n]) for n in (1, 2, 3)] == [1, 1, 1] and harness.connection_losses == 1

    run_with_harness(test)


def test_a_connection_without_answers_is_closed_by_a_later_call() -> None:
    async def test(harness: TallyHarness) -> None:
        await harness.connect()
        await harness.counter.fail(Fault.SILENT, [0])
        harness.send(1)
        token = 2
        while harness.connection_losses == 0:
            harness.send(token)
            token += 1
            await asyncio.sleep(0.01)
        assert harness.outcomes[1] == [("failed", (True, False))]
        await harness.counter.fail(Fault.NONE, [0])
        await harness.connect()

    run_with_harness(test)


def test_a_new_address_is_followed_at_once_and_calls_to_the_old_one_fail() -> None:
    async def test(harness: TallyHarness) -> None:
        await harness.connect()
        await harness.counter.fail(Fault.SILENT, [0])
        harness.send(1)
        harness.client.follow(harness.address(1))
        await until(lambda: 1 in harness.outcomes)
        assert harness.outcomes[1] == [("failed", (True, False))] and harness.connection_losses >= 1
        await harness.connect()
        assert not harness.counter.ports[0].writers or harness.counter.ports[1].writers
        losses_before = harness.connection_losses
        harness.client.follow(harness.address(1))
        assert harness.connection_losses == losses_before  # the address is unchanged

    run_with_harness(test)


def test_an_unreachable_counter_is_dialled_at_intervals_without_delaying_calls() -> None:
    async def test(harness: TallyHarness) -> None:
        await harness.counter.fail(Fault.REFUSING, [0])
        for n in range(200):
            harness.send(n)
        assert all(harness.outcomes[n] == [("failed", (False, False))] for n in range(200))
        await harness.counter.fail(Fault.NONE, [0])
        await harness.connect()

    run_with_harness(test)


def test_the_client_uses_one_connection_where_the_counter_resets_the_thirty_third() -> None:
    async def test(harness: TallyHarness) -> None:
        others = [await asyncio.open_connection(*harness.address(0)) for _ in range(32)]
        for n in range(3):
            harness.send(n)
            await asyncio.sleep(0.11)
        await until(lambda: harness.counter.refused >= 1)
        for _, writer in others:
            writer.close()
        await harness.connect()
        assert len(harness.counter.ports[0].writers) <= 1 + 32

    run_with_harness(test)
