"""Many limiters and one cold server: what all of them send it together stays within the budget that the settings
allow it, also when work comes after a pause, or to limiters that have all just started."""

import heapq
import random
from collections.abc import Callable
from dataclasses import replace
from math import sqrt

import pytest
from helpers import RULES, RUNNING, Gateway, entry, settings

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter

WARM, RATE = 9, 100.0  # warm servers, and requests a second over the fleet at usual times
STEP, TOOK = 10.0, 50.0  # ms between looks at the fleet; of an answer
COLD_AT = 12_000.0  # ms: by then the limiters have seen what warm servers carry
RULE = replace(RULES, warm_up_ms=17_000.0)
OPEN = api.Plan("open", rate_per_s=1e6, burst_units=1e6)


class Fleet:
    """Limiters on one clock, each with its own traffic; `sent` are the times at which the cold server got a call."""

    def __init__(self, limiters: int, peers: bool, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.base = replace(settings(limiters=limiters, peers=peers), plans=(OPEN,), rules=RULE)
        self.sent: list[float] = []
        self.entries = [entry(f"w{n}", n % 2) for n in range(WARM)]
        self.limiters: list[Gateway] = []
        self.restart()

    def restart(self) -> None:
        self.limiters = [self.started(number) for number in range(self.base.limiter_count)]
        self.seen = [0] * len(self.limiters)
        self.ends: list[tuple[float, int, str]] = []
        self.tell(self.entries)

    def started(self, number: int) -> Gateway:
        limiter = Limiter(replace(self.base, limiter_index=number), self.rng.getrandbits(32), self.now)
        made = Gateway(limiter, now=self.now)
        made.take(limiter.start(self.now))
        return made

    def tell(self, entries: list[api.ServerEntry]) -> None:
        self.entries = entries
        for limiter in self.limiters:
            limiter.run(self.now)
            limiter.servers(*entries)

    def play(self, until: float, rate: Callable[[float], float]) -> None:
        """`rate`: requests a second over the fleet at a time."""
        while self.now < until:
            self.now += STEP
            while self.ends and self.ends[0][0] <= self.now:
                _, number, name = heapq.heappop(self.ends)
                self.limiters[number].run(self.now)
                self.limiters[number].end(name, took=TOOK)
                self.note(number)
            for number, limiter in enumerate(self.limiters):
                limiter.run(self.now)
                if self.rng.random() < rate(self.now) / len(self.limiters) * STEP / 1000.0:
                    limiter.ask(customer=f"c{self.rng.randrange(50)}")
                self.note(number)

    def note(self, number: int) -> None:
        sent = self.limiters[number].sent
        for at, send in sent[self.seen[number] :]:
            if send.server_id == "cold":
                self.sent.append(at)
            heapq.heappush(self.ends, (self.now + TOOK, number, send.request_id))
        self.seen[number] = len(sent)

    def budget(self, at: float) -> float:
        """What the settings allow a cold server of the usual size in the window that ends then."""
        grown = min(1.0, (at - COLD_AT) / RULE.warm_up_ms)
        share = RULE.warm_up_initial_fraction + (1.0 - RULE.warm_up_initial_fraction) * grown
        return RULE.overload_multiple * share * RATE / WARM * RULE.overload_window_ms / 1000.0

    def beyond(self) -> list[tuple[float, int, float]]:
        """Windows in which more was sent than the budget and what may be put down to chance."""
        first, found = 0, []
        for last, at in enumerate(self.sent):
            while self.sent[first] <= at - RULE.overload_window_ms:
                first += 1
            count, budget = last - first + 1, self.budget(at)
            if at < COLD_AT + RULE.warm_up_ms and count > budget + 2.0 * sqrt(budget) + 2.0:
                found.append((at, count, budget))
        return found


def cold(*entries: api.ServerEntry) -> list[api.ServerEntry]:
    return [*entries, entry("cold", 1, RUNNING, COLD_AT)]


@pytest.mark.parametrize("peers", [True, False])
@pytest.mark.parametrize("limiters", [30, 150])
def test_calls_kept_through_a_pause_do_not_all_come_at_once(limiters: int, peers: bool) -> None:
    fleet = Fleet(limiters, peers, limiters)
    fleet.play(COLD_AT, lambda now: RATE)
    fleet.tell(cold(*fleet.entries))
    fleet.play(COLD_AT + 14_000.0, lambda now: 0.3 * RATE)
    fleet.tell([replace(one, state=api.ServerState.DRAINING) for one in fleet.entries[:-1]] + fleet.entries[-1:])
    fleet.play(fleet.now + 1_500.0, lambda now: 5.0 * RATE)
    assert fleet.beyond() == []
    assert fleet.sent  # it is used, all the same


@pytest.mark.parametrize("peers", [True, False])
def test_limiters_that_all_restart_begin_within_the_budget(peers: bool) -> None:
    fleet = Fleet(30, peers, 7)
    fleet.play(COLD_AT, lambda now: RATE)
    fleet.tell(cold(*fleet.entries))
    fleet.play(COLD_AT + 3_000.0, lambda now: RATE)
    for _ in range(3):
        fleet.restart()
        fleet.play(fleet.now + 700.0, lambda now: 4.0 * RATE)
    assert fleet.beyond() == []


def test_a_few_limiters_still_use_a_good_part_of_the_budget() -> None:
    fleet = Fleet(3, True, 5)
    fleet.play(COLD_AT, lambda now: RATE)
    fleet.tell(cold(*fleet.entries))
    fleet.play(COLD_AT + 8_000.0, lambda now: RATE)
    assert fleet.beyond() == []
    share = len(fleet.sent) / sum(fleet.budget(COLD_AT + 1_000.0 * second) for second in range(8))
    assert share > 0.2, share


def test_a_server_that_has_just_grown_warm_is_not_looked_at_without_end() -> None:
    """Between its last cold moment and the next control period it has no wait and is still held for young."""
    base = replace(settings(), rules=RULE)
    gate = Gateway(Limiter(base, 7, 100_000.0), now=100_000.0)
    gate.take(gate.limiter.start(100_000.0))
    gate.servers(entry("cold", at=100_500.0 - RULE.warm_up_ms))
    for _ in range(40):
        gate.run(gate.now + 50.0)
        gate.serve()
    assert gate.where("r40") == ["cold"]
