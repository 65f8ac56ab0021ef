"""What the parts share: settings, the time of the event in work, its actions, timers and random numbers."""

from __future__ import annotations

import random

from elderlock import interface as api
from elderlock.structures.timer_queue import Timer, TimerQueue

MS_PER_SECOND = 1000.0  # ms


class DecisionContext:
    """Invariant: `now` and `actions` are of the one event in work, and every draw comes from `rng`, so that the same
    events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.now_ms = self.started_at_ms = now
        self.actions: list[api.Action] = []
        self.latency_objective_ms = min(
            [c.latency_objective_ms for c in settings.request_classes], default=MS_PER_SECOND
        )
        self.timers = TimerQueue()

    def schedule_timer(self, wait: float, question: int | None = None) -> Timer:
        return self.timers.schedule(self.now_ms + max(wait, 0.0), question)

    def finish_event(self) -> list[api.Action]:
        """Ends the event: its actions, with the one timer that is needed outside."""
        if (armed := self.timers.arm(self.now_ms)) is not None:
            self.actions.append(api.SetTimer(*armed))
        return self.actions
