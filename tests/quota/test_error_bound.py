"""What is let in over a bucket stays within the stated error, through every loss of the counter and any overlap."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock.quota.counter_health import CounterMode
from elderlock.quota.counter_terms import CounterTerms, SharedBucket
from elderlock.quota.error_bound import (
    ExcessMeter,
    FailureHistory,
    cut_off_error_units,
    shared_error_units,
    slack_warnings,
    stated_error_units,
    unseen_loss_error_units,
)
from elderlock.quota.options import QuotaOptions
from elderlock.standins.counters import Group

CEILING = SharedBucket(rate_per_s=13.0, burst_units=19.0, limiter_count=3, is_hard_ceiling=True, slack_units=2.0)
QUOTA = SharedBucket(rate_per_s=7.0, burst_units=12.0, limiter_count=3)
TERMS = CounterTerms()
BUSY = (12.0, 9.0, 15.0)  # asked a second at each: nearly three times the ceiling


def group(store: SharedBucket = CEILING, seed: int = 1, rates: tuple[float, ...] = BUSY, **more: object) -> Group:
    return Group(store, TERMS, seed, rates, **more)  # type: ignore[arg-type]


def within_bound(played: Group) -> Group:
    bound = stated_error_units(played.store, TERMS, played.known_failures())
    assert played.excess.worst_units <= bound, (played.excess.worst_units, bound)
    return played


def used_share(played: Group, lasts: float) -> float:
    """Of what the bucket's rate gave in that time."""
    return sum(played.granted.values()) / (played.store.rate_per_s * lasts / 1000.0)


def test_the_excess_meter_measures_units_above_the_bucket() -> None:
    excess = ExcessMeter(SharedBucket(rate_per_s=10.0, burst_units=5.0, limiter_count=1))
    for n in range(5):
        excess.record(1.0, float(n))
    assert excess.worst_units <= 0.0
    excess.record(2.0, 5.0)
    assert excess.worst_units == pytest.approx(7.0 - 0.05 - 5.0)
    excess.record(1.0, 10_000.0)
    assert excess.level_units == 1.0 and excess.worst_units == pytest.approx(1.95)


@pytest.mark.parametrize("store", [CEILING, QUOTA])
def test_with_the_counter_answering_the_bucket_is_used_up_and_not_exceeded(store: SharedBucket) -> None:
    played = within_bound(group(store).play(60_000.0))  # through two changes of window
    assert 0.85 < used_share(played, 60_000.0) < 1.1
    assert played.slowest <= 2.0 * TERMS.answer_timeout_ms + 5.0


def test_low_use_costs_few_calls_and_a_large_bucket_less_than_one_a_request() -> None:
    calm = group(QUOTA, rates=(0.2, 0.2, 0.2)).play(30_000.0)
    assert sum(calm.granted.values()) == sum(calm.asked.values()) > 10
    calls = sum(book.calls_made for book in calm.books) - 3 * 30_000.0 / TERMS.heartbeat_ms
    assert calls < sum(calm.asked.values()) * 1.5
    large = group(SharedBucket(rate_per_s=300.0, burst_units=600.0, limiter_count=3), rates=(90.0, 90.0, 90.0)).play(
        10_000.0
    )
    assert sum(book.calls_made for book in large.books) < 0.5 * sum(large.asked.values())


@pytest.mark.parametrize("empty", [False, True])
@pytest.mark.parametrize("times", [1, 2])
def test_the_bound_holds_through_silences_and_returns_with_counts_or_empty(empty: bool, times: int) -> None:
    played = group(seed=2).play(7_000.0)
    for _ in range(times):
        played.set_down(True)
        played.play(15_000.0)
        assert all(book.mode is not CounterMode.SHARED for book in played.books)
        if empty:
            played.lose()
        played.set_down(False)
        played.play(4_000.0)
        assert all(book.mode is CounterMode.SHARED for book in played.books)
    within_bound(played)
    assert used_share(played, 7_000.0 + 19_000.0 * times) > 0.6


def test_a_loss_of_counts_without_a_broken_connection_is_found_by_the_heartbeat() -> None:
    played = group(seed=3).play(9_000.0)
    played.lose(told=False)
    before = [book.health.generation for book in played.books]
    played.play(TERMS.heartbeat_ms * TERMS.sentinel_count * 2.0)
    assert all(book.health.generation > was for book, was in zip(played.books, before, strict=True))
    within_bound(played.play(10_000.0))


