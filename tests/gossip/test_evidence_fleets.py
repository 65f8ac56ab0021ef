"""Fleets in simulated time: shared evidence reduces failures, and faulty evidence ejects no healthy server."""

from typing import Any

import msgspec
import pytest

from elderlock.gossip.evidence_limiter import EvidenceLimiter
from elderlock.gossip.evidence_messages import Observation, ObservationKind, encode, server_key
from elderlock.gossip.health_evidence import EJECTION_WEIGHT
from elderlock.gossip.outlier_sharing import PEERS_HEARD_WITHIN_MS
from elderlock.sim.decisions import DecisionWorld
from elderlock.sim.scenario import Scenario
from elderlock.state import Server

LIMITERS, SERVERS = 60, 40
MAX_FAILURE_RATIO = 0.7  # of the failures with sharing to those without


def evidence_scenario(is_shared: bool, *faults: dict[str, Any], **changes: Any) -> Scenario:
    raw = {
        "name": "evidence",
        "lasts_s": 14.0,
        "limiters": LIMITERS,
        "boxes": SERVERS,
        "floors": 3,
        "plan": [{"name": "shop"}],
        "service": [{"name": "lookup", "aim_ms": 300.0}],
        "stream": [
            {
                "name": "a",
                "plan": "shop",
                "deadline_ms": 1200.0,
                "spread": 3,
                "accounts": {"count": 300},
                "shape": [{"kind": "steady", "rate": 400.0}],
            }
        ],
        "settings": {"shared": is_shared},
        "fault": list(faults),
        **changes,
    }
    return msgspec.convert(raw, Scenario)


SILENT_SERVERS = {"at_s": 5.0, "what": "silent", "target": "box:0-4", "for_s": 6.0}


class EvidenceWorld(DecisionWorld):
    def limiters(self) -> list[EvidenceLimiter]:
        return [node.limiter for node in self.nodes if isinstance(node.limiter, EvidenceLimiter)]

    def server(self, limiter: EvidenceLimiter, number: int) -> Server:
        return limiter.endpoints.servers[f"s-{number:02d}"]

    def at_s(self, time_s: float, action: Any) -> None:
        self.schedule.after(time_s * 1000.0, action)


def test_a_fleet_that_shares_evidence_ejects_silent_servers_with_fewer_failures() -> None:
    failed = {False: 0, True: 0}
    for seed in (1, 2):
        for is_shared in failed:
            result = DecisionWorld(evidence_scenario(is_shared, SILENT_SERVERS), seed).play()
            assert result.good()
            failed[is_shared] += result.figures.outcomes["failed"]
    assert failed[True] < MAX_FAILURE_RATIO * failed[False], failed


def test_without_faults_no_datagram_is_sent_and_no_server_is_ejected() -> None:
    world = EvidenceWorld(evidence_scenario(True), 1)
    assert world.play().good()
    assert [limiter.received_datagrams for limiter in world.limiters()] == [0] * LIMITERS
    assert not any(limiter.outlier_detector.ejected for limiter in world.limiters())


def test_limiters_that_receive_no_datagrams_act_on_their_own_evidence() -> None:
    datagram_loss = {"at_s": 0.0, "what": "loss", "target": "peers", "for_s": 14.0, "by": 1.0}
    unshared = DecisionWorld(evidence_scenario(False, SILENT_SERVERS, datagram_loss), 1).play()
    world = EvidenceWorld(evidence_scenario(True, SILENT_SERVERS, datagram_loss), 1)
    shared = world.play()
    assert shared.good() and sum(limiter.received_datagrams for limiter in world.limiters()) == 0
    assert shared.figures.outcomes["failed"] <= 1.1 * unshared.figures.outcomes["failed"]
    for limiter in world.limiters():  # none waits for the trials of others
        assert limiter.context.now_ms - limiter.outlier_detector.heard_at_ms > PEERS_HEARD_WITHIN_MS


@pytest.mark.parametrize("faulty_count", [1, LIMITERS // 3])
def test_limiters_that_report_all_servers_as_failed_eject_none_at_the_others(faulty_count: int) -> None:
    world = EvidenceWorld(evidence_scenario(True), 1)

    def send_false_reports() -> None:
        now_ms = world.schedule.time
        for faulty in range(faulty_count):
            observations = [
                Observation(server_key(f"s-{server:02d}"), faulty, faulty % 3, ObservationKind.FAILED, now_ms)
                for server in range(SERVERS)
            ]
            for other in range(LIMITERS):
                for start in range(0, SERVERS, 20):
                    world.tell_peer(world.nodes[faulty], other, encode(observations[start : start + 20], now_ms))
        if world.schedule.time < 1.7e12 + 9_000.0:
            world.schedule.after(1000.0, send_false_reports)

    world.at_s(4.0, send_false_reports)
    ejected_counts: list[int] = []
    for time_s in (5.0, 6.0, 8.0, 10.0):
        world.at_s(
            time_s,
            lambda: ejected_counts.append(max(len(limiter.outlier_detector.ejected) for limiter in world.limiters())),
        )
    result = world.play()
    assert all(limiter.received_datagrams for limiter in world.limiters())
    assert result.good() and ejected_counts == [0, 0, 0, 0] and result.figures.served_in_time > 0.99


def test_datagrams_replayed_after_recovery_eject_no_server() -> None:
    world = EvidenceWorld(evidence_scenario(True, {**SILENT_SERVERS, "for_s": 2.0}), 1)
    recorded: list[tuple[int, int, bytes]] = []
    send_to_peer = world.tell_peer

    def record_and_send(node: Any, receiver: int, data: bytes) -> None:
        recorded.append((node.number, receiver, data))
        send_to_peer(node, receiver, data)

    world.tell_peer = record_and_send  # type: ignore[method-assign]

    def replay() -> None:
        for sender, receiver, payload in list(recorded):
            world._peer(receiver, sender, payload)

    before: list[int] = []
    after: list[int] = []
    world.at_s(12.0, lambda: before.append(sum(len(limiter.outlier_detector.ejected) for limiter in world.limiters())))
    world.at_s(12.001, replay)
    world.at_s(12.1, lambda: after.append(sum(len(limiter.outlier_detector.ejected) for limiter in world.limiters())))
    assert world.play().good()
    assert recorded and after[0] <= before[0]


def test_failures_before_a_servers_restart_have_no_weight_after_it() -> None:
    world = EvidenceWorld(
        evidence_scenario(True, SILENT_SERVERS, {"at_s": 7.0, "what": "restart", "target": "box:0-4"}), 1
    )
    weights: list[float] = []

    def record_weights() -> None:
        weights.extend(
            limiter.evidence.failure_weight(server_key("s-00"), SERVERS, world.schedule.time)
            for limiter in world.limiters()
            if world.server(limiter, 0).entry.started_at_ms > 0
        )

    world.at_s(7.4, record_weights)
    assert world.play().good()
    assert weights and max(weights) < EJECTION_WEIGHT
