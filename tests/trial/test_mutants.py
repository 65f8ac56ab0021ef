"""Each invariant checker detects its mutant on real processes, in a scenario that is good without the mutant."""

from __future__ import annotations

import pytest
from trial_runs import run_trial

from elderlock.sim.scenario import Scenario
from elderlock.trial import mutants
from elderlock.trial.mutant_cases import MUTANT_CASES

SEED = 5
MAX_RUNS = 3  # of a mutant whose run counts as late, which shows neither that it is detected nor that it is not


@pytest.mark.parametrize("rule, scenario, mutant", MUTANT_CASES, ids=[mutant.__name__ for _, _, mutant in MUTANT_CASES])
def test_a_checker_detects_its_mutant(rule: str, scenario: Scenario, mutant: mutants.Mutant) -> None:
    for _ in range(MAX_RUNS):
        with_mutant = run_trial(scenario, SEED, mutant.__name__)
        broken = {rule for rule, _, _ in with_mutant.result.broken} | {
            violation.rule for violation in with_mutant.late_rules
        }
        if rule in broken or not with_mutant.stall_summary.text:
            break  # a run that is not late has to detect it at once
    assert rule in broken, with_mutant.text()
    without_mutant = run_trial(scenario, SEED)
    assert without_mutant.verdict() != "broken", without_mutant.text()
