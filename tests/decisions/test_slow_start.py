"""The warm-up budget: the attempts of many limiters together to one server that is warming up stay within the budget
of the settings, also when traffic resumes after a pause or when all limiters have just started."""

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
REQUESTS_PER_S = 100.0  # the normal rate over all limiters
STEP_MS = 10.0
ANSWER_MS = 50.0
STARTED_AT_MS = 12_000.0  # the start of the new server; by then the limiters know the answer rate of warm servers
WARM_UP_RULES = replace(RULES, warm_up_ms=17_000.0)
UNLIMITED_PLAN = api.Plan("open", rate_per_s=1e6, burst_units=1e6)


class Fleet:
    """Limiters on one simulated clock, each with its own traffic.

    Attributes:
        sent_at_ms: The times at which an attempt was sent to the new server, which is warming up.
    """

    def __init__(self, limiter_count: int, can_message_peers: bool, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.settings = replace(
            limiter_settings(limiter_count=limiter_count, can_message_peers=can_message_peers),
            plans=(UNLIMITED_PLAN,),
            rules=WARM_UP_RULES,
        )
        self.sent_at_ms: list[float] = []
        self.entries = [server_entry(f"w{n}", n % 2) for n in range(WARM_SERVER_COUNT)]
        self.limiters: list[LimiterHarness] = []
        self.restart()

    def restart(self) -> None:
        self.limiters = [self.start_limiter(limiter_index) for limiter_index in range(self.settings.limiter_count)]
        self.recorded_counts = [0] * len(self.limiters)
        self.answers_due: list[tuple[float, int, str]] = []
        self.apply_list(self.entries)

    def start_limiter(self, limiter_index: int) -> LimiterHarness:
        limiter = Limiter(replace(self.settings, limiter_index=limiter_index), self.rng.getrandbits(32), self.now_ms)
        harness = LimiterHarness(limiter, now_ms=self.now_ms)
        harness.carry_out(limiter.start(self.now_ms))
        return harness

    def apply_list(self, entries: list[api.ServerEntry]) -> None:
        self.entries = entries
        for limiter in self.limiters:
            limiter.run_until(self.now_ms)
            limiter.apply_list(*entries)

    def run_until(self, until_ms: float, rate_per_s: Callable[[float], float]) -> None:
        """Run until `until_ms`, with `rate_per_s(now_ms)` requests per second over all limiters."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            while self.answers_due and self.answers_due[0][0] <= self.now_ms:
                _, limiter_index, request_id = heapq.heappop(self.answers_due)
                self.limiters[limiter_index].run_until(self.now_ms)
                self.limiters[limiter_index].end_attempt(request_id, duration_ms=ANSWER_MS)
                self.record_sends(limiter_index)
            for limiter_index, limiter in enumerate(self.limiters):
                limiter.run_until(self.now_ms)
                if self.rng.random() < rate_per_s(self.now_ms) / len(self.limiters) * STEP_MS / 1000.0:
                    limiter.send_request(customer_id=f"c{self.rng.randrange(50)}")
                self.record_sends(limiter_index)

    def record_sends(self, limiter_index: int) -> None:
        sent = self.limiters[limiter_index].sent_attempts
        for at, send in sent[self.recorded_counts[limiter_index] :]:
            if send.server_id == "new":
                self.sent_at_ms.append(at)
            heapq.heappush(self.answers_due, (self.now_ms + ANSWER_MS, limiter_index, send.request_id))
        self.recorded_counts[limiter_index] = len(sent)

    def budget(self, at: float) -> float:
        """Return the limiter_index of attempts that the settings allow for the new server in the window that ends at `at`."""
        elapsed_fraction = min(1.0, (at - STARTED_AT_MS) / WARM_UP_RULES.warm_up_ms)
        capacity_fraction = (
            WARM_UP_RULES.warm_up_initial_fraction + (1.0 - WARM_UP_RULES.warm_up_initial_fraction) * elapsed_fraction
        )
        return (
            WARM_UP_RULES.overload_multiple
            * capacity_fraction
            * REQUESTS_PER_S
            / WARM_SERVER_COUNT
            * WARM_UP_RULES.overload_window_ms
            / 1000.0
        )

    def windows_over_budget(self) -> list[tuple[float, int, float]]:
        """Return the windows with more attempts than the budget and a margin for random variation."""
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


@pytest.mark.parametrize("can_message_peers", [True, False])
@pytest.mark.parametrize("limiter_count", [30, 150])
def test_budgets_saved_up_in_a_pause_are_not_all_spent_at_once(limiter_count: int, can_message_peers: bool) -> None:
    fleet = Fleet(limiter_count, can_message_peers, limiter_count)
    fleet.run_until(STARTED_AT_MS, lambda now_ms: REQUESTS_PER_S)
    fleet.apply_list(with_new_server(*fleet.entries))
    fleet.run_until(STARTED_AT_MS + 14_000.0, lambda now_ms: 0.3 * REQUESTS_PER_S)
    fleet.apply_list(
        [replace(entry, state=api.ServerState.DRAINING) for entry in fleet.entries[:-1]] + fleet.entries[-1:]
    )
    fleet.run_until(fleet.now_ms + 1_500.0, lambda now_ms: 5.0 * REQUESTS_PER_S)
    assert fleet.windows_over_budget() == []
    assert fleet.sent_at_ms  # the server is used


@pytest.mark.parametrize("can_message_peers", [True, False])
def test_limiters_that_all_restart_stay_within_the_budget(can_message_peers: bool) -> None:
    fleet = Fleet(30, can_message_peers, 7)
    fleet.run_until(STARTED_AT_MS, lambda now_ms: REQUESTS_PER_S)
    fleet.apply_list(with_new_server(*fleet.entries))
    fleet.run_until(STARTED_AT_MS + 3_000.0, lambda now_ms: REQUESTS_PER_S)
    for _ in range(3):
        fleet.restart()
        fleet.run_until(fleet.now_ms + 700.0, lambda now_ms: 4.0 * REQUESTS_PER_S)
    assert fleet.windows_over_budget() == []


def test_few_limiters_use_more_than_a_fifth_of_the_budget() -> None:
    fleet = Fleet(3, True, 5)
    fleet.run_until(STARTED_AT_MS, lambda now_ms: REQUESTS_PER_S)
    fleet.apply_list(with_new_server(*fleet.entries))
    fleet.run_until(STARTED_AT_MS + 8_000.0, lambda now_ms: REQUESTS_PER_S)
    assert fleet.windows_over_budget() == []
    used_fraction = len(fleet.sent_at_ms) / sum(fleet.budget(STARTED_AT_MS + 1_000.0 * second) for second in range(8))
    assert used_fraction > 0.2, used_fraction


def test_a_server_that_has_just_warmed_up_is_reviewed_a_bounded_number_of_times() -> None:
    """Until the next control period it is still listed as warming up, but its budget is unlimited.

    The review queue must not schedule it again and again at the same time.
    """
    settings = replace(limiter_settings(), rules=WARM_UP_RULES)
    harness = LimiterHarness(Limiter(settings, 7, 100_000.0), now_ms=100_000.0)
    harness.carry_out(harness.limiter.start(100_000.0))
    harness.apply_list(server_entry("new", started_at_ms=100_500.0 - WARM_UP_RULES.warm_up_ms))
    for _ in range(40):
        harness.run_until(harness.now_ms + 50.0)
        harness.is_served()
    assert harness.attempted_servers("r40") == ["new"]
