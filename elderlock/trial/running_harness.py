"""A ground for tests and benchmarks: up in a second or two, faults by hand, judged when asked, gone in any case."""

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
    load: float = 0.2, accounts: int = 50, flaw: str = "", with_launchers: bool = False, **changes: Any
) -> AsyncIterator[Harness]:
    """Three limiters, two agents and six boxes unless `changes` of the scenario say else; clients ask once `ask` is
    called. Raises `TrialError`."""
    given = Scenario("standing", **{"agents": 2, "boxes": 6, "lasts_s": 3600.0, "warm_s": 0.0, **changes})
    with guarded_folder(PREFIX, 0.0, short_temp_folder()) as (folder, mark):
        ground = Harness(with_load(load, given, accounts), folder, mark, flaw=flaw, with_launchers=with_launchers)
        try:
            await ground.open()
            await ground.start()
            yield ground
        finally:
            await ground.close()


def check_invariants(ground: Harness) -> Verdict:
    """What the judges say of all that was seen so far."""
    return history.check_history(ground.bench.in_order(), ground.watch.stalls, ground.rules, ground.at())
