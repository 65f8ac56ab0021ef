"""The state that the components of one limiter share.

The context holds the settings, the time and the actions of the current event, the timers and the random number
generator.
"""

from __future__ import annotations

import random

from elderlock import interface as api
from elderlock.structures.timer_queue import Timer, TimerQueue

MS_PER_SECOND = 1000.0


class DecisionContext:
    """The state that the components of one limiter share.

    Invariant: `now_ms` and `actions` belong to the current event, and every random number comes from `rng`, so that
    the same events give the same actions.

    Attributes:
        settings: The limiter's settings.
        rng: The only source of random numbers for decisions.
        now_ms: The time of the current event.
        started_at_ms: The time at which the limiter was started.
        actions: The actions of the current event, in the order in which the frontend carries them out.
        latency_objective_ms: The shortest latency objective of all request classes.
        timers: The pending timers.
    """

    def __init__(self, settings: api.Settings, seed: int, now_ms: float) -> None:
        """Start at `now_ms` with the random number generator seeded by `seed`."""
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_ms = now_ms
        self.started_at_ms = now_ms
        self.actions: list[api.Action] = []
        self.latency_objective_ms = min(
            [request_class.latency_objective_ms for request_class in settings.request_classes], default=MS_PER_SECOND
        )
        self.timers = TimerQueue()

    def schedule_timer(self, delay_ms: float, query_id: int | None = None) -> Timer:
        """Schedule a timer `delay_ms` from now.

        Args:
            delay_ms: The delay; a negative one counts as 0.
            query_id: The query that times out when the timer fires; None for periodic maintenance.

        Returns:
            The timer, which can be cancelled.
        """
        return self.timers.schedule(self.now_ms + max(delay_ms, 0.0), query_id)

    def finish_event(self) -> list[api.Action]:
        """Return the event's actions, with a `SetTimer` if the frontend has to set a timer."""
        armed = self.timers.arm(self.now_ms)
        if armed is not None:
            self.actions.append(api.SetTimer(*armed))
        return self.actions
