"""Evidence: order and repetition do not matter, nobody alone takes a server from all, and memory is bounded."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock.gossip.evidence_messages import Observation, ObservationKind
from elderlock.gossip.health_evidence import (
    DISTRUST_MIN_SERVERS,
    EJECTION_WEIGHT,
    FRESH_MS,
    MAX_ORIGINS_PER_SERVER,
    MAX_SERVERS,
    HealthEvidence,
)

NOW, READY, HERE, THERE = 100_000.0, 40, 0, 1


def failed(server: int, origin: int, at: float = NOW, zone: int = HERE) -> Observation:
    return Observation(server, origin, zone, ObservationKind.FAILED, at)


def good(server: int, origin: int, at: float = NOW, zone: int = HERE) -> Observation:
    return Observation(server, origin, zone, ObservationKind.ANSWERED, at)


def taken(*observations: Observation) -> HealthEvidence:
    evidence = HealthEvidence(0, HERE)
    for observation in observations:
        evidence.record(observation, NOW)
    return evidence


def state(evidence: HealthEvidence) -> object:
    return [sorted(evidence.witnesses(server, NOW)) for server in range(4)]


@given(
    st.lists(
        st.builds(
            Observation,
            st.integers(0, 3),
            st.integers(1, 8),
            st.integers(0, 1),
            st.sampled_from(ObservationKind),
            st.integers(0, 30).map(lambda step: NOW - 200.0 * step),
        ),
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
def test_state_does_not_depend_on_order_or_repetition(observations: list[Observation], rng: random.Random) -> None:
    again = observations * 2
    rng.shuffle(again)
    one, other = taken(*observations), taken(*again)
    assert state(one) == state(other)
    # an origin keeps the zone that it tells, so the weights agree too where each tells but one
    for origin in range(1, 9):
        if len({o.origin_zone for o in observations if o.origin_index == origin}) > 1:
            return
    assert [one.failure_weight(s, READY, NOW) for s in range(4)] == [
        other.failure_weight(s, READY, NOW) for s in range(4)
    ]


def test_one_limiter_weighs_one_failure_at_most() -> None:
    evidence = taken(*(failed(1, 5, NOW - 150.0 * step) for step in range(25)))
    assert evidence.failure_weight(1, READY, NOW) == 1.0 < EJECTION_WEIGHT


def test_failures_at_three_limiters_eject_and_a_later_answer_undoes_them() -> None:
    evidence = taken(failed(1, 5, NOW - 900.0), failed(1, 6, NOW - 700.0), failed(1, 7, NOW - 500.0))
    assert evidence.failure_weight(1, READY, NOW) == EJECTION_WEIGHT
    evidence.record(good(1, 8, NOW - 300.0), NOW)
    assert evidence.failure_weight(1, READY, NOW) == 0.0
    assert evidence.failure_weight(1, READY, NOW + FRESH_MS) == 0.0


def test_failures_from_another_zone_weigh_half_and_an_answer_there_undoes_none_here() -> None:
    elsewhere = [failed(1, origin, NOW - 500.0, THERE) for origin in (5, 6, 7)]
    evidence = taken(*elsewhere)
    assert 0.0 < evidence.failure_weight(1, READY, NOW) < EJECTION_WEIGHT
    here = [failed(1, origin, NOW - 500.0) for origin in (8, 9, 10)]
    evidence = taken(*here, good(1, 11, NOW, THERE))
    assert evidence.failure_weight(1, READY, NOW) == EJECTION_WEIGHT  # it answers there, and not here
    evidence = taken(*elsewhere, *here[:1], good(1, 12, NOW))
    assert evidence.failure_weight(1, READY, NOW) == 0.0  # one of our zone has just had an answer


@pytest.mark.parametrize("liars", [1, 13])
def test_a_limiter_that_reports_failures_of_many_servers_weighs_nothing(liars: int) -> None:
    evidence = taken(*(failed(server, 100 + liar) for liar in range(liars) for server in range(READY)))
    assert [evidence.failure_weight(server, READY, NOW) for server in range(READY)] == [0.0] * READY
    few = DISTRUST_MIN_SERVERS
    evidence = taken(*(failed(server, origin) for origin in (5, 6, 7) for server in range(few)))
    assert [evidence.failure_weight(server, READY, NOW) for server in range(few)] == [EJECTION_WEIGHT] * few


def test_a_limiter_that_most_servers_fail_distrusts_itself() -> None:
    evidence = HealthEvidence(3, HERE)
    for server in range(6):
        evidence.record_own_attempt(server, NOW)
    for server in range(2):
        evidence.record(failed(server, 3), NOW)
    assert not evidence.is_self_distrusted(NOW)
    evidence.record(failed(2, 3), NOW)
    assert evidence.is_self_distrusted(NOW)
    assert not evidence.is_self_distrusted(NOW + FRESH_MS)


def test_evidence_on_ten_thousand_servers_is_bounded_and_ages_out() -> None:
    evidence = HealthEvidence(0, HERE)
    for server in range(10_000):
        for origin in range(1, 4):
            evidence.record(failed(server, origin), NOW)
    assert len(evidence) == MAX_SERVERS
    assert evidence.failure_weight(9_999, 100_000, NOW) == EJECTION_WEIGHT  # the latest is there
    for origin in range(200):
        evidence.record(failed(9_999, origin, NOW + 1.0), NOW + 1.0)
    assert len(evidence.witnesses(9_999, NOW)) <= MAX_ORIGINS_PER_SERVER
    evidence.age_out(NOW + 2 * FRESH_MS)
    assert len(evidence) == 0 and not evidence._accused and not evidence._own_attempts


def test_operators_see_the_latest_servers_and_the_distrusted_origins() -> None:
    evidence = taken(*(failed(server, 7) for server in range(READY // 2)), failed(1, 2), good(0, 3))
    assert evidence.latest_servers(3) == [0, 1, READY // 2 - 1]
    assert evidence.distrusted_origins(READY, NOW) == [7] and evidence.distrusted_origins(READY, NOW + FRESH_MS) == []
    told = evidence.witnesses(0, NOW + 50.0)
    assert [(each.origin_index, each.failed_age_ms, each.answered_age_ms) for each in told] == [
        (7, 50.0, -1.0),
        (3, -1.0, 50.0),
    ]


def test_observations_that_are_old_or_ahead_of_the_clock_are_not_recorded() -> None:
    evidence = HealthEvidence(0, HERE)
    assert not evidence.record(failed(1, 5, NOW - FRESH_MS), NOW)
    assert not evidence.record(failed(1, 5, NOW + 5_000.0), NOW)
    assert evidence.record(failed(1, 5), NOW) and not evidence.record(failed(1, 5, NOW + 20.0), NOW)


def test_a_restarted_server_has_no_record() -> None:
    evidence = taken(failed(1, 5), failed(1, 6), failed(1, 7))
    evidence.forget(1)
    assert evidence.failure_weight(1, READY, NOW) == 0.0


# What is told
