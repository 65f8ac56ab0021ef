"""Limiters and fleets that transfer units of hard ceilings, their options, and their status for operators."""

from __future__ import annotations

import re
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from escrow_histories import FILL_MS, FIRST, LIMITER_COUNT, MEMBER_COUNT, PLAN
from helpers import limiter_settings
from trial_runs import run_trial

from elderlock import interface as api
from elderlock.control import messages
from elderlock.control.shared import ceiling_status
from elderlock.decisions.limiter import Limiter
from elderlock.gossip.escrow_limiter import EscrowLimiter
from elderlock.gossip.escrow_messages import EscrowGrant, EscrowRequest, decode, encode
from elderlock.gossip.evidence_limiter import EvidenceLimiter
from elderlock.gossip.options import EvidenceAndEscrowLimiter
from elderlock.gossip.quota_escrow import (
    SEND_FRACTION,
)
from elderlock.net.config import ConfigError
from elderlock.operators import OptionalFeatures
from elderlock.sim import scenario as sim
from elderlock.sim.decisions import DecisionWorld
from elderlock.sim.scenario import Fault, Scenario


@pytest.mark.parametrize(
    "text, limiter_class",
    [
        ("[shared]", Limiter),
        ("[shared]\nevidence = true", EvidenceLimiter),
        ("[shared]\nceilings = true", EscrowLimiter),
        ("[shared]\nevidence = true\nceilings = true", EvidenceAndEscrowLimiter),
    ],
)
def test_the_operators_file_selects_the_limiter_class(text: str, limiter_class: type[Limiter], tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    assert OptionalFeatures(path).limiter_type(limiter_settings(can_message_peers=True)) is limiter_class


@pytest.mark.parametrize(
    "text, message",
    [
        ("[shared]\nceilings = true\n[quota]\nstore = 'tally'", "with [quota] the counter holds them"),
        ("[shared]\nceilings = 3", "bool"),
        ("[shared]\nceiling = true", "ceiling"),
    ],
)
def test_bad_sharing_options_are_refused_with_one_line(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=re.escape(message)) as error:
        OptionalFeatures(path).limiter_type(limiter_settings(can_message_peers=True))
    assert str(path) in str(error.value) and "\n" not in str(error.value)


def test_the_status_shows_granted_units_and_units_in_transit() -> None:
    limiter = EscrowLimiter(
        replace(limiter_settings(LIMITER_COUNT, can_message_peers=True), limiter_index=5, plans=(PLAN,)), 1, 0.0
    )
    request = encode(EscrowRequest(9, 77, 0, MEMBER_COUNT, FIRST, 3.0))
    (answer,) = limiter.handle(api.PeerMessage(FIRST, request), 2.0 * FILL_MS)
    assert (
        isinstance(answer, api.SendPeerMessage)
        and decode(answer.payload) == EscrowGrant(9, 3.0)
        and answer.receiver_index == FIRST
    )
    assert ceiling_status(limiter) == messages.CeilingStatus(
        given_units=3.0, taken_units=0.0, offered_units=3.0, maximum_sent_per_s=SEND_FRACTION * 100.0
    )
    assert limiter.handle(api.PeerMessage(FIRST, request[:-1]), 2.0 * FILL_MS) == []  # of this format but malformed
    assert ceiling_status(Limiter(limiter_settings(can_message_peers=True), 1, 0.0)) is None


# Fleets


def ceiling_scenario(is_shared: bool, limiters: int, spread: int, rate: float) -> Scenario:
    raw = {
        "name": "ceilings",
        "lasts_s": 20.0,
        "limiters": limiters,
        "boxes": 24,
        "floors": 3,
        "plan": [
            {
                "name": "shop",
                "rate": 14.0,
                "burst": 28.0,
                "ceiling_rate": 15.0,
                "ceiling_burst": 30.0,
                "ceiling_slack": 4.0,
                "over_worth": 0.5,
                "over_cost": 0.1,
            }
        ],
        "service": [{"name": "lookup", "aim_ms": 300.0}],
        "stream": [
            {
                "name": "a",
                "plan": "shop",
                "deadline_ms": 1200.0,
                "spread": spread,
                "accounts": {"count": 6},
                "shape": [{"kind": "steady", "rate": rate}],
            }
        ],
        "settings": {"shared_ceilings": is_shared},
    }
    return msgspec.convert(raw, Scenario)


@pytest.mark.parametrize("limiters, spread, rate", [(12, 4, 80.0), (60, 8, 40.0), (60, 8, 80.0)])
def test_a_fleet_rejects_less_and_stays_within_its_ceilings(limiters: int, spread: int, rate: float) -> None:
    """The load is near the ceiling, where random fluctuations alone exceed the even parts at times."""
    refused = {False: 0, True: 0}
    for is_shared in refused:
        for seed in (1, 2):
            result = DecisionWorld(ceiling_scenario(is_shared, limiters, spread, rate), seed).play()
            assert result.good()
            refused[is_shared] += result.figures.outcomes.get("refused", 0)
    assert refused[True] < 0.9 * refused[False], refused


def test_ceilings_hold_on_real_processes_under_datagram_faults_a_pause_a_kill_and_a_cut() -> None:
    plan = sim.Plan("plain", ceiling_rate=40.0, ceiling_burst=40.0, ceiling_slack=10.0)
    scenario = sim.Scenario(
        "ceilings",
        lasts_s=6.0,
        warm_s=0.5,
        rest_s=0.5,
        limiters=4,
        boxes=6,
        plan=(plan,),
        settings=sim.Settings(shared_ceilings=True),
        fault=(
            Fault(0.2, "loss", "peers", 5.0, 0.3),
            Fault(0.2, "reorder", "peers", 5.0),
            Fault(0.2, "duplicate", "peers", 5.0, 0.5),
            Fault(1.0, "pause", "limiter:1", 1.5),
            Fault(2.0, "kill", "limiter:2"),
            Fault(3.0, "cut", "way:limiter:0>limiter:3", 2.0),
        ),
    )
    outcome = run_trial(sim.with_load(0.4, scenario, 2))
    assert outcome.verdict() != "broken", outcome.text()
