"""Whole fleets in simulated time: what sharing evidence saves, and what it must not make worse."""

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

LIMITERS, SERVERS, BAD = 60, 40, range(5)
MOST_PART = 0.7  # of the failures without sharing, which sharing has to stay under


def scenario(shared: bool, *faults: dict[str, Any], **changes: Any) -> Scenario:
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
        "settings": {"shared": shared},
        "fault": list(faults),
        **changes,
    }
    return msgspec.convert(raw, Scenario)


SILENT = {"at_s": 5.0, "what": "silent", "target": "box:0-4", "for_s": 6.0}


class World(DecisionWorld):
    def limiters(self) -> list[EvidenceLimiter]:
        return [node.limiter for node in self.nodes if isinstance(node.limiter, EvidenceLimiter)]

    def server(self, limiter: EvidenceLimiter, box: int) -> Server:
        return limiter.endpoints.servers[f"s-{box:02d}"]

    def at_s(self, at: float, do: Any) -> None:
        self.schedule.after(at * 1000.0, do)


def test_a_fleet_that_shares_evidence_ejects_silent_servers_with_fewer_failures() -> None:
    failed = {False: 0, True: 0}
    for seed in (1, 2):
        for shared in failed:
            result = DecisionWorld(scenario(shared, SILENT), seed).play()
            assert result.good()
            failed[shared] += result.figures.outcomes["failed"]
    assert failed[True] < MOST_PART * failed[False], failed


def test_without_faults_no_datagram_is_sent_and_no_server_is_ejected() -> None:
    world = World(scenario(True), 1)
    assert world.play().good()
    assert [limiter.received_datagrams for limiter in world.limiters()] == [0] * LIMITERS
    assert not any(limiter.outlier_detector.ejected for limiter in world.limiters())


def test_limiters_that_hear_no_other_act_on_their_own_evidence() -> None:
    deaf = {"at_s": 0.0, "what": "loss", "target": "peers", "for_s": 14.0, "by": 1.0}
    alone = DecisionWorld(scenario(False, SILENT, deaf), 1).play()
    world = World(scenario(True, SILENT, deaf), 1)
    shared = world.play()
    assert shared.good() and sum(limiter.received_datagrams for limiter in world.limiters()) == 0
    assert shared.figures.outcomes["failed"] <= 1.1 * alone.figures.outcomes["failed"]
    for limiter in world.limiters():  # none leans on the trials of others
        assert limiter.context.now_ms - limiter.outlier_detector.heard_at_ms > PEERS_HEARD_WITHIN_MS


@pytest.mark.parametrize("liars", [1, LIMITERS // 3])
def test_limiters_that_report_all_servers_as_failed_eject_none_at_the_others(liars: int) -> None:
    world = World(scenario(True), 1)

    def lie() -> None:
        now = world.schedule.time
        for liar in range(liars):
            said = [
                Observation(server_key(f"s-{box:02d}"), liar, liar % 3, ObservationKind.FAILED, now)
                for box in range(SERVERS)
            ]
            for other in range(LIMITERS):
                for at in range(0, SERVERS, 20):
                    world.tell_peer(world.nodes[liar], other, encode(said[at : at + 20], now))
        if world.schedule.time < 1.7e12 + 9_000.0:
            world.schedule.after(1000.0, lie)

    world.at_s(4.0, lie)
    seen: list[int] = []
    for second in (5.0, 6.0, 8.0, 10.0):
        world.at_s(
            second, lambda: seen.append(max(len(limiter.outlier_detector.ejected) for limiter in world.limiters()))
        )
    result = world.play()
    assert all(limiter.received_datagrams for limiter in world.limiters())
    assert result.good() and seen == [0, 0, 0, 0] and result.figures.served_in_time > 0.99


def test_datagrams_replayed_after_recovery_eject_no_server() -> None:
    world = World(scenario(True, {**SILENT, "for_s": 2.0}), 1)
    saved: list[tuple[int, int, bytes]] = []
    tell = world.tell_peer

    def keeping(node: Any, receiver: int, data: bytes) -> None:
        saved.append((node.number, receiver, data))
        tell(node, receiver, data)

    world.tell_peer = keeping  # type: ignore[method-assign]

    def replay() -> None:
        again = list(saved)
        for sender, receiver, data in again:
            world._peer(receiver, sender, data)

    before: list[int] = []
    after: list[int] = []
    world.at_s(12.0, lambda: before.append(sum(len(limiter.outlier_detector.ejected) for limiter in world.limiters())))
    world.at_s(12.001, replay)
    world.at_s(12.1, lambda: after.append(sum(len(limiter.outlier_detector.ejected) for limiter in world.limiters())))
    assert world.play().good()
    assert saved and after[0] <= before[0]


def test_failures_before_a_servers_restart_weigh_nothing_after_it() -> None:
    world = World(scenario(True, SILENT, {"at_s": 7.0, "what": "restart", "target": "box:0-4"}), 1)
    left: list[float] = []

    def record_weights() -> None:
        left.extend(
            limiter.evidence.failure_weight(server_key("s-00"), SERVERS, world.schedule.time)
            for limiter in world.limiters()
            if world.server(limiter, 0).entry.started_at_ms > 0
        )

    world.at_s(7.4, record_weights)
    assert world.play().good()
    assert left and max(left) < EJECTION_WEIGHT
