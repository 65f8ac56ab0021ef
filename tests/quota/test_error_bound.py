"""The excess over a shared bucket stays within the stated error under failures of the counter and their overlaps."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock.quota.counter_health import CounterMode
from elderlock.quota.counter_parameters import CounterParameters, SharedBucket
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
from elderlock.standins.counter_simulation import CounterSimulation

CEILING = SharedBucket(rate_per_s=13.0, burst_units=19.0, limiter_count=3, is_hard_ceiling=True, slack_units=2.0)
QUOTA = SharedBucket(rate_per_s=7.0, burst_units=12.0, limiter_count=3)
PARAMETERS = CounterParameters()
BUSY_RATES = (12.0, 9.0, 15.0)  # requests per second at each limiter, nearly three times the ceiling in all


def make_group(
    bucket: SharedBucket = CEILING, seed: int = 1, rates: tuple[float, ...] = BUSY_RATES, **options: object
) -> CounterSimulation:
    return CounterSimulation(bucket, PARAMETERS, seed, rates, **options)  # type: ignore[arg-type]


def check_bound(group: CounterSimulation) -> CounterSimulation:
    """Assert that the excess is within the stated error; return the group."""
    bound = stated_error_units(group.store, PARAMETERS, group.known_failures())
    assert group.excess.worst_units <= bound, (group.excess.worst_units, bound)
    return group


def used_fraction(group: CounterSimulation, duration_ms: float) -> float:
    """Return the granted units as a fraction of the bucket's refill over the duration."""
    return sum(group.granted.values()) / (group.store.rate_per_s * duration_ms / 1000.0)


def test_the_excess_meter_measures_units_above_the_bucket() -> None:
    excess = ExcessMeter(SharedBucket(rate_per_s=10.0, burst_units=5.0, limiter_count=1))
    for time_ms in range(5):
        excess.record(1.0, float(time_ms))
    assert excess.worst_units <= 0.0
    excess.record(2.0, 5.0)
    assert excess.worst_units == pytest.approx(7.0 - 0.05 - 5.0)
    excess.record(1.0, 10_000.0)
    assert excess.level_units == 1.0 and excess.worst_units == pytest.approx(1.95)


@pytest.mark.parametrize("bucket", [CEILING, QUOTA])
def test_while_the_counter_answers_the_bucket_is_used_up_and_not_exceeded(bucket: SharedBucket) -> None:
    group = check_bound(make_group(bucket).play(60_000.0))  # two changes of the window
    assert 0.85 < used_fraction(group, 60_000.0) < 1.1
    assert group.slowest <= 2.0 * PARAMETERS.answer_timeout_ms + 5.0


def test_low_use_needs_few_calls_and_a_large_bucket_less_than_one_per_request() -> None:
    low_use = make_group(QUOTA, rates=(0.2, 0.2, 0.2)).play(30_000.0)
    assert sum(low_use.granted.values()) == sum(low_use.arrived.values()) > 10
    calls = sum(book.calls_made for book in low_use.books) - 3 * 30_000.0 / PARAMETERS.heartbeat_ms
    assert calls < sum(low_use.arrived.values()) * 1.5
    large = make_group(
        SharedBucket(rate_per_s=300.0, burst_units=600.0, limiter_count=3), rates=(90.0, 90.0, 90.0)
    ).play(10_000.0)
    assert sum(book.calls_made for book in large.books) < 0.5 * sum(large.arrived.values())


@pytest.mark.parametrize("loses_counts", [False, True])
@pytest.mark.parametrize("outage_count", [1, 2])
def test_the_bound_holds_through_outages_with_and_without_loss_of_counts(loses_counts: bool, outage_count: int) -> None:
    group = make_group(seed=2).play(7_000.0)
    for _ in range(outage_count):
        group.set_down(True)
        group.play(15_000.0)
        assert all(book.mode is not CounterMode.SHARED for book in group.books)
        if loses_counts:
            group.lose()
        group.set_down(False)
        group.play(4_000.0)
        assert all(book.mode is CounterMode.SHARED for book in group.books)
    check_bound(group)
    assert used_fraction(group, 7_000.0 + 19_000.0 * outage_count) > 0.6


def test_a_loss_of_counts_without_a_broken_connection_is_detected_by_the_heartbeat() -> None:
    group = make_group(seed=3).play(9_000.0)
    group.lose(breaks_connections=False)
    generations_before = [book.health.generation for book in group.books]
    group.play(PARAMETERS.heartbeat_ms * PARAMETERS.sentinel_count * 2.0)
    assert all(book.health.generation > before for book, before in zip(group.books, generations_before, strict=True))
    check_bound(group.play(10_000.0))