def test_a_loss_of_counts_is_one_generation_although_every_sentinel_shows_it() -> None:
    """Told four times, a hard store would be taken as used four times over."""
    played = group(seed=3).play(9_000.0)
    before = [book.health.generation for book in played.books]
    played.lose()
    played.play(TERMS.heartbeat_ms * TERMS.sentinel_count * 2.0)
    assert [book.health.generation for book in played.books] == [was + 1 for was in before]


@pytest.mark.parametrize(("rate", "burst", "asks"), [(7.0, 12.0, 1.0), (3.7, 14.0, 0.7), (1.2, 6.0, 0.2)])
def test_a_surplus_is_returned_soon_enough_that_few_requests_are_rejected(
    rate: float, burst: float, asks: float
) -> None:
    """Held back till the next use, it left others an empty store: a fifth of what had room was refused."""
    played = group(SharedBucket(rate, burst, 3), rates=(asks, asks, asks)).play(60_000.0)
    assert sum(played.granted.values()) >= 0.985 * sum(played.asked.values())


def test_the_bound_holds_through_a_swap_for_an_empty_counter_with_calls_under_way() -> None:
    played = group(seed=4).play(8_003.0)
    played.lose(told=True)
    within_bound(played.play(12_000.0))


def test_the_bound_holds_through_a_restored_old_snapshot() -> None:
    played = group(seed=5).play(5_000.0)
    snapshot = played.snapshot()
    played.play(9_000.0)
    played.restore(snapshot)
    within_bound(played.play(10_000.0))


def test_the_bound_holds_with_a_zone_cut_off_and_the_busiest_customers_moving_there() -> None:
    played = group(seed=6).play(6_000.0)
    played.cut([2])
    played.rates = [2.0, 2.0, 40.0]
    played.play(12_000.0)
    assert played.books[2].mode is not CounterMode.SHARED and played.books[0].mode is CounterMode.SHARED
    played.heal()
    within_bound(played.play(10_000.0))


def test_the_bound_holds_through_a_cut_that_heals_one_way_first() -> None:
    """Calls arrive and answers do not: what they added is counted, and granted to nobody."""
    played = group(seed=7).play(6_000.0)
    played.cut([1])
    played.play(4_000.0)
    played.lines[1].silent = True
    played.lines[1].cut = False
    played.play(5_000.0)
    played.lines[1].silent = False
    played.heal()
    within_bound(played.play(8_000.0))


def test_the_bound_holds_through_restarts_of_a_limiter_that_held_leases() -> None:
    played = group(seed=8).play(6_000.0)
    for _ in range(5):
        played.restart(0)
        played.play(3_000.0)
    within_bound(played)
    assert used_share(played, 21_000.0) > 0.6  # nobody's units are missing for long


def test_the_bound_holds_with_clocks_apart_by_the_stated_skew() -> None:
    terms = CounterTerms(clock_skew_ms=200.0)
    played = Group(CEILING, terms, 9, BUSY, skews=(0.0, 100.0, -100.0)).play(60_000.0)
    assert played.excess.worst_units <= stated_error_units(CEILING, terms, FailureHistory())


def test_the_bound_holds_with_lost_answers_on_a_slow_link() -> None:
    played = group(seed=10, delay=(1.0, 40.0))
    for line in played.lines:
        line.loss = 0.1
    played.play(30_000.0)
    played.cut_ms += 3 * 30_000.0  # each may be off at any time
    within_bound(played)


def test_limiters_let_a_busy_counter_recover() -> None:
    store = SharedBucket(rate_per_s=200.0, burst_units=200.0, limiter_count=8)
    played = Group(store, CounterTerms(max_calls_per_s=200.0), 11, (60.0,) * 8, per_s=150.0, parts=1)
    played.accounts = tuple(f"a{n}" for n in range(40))
    played.play(10_000.0)
    busy, served = played.busy, played.served_calls
    played.play(10_000.0)
    assert played.served_calls - served > 700 and played.busy - busy < 0.5 * (played.served_calls - served)


