"""Each judge bites on real processes too: a build with one known fault fails it, in a run that is good without it."""

from __future__ import annotations

import pytest
from trial_runs import run_trial

from elderlock.sim.scenario import Scenario
from elderlock.trial import mutants
from elderlock.trial.mutant_cases import BITES

SEED = 5
PLAYS = 3  # of a run that the machine held up, which says so itself and shows nothing either way


@pytest.mark.parametrize("rule, given, flaw", BITES, ids=[flaw.__name__ for _, _, flaw in BITES])
def test_a_judge_bites_on_real_processes(rule: str, given: Scenario, flaw: mutants.Mutant) -> None:
    for _ in range(PLAYS):
        bad = run_trial(given, SEED, flaw.__name__)
        broken = {rule for rule, _, _ in bad.result.broken} | {each.rule for each in bad.late_rules}
        if rule in broken or not bad.stall_summary.text:
            break  # a run in good time has to show it at once
    assert rule in broken, bad.text()
    good = run_trial(given, SEED)
    assert good.verdict() != "broken", good.text()
