"""Server selection: chooses the server of an attempt, in a time that does not grow with the number of servers."""

from __future__ import annotations

from math import inf

from elderlock.decisions.context import DecisionContext
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.server_health import FULL_VALID_MS
from elderlock.interface import DeduplicationScope, Idempotency
from elderlock.state import OpenRequest, Server
from elderlock.structures.weighted_sampler import WeightedSampler

FULL_SCAN_MAX_SERVERS = 16  # up to this number of servers, the costs of all are compared
SAMPLE_COUNT = 8  # the number of servers that are sampled by weight if there are more
FAULT_COST_FACTOR = 8.0  # a server in a failure domain that fails completely costs more by this multiple of its cost
AVOIDED_COST_FACTOR = 10.0  # multiplies the cost of a server that was tried before or was full for this plan
TIE_BREAK_FRACTION = 0.05  # the random part of a cost, as a fraction of it


class ServerSelector:
    """Selects by the power of d choices (Mitzenmacher, 2001): the cheapest of a few servers that are sampled by weight.

    Invariant: after an attempt that may have run, a retry goes only to servers that the idempotency rule allows; see
    `_retry_candidates`.
    """

    def __init__(self, context: DecisionContext, endpoints: Endpoints) -> None:
        """Create a selector over the candidates of `endpoints`."""
        self.context = context
        self.endpoints = endpoints
        self.cross_zone_penalty = context.settings.routing.cross_zone_penalty

    def choose(self, request: OpenRequest) -> Server | None:
        """Return the server with the least cost for the next attempt, or None if no server may be selected now."""
        self.endpoints.review_due_servers()
        tried_ids = {attempt.server.entry.server_id for attempt in request.attempts}
        best: Server | None = None
        least_cost = inf
        for server in self._pool(request):  # the first of several servers with the least cost is selected
            cost = self.cost(server, request, tried_ids, least_cost)
            if cost < least_cost:
                best = server
                least_cost = cost
        return best

    def _pool(self, request: OpenRequest) -> list[Server]:
        """Return the servers whose costs are compared.

        If the permitted servers are few, or a retry is restricted to a cell, these are all permitted servers. Otherwise
        they are `SAMPLE_COUNT` of them, sampled by weight. If there is a cross-zone penalty, the same number is sampled
        in the limiter's zone, and the cost decides between the zones.
        """
        candidates = self.endpoints.candidates
        permitted = candidates.all
        if request.attempts:
            retry_candidates = self._retry_candidates(request)
            if isinstance(retry_candidates, list):
                return retry_candidates
            permitted = retry_candidates
        if len(permitted) <= FULL_SCAN_MAX_SERVERS:
            return permitted.members()
        rng = self.context.rng
        pool = [permitted.sample(rng) for _ in range(SAMPLE_COUNT)]
        if self.cross_zone_penalty and permitted is candidates.all:
            own_zone = candidates.by_zone.get(self.context.settings.zone)
            if own_zone:
                pool += [own_zone.sample(rng) for _ in range(SAMPLE_COUNT)]
        return pool

    def _retry_candidates(self, request: OpenRequest) -> WeightedSampler | list[Server]:
        """Return the candidates that the idempotency rule permits for a retry of a request.

        The idempotency rule for a request that may have run:

        - If its class is idempotent, it may be sent to any server.
        - If its class has an idempotency key, it may be sent within the deduplication scope (the zone or the cell of
          the first attempt that may have run, or all servers) and within the deduplication window.
        - Otherwise it may not be sent again.
        """
        candidates = self.endpoints.candidates
        request_class = request.request_class
        attempts_that_may_have_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        if not attempts_that_may_have_run or request_class.idempotency is Idempotency.IDEMPOTENT:
            return candidates.all
        first = attempts_that_may_have_run[0]
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT or not self._is_deduplicated(
            request_class.deduplication_window_ms, first.sent_at_ms
        ):
            return []
        entry = first.server.entry
        if request_class.deduplication_scope is DeduplicationScope.CELL:
            return list(candidates.by_cell.get(entry.cell, ()))
        if request_class.deduplication_scope is DeduplicationScope.ZONE:
            return candidates.by_zone.get(entry.zone, [])
        return candidates.all

    def _is_deduplicated(self, window_ms: float, first_sent_at_ms: float) -> bool:
        """Return whether an attempt that is sent now reaches its server within the deduplication window.

        Args:
            window_ms: The time for which the servers store an idempotency key.
            first_sent_at_ms: The time at which the first attempt that may have run was sent.
        """
        settings = self.context.settings
        usable_ms = window_ms - settings.clock_tick_ms - settings.capabilities.connect_timeout_ms
        return self.context.now_ms - first_sent_at_ms < usable_ms

    def cost(self, server: Server, request: OpenRequest, tried_ids: set[str], least_cost: float = inf) -> float:
        """Return the cost of sending an attempt to a server.

        The cost is the expected latency ratio multiplied by the attempts in flight there plus one. A server in another
        zone has `cross_zone_penalty` added to its ratio. If a server has not answered for longer than its ratio
        predicts, that time gives the ratio. The cost rises with the server's suspicion, with an earlier attempt of the
        request at the server, and if the server was full for the plan.

        Args:
            server: The server.
            request: The request that the attempt is for.
            tried_ids: The ids of the servers that earlier attempts of the request were sent to.
            least_cost: The least cost found so far; the result is infinite for a server that cannot cost less.
        """
        context = self.context
        load = 1.0 + len(server.in_flight)
        health = self.endpoints.health
        latency_ratio = health.latency_ratio(server)
        if self.cross_zone_penalty and server.entry.zone != context.settings.zone:
            latency_ratio += self.cross_zone_penalty
        if latency_ratio * load >= least_cost:
            return inf
        if server.in_flight:
            latency_ratio = max(latency_ratio, server.unanswered_ms(context.now_ms) / context.latency_objective_ms)
        suspicion = 0.0
        if health.failure_fraction_by_domain or server.error_fraction:
            suspicion = health.suspicion(server)
        cost = (
            latency_ratio * load * (1.0 + FAULT_COST_FACTOR * suspicion**2 + TIE_BREAK_FRACTION * context.rng.random())
        )
        if (server.full_plan_bits and self._was_full(server, request)) or (
            tried_ids and server.entry.server_id in tried_ids
        ):
            return cost * AVOIDED_COST_FACTOR
        return cost

    def _was_full(self, server: Server, request: OpenRequest) -> bool:
        """Return whether the server recently had no capacity for the request's plan."""
        is_full = server.full_plan_bits >> request.arrival.plan_index & 1
        return bool(is_full) and self.context.now_ms - server.full_at_ms < FULL_VALID_MS
