"""The warm-up budget: what many limiters send together to one server that warms up stays within what the settings
allow, also when work comes after a pause, or to limiters that have all just started."""

import heapq
import random
from collections.abc import Callable
from dataclasses import replace
from math import sqrt

import pytest
from helpers import RULES, RUNNING, LimiterHarness, limiter_settings, server_entry

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter

WARM_SERVER_COUNT = 9
REQUESTS_PER_S = 100.0  # over all limiters, at usual times
STEP_MS = 10.0
ANSWER_MS = 50.0
STARTED_AT_MS = 12_000.0  # of the server that warms up; by then the limiters have seen what warm servers carry
WARM_UP_RULES = replace(RULES, warm_up_ms=17_000.0)
UNLIMITED_PLAN = api.Plan("open", rate_per_s=1e6, burst_units=1e6)


class Fleet:
    """Limiters on one clock, each with its own traffic.

    Attributes:
        sent_at_ms: The times at which the server that warms up got an attempt.
    """

    def __init__(self, limiters: int, peers: bool, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.settings = replace(
            limiter_settings(limiter_count=limiters, can_message_peers=peers),
            plans=(UNLIMITED_PLAN,),
            rules=WARM_UP_RULES,
        )
        self.sent_at_ms: list[float] = []
        self.entries = [server_entry(f"w{n}", n % 2) for n in range(WARM_SERVER_COUNT)]
        self.limiters: list[LimiterHarness] = []
        self.restart()

    def restart(self) -> None:
        self.limiters = [self.start_limiter(number) for number in range(self.settings.limiter_count)]
        self.seen_counts = [0] * len(self.limiters)
        self.answers_due: list[tuple[float, int, str]] = []
        self.apply_list(self.entries)

    def start_limiter(self, number: int) -> LimiterHarness:
        limiter = Limiter(replace(self.settings, limiter_index=number), self.rng.getrandbits(32), self.now)
        limiter_gateway = LimiterHarness(limiter, now_ms=self.now)
        limiter_gateway.carry_out(limiter.start(self.now))
        return limiter_gateway

    def apply_list(self, entries: list[api.ServerEntry]) -> None:
        self.entries = entries
        for limiter in self.limiters:
            limiter.run_until(self.now)
            limiter.apply_list(*entries)

    def play(self, until: float, rate: Callable[[float], float]) -> None:
        """Play until `until`, with `rate(now)` requests per second over all limiters."""
        while self.now < until:
            self.now += STEP_MS
            while self.answers_due and self.answers_due[0][0] <= self.now:
                _, number, name = heapq.heappop(self.answers_due)
                self.limiters[number].run_until(self.now)
                self.limiters[number].end_attempt(name, duration_ms=ANSWER_MS)
                self.record_sends(number)
            for number, limiter in enumerate(self.limiters):
                limiter.run_until(self.now)
                if self.rng.random() < rate(self.now) / len(self.limiters) * STEP_MS / 1000.0:
                    limiter.send_request(customer_id=f"c{self.rng.randrange(50)}")
                self.record_sends(number)

    def record_sends(self, number: int) -> None:
        sent = self.limiters[number].sent_attempts
        for at, send in sent[self.seen_counts[number] :]:
            if send.server_id == "new":
                self.sent_at_ms.append(at)
            heapq.heappush(self.answers_due, (self.now + ANSWER_MS, number, send.request_id))
        self.seen_counts[number] = len(sent)

    def budget(self, at: float) -> float:
        """Return the attempts that the settings allow to the new server in the window that ends at `at`."""
        warm_up_fraction = min(1.0, (at - STARTED_AT_MS) / WARM_UP_RULES.warm_up_ms)
        share = (
            WARM_UP_RULES.warm_up_initial_fraction + (1.0 - WARM_UP_RULES.warm_up_initial_fraction) * warm_up_fraction
        )
        return (
            WARM_UP_RULES.overload_multiple
            * share
            * REQUESTS_PER_S
            / WARM_SERVER_COUNT
            * WARM_UP_RULES.overload_window_ms
            / 1000.0
        )

    def windows_over_budget(self) -> list[tuple[float, int, float]]:
        """Return the windows in which more was sent than the budget and what chance may add."""
        first = 0
        over_budget = []
        for last, at in enumerate(self.sent_at_ms):
            while self.sent_at_ms[first] <= at - WARM_UP_RULES.overload_window_ms:
                first += 1
            count, budget = last - first + 1, self.budget(at)
            if at < STARTED_AT_MS + WARM_UP_RULES.warm_up_ms and count > budget + 2.0 * sqrt(budget) + 2.0:
                over_budget.append((at, count, budget))
        return over_budget


def with_new_server(*entries: api.ServerEntry) -> list[api.ServerEntry]:
    return [*entries, server_entry("new", 1, RUNNING, STARTED_AT_MS)]


@pytest.mark.parametrize("peers", [True, False])
@pytest.mark.parametrize("limiters", [30, 150])
def test_budgets_saved_up_in_a_pause_are_not_all_spent_at_once(limiters: int, peers: bool) -> None:
    fleet = Fleet(limiters, peers, limiters)
    fleet.play(STARTED_AT_MS, lambda now: REQUESTS_PER_S)
    fleet.apply_list(with_new_server(*fleet.entries))
    fleet.play(STARTED_AT_MS + 14_000.0, lambda now: 0.3 * REQUESTS_PER_S)
    fleet.apply_list([replace(one, state=api.ServerState.DRAINING) for one in fleet.entries[:-1]] + fleet.entries[-1:])
    fleet.play(fleet.now + 1_500.0, lambda now: 5.0 * REQUESTS_PER_S)
    assert fleet.windows_over_budget() == []
    assert fleet.sent_at_ms  # the server is used nevertheless


@pytest.mark.parametrize("peers", [True, False])
def test_limiters_that_all_restart_stay_within_the_budget(peers: bool) -> None:
    fleet = Fleet(30, peers, 7)
    fleet.play(STARTED_AT_MS, lambda now: REQUESTS_PER_S)
    fleet.apply_list(with_new_server(*fleet.entries))
    fleet.play(STARTED_AT_MS + 3_000.0, lambda now: REQUESTS_PER_S)
    for _ in range(3):
        fleet.restart()
        fleet.play(fleet.now + 700.0, lambda now: 4.0 * REQUESTS_PER_S)
    assert fleet.windows_over_budget() == []


def test_few_limiters_use_a_good_part_of_the_budget() -> None:
    fleet = Fleet(3, True, 5)
    fleet.play(STARTED_AT_MS, lambda now: REQUESTS_PER_S)
    fleet.apply_list(with_new_server(*fleet.entries))
    fleet.play(STARTED_AT_MS + 8_000.0, lambda now: REQUESTS_PER_S)
    assert fleet.windows_over_budget() == []
    share = len(fleet.sent_at_ms) / sum(fleet.budget(STARTED_AT_MS + 1_000.0 * second) for second in range(8))
    assert share > 0.2, share


def test_a_server_that_has_just_warmed_up_is_reviewed_a_bounded_number_of_times() -> None:
    """Until the next control period it has no budget to wait for and still stands among those that warm up."""
    config = replace(limiter_settings(), rules=WARM_UP_RULES)
    limiter_gateway = LimiterHarness(Limiter(config, 7, 100_000.0), now_ms=100_000.0)
    limiter_gateway.carry_out(limiter_gateway.limiter.start(100_000.0))
    limiter_gateway.apply_list(server_entry("new", started_at_ms=100_500.0 - WARM_UP_RULES.warm_up_ms))
    for _ in range(40):
        limiter_gateway.run_until(limiter_gateway.now_ms + 50.0)
        limiter_gateway.is_served()
    assert limiter_gateway.attempted_servers("r40") == ["new"]
