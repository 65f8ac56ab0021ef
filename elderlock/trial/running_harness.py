"""A running harness for tests and benchmarks, which inject faults by hand and check the history when they need to."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from elderlock.sim.scenario import Scenario, with_load
from elderlock.trial import history
from elderlock.trial.harness import Harness
from elderlock.trial.history import Verdict
from elderlock.trial.processes import guarded_folder, short_temp_folder

PREFIX = "elderlock-trial-"


@asynccontextmanager
async def running_harness(
    load: float = 0.2, accounts: int = 50, mutant: str = "", with_launchers: bool = False, **changes: Any
) -> AsyncIterator[Harness]:
    """Start a group of three limiters, two agents and six servers, and end it when the context is left.

    The clients start once `Harness.start_clients` is called.

    Args:
        load: The load as a share of the servers' capacity.
        accounts: How many accounts the clients use.
        mutant: The name of the mutant that the processes run; empty for none.
        with_launchers: Whether a launcher starts each agent.
        **changes: Fields of the scenario with other values.

    Raises:
        TrialError: The group does not come up.
    """
    defaults = Scenario("standing", **{"agents": 2, "boxes": 6, "lasts_s": 3600.0, "warm_s": 0.0, **changes})
    with guarded_folder(PREFIX, 0.0, short_temp_folder()) as (folder, mark):
        harness = Harness(
            with_load(load, defaults, accounts), folder, mark, mutant=mutant, with_launchers=with_launchers
        )
        try:
            await harness.open()
            await harness.start()
            yield harness
        finally:
            await harness.close()


def check_invariants(harness: Harness) -> Verdict:
    """Check what was recorded so far."""
    return history.check_history(harness.bench.in_order(), harness.stall_monitor.stalls, harness.rules, harness.at())
