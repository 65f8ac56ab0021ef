"""The schedule is computed from a seed without I/O, and is the same for any number of workers."""

from __future__ import annotations

import hashlib
import random
from itertools import islice, pairwise
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock.load import scenario as scenarios
from elderlock.load.accounts import HEAVY, SPIKY, AccountMix, Population
from elderlock.load.schedule import Arrival, schedule, worker_share
from elderlock.load.shapes import RateSegment, arrivals, rate_at, unit_even, unit_poisson

TEXT = """
name = "two"
for_s = 20
seed = 5
[[stream]]
name = "shops"
plan = "shop"
shape = [{ kind = "ramp", rate = 10, to = 90, for_s = 10 }, { kind = "wave", rate = 50, swing = 0.5, period_s = 4 }]
accounts = { count = 50, skew = 1.0, heavy = 0.1, spiky = 0.2 }
[[stream]]
name = "big"
plan = "enterprise"
arrivals = "even"
units = [1, 2]
shape = [{ kind = "bursts", rate = 5, peak = 50, every_s = 5, burst_s = 1 }]
accounts = { count = 2 }
clients = { impatient = 0.2, honour = 0.5, slow = 0.1 }
"""


def read(*changes: str) -> scenarios.Scenario:
    return scenarios.parse(TEXT, "test", changes)


def digest(found: list[Arrival]) -> str:
    return hashlib.sha256(repr([tuple(arrival) for arrival in found]).encode()).hexdigest()[:16]


def test_a_seed_determines_the_schedule_to_the_microsecond() -> None:
    first, second = list(schedule(read(), 3)), list(schedule(read(), 3))
    assert first == second
    assert list(schedule(read("seed=6"), 3)) != first
    # The digest is fixed: if the schedule changed, old and new runs of one scenario would have different loads.
    assert digest(first) == "865d5b058401976c"


def test_an_additional_stream_does_not_change_the_others() -> None:
    both = [a for a in schedule(read(), 3) if a.stream == 0]
    scenario = read()
    alone = msgspec.structs.replace(scenario, stream=scenario.stream[:1])
    assert list(schedule(alone, 3)) == both


@given(st.integers(1, 9))
def test_each_arrival_belongs_to_exactly_one_worker(workers: int) -> None:
    whole = list(enumerate(schedule(read("for_s=5"), 3)))
    parts = [list(worker_share(schedule(read("for_s=5"), 3), worker, workers)) for worker in range(workers)]
    assert sorted(each for part in parts for each in part) == whole


def test_arrivals_are_in_order_and_within_the_run() -> None:
    found = list(schedule(read(), 3))
    assert all(a.at <= b.at for a, b in pairwise(found))
    assert found[0].at >= 0 and found[-1].at <= 20_000_000
    assert {a.plan for a in found} == {"shop", "enterprise"}
    big = [a for a in found if a.stream == 1]
    assert {a.units for a in big} == {1, 2} and {a.honours_retry_after for a in big} == {True, False}
    assert (
        any(a.leaves_after_us for a in big) and any(a.pause_ms for a in big) and not all(a.leaves_after_us for a in big)
    )


SEGMENTS = st.lists(st.tuples(st.floats(0.1, 5), st.floats(0, 200), st.floats(0, 200)), min_size=1, max_size=6)


def segments_of(drawn: list[tuple[float, float, float]]) -> list[RateSegment]:
    segments, at = [], 0.0
    for length, start_rate, end_rate in drawn:
        segments.append(RateSegment(at, at + length, start_rate, end_rate))
        at += length
    return segments


@given(SEGMENTS)
def test_even_arrivals_follow_the_rate_exactly(drawn: list[tuple[float, float, float]]) -> None:
    """Arrival n, counted from 1, is due when n - 1/2 arrivals are expected, wherever the segments end."""
    segments = segments_of(drawn)
    found = list(arrivals(segments, unit_even()))
    assert abs(len(found) - sum(p.expected for p in segments)) <= 0.5 + 1e-6
    for number, at in enumerate(found):
        expected = 0.0
        for segment in segments:
            until = min(at, segment.end)
            if until > segment.start:
                expected += RateSegment(
                    segment.start, until, segment.start_rate, rate_at([segment], until - 1e-12)
                ).expected
        assert expected == pytest.approx(number + 0.5, abs=0.02)


@given(SEGMENTS, st.integers(0, 1000))
def test_random_arrivals_are_in_order_and_within_the_segments(
    drawn: list[tuple[float, float, float]], seed: int
) -> None:
    segments = segments_of(drawn)
    found = list(arrivals(segments, unit_poisson(random.Random(seed))))
    assert all(a <= b for a, b in pairwise(found))
    assert all(0 <= at <= segments[-1].end + 1e-9 for at in found)


