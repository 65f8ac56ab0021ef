"""The simulation of a trial's schedule, with the same history kept of it."""

from __future__ import annotations

from typing import Any

from elderlock.sim.figures import Result
from elderlock.sim.scenario import ONLY_TRIAL, Scenario
from elderlock.sim.shells import ShellWorld
from elderlock.trial.history import HEARD, Event


class Kept(ShellWorld):
    """The shells' floor, and every word that its judges hear is kept."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        self.events: list[Event] = []
        for name in HEARD:
            hear = getattr(self.bench, name, None)
            if hear is not None:
                setattr(self.bench, name, self._kept(name, hear))

    def _kept(self, name: str, hear: Any) -> Any:
        def keep(at: float, *args: Any) -> None:
            self.events.append(Event(at, name, args))
            hear(at, *args)

        return keep

    def record_fault(self, number: int, fault: Any) -> None:
        super().record_fault(number, fault)
        self.events.append(Event(self.at(), "fault", (number, fault.target, fault.what, fault.for_s, fault.by)))


def simulated(scenario: Scenario, seed: int) -> tuple[Result, list[Event], float]:
    """The result, the history, and when (ms) its schedule began. Raises `ValueError` for a schedule that the floor
    cannot play whole: a comparison of half of it would say nothing."""
    alone = [f"{fault.target} {fault.what}" for fault in scenario.fault if fault.what in ONLY_TRIAL]
    if alone:
        raise ValueError(f"real processes alone play {', '.join(alone)}")
    world = Kept(scenario, seed)
    result = world.play()
    return result, world.events, world.zero
