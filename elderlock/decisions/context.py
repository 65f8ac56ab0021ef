"""State shared by the parts of one limiter's decisions.

The context holds the settings, the time and the actions of the event being handled, the timers and the random numbers.
"""

from __future__ import annotations

import random

from elderlock import interface as api
from elderlock.structures.timer_queue import Timer, TimerQueue

MS_PER_SECOND = 1000.0


class DecisionContext:
    """What all decisions of one limiter share.

    Invariant: `now_ms` and `actions` belong to the one event being handled, and every random number comes from `rng`,
    so that the same events give the same actions.

    Attributes:
        settings: The limiter's settings.
        rng: The only source of random numbers for decisions.
        now_ms: Time of the event being handled.
        started_at_ms: Time at which the limiter was started.
        actions: The actions of the event being handled, in the order in which they are to be carried out.
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
            query_id: The query whose answer is awaited; None for periodic maintenance.

        Returns:
            The timer, which can be cancelled.
        """
        return self.timers.schedule(self.now_ms + max(delay_ms, 0.0), query_id)

    def finish_event(self) -> list[api.Action]:
        """Return the event's actions, with the one timer that the I/O layer has to set, if any."""
        armed = self.timers.arm(self.now_ms)
        if armed is not None:
            self.actions.append(api.SetTimer(*armed))
        return self.actions
