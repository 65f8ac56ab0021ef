"""One limiter: events in, actions out; and its upkeep, by which the parts learn of time."""

from __future__ import annotations

from collections.abc import Callable
from math import exp

from elderlock import interface as api
from elderlock.decisions.admission import MIN_MAINTENANCE_INTERVAL_MS, Admission
from elderlock.decisions.attempts import Attempts
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.decisions.quotas import RATE_AVERAGING_MS, RATE_AVERAGING_SENDS
from elderlock.decisions.throttle import CONTROL_PERIOD_MS, Throttle
from elderlock.state import OpenRequest, ThrottlePhase

MIN_LEAK_ANSWER_RATE_FRACTION = (
    0.7  # of what was answered in time lately: that much is borne, and cuts do not overshoot
)
MAX_LEAK_DEMAND_RATIO = 1.2  # MaxLeakRate over the peak of demand: beyond it the bucket no longer binds
MAX_MAINTENANCE_INTERVAL_MS = (
    250.0  # ms between rounds of upkeep at the most: a quarter of the time between two requests
)


class Limiter:
    """`handle(event, now)` returns the actions; it holds no clock and does no I/O."""

    def __init__(
        self, settings: api.Settings, seed: int, now: float, source: type[QuotaCoordinator] = QuotaCoordinator
    ) -> None:
        core = self.context = DecisionContext(settings, seed, now)
        self.requests: dict[str, OpenRequest] = {}
        self.throttle = Throttle(core.rng, now)
        self.load_estimator, self.quotas = LoadEstimator(core), source.quotas_class(core)
        self.endpoints = Endpoints(core, self.load_estimator, self.quotas)
        self.attempts = Attempts(core, self.load_estimator, self.quotas, self.endpoints, self.requests)
        self.admission = Admission(
            core, self.throttle, self.load_estimator, self.quotas, self.attempts, self.requests, source
        )
        self.quota_coordinator = self.admission.quota_coordinator
        self.rates_updated_at_ms = self.maintained_at_ms = now
        self.admit_rate_per_s = self.answer_rate_per_s = self.peak_demand_per_s = 0.0
        self.handlers: dict[type, Callable[..., None]] = {
            api.RequestArrived: self.admission.handle_arrival,
            api.PermitRequested: self.admission.handle_arrival,
            api.AttemptEnded: self.attempts.handle_attempt_end,
            api.TimerFired: self._handle_timer,
            api.ServerList: self.endpoints.apply_server_list,
            api.PeerMessage: self.quota_coordinator.handle_peer_message,
            api.CounterAnswered: self.quota_coordinator.handle_counter_answer,
            api.ClientDisconnected: self._handle_client_disconnect,
            api.StreamStarted: self._handle_stream_start,
        }

    # Events

    def start(self, now: float) -> list[api.Action]:
        core = self.context
        core.now_ms, core.actions = now, [api.Subscribe(True)] if core.settings.subscribes_to_list else []
        core.schedule_timer(MIN_MAINTENANCE_INTERVAL_MS * core.rng.random())
        return core.finish_event()

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        core = self.context
        core.now_ms, core.actions = now, []
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return core.finish_event()

    def _handle_timer(self, event: api.TimerFired) -> None:
        for timer in self.context.timers.pop_due(event.token, self.context.now_ms):
            if timer.query_id is None:
                self.maintain()
            else:
                self.quota_coordinator.handle_query_timeout(timer.query_id)

    def _handle_stream_start(self, event: api.StreamStarted) -> None:
        if event.request_id in self.requests:
            self.requests[event.request_id].is_streaming = True

    def _handle_client_disconnect(self, event: api.ClientDisconnected) -> None:
        if event.request_id in self.requests:
            self.attempts.finish(self.requests[event.request_id])

    # Upkeep

    def maintain(self) -> None:
        core, boxes = self.context, self.endpoints
        core.schedule_timer(self.admission.maintenance_interval_ms)
        elapsed, self.maintained_at_ms = core.now_ms - self.maintained_at_ms, core.now_ms
        self.admission.retry_waiting()
        if core.now_ms - self.rates_updated_at_ms >= CONTROL_PERIOD_MS:
            self.end_control_period((core.now_ms - self.rates_updated_at_ms) / MS_PER_SECOND)
        self._control()
        self.quota_coordinator.maintain(elapsed)
        if (
            core.settings.subscribes_to_list
            and core.now_ms - boxes.list_requested_at_ms >= core.settings.rules.list_refresh_within_ms / 2
        ):
            boxes.list_requested_at_ms = core.now_ms  # well before old news would count against the drain rule
            core.actions += [api.Subscribe(True), api.FetchServerList()]

    def end_control_period(self, elapsed: float) -> None:
        """The rates of the control period that has passed; `elapsed` in s."""
        core, admission, attempts = self.context, self.admission, self.attempts
        self.rates_updated_at_ms, self.admit_rate_per_s = core.now_ms, admission.admitted / elapsed
        self.peak_demand_per_s = max(admission.offered / elapsed, 0.95 * self.peak_demand_per_s)
        rate = max(self.answer_rate_per_s, attempts.timely_answer_count / elapsed, 0.1)
        span = max(RATE_AVERAGING_MS / MS_PER_SECOND, 2 * RATE_AVERAGING_SENDS / rate)
        weight = max(1.0 - exp(-elapsed / span), elapsed * MS_PER_SECOND / (core.now_ms - core.started_at_ms))
        self.answer_rate_per_s += weight * (attempts.timely_answer_count / elapsed - self.answer_rate_per_s)
        gap = MS_PER_SECOND / max(admission.arrivals / elapsed, 0.1)
        admission.maintenance_interval_ms = min(
            max(MIN_MAINTENANCE_INTERVAL_MS, 0.75 * admission.maintenance_interval_ms + gap / 16),
            MAX_MAINTENANCE_INTERVAL_MS,
        )
        admission.offered = admission.admitted = admission.arrivals = attempts.timely_answer_count = 0
        self.endpoints.update_rates(self.answer_rate_per_s)
        self.quotas.expire_accounts()
        self.quota_coordinator.expire_ledgers()
        self.endpoints.directory.forget_removed()

    def _control(self) -> None:
        """The design's control adaptor, looked at each tick."""
        core, throttle = self.context, self.throttle
        if core.now_ms - core.started_at_ms < 2 * CONTROL_PERIOD_MS:
            return  # what is borne is not seen yet: an entry now would be at the least rate
        before, level, ready = throttle.phase, self.load_estimator.load_level(), self.load_estimator.ready_server_count
        throttle.max_leak_rate_per_s = MAX_LEAK_DEMAND_RATIO * self.peak_demand_per_s
        throttle.min_leak_rate_per_s = max(
            self.load_estimator.min_rate_per_server * ready, MIN_LEAK_ANSWER_RATE_FRACTION * self.answer_rate_per_s
        )
        throttle.update(
            level,
            self.admit_rate_per_s,
            max(self.answer_rate_per_s, self.load_estimator.entry_rate_per_server * ready),
            core.now_ms,
        )
        after = throttle.phase
        if before is not after and ThrottlePhase.NOT_OVERLOADED in (before, after):
            verb = "ends" if after is ThrottlePhase.NOT_OVERLOADED else "starts"
            shown = f"load_level {level:.2f}, leak_rate {throttle.leak_rate_per_s:.1f}/s"
            core.actions.append(api.Log(f"throttling {verb}: {shown}"))
