"""Health evidence: independence of order and repetition, the limited weight of one limiter, and bounded memory."""

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

NOW, READY_COUNT, OWN_ZONE, OTHER_ZONE = 100_000.0, 40, 0, 1


def failed(server: int, origin: int, at: float = NOW, zone: int = OWN_ZONE) -> Observation:
    return Observation(server, origin, zone, ObservationKind.FAILED, at)


def answered(server: int, origin: int, at: float = NOW, zone: int = OWN_ZONE) -> Observation:
    return Observation(server, origin, zone, ObservationKind.ANSWERED, at)


def evidence_of(*observations: Observation) -> HealthEvidence:
    evidence = HealthEvidence(0, OWN_ZONE)
    for observation in observations:
        evidence.record(observation, NOW)
    return evidence


def all_witnesses(evidence: HealthEvidence) -> object:
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
    shuffled = observations * 2
    rng.shuffle(shuffled)
    first, second = evidence_of(*observations), evidence_of(*shuffled)
    assert all_witnesses(first) == all_witnesses(second)
    # the weights are only compared if each origin reports a single zone
    for origin in range(1, 9):
        if len({each.origin_zone for each in observations if each.origin_index == origin}) > 1:
            return
    assert [first.failure_weight(server, READY_COUNT, NOW) for server in range(4)] == [
        second.failure_weight(server, READY_COUNT, NOW) for server in range(4)
    ]


def test_one_limiter_has_at_most_the_weight_of_one_failure() -> None:
    evidence = evidence_of(*(failed(1, 5, NOW - 150.0 * step) for step in range(25)))
    assert evidence.failure_weight(1, READY_COUNT, NOW) == 1.0 < EJECTION_WEIGHT


def test_failures_at_three_limiters_eject_and_a_later_answer_cancels_them() -> None:
    evidence = evidence_of(failed(1, 5, NOW - 900.0), failed(1, 6, NOW - 700.0), failed(1, 7, NOW - 500.0))
    assert evidence.failure_weight(1, READY_COUNT, NOW) == EJECTION_WEIGHT
    evidence.record(answered(1, 8, NOW - 300.0), NOW)
    assert evidence.failure_weight(1, READY_COUNT, NOW) == 0.0
    assert evidence.failure_weight(1, READY_COUNT, NOW + FRESH_MS) == 0.0


def test_failures_from_another_zone_have_half_weight_and_an_answer_there_cancels_none_here() -> None:
    other_zone_failures = [failed(1, origin, NOW - 500.0, OTHER_ZONE) for origin in (5, 6, 7)]
    evidence = evidence_of(*other_zone_failures)
    assert 0.0 < evidence.failure_weight(1, READY_COUNT, NOW) < EJECTION_WEIGHT
    own_zone_failures = [failed(1, origin, NOW - 500.0) for origin in (8, 9, 10)]
    evidence = evidence_of(*own_zone_failures, answered(1, 11, NOW, OTHER_ZONE))
    assert evidence.failure_weight(1, READY_COUNT, NOW) == EJECTION_WEIGHT  # the server answers the other zone only
    evidence = evidence_of(*other_zone_failures, *own_zone_failures[:1], answered(1, 12, NOW))
    assert evidence.failure_weight(1, READY_COUNT, NOW) == 0.0  # a limiter of the own zone has just had an answer


@pytest.mark.parametrize("faulty_count", [1, 13])
def test_a_limiter_that_reports_failures_of_many_servers_has_no_weight(faulty_count: int) -> None:
    evidence = evidence_of(
        *(failed(server, 100 + faulty) for faulty in range(faulty_count) for server in range(READY_COUNT))
    )
    assert [evidence.failure_weight(server, READY_COUNT, NOW) for server in range(READY_COUNT)] == [0.0] * READY_COUNT
    server_count = DISTRUST_MIN_SERVERS
    evidence = evidence_of(*(failed(server, origin) for origin in (5, 6, 7) for server in range(server_count)))
    assert [evidence.failure_weight(server, READY_COUNT, NOW) for server in range(server_count)] == [
        EJECTION_WEIGHT
    ] * server_count


def test_a_limiter_that_most_servers_fail_distrusts_itself() -> None:
    evidence = HealthEvidence(3, OWN_ZONE)
    for server in range(6):
        evidence.record_own_attempt(server, NOW)
    for server in range(2):
        evidence.record(failed(server, 3), NOW)
    assert not evidence.is_self_distrusted(NOW)
    evidence.record(failed(2, 3), NOW)
    assert evidence.is_self_distrusted(NOW)
    assert not evidence.is_self_distrusted(NOW + FRESH_MS)


def test_evidence_on_ten_thousand_servers_is_bounded_and_ages_out() -> None:
    evidence = HealthEvidence(0, OWN_ZONE)
    for server in range(10_000):
        for origin in range(1, 4):
            evidence.record(failed(server, origin), NOW)
    assert len(evidence) == MAX_SERVERS
    assert evidence.failure_weight(9_999, 100_000, NOW) == EJECTION_WEIGHT  # the latest server is kept
    for origin in range(200):
        evidence.record(failed(9_999, origin, NOW + 1.0), NOW + 1.0)
    assert len(evidence.witnesses(9_999, NOW)) <= MAX_ORIGINS_PER_SERVER
    evidence.age_out(NOW + 2 * FRESH_MS)
    assert len(evidence) == 0 and not evidence._failures and not evidence._own_attempts


def test_the_status_shows_the_latest_servers_and_the_distrusted_origins() -> None:
    evidence = evidence_of(*(failed(server, 7) for server in range(READY_COUNT // 2)), failed(1, 2), answered(0, 3))
    assert evidence.latest_servers(3) == [0, 1, READY_COUNT // 2 - 1]
    assert (
        evidence.distrusted_origins(READY_COUNT, NOW) == [7]
        and evidence.distrusted_origins(READY_COUNT, NOW + FRESH_MS) == []
    )
    witnesses = evidence.witnesses(0, NOW + 50.0)
    assert [(each.origin_index, each.failed_age_ms, each.answered_age_ms) for each in witnesses] == [
        (7, 50.0, -1.0),
        (3, -1.0, 50.0),
    ]


def test_observations_that_are_old_or_ahead_of_the_clock_are_not_recorded() -> None:
    evidence = HealthEvidence(0, OWN_ZONE)
    assert not evidence.record(failed(1, 5, NOW - FRESH_MS), NOW)
    assert not evidence.record(failed(1, 5, NOW + 5_000.0), NOW)
    assert evidence.record(failed(1, 5), NOW) and not evidence.record(failed(1, 5, NOW + 20.0), NOW)


def test_a_restarted_server_has_no_evidence() -> None:
    evidence = evidence_of(failed(1, 5), failed(1, 6), failed(1, 7))
    evidence.forget(1)
    assert evidence.failure_weight(1, READY_COUNT, NOW) == 0.0
