"""What a run's clients ask: the load generator's schedule, or a trace that a limiter's traffic was recorded in."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from elderlock.load.scenario import ScenarioError
from elderlock.load.schedule import Arrival, schedule
from elderlock.load.trace import TraceReplay
from elderlock.sim.scenario import Scenario


def arrivals(scenario: Scenario, seed: int) -> Iterator[Arrival]:
    """In order of time. A trace is read as a stream; it raises `TraceError`, `OSError`, or `ScenarioError` for a class
    that the scenario has not, where it comes to that."""
    if scenario.replay is None:
        return schedule(scenario.traffic(seed), scenario.limiters)
    return _replayed(scenario)


def _replayed(scenario: Scenario) -> Iterator[Arrival]:
    assert scenario.replay is not None
    plans = tuple(plan.name for plan in scenario.plan)
    services = {service.name for service in scenario.service}
    for arrival in TraceReplay(msgspec.structs.replace(scenario.replay, plans=plans)).arrivals(scenario.limiters):
        if arrival.at >= scenario.lasts_s * 1e6:
            return
        if arrival.class_name not in services:
            raise ScenarioError(f"{scenario.replay.path}: there is no service {arrival.class_name!r}")
        yield arrival
