"""Server health: averages over the outcomes of attempts, for each server and for the failure domains of servers."""

from __future__ import annotations

from math import exp

from elderlock import interface as api
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.load_estimator import SAMPLE_LIFETIME_MS, LoadEstimator
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.throttle import GOAL_LOAD_LEVEL
from elderlock.interface import Outcome
from elderlock.state import NEVER_MS, OpenRequest, Server

LATENCY_SAMPLE_WEIGHT = 0.15  # the weight of one answer in a moving average
EVIDENCE_DECAY_MS = 5000.0  # the time constant with which a server's latency and errors decay
FULL_VALID_MS = 8000.0  # the time for which a FULL outcome counts against a server for a plan
FAILURE_LATENCY_RATIO = 4.0  # a failure counts as at least this latency ratio
DOMAIN_DECAY_FACTOR = 0.8  # multiplies the failure fraction of a domain once per control period
MIN_DOMAIN_FRACTION = 1e-3  # a failure domain with a lower failure fraction counts as healthy


class ServerHealth:
    """Moving averages over the outcomes of attempts.

    A latency ratio is a latency divided by the latency objective of the request's class. A failure domain is a zone, a
    kind or a cell of servers.

    Invariant: of these averages, an outcome changes only those of its server, the server's kind and its failure
    domains.

    Attributes:
        context: The state that the limiter's components share.
        load_estimator: Gets the latency samples.
        quotas: Gets the mean latency.
        failure_fraction_by_domain: The moving average of the fraction of failures, for each failure domain with recent
            failures.
    """

    def __init__(self, context: DecisionContext, load_estimator: LoadEstimator, quotas: Quotas) -> None:
        """Start without outcomes."""
        self.context = context
        self.load_estimator = load_estimator
        self.quotas = quotas
        self.failure_fraction_by_domain: dict[tuple[str, int], float] = {}
        self._latency_ratio_by_kind: dict[int, float] = {}
        self._full_at_ms_by_plan: dict[int, float] = {}

    # Averages

    def latency_ratio(self, server: Server) -> float:
        """Return the expected latency ratio: the server's average, which decays to that of its kind with its age."""
        kind_average = self._latency_ratio_by_kind.get(server.entry.kind, GOAL_LOAD_LEVEL / 2)
        recency = exp((server.latency_ratio_at_ms - self.context.now_ms) / EVIDENCE_DECAY_MS)
        return kind_average + recency * (server.latency_ratio - kind_average)

    def error_fraction(self, server: Server) -> float:
        """Return the average fraction of a server's answers that were errors, decayed by its age."""
        return server.error_fraction * exp((server.error_fraction_at_ms - self.context.now_ms) / EVIDENCE_DECAY_MS)

    def suspicion(self, server: Server) -> float:
        """Return the largest of a server's error fraction and the failure fractions of its failure domains."""
        suspicion = self.error_fraction(server) if server.error_fraction else 0.0
        fractions = self.failure_fraction_by_domain
        if fractions:
            for domain in server.failure_domains():
                suspicion = max(suspicion, fractions.get(domain, 0.0))
        return suspicion

    # Outcomes

    def record_outcome(self, server: Server, request: OpenRequest, event: api.AttemptEnded) -> bool:
        """Record the outcome of an attempt.

        Args:
            server: The server that the attempt went to.
            request: The request that the attempt was for.
            event: The end of the attempt.

        Returns:
            Whether the server could not be reached. An error answer does not count as such a failure.
        """
        match event.outcome:
            case Outcome.OK:
                self._record_ok(server, request, event.duration_ms)
            case Outcome.ERROR:
                self._record_error_fraction(server, 1.0)
            case Outcome.FULL:
                self._record_full(server, request, event.duration_ms)
            case Outcome.TIMEOUT:
                return self._record_timeout(server, request, event.duration_ms)
            case Outcome.RESET | Outcome.CONNECT_FAILED:
                self._record_connection_failure(server, request, event.duration_ms)
                return True
        return False

    def _record_ok(self, server: Server, request: OpenRequest, duration_ms: float) -> None:
        """Record a successful answer; the latency of a stream is no sample, as the client decides how long it lasts."""
        self._record_error_fraction(server, 0.0)
        server.answered_at_ms = self.context.now_ms
        server.full_plan_bits &= ~(1 << request.arrival.plan_index)
        ratio = duration_ms / request.request_class.latency_objective_ms
        kind_average = self._latency_ratio_by_kind.get(server.entry.kind, ratio)
        kind_average += LATENCY_SAMPLE_WEIGHT / 2 * (ratio - kind_average)
        self._latency_ratio_by_kind[server.entry.kind] = kind_average
        self.quotas.mean_latency_ms += LATENCY_SAMPLE_WEIGHT / 2 * (duration_ms - self.quotas.mean_latency_ms)
        self._record_domain_failure(server, 0.0)
        if not request.is_streaming:
            ratio = max(ratio, 0.0)
            self._record_latency_ratio(server, ratio, LATENCY_SAMPLE_WEIGHT)
            self.load_estimator.add_sample(ratio)

    def _record_full(self, server: Server, request: OpenRequest, duration_ms: float) -> None:
        """Record that a server had no capacity for a plan.

        This counts as load only if other plans were rejected recently too, or there is only one plan. Otherwise the
        server limits this one plan, whose requests are then sent to other servers.
        """
        now_ms = self.context.now_ms
        plan_index = request.arrival.plan_index
        server.full_plan_bits |= 1 << plan_index
        server.full_at_ms = now_ms
        server.answered_at_ms = now_ms
        self._full_at_ms_by_plan[plan_index] = now_ms
        others_full_at_ms = [at_ms for other, at_ms in self._full_at_ms_by_plan.items() if other != plan_index]
        is_only_plan = len(self.context.settings.plans) == 1
        if is_only_plan or now_ms - max(others_full_at_ms, default=NEVER_MS) < SAMPLE_LIFETIME_MS:
            ratio = max(duration_ms / request.request_class.latency_objective_ms, 1.0)
            self._record_latency_ratio(server, ratio, LATENCY_SAMPLE_WEIGHT)
            self.load_estimator.add_sample(ratio)

    def _record_timeout(self, server: Server, request: OpenRequest, duration_ms: float) -> bool:
        """Record a timeout and return whether it is a failure.

        A server that answered other attempts while this one waited is slow but reachable. If its timeouts counted as
        failures, all limiters would eject an overloaded server, and its load would then overload the next server.
        """
        is_silent = server.answered_at_ms <= self.context.now_ms - duration_ms
        ratio = max(duration_ms / request.request_class.latency_objective_ms, 1.0)
        if is_silent:
            self._record_domain_failure(server, 1.0)
            self._record_latency_ratio(server, max(ratio, FAILURE_LATENCY_RATIO), 2 * LATENCY_SAMPLE_WEIGHT)
        else:
            self._record_latency_ratio(server, ratio, LATENCY_SAMPLE_WEIGHT)
        self.load_estimator.add_sample(ratio)
        return is_silent

    def _record_connection_failure(self, server: Server, request: OpenRequest, duration_ms: float) -> None:
        """Record that a connection could not be opened or was lost; this gives no load sample."""
        self._record_domain_failure(server, 1.0)
        ratio = max(duration_ms / request.request_class.latency_objective_ms, FAILURE_LATENCY_RATIO)
        self._record_latency_ratio(server, ratio, 2 * LATENCY_SAMPLE_WEIGHT)

    def record_peer_error(self, server: Server) -> None:
        """Record an error that a server returned to another limiter as if this limiter had got it."""
        server.error_fraction += 2 * LATENCY_SAMPLE_WEIGHT * (1.0 - server.error_fraction)
        server.error_fraction_at_ms = self.context.now_ms

    def record_peer_success(self, server: Server) -> None:
        """Record a successful answer of a server to another limiter as if this limiter had got it."""
        server.error_fraction *= 1.0 - 2 * LATENCY_SAMPLE_WEIGHT

    # Updates of the averages

    def _record_error_fraction(self, server: Server, sample: float) -> None:
        """Add an answer to the average of the error fraction: 1 for an error, 0 for a successful answer.

        Errors are not latency samples, as their latency says nothing about the server's speed. If they were, and all
        servers returned some errors, only the servers whose last error is longest ago would get requests, and these few
        would be overloaded.
        """
        average = self.error_fraction(server)
        server.error_fraction = average + 2 * LATENCY_SAMPLE_WEIGHT * (sample - average)
        server.error_fraction_at_ms = self.context.now_ms

    def _record_latency_ratio(self, server: Server, sample: float, sample_weight: float) -> None:
        average = self.latency_ratio(server)
        server.latency_ratio_at_ms = self.context.now_ms
        server.latency_ratio = average + sample_weight * (sample - average)

    def _record_domain_failure(self, server: Server, sample: float) -> None:
        """Add an outcome to the averages of the server's failure domains: 1 for a failure, 0 for a successful answer.

        A domain without failures has no entry, which saves its lookup in each server selection.
        """
        fractions = self.failure_fraction_by_domain
        for domain in server.failure_domains():
            average = fractions.get(domain, 0.0)
            if sample or average:
                fractions[domain] = average + 2 * LATENCY_SAMPLE_WEIGHT * (sample - average)

    def decay_domain_failures(self) -> None:
        """Decay the failure fractions of the domains; called once per control period."""
        if self.failure_fraction_by_domain:
            self.failure_fraction_by_domain = {
                domain: DOMAIN_DECAY_FACTOR * fraction
                for domain, fraction in self.failure_fraction_by_domain.items()
                if fraction > MIN_DOMAIN_FRACTION
            }
