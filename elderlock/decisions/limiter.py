"""One limiter: events in, actions out; and its upkeep, by which the parts learn of time."""

from __future__ import annotations

from collections.abc import Callable
from math import exp

from elderlock import interface as api
from elderlock.decisions.admission import TICK, Admission
from elderlock.decisions.attempts import Attempts
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.keepers import Keepers
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quotas import RATE_COUNT, RATE_SPAN
from elderlock.decisions.throttle import CONTROL_PERIOD, Throttle
from elderlock.state import OpenRequest, ThrottlePhase

LEAST_OF_ANSWERED = 0.7  # of what was answered in time lately: that much is borne, and cuts do not overshoot
MAX_LEAK_OVER_DEMAND = 1.2  # MaxLeakRate over the peak of demand: beyond it the bucket no longer binds
MOST_TICK = 250.0  # ms between rounds of upkeep at the most: a quarter of the time between two requests


class Limiter:
    """`handle(event, now)` returns the actions; it holds no clock and does no I/O."""

    def __init__(self, settings: api.Settings, seed: int, now: float, source: type[Keepers] = Keepers) -> None:
        core = self.context = DecisionContext(settings, seed, now)
        self.requests: dict[str, OpenRequest] = {}
        self.throttle = Throttle(core.rng, now)
        self.load_estimator, self.quotas = LoadEstimator(core), source.quotas_of(core)
        self.endpoints = Endpoints(core, self.load_estimator, self.quotas)
        self.attempts = Attempts(core, self.load_estimator, self.quotas, self.endpoints, self.requests)
        self.admission = Admission(
            core, self.throttle, self.load_estimator, self.quotas, self.attempts, self.requests, source
        )
        self.keepers = self.admission.keepers
        self.rated_at = self.ticked_at = now
        self.admit_rate = self.answer_rate = self.peak_rate = 0.0
        self.handlers: dict[type, Callable[..., None]] = {
            api.RequestArrived: self.admission.arrived,
            api.PermitRequested: self.admission.arrived,
            api.AttemptEnded: self.attempts.ended,
            api.TimerFired: self._due,
            api.ServerList: self.endpoints.apply_server_list,
            api.PeerMessage: self.keepers.told,
            api.CounterAnswered: self.keepers.counted,
            api.ClientDisconnected: self._gone,
            api.StreamStarted: self._streaming,
        }

    # Events

    def start(self, now: float) -> list[api.Action]:
        core = self.context
        core.now_ms, core.actions = now, [api.Subscribe(True)] if core.settings.subscribes_to_list else []
        core.schedule_timer(TICK * core.rng.random())
        return core.finish_event()

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        core = self.context
        core.now_ms, core.actions = now, []
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return core.finish_event()

    def _due(self, event: api.TimerFired) -> None:
        for timer in self.context.timers.pop_due(event.token, self.context.now_ms):
            if timer.query_id is None:
                self._tick()
            else:
                self.keepers.unanswered(timer.query_id)

    def _streaming(self, event: api.StreamStarted) -> None:
        if event.request_id in self.requests:
            self.requests[event.request_id].is_streaming = True

    def _gone(self, event: api.ClientDisconnected) -> None:
        if event.request_id in self.requests:
            self.attempts.finish(self.requests[event.request_id])

    # Upkeep

    def _tick(self) -> None:
        core, boxes = self.context, self.endpoints
        core.schedule_timer(self.admission.tick)
        elapsed, self.ticked_at = core.now_ms - self.ticked_at, core.now_ms
        self.admission.try_held()
        if core.now_ms - self.rated_at >= CONTROL_PERIOD:
            self._rate((core.now_ms - self.rated_at) / MS_PER_SECOND)
        self._control()
        self.keepers.fill_mail(elapsed)
        self.keepers.report_if_due()
        if (
            core.settings.subscribes_to_list
            and core.now_ms - boxes.list_requested_at_ms >= core.settings.rules.list_refresh_within_ms / 2
        ):
            boxes.list_requested_at_ms = core.now_ms  # well before old news would count against the drain rule
            core.actions += [api.Subscribe(True), api.FetchServerList()]

    def _rate(self, elapsed: float) -> None:
        """The rates of the control period that has passed; `elapsed` in s."""
        core, admission, attempts = self.context, self.admission, self.attempts
        self.rated_at, self.admit_rate = core.now_ms, admission.admitted / elapsed
        self.peak_rate = max(admission.offered / elapsed, 0.95 * self.peak_rate)
        rate = max(self.answer_rate, attempts.answers / elapsed, 0.1)
        span = max(RATE_SPAN / MS_PER_SECOND, 2 * RATE_COUNT / rate)
        weight = max(1.0 - exp(-elapsed / span), elapsed * MS_PER_SECOND / (core.now_ms - core.started_at_ms))
        self.answer_rate += weight * (attempts.answers / elapsed - self.answer_rate)
        gap = MS_PER_SECOND / max(admission.arrivals / elapsed, 0.1)
        admission.tick = min(max(TICK, 0.75 * admission.tick + gap / 16), MOST_TICK)
        admission.offered = admission.admitted = admission.arrivals = attempts.answers = 0
        self.endpoints.update_rates(self.answer_rate)
        self.quotas.age_out()
        self.keepers.age_out()
        self.endpoints.directory.forget_removed()

    def _control(self) -> None:
        """The design's control adaptor, looked at each tick."""
        core, throttle = self.context, self.throttle
        if core.now_ms - core.started_at_ms < 2 * CONTROL_PERIOD:
            return  # what is borne is not seen yet: an entry now would be at the least rate
        before, level, ready = throttle.phase, self.load_estimator.load_level(), self.load_estimator.ready_server_count
        throttle.max_leak_rate = MAX_LEAK_OVER_DEMAND * self.peak_rate
        throttle.least_rate = max(self.load_estimator.least_rate * ready, LEAST_OF_ANSWERED * self.answer_rate)
        throttle.update(
            level, self.admit_rate, max(self.answer_rate, self.load_estimator.entry_rate * ready), core.now_ms
        )
        after = throttle.phase
        if before is not after and ThrottlePhase.NOT_OVERLOADED in (before, after):
            verb = "ends" if after is ThrottlePhase.NOT_OVERLOADED else "starts"
            shown = f"load_level {level:.2f}, leak_rate {throttle.leak_rate:.1f}/s"
            core.actions.append(api.Log(f"throttling {verb}: {shown}"))
