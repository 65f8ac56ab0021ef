"""Simulates the schedule of a trial, and records the same history as a trial does."""

from __future__ import annotations

from typing import Any

from elderlock.sim.figures import Result
from elderlock.sim.scenario import TRIAL_ONLY, Scenario
from elderlock.sim.shells import ShellWorld
from elderlock.trial.history import EVENT_NAMES, Event


class RecordingWorld(ShellWorld):
    """A simulated group that also records each event that its invariant checkers get.

    Attributes:
        events: The recorded events.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        self.events: list[Event] = []
        for name in EVENT_NAMES:
            check = getattr(self.bench, name, None)
            if check is not None:
                setattr(self.bench, name, self._recording_method(name, check))

    def _recording_method(self, name: str, check: Any) -> Any:
        def record_and_check(at: float, *args: Any) -> None:
            self.events.append(Event(at, name, args))
            check(at, *args)

        return record_and_check

    def record_fault(self, number: int, fault: Any) -> None:
        """Record that a fault of the scenario begins.

        Args:
            number: Its index in the scenario.
            fault: The fault.
        """
        super().record_fault(number, fault)
        self.events.append(Event(self.at(), "fault", (number, fault.target, fault.what, fault.for_s, fault.by)))


def simulate(scenario: Scenario, seed: int) -> tuple[Result, list[Event], float]:
    """Simulate a scenario.

    Returns:
        The result, the history, and when the schedule began, in ms of the run.

    Raises:
        ValueError: The scenario has faults that the simulation does not support; a comparison without them would be
            meaningless.
    """
    unsupported = [f"{fault.target} {fault.what}" for fault in scenario.fault if fault.what in TRIAL_ONLY]
    if unsupported:
        raise ValueError(f"only trials of real processes support {', '.join(unsupported)}")
    world = RecordingWorld(scenario, seed)
    result = world.play()
    return result, world.events, world.zero
