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
    1: "049c31220f86b6c471edd700",
    2: "2f750adb4d4a61ec8e234f85",
    3: "f8dc48f8a07e805c1a408953",
    4: "845ce946cf095b48cd1d2143",
    5: "fc0e5d718ddf38bd19af54ef",
    6: "f161988cf7a5bf7fbda1d5b8",
    7: "f7b33e666c15e7597c07cba5",
    8: "d7538a097cb66a596a7d9ac6",
    9: "01b96bd8dcbf752dd1f56297",
    10: "c56c4484d0052237dfa9073c",
    11: "c39cd5586a771bbcef4a2ad7",
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