def test_a_loss_of_counts_begins_one_generation_although_every_sentinel_reports_it() -> None:
    """With a generation for each of the four sentinels, a hard ceiling would count as empty four times."""
    group = make_group(seed=3).play(9_000.0)
    generations_before = [book.health.generation for book in group.books]
    group.lose()
    group.play(PARAMETERS.heartbeat_ms * PARAMETERS.sentinel_count * 2.0)
    assert [book.health.generation for book in group.books] == [before + 1 for before in generations_before]


@pytest.mark.parametrize(("rate", "burst", "request_rate"), [(7.0, 12.0, 1.0), (3.7, 14.0, 0.7), (1.2, 6.0, 0.2)])
def test_a_surplus_is_returned_soon_enough_that_few_requests_are_rejected(
    rate: float, burst: float, request_rate: float
) -> None:
    """When a surplus was held until the next use, a fifth of the requests that the bucket allowed were refused."""
    group = make_group(SharedBucket(rate, burst, 3), rates=(request_rate, request_rate, request_rate)).play(60_000.0)
    assert sum(group.granted.values()) >= 0.985 * sum(group.arrived.values())


def test_the_bound_holds_through_a_replacement_by_an_empty_counter_with_calls_under_way() -> None:
    group = make_group(seed=4).play(8_003.0)
    group.lose(breaks_connections=True)
    check_bound(group.play(12_000.0))


def test_the_bound_holds_through_a_restored_old_snapshot() -> None:
    group = make_group(seed=5).play(5_000.0)
    snapshot = group.snapshot()
    group.play(9_000.0)
    group.restore(snapshot)
    check_bound(group.play(10_000.0))


def test_the_bound_holds_while_a_zone_is_cut_off_and_most_load_moves_there() -> None:
    group = make_group(seed=6).play(6_000.0)
    group.cut([2])
    group.rates = [2.0, 2.0, 40.0]
    group.play(12_000.0)
    assert group.books[2].mode is not CounterMode.SHARED and group.books[0].mode is CounterMode.SHARED
    group.heal()
    check_bound(group.play(10_000.0))


def test_the_bound_holds_through_a_cut_that_heals_in_one_direction_first() -> None:
    """Calls arrive but their answers do not: the units that they add are counted but not granted."""
    group = make_group(seed=7).play(6_000.0)
    group.cut([1])
    group.play(4_000.0)
    group.lines[1].silent = True
    group.lines[1].cut = False
    group.play(5_000.0)
    group.lines[1].silent = False
    group.heal()
    check_bound(group.play(8_000.0))


def test_the_bound_holds_through_restarts_of_a_limiter_that_held_leases() -> None:
    group = make_group(seed=8).play(6_000.0)
    for _ in range(5):
        group.restart(0)
        group.play(3_000.0)
    check_bound(group)
    assert used_fraction(group, 21_000.0) > 0.6  # the units of lost leases do not stay unusable


def test_the_bound_holds_with_clocks_that_differ_by_the_stated_skew() -> None:
    parameters = CounterParameters(clock_skew_ms=200.0)
    group = CounterSimulation(CEILING, parameters, 9, BUSY_RATES, skews=(0.0, 100.0, -100.0)).play(60_000.0)
    assert group.excess.worst_units <= stated_error_units(CEILING, parameters, FailureHistory())


def test_the_bound_holds_with_lost_answers_on_a_slow_link() -> None:
    group = make_group(seed=10, delay=(1.0, 40.0))
    for line in group.lines:
        line.loss = 0.1
    group.play(30_000.0)
    group.cut_ms += 3 * 30_000.0  # each limiter may have been cut off at any time
    check_bound(group)


def test_limiters_let_a_busy_counter_recover() -> None:
    bucket = SharedBucket(rate_per_s=200.0, burst_units=200.0, limiter_count=8)
    group = CounterSimulation(bucket, CounterParameters(max_calls_per_s=200.0), 11, (60.0,) * 8, per_s=150.0, parts=1)
    group.accounts = tuple(f"a{number}" for number in range(40))
    group.play(10_000.0)
    busy_before, served_before = group.busy, group.served_calls
    group.play(10_000.0)
    served = group.served_calls - served_before
    assert served > 700 and group.busy - busy_before < 0.5 * served