def test_ledgers_of_many_resting_customers_are_forgotten() -> None:
    played = group(QUOTA, rates=(0.0, 0.0, 0.0))
    book, rng = played.books[0], random.Random(1)
    played.play(1_000.0)
    now = played.now
    for n in range(10_000):
        now += 0.6
        assert book.admit(f"r{n}", f"c{n}", QUOTA, 1.0, now)
        if n % 50 == 0:
            book.expire(now)
            for call in book.due_calls(now):
                book.call_answered(call.token, call.amount_units + rng.random(), now)
    assert book.calls_made < 2_000
    for _ in range(700):
        now += 100.0
        book.expire(now)
        for call in book.due_calls(now):
            book.call_answered(call.token, call.amount_units + 1e6, now)
    assert not book.ledgers


def test_a_thousand_limiters_start_at_once_on_a_counter_that_serves_few_calls() -> None:
    """Each three share a customer, as sets do; their sentinels alone, each half second, would take four calls of five."""
    terms = QuotaOptions(calls_per_s=5.0).terms(999)
    assert terms.heartbeat_ms == 4_995.0
    played = Group(CEILING, terms, 13, [0.3] * 999, per_s=2500.0, parts=2)
    played.sets, played.accounts = 3, ("many", "of them")
    played.play(4_000.0)
    assert sum(book.mode is CounterMode.SHARED for book in played.books) > 0.9 * 999
    before = sum(played.granted.values()), sum(played.asked.values())
    played.play(1_500.0)
    granted, asked = sum(played.granted.values()) - before[0], sum(played.asked.values()) - before[1]
    assert granted > 0.7 * asked


@pytest.mark.parametrize("store", [CEILING, QUOTA])
def test_a_counter_that_is_busy_for_seconds_counts_as_unreachable(store: SharedBucket) -> None:
    played = group(store, seed=19).play(6_000.0)
    played.refusing = True
    before = sum(played.granted.values())
    played.play(5_000.0)
    assert all(book.mode is not CounterMode.SHARED for book in played.books)
    assert sum(played.granted.values()) - before > 0.6 * store.refill_units(5_000.0)
    played.refusing = False
    played.returns += 1
    within_bound(played.play(5_000.0))


@pytest.mark.parametrize("store", [CEILING, QUOTA])
def test_a_total_above_what_all_can_have_added_is_abandoned(store: SharedBucket) -> None:
    """Believed, it would keep the customer out for the rest of the window."""
    played = group(store, seed=20).play(8_000.0)
    for part in played.parts:
        for name, (total, ends) in part.totals.items():
            if name.startswith("a:"):
                part.totals[name] = total + 50_000.0, ends
    played.returns += 1
    before = sum(played.granted.values())
    played.play(8_000.0)
    assert sum(played.granted.values()) - before > 0.6 * store.refill_units(8_000.0)
    within_bound(played)
    within_bound(played.play(20_000.0))  # and the next window begins as if it had not been


def test_customers_whose_names_collide_share_one_bucket() -> None:
    """Two customers, each as busy, whose keys are alike: on the safe side, they share."""
    within_bound(group(seed=14, rates=tuple(2.0 * rate for rate in BUSY)).play(10_000.0))


def test_an_answer_that_shows_a_loss_does_not_bring_back_an_unreachable_counter() -> None:
    """Units would be drawn before a sentinel was asked."""
    book = group(rates=(0.0, 0.0, 0.0)).play(1_000.0).books[0]
    health, now = book.health, 10_001_000.0
    assert book.mode.value == "shared"
    book.connection_lost(now)
    generation = health.generation
    health.counts_lost(now)
    assert book.mode.value == "local" and health.generation == generation
    name = next(name for step in range(100) if (name := health.due_sentinel(now + 50.0 * step)) is not None)
    assert book.mode.value == "recovering"
    health.sentinel_answered(name, 1.0, now + 5_000.0)
    assert book.mode.value == "shared" and health.generation == generation + 1


def test_two_counters_that_both_answer_cost_one_bucket_more_at_most() -> None:
    """One limiter was turned to a second counter, the others stay: each side holds to a whole store."""
    sides = [
        Group(CEILING, TERMS, 15, (12.0, 9.0, 0.0)).play(9_000.0),
        Group(CEILING, TERMS, 16, (15.0,)).play(9_000.0),
    ]
    for side in sides:
        assert side.excess.worst_units <= stated_error_units(CEILING, TERMS, FailureHistory())
    total = sum(sum(side.granted.values()) for side in sides)
    assert total <= 2 * (
        CEILING.burst_units + CEILING.refill_units(9_000.0) + stated_error_units(CEILING, TERMS, FailureHistory())
    )


