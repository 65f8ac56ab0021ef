"""A ground for tests and benchmarks: up in a second or two, faults by hand, judged when asked, gone in any case."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from elderlock.sim.scenario import Scenario, with_load
from elderlock.trial import history
from elderlock.trial.ground import Ground
from elderlock.trial.history import Verdict
from elderlock.trial.processes import guarded, short_temp

PREFIX = "elderlock-trial-"


@asynccontextmanager
async def standing(
    load: float = 0.2, accounts: int = 50, flaw: str = "", based: bool = False, **changes: Any
) -> AsyncIterator[Ground]:
    """Three limiters, two agents and six boxes unless `changes` of the scenario say else; clients ask once `ask` is
    called. Raises `TrialError`."""
    given = Scenario("standing", **{"agents": 2, "boxes": 6, "lasts_s": 3600.0, "warm_s": 0.0, **changes})
    with guarded(PREFIX, 0.0, short_temp()) as (folder, mark):
        ground = Ground(with_load(load, given, accounts), folder, mark, flaw=flaw, based=based)
        try:
            await ground.open()
            await ground.start()
            yield ground
        finally:
            await ground.close()


def judged(ground: Ground) -> Verdict:
    """What the judges say of all that was seen so far."""
    return history.judged(ground.bench.in_order(), ground.watch.stalls, ground.rules, ground.at())