def test_ledgers_of_many_idle_customers_are_removed() -> None:
    group = make_group(QUOTA, rates=(0.0, 0.0, 0.0))
    book, rng = group.books[0], random.Random(1)
    group.play(1_000.0)
    now_ms = group.now
    for number in range(10_000):
        now_ms += 0.6
        assert book.admit(f"r{number}", f"c{number}", QUOTA, 1.0, now_ms)
        if number % 50 == 0:
            book.expire(now_ms)
            for call in book.due_calls(now_ms):
                book.call_answered(call.token, call.amount_units + rng.random(), now_ms)
    assert book.calls_made < 2_000
    for _ in range(700):
        now_ms += 100.0
        book.expire(now_ms)
        for call in book.due_calls(now_ms):
            book.call_answered(call.token, call.amount_units + 1e6, now_ms)
    assert not book.ledgers


def test_a_thousand_limiters_start_at_once_on_a_counter_that_serves_few_calls() -> None:
    """Each three limiters share a customer.

    Sentinel calls every half second would use four fifths of the calls that the counter serves.
    """
    parameters = QuotaOptions(calls_per_s=5.0).parameters(999)
    assert parameters.heartbeat_ms == 4_995.0
    group = CounterSimulation(CEILING, parameters, 13, [0.3] * 999, per_s=2500.0, parts=2)
    group.sets, group.accounts = 3, ("many", "of them")
    group.play(4_000.0)
    assert sum(book.mode is CounterMode.SHARED for book in group.books) > 0.9 * 999
    granted_before, asked_before = sum(group.granted.values()), sum(group.arrived.values())
    group.play(1_500.0)
    granted, asked = sum(group.granted.values()) - granted_before, sum(group.arrived.values()) - asked_before
    assert granted > 0.7 * asked


@pytest.mark.parametrize("bucket", [CEILING, QUOTA])
def test_a_counter_that_is_busy_for_seconds_counts_as_unreachable(bucket: SharedBucket) -> None:
    group = make_group(bucket, seed=19).play(6_000.0)
    group.refusing = True
    granted_before = sum(group.granted.values())
    group.play(5_000.0)
    assert all(book.mode is not CounterMode.SHARED for book in group.books)
    assert sum(group.granted.values()) - granted_before > 0.6 * bucket.refill_units(5_000.0)
    group.refusing = False
    group.returns += 1
    check_bound(group.play(5_000.0))


@pytest.mark.parametrize("bucket", [CEILING, QUOTA])
def test_a_name_with_an_impossibly_large_total_is_abandoned(bucket: SharedBucket) -> None:
    """If the total were used, the customer would be rejected for the rest of the window."""
    group = make_group(bucket, seed=20).play(8_000.0)
    for part in group.parts:
        for name, (total, expires_at) in part.totals.items():
            if name.startswith("a:"):
                part.totals[name] = total + 50_000.0, expires_at
    group.returns += 1
    granted_before = sum(group.granted.values())
    group.play(8_000.0)
    assert sum(group.granted.values()) - granted_before > 0.6 * bucket.refill_units(8_000.0)
    check_bound(group)
    check_bound(group.play(20_000.0))  # the next window is not affected


def test_customers_whose_names_collide_share_one_bucket() -> None:
    """Two equally busy customers with the same key share one bucket, which admits less and never more."""
    check_bound(make_group(seed=14, rates=tuple(2.0 * rate for rate in BUSY_RATES)).play(10_000.0))


def test_an_answer_that_shows_a_loss_does_not_bring_back_an_unreachable_counter() -> None:
    """Otherwise units would be drawn before a sentinel was called."""
    book = make_group(rates=(0.0, 0.0, 0.0)).play(1_000.0).books[0]
    health, now_ms = book.health, 10_001_000.0
    assert book.mode.value == "shared"
    book.connection_lost(now_ms)
    generation = health.generation
    health.counts_lost(now_ms)
    assert book.mode.value == "local" and health.generation == generation
    name = next(name for step in range(100) if (name := health.due_sentinel(now_ms + 50.0 * step)) is not None)
    assert book.mode.value == "recovering"
    health.sentinel_answered(name, 1.0, now_ms + 5_000.0)
    assert book.mode.value == "shared" and health.generation == generation + 1


def test_two_counters_that_both_answer_allow_at_most_two_buckets() -> None:
    """One limiter uses a second counter while the others use the first: each side is limited to a whole bucket."""
    sides = [
        CounterSimulation(CEILING, PARAMETERS, 15, (12.0, 9.0, 0.0)).play(9_000.0),
        CounterSimulation(CEILING, PARAMETERS, 16, (15.0,)).play(9_000.0),
    ]
    for side in sides:
        assert side.excess.worst_units <= stated_error_units(CEILING, PARAMETERS, FailureHistory())
    total = sum(sum(side.granted.values()) for side in sides)
    assert total <= 2 * (
        CEILING.burst_units + CEILING.refill_units(9_000.0) + stated_error_units(CEILING, PARAMETERS, FailureHistory())
    )


