"""Runs a scenario on real processes with the code of `elderlock trial`."""

from __future__ import annotations

from pathlib import Path

from elderlock.sim.scenario import Scenario
from elderlock.trial.processes import run_guarded, short_temp_folder
from elderlock.trial.run import Outcome, play
from elderlock.trial.running_harness import PREFIX


def run_trial(scenario: Scenario, seed: int = 3, flaw: str = "") -> Outcome:
    outcomes: list[Outcome] = []

    async def run_and_record(folder: Path, mark: str) -> int:
        outcomes.append(await play(scenario, folder, mark, seed, flaw))
        return 0

    run_guarded(PREFIX, run_and_record, 0.0, short_temp_folder())
    return outcomes[0]
