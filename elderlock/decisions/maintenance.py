"""The periodic work of a limiter: it updates rates and the throttle, and removes expired state."""

from __future__ import annotations

from math import exp

from elderlock import interface as api
from elderlock.decisions.admission import MIN_MAINTENANCE_INTERVAL_MS, Admission, PeriodCounts
from elderlock.decisions.context import MS_PER_SECOND
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.quotas import RATE_AVERAGING_MS, RATE_AVERAGING_SENDS
from elderlock.decisions.throttle import CONTROL_PERIOD_MS
from elderlock.state import ThrottlePhase

MAX_MAINTENANCE_INTERVAL_MS = 250.0
INTERVAL_DECAY = 0.75  # with GAP_DIVISOR, the interval moves a quarter of the way to a quarter of the request gap
GAP_DIVISOR = 16
MIN_LEAK_ANSWER_RATE_FRACTION = 0.7  # of the rate of timely answers, which the servers can handle: limits rate cuts
MAX_LEAK_DEMAND_RATIO = 1.2  # MaxLeakRate as a multiple of the peak demand; above it the bucket limits nothing
PEAK_DECAY = 0.95  # multiplies the peak demand once per control period
MIN_RATE_PER_S = 0.1  # avoids a division by 0


class Maintenance:
    """Does the periodic work of a limiter, in rounds at intervals of about 50 to 250 ms.

    Invariant: exactly one timer without a query id is scheduled, the timer of the next round.

    Attributes:
        admit_rate_per_s: The first attempts per second in the last control period.
        answer_rate_per_s: The moving average of the successful answers per second within their latency objective.
        peak_demand_per_s: The decaying maximum of the rate of requests within their quota.
    """

    def __init__(self, admission: Admission, endpoints: Endpoints) -> None:
        """Start without knowledge of rates."""
        self._context = admission.context
        self._admission = admission
        self._attempts = admission.attempts
        self._throttle = admission.throttle
        self._load_estimator = admission.attempts.load_estimator
        self._quotas = admission.attempts.quotas
        self._quota_coordinator = admission.quota_coordinator
        self._endpoints = endpoints
        self._rates_updated_at_ms = self._context.now_ms
        self._round_started_at_ms = self._context.now_ms
        self.admit_rate_per_s = 0.0
        self.answer_rate_per_s = 0.0
        self.peak_demand_per_s = 0.0

    def schedule_first_round(self) -> None:
        """Schedule the first round at a random time, so that the rounds of the limiters are not synchronised."""
        self._context.schedule_timer(MIN_MAINTENANCE_INTERVAL_MS * self._context.rng.random())

    def period_elapsed_ms(self) -> float:
        """Return the time since the end of the last control period."""
        return self._context.now_ms - self._rates_updated_at_ms

    def begin_round(self) -> None:
        """Schedule the next round and retry the requests that wait for a server."""
        self._context.schedule_timer(self._admission.maintenance_interval_ms)
        self._admission.retry_waiting()

    def finish_round(self) -> None:
        """Update the throttle, send the usage reports that are due, and refresh the server list if necessary."""
        now_ms = self._context.now_ms
        elapsed_ms = now_ms - self._round_started_at_ms
        self._round_started_at_ms = now_ms
        self._update_throttle()
        self._quota_coordinator.maintain(elapsed_ms)
        self._refresh_server_list()

    def end_control_period(self, elapsed_s: float) -> None:
        """Compute the rates of the control period, which lasted `elapsed_s` seconds, and remove expired state."""
        counts = self._admission.take_period_counts()
        self._update_rates(counts, elapsed_s)
        self._update_interval(counts, elapsed_s)
        self._endpoints.update_rates(self.answer_rate_per_s)
        self._quotas.expire_accounts()
        self._quota_coordinator.expire_ledgers()
        self._endpoints.directory.forget_removed()

    def _update_rates(self, counts: PeriodCounts, elapsed_s: float) -> None:
        now_ms = self._context.now_ms
        self._rates_updated_at_ms = now_ms
        self.admit_rate_per_s = counts.admitted / elapsed_s
        self.peak_demand_per_s = max(counts.offered / elapsed_s, PEAK_DECAY * self.peak_demand_per_s)
        period_rate_per_s = self._attempts.take_timely_answer_count() / elapsed_s
        rate_per_s = max(self.answer_rate_per_s, period_rate_per_s, MIN_RATE_PER_S)
        averaging_s = max(RATE_AVERAGING_MS / MS_PER_SECOND, 2 * RATE_AVERAGING_SENDS / rate_per_s)
        # Right after the start, the average is taken over the time since the start.
        since_start_fraction = elapsed_s * MS_PER_SECOND / (now_ms - self._context.started_at_ms)
        weight = max(1.0 - exp(-elapsed_s / averaging_s), since_start_fraction)
        self.answer_rate_per_s += weight * (period_rate_per_s - self.answer_rate_per_s)

    def _update_interval(self, counts: PeriodCounts, elapsed_s: float) -> None:
        """Lengthen the interval between rounds if there are few requests, so that an idle limiter rarely wakes up."""
        gap_ms = MS_PER_SECOND / max(counts.arrivals / elapsed_s, MIN_RATE_PER_S)
        interval_ms = INTERVAL_DECAY * self._admission.maintenance_interval_ms + gap_ms / GAP_DIVISOR
        self._admission.maintenance_interval_ms = min(
            max(MIN_MAINTENANCE_INTERVAL_MS, interval_ms), MAX_MAINTENANCE_INTERVAL_MS
        )

    def _update_throttle(self) -> None:
        """Run the control adaptor of ETSI ES 283 039-4, and log the start and the end of throttling."""
        context = self._context
        throttle = self._throttle
        if context.now_ms - context.started_at_ms < 2 * CONTROL_PERIOD_MS:
            return  # The rate of answers is not known yet, so throttling would start at the minimum rate.
        load_estimator = self._load_estimator
        server_count = load_estimator.ready_server_count
        phase_before = throttle.phase
        load_level = load_estimator.load_level()
        throttle.max_leak_rate_per_s = MAX_LEAK_DEMAND_RATIO * self.peak_demand_per_s
        throttle.min_leak_rate_per_s = max(
            load_estimator.min_rate_per_server * server_count, MIN_LEAK_ANSWER_RATE_FRACTION * self.answer_rate_per_s
        )
        entry_rate_per_s = max(self.answer_rate_per_s, load_estimator.entry_rate_per_server * server_count)
        throttle.update(load_level, self.admit_rate_per_s, entry_rate_per_s, context.now_ms)
        if throttle.phase is not phase_before and ThrottlePhase.NOT_OVERLOADED in (phase_before, throttle.phase):
            verb = "ends" if throttle.phase is ThrottlePhase.NOT_OVERLOADED else "starts"
            figures = f"load_level {load_level:.2f}, leak_rate {throttle.leak_rate_per_s:.1f}/s"
            context.actions.append(api.Log(f"throttling {verb}: {figures}"))

    def _refresh_server_list(self) -> None:
        """Request the server list when it reaches half of the maximum age that the service rules allow."""
        context = self._context
        endpoints = self._endpoints
        max_age_ms = context.settings.rules.list_refresh_within_ms / 2
        if context.settings.subscribes_to_list and context.now_ms - endpoints.list_requested_at_ms >= max_age_ms:
            endpoints.list_requested_at_ms = context.now_ms
            context.actions += [api.Subscribe(True), api.FetchServerList()]
