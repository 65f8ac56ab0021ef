"""The same events give the same actions in each version of the decisions.

Each digest covers a complete history of a small group of limiters. A change that is intended to change decisions has to
record new digests and explain them.
"""

import pytest

from elderlock import interface as api
from elderlock.decisions import (
    admission,
    load_estimator,
    maintenance,
    outlier_detection,
    quotas,
    retry_policy,
    server_selection,
    subsetting,
    throttle,
    usage_reports,
)
from elderlock.decisions.limiter import Limiter
from elderlock.standins.histories import History, digests

EVENTS = 8_000
RECORDED_DIGESTS = {
    0: "e15b88549abba86bd04cddb7",
    1: "cd743f64e4e81b830eae90a3",
    2: "c5e2adc722819bb18738c178",
    3: "2ca13ab5a9bb638d1356ae70",
    4: "845ce946cf095b48cd1d2143",
    5: "c14e71ff6d9c68306892fd31",
    6: "2426e21fab9b6c18eb662dc3",
    7: "3b80a0c38470e0a1dc4e0e8a",
    8: "d7538a097cb66a596a7d9ac6",
    9: "2be3bcd9c1d2d5c4d20ef641",
    10: "454c2156859c8b2f0675f396",
    11: "d6e9b108b6cf520d2a5d89fe",
}


@pytest.mark.parametrize("seed", sorted(RECORDED_DIGESTS))
def test_decisions_match_the_recorded_digests(seed: int) -> None:
    assert dict(digests(Limiter, EVENTS, iter([seed]))) == {seed: RECORDED_DIGESTS[seed]}


def test_a_history_depends_on_its_seed_alone() -> None:
    results = [History(seed, Limiter).play(2_000) for seed in (1, 1, 2)]
    assert results[0] == results[1] != results[2]


@pytest.mark.parametrize(
    ("module", "name", "value"),
    [
        (server_selection, "SAMPLE_COUNT", 7),
        (outlier_detection, "FAILURES_BEFORE_EJECTION", 4),
        (subsetting, "MIN_HOLDER_COUNT", 3),
        (retry_policy, "UNEXECUTED_RETRY_COST", 0.5),
        (quotas, "CEILING_SLACK_FRACTION", 0.7),
        (quotas, "RATE_AVERAGING_SENDS", 5.0),
        (usage_reports, "FAR_FROM_QUOTA_BURST_FRACTION", 0.6),
        (server_selection, "FAULT_COST_FACTOR", 7.0),
        (throttle, "MIN_RATE_FACTOR", 0.7),
        (load_estimator, "PADDING_SAMPLES", 3),
        (admission, "LOWEST_VALUE_PRESSURE_FRACTION", 0.6),
        (maintenance, "MAX_LEAK_DEMAND_RATIO", 0.6),
    ],
)
def test_a_small_change_of_a_constant_changes_a_digest(
    module: object, name: str, value: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, name, value)
    assert any(
        digest != RECORDED_DIGESTS[seed] for seed, digest in digests(Limiter, EVENTS, iter(sorted(RECORDED_DIGESTS)))
    )


def test_histories_reach_all_phases_actions_and_states() -> None:
    """A digest covers only decisions that a history reaches: throttling, queries, reports, retries, permits and so on."""
    reached: set[str] = set()

    class RecordingLimiter(Limiter):
        def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
            actions = super().handle(event, now_ms)
            reached.update(type(action).__name__ for action in actions)
            reached.add(self.throttle.phase.name)
            reached.update(
                name
                for name, is_reached in (
                    ("waiting requests", self.admission.waiting_request_ids),
                    ("pending queries", self.quota_coordinator.quota_client.pending_queries),
                    ("silent owners", self.quota_coordinator.owners.silent_until_ms),
                    ("unreported units", self.quota_coordinator.usage_reports.unreported_units),
                    ("failing domains", self.endpoints.health.failure_fraction_by_domain),
                    ("ejected servers", self.endpoints.outlier_detector.ejected),
                    ("pending reviews", self.endpoints.review_queue),
                    ("subset", self.endpoints.subsetting.holder_count < self.context.settings.limiter_count),
                )
                if is_reached
            )
            return actions

    for seed in (0, 3, 6, 7, 10):
        History(seed, RecordingLimiter, limiters=(1, 2, 3, 5)[seed % 4], boxes=(3, 12, 90)[seed % 3]).play(EVENTS)
    assert reached >= {
        "SendAttempt",
        "Permit",
        "Reject",
        "Fail",
        "CancelAttempt",
        "SendPeerMessage",
        "SetTimer",
        "Log",
        "NOT_OVERLOADED",
        "OVERLOADED",
        "TERMINATION_PENDING",
        "RETURNING_TO_NOT_OVERLOADED",
        "pending queries",
        "silent owners",
        "unreported units",
        "failing domains",
        "ejected servers",
        "pending reviews",
        "subset",
    }, reached