@pytest.mark.parametrize(
    ("shape", "expected"),
    [
        ({"kind": "steady", "rate": 50}, 500),
        ({"kind": "ramp", "rate": 0, "to": 100}, 500),
        ({"kind": "steps", "rates": [10, 20, 30, 40]}, 250),
        ({"kind": "wave", "rate": 40, "swing": 1, "period_s": 2}, 400),
        ({"kind": "bursts", "rate": 10, "peak": 110, "every_s": 3, "burst_s": 1}, 400),
        ({"kind": "spike", "rate": 10, "peak": 210, "at_s": 5, "spike_s": 2}, 300),
    ],
)
def test_each_shape_has_the_expected_number_of_arrivals(shape: dict[str, Any], expected: float) -> None:
    stream = msgspec.convert({"name": "a", "plan": "p", "shape": [shape]}, scenarios.Stream)
    assert sum(segment.expected for segment in scenarios.rate_segments(stream, 10.0)) == pytest.approx(
        expected, rel=0.002
    )


def test_accounts_receive_their_configured_shares() -> None:
    rng = random.Random(1)
    population = Population(AccountMix(100, skew=0.0, heavy=0.1, heavy_times=9.0), rng, 3)
    drawn = [population.draw(rng, 0.0) for _ in range(40_000)]
    heavy = sum(population.groups[index] == HEAVY for index in drawn) / len(drawn)
    assert heavy == pytest.approx(10 * 9 / (10 * 9 + 90), abs=0.02)
    zipf = Population(AccountMix(50, skew=1.0), rng, 3)
    counts = [0] * 50
    for _ in range(40_000):
        counts[zipf.draw(rng, 0.0)] += 1
    assert counts[0] / counts[9] == pytest.approx(10.0, rel=0.25)
    assert len(set(zipf.names)) == 50


def test_spiky_accounts_spike_at_different_times_and_ranks_move() -> None:
    rng = random.Random(2)
    population = Population(AccountMix(40, spiky=0.5, spike_times=20.0, spike_s=1.0, spike_every_s=10.0), rng, 3)
    spiky = [index for index in range(40) if population.groups[index] == SPIKY]
    spikes = {index: [t for t in range(10) if population.weight_factor(index, float(t)) > 1.0] for index in spiky}
    assert all(len(times) == 1 for times in spikes.values()) and len({times[0] for times in spikes.values()}) > 3
    moving = Population(AccountMix(10, skew=4.0, move_every_s=5.0), rng, 3)
    first = [moving.draw(rng, 0.0) for _ in range(200)]
    later = [moving.draw(rng, 5.0) for _ in range(200)]
    assert max(set(first), key=first.count) == 0 and max(set(later), key=later.count) == 1


@pytest.mark.parametrize("name", scenarios.shipped_scenarios())
def test_every_shipped_scenario_is_valid(name: str) -> None:
    scenario = scenarios.read(name)
    assert scenario.about and list(islice(schedule(scenario, 3), 100))


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        (["for_s=0"], "for_s is 0, it must be between"),
        (["workers=-1"], "workers is -1"),
        (["stream.0.shape=[]"], "shape is empty"),
        (["stream.0.plan=''"], "'' is not a valid name"),
        (["stream.0.units=[]"], "units is empty"),
        (["stream.0.units=[1e9]"], "units is 1e+09, it must be between"),
        (["stream.1.name='shops'"], "the same name"),
        (["stream.0.colour='red'"], "unknown field `colour`"),
        (["stream.0.shape=[{kind='steady',rate=-4}]"], "rate is -4"),
        (["stream.0.shape=[{kind='dance',rate=4}]"], "dance"),
        (["clients.retries=99"], "retries is 99"),
        (["targets.addresses=['here']"], "'here' is not an address"),
        (["fail_if=['p99>250']"], "a time needs its unit"),
        (["stream.0.accounts.heavy=0.9"], "spiky is 0.2, it must be between 0 and 0.1"),
        (["nothing"], "NAME=VALUE"),
        (["stream.7.plan='x'"], "no index '7'"),
        (["replay.path='x'"], "either streams or a replay, and not both"),
    ],
)
def test_an_invalid_scenario_is_rejected_with_the_place_of_the_error(changes: list[str], message: str) -> None:
    with pytest.raises(scenarios.ScenarioError, match="test: |NAME=VALUE|no index") as error:
        read(*changes)
    assert message in str(error.value)
