"""The requests of a run's clients: the load generator's schedule, or a recorded trace of a limiter's traffic."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from elderlock.load.scenario import ScenarioError
from elderlock.load.schedule import Arrival, schedule
from elderlock.load.trace import TraceReplay
from elderlock.sim.scenario import Scenario


def arrivals(scenario: Scenario, seed: int) -> Iterator[Arrival]:
    """Yields the requests in order of time.

    A trace is read while it is iterated, and its errors are raised then.

    Raises:
        OSError: The trace cannot be read.
        ScenarioError: The trace has a class of requests that the scenario does not have.
        TraceError: The trace is invalid.
    """
    if scenario.replay is None:
        return schedule(scenario.traffic(seed), scenario.limiters)
    return _arrivals_of_trace(scenario)


def _arrivals_of_trace(scenario: Scenario) -> Iterator[Arrival]:
    assert scenario.replay is not None
    plans = tuple(plan.name for plan in scenario.plan)
    services = {service.name for service in scenario.service}
    for arrival in TraceReplay(msgspec.structs.replace(scenario.replay, plans=plans)).arrivals(scenario.limiters):
        if arrival.at >= scenario.lasts_s * 1e6:
            return
        if arrival.class_name not in services:
            raise ScenarioError(f"{scenario.replay.path}: the scenario has no service {arrival.class_name!r}")
        yield arrival