def test_a_name_that_the_counter_forgot_too_soon_counts_as_a_loss() -> None:
    played = group(seed=17).play(6_000.0)
    before = sum(book.health.generation for book in played.books)
    for part in played.parts:
        part.totals = {name: kept for name, kept in part.totals.items() if name.startswith("sentinel")}
    played.unseen_losses = 1
    played.play(3_000.0)
    assert sum(book.health.generation for book in played.books) > before
    within_bound(played.play(5_000.0))


@pytest.mark.parametrize("limiters", [50])
def test_the_bound_holds_at_many_limiters(limiters: int) -> None:
    store = SharedBucket(
        rate_per_s=200.0, burst_units=300.0, limiter_count=limiters, is_hard_ceiling=True, slack_units=30.0
    )
    played = Group(store, TERMS, 18, [8.0] * limiters, per_s=20_000.0).play(4_000.0)
    played.cut(range(10))
    played.play(3_000.0)
    played.heal()
    played.lose()
    within_bound(played.play(4_000.0))


def test_the_bound_holds_through_a_plan_change_with_leases_held() -> None:
    played = group(seed=12).play(4_000.0)
    played.store = SharedBucket(rate_per_s=5.0, burst_units=8.0, limiter_count=3, is_hard_ceiling=True, slack_units=2.0)
    played.excess = ExcessMeter(played.store)
    within_bound(played.play(20_000.0))


def test_error_formulas_grow_with_their_inputs() -> None:
    more = SharedBucket(CEILING.rate_per_s * 2, CEILING.burst_units, CEILING.limiter_count, True, CEILING.slack_units)
    assert shared_error_units(more, TERMS) > shared_error_units(CEILING, TERMS) > 0
    assert cut_off_error_units(CEILING, 3000.0) == pytest.approx(13.0)
    assert unseen_loss_error_units(CEILING, TERMS) > CEILING.burst_units
    assert stated_error_units(QUOTA, TERMS) > QUOTA.burst_units > stated_error_units(CEILING, TERMS)


def test_a_stated_error_above_the_slack_is_warned_of() -> None:
    found = slack_warnings("enterprise", CEILING, TERMS)
    assert [text.partition(":")[0] for text in found] == ["plan enterprise"] * len(found)
    assert any("cut off for 30 s" in text for text in found)
    safe = SharedBucket(rate_per_s=1.0, burst_units=10.0, limiter_count=3, is_hard_ceiling=True, slack_units=4.0)
    assert (
        slack_warnings("calm", safe, CounterTerms(max_cut_off_ms=2_000.0)) == [] == slack_warnings("soft", QUOTA, TERMS)
    )


@pytest.mark.parametrize(
    "wrong",
    [{"answer_timeout_ms": 0.0}, {"name_lifetime_ms": 30_000.0}, {"max_calls_per_s": 0.0}, {"clock_skew_ms": -1.0}],
)
def test_contradictory_terms_are_refused(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError):
        CounterTerms(**wrong)  # type: ignore[arg-type]


Step = st.tuples(
    st.sampled_from(["play", "down", "up", "lose", "cut", "heal", "restart", "refuse", "take", "snapshot", "restore"]),
    st.integers(0, 2),
    st.sampled_from([30.0, 400.0, 3_000.0, 9_000.0]),
)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 999), st.lists(Step, max_size=12), st.sampled_from([CEILING, QUOTA]))
def test_any_overlap_of_failures_stays_within_the_bound(
    seed: int, steps: list[tuple[str, int, float]], store: SharedBucket
) -> None:
    played = group(store, seed=seed, skews=(0.0, 5.0, -5.0)).play(2_000.0)
    snapshot = played.snapshot()
    for what, number, wait in steps:
        match what:
            case "down":
                played.set_down(True)
            case "up":
                played.set_down(False)
            case "lose":
                played.lose()
            case "cut" if number not in played._cut_at:
                played.cut([number])
            case "heal":
                played.heal()
            case "restart":
                played.restart(number)
            case "refuse":
                played.refusing = True
            case "take":
                played.returns += played.refusing
                played.refusing = False
            case "snapshot":
                snapshot = played.snapshot()
            case "restore":
                played.restore(snapshot)
        played.play(wait)
    played.heal()
    within_bound(played)