def test_a_name_that_the_counter_deleted_too_early_counts_as_a_loss() -> None:
    group = make_group(seed=17).play(6_000.0)
    generations_before = sum(book.health.generation for book in group.books)
    for part in group.parts:
        part.totals = {name: entry for name, entry in part.totals.items() if name.startswith("sentinel")}
    group.unseen_losses = 1
    group.play(3_000.0)
    assert sum(book.health.generation for book in group.books) > generations_before
    check_bound(group.play(5_000.0))


@pytest.mark.parametrize("limiters", [50])
def test_the_bound_holds_at_many_limiters(limiters: int) -> None:
    bucket = SharedBucket(
        rate_per_s=200.0, burst_units=300.0, limiter_count=limiters, is_hard_ceiling=True, slack_units=30.0
    )
    group = CounterSimulation(bucket, PARAMETERS, 18, [8.0] * limiters, per_s=20_000.0).play(4_000.0)
    group.cut(range(10))
    group.play(3_000.0)
    group.heal()
    group.lose()
    check_bound(group.play(4_000.0))


def test_the_bound_holds_through_a_plan_change_with_leases_held() -> None:
    group = make_group(seed=12).play(4_000.0)
    group.store = SharedBucket(rate_per_s=5.0, burst_units=8.0, limiter_count=3, is_hard_ceiling=True, slack_units=2.0)
    group.excess = ExcessMeter(group.store)
    check_bound(group.play(20_000.0))


def test_error_formulas_grow_with_their_inputs() -> None:
    doubled = SharedBucket(
        CEILING.rate_per_s * 2, CEILING.burst_units, CEILING.limiter_count, True, CEILING.slack_units
    )
    assert shared_error_units(doubled, PARAMETERS) > shared_error_units(CEILING, PARAMETERS) > 0
    assert cut_off_error_units(CEILING, 3000.0) == pytest.approx(13.0)
    assert unseen_loss_error_units(CEILING, PARAMETERS) > CEILING.burst_units
    assert stated_error_units(QUOTA, PARAMETERS) > QUOTA.burst_units > stated_error_units(CEILING, PARAMETERS)


def test_a_stated_error_above_the_slack_causes_a_warning() -> None:
    warnings = slack_warnings("enterprise", CEILING, PARAMETERS)
    assert [text.partition(":")[0] for text in warnings] == ["plan enterprise"] * len(warnings)
    assert any("cut off for 30 s" in text for text in warnings)
    safe = SharedBucket(rate_per_s=1.0, burst_units=10.0, limiter_count=3, is_hard_ceiling=True, slack_units=4.0)
    assert (
        slack_warnings("calm", safe, CounterParameters(max_cut_off_ms=2_000.0))
        == []
        == slack_warnings("soft", QUOTA, PARAMETERS)
    )


@pytest.mark.parametrize(
    "parameters",
    [{"answer_timeout_ms": 0.0}, {"name_lifetime_ms": 30_000.0}, {"max_calls_per_s": 0.0}, {"clock_skew_ms": -1.0}],
)
def test_contradictory_parameters_are_refused(parameters: dict[str, float]) -> None:
    with pytest.raises(ValueError):
        CounterParameters(**parameters)  # type: ignore[arg-type]


Step = st.tuples(
    st.sampled_from(
        ["wait", "down", "up", "lose", "cut", "heal", "restart", "refuse", "accept", "snapshot", "restore"]
    ),
    st.integers(0, 2),
    st.sampled_from([30.0, 400.0, 3_000.0, 9_000.0]),
)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 999), st.lists(Step, max_size=12), st.sampled_from([CEILING, QUOTA]))
def test_any_overlap_of_failures_stays_within_the_bound(
    seed: int, steps: list[tuple[str, int, float]], bucket: SharedBucket
) -> None:
    group = make_group(bucket, seed=seed, skews=(0.0, 5.0, -5.0)).play(2_000.0)
    snapshot = group.snapshot()
    for action, number, duration_ms in steps:
        match action:
            case "down":
                group.set_down(True)
            case "up":
                group.set_down(False)
            case "lose":
                group.lose()
            case "cut" if number not in group._cut_since:
                group.cut([number])
            case "heal":
                group.heal()
            case "restart":
                group.restart(number)
            case "refuse":
                group.refusing = True
            case "accept":
                group.returns += group.refusing
                group.refusing = False
            case "snapshot":
                snapshot = group.snapshot()
            case "restore":
                group.restore(snapshot)
        group.play(duration_ms)
    group.heal()
    check_bound(group)
