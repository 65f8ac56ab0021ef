"""Choice: which box an attempt goes to, at a cost that does not grow with their number."""

from __future__ import annotations

from math import exp, inf

from elderlock.decisions.context import DecisionContext
from elderlock.decisions.endpoints import FULL_FOR, KNOWN_FOR, Endpoints
from elderlock.interface import DeduplicationScope, Idempotency
from elderlock.state import OpenRequest, Server

WHOLE = 16  # up to so many all are weighed
DRAWN = 8  # of more: the least cost of so many, drawn by weight, leaves no queue that a full look would see
SUSPECT = 8.0  # times the cost of a server whose zone, kind or cell has failed throughout
AVOIDED = 10.0  # times the cost of one that was tried, or told this plan 'full'


class ServerSelector:
    """Invariant: a further attempt of a request that may have run goes only where the second rule lets it."""

    def __init__(self, core: DecisionContext, boxes: Endpoints) -> None:
        self.context, self.endpoints = core, boxes
        self.away = core.settings.routing.cross_zone_penalty

    def choose(self, request: OpenRequest) -> Server | None:
        """The cheapest of those drawn; None where no box may be sent to now."""
        self.endpoints.settle()
        tried = {a.server.entry.server_id for a in request.attempts}
        best, least = None, inf
        for server in self._pool(request):  # the first of the cheapest, as min() would give
            cost = self.cost(server, request, tried, least)
            if cost < least:
                best, least = server, cost
        return best

    def _pool(self, request: OpenRequest) -> list[Server]:
        roster = self.endpoints.candidates
        source = roster.all
        run, rclass = [a for a in request.attempts if a.may_have_run], request.request_class
        if run and rclass.idempotency is not Idempotency.IDEMPOTENT:  # the second rule
            window = (
                rclass.deduplication_window_ms
                - self.context.settings.clock_tick_ms
                - self.context.settings.capabilities.connect_timeout_ms
            )
            if rclass.idempotency is Idempotency.NOT_IDEMPOTENT or self.context.now_ms - run[0].sent_at_ms >= window:
                return []
            first = run[0].server.entry
            if rclass.deduplication_scope is DeduplicationScope.CELL:
                return list(roster.cells.get(first.cell, ()))
            if rclass.deduplication_scope is DeduplicationScope.ZONE:
                if first.zone not in roster.zones:
                    return []
                source = roster.zones[first.zone]
        if len(source) <= WHOLE:
            return source.members()
        rng = self.context.rng
        pool = [source.sample(rng) for _ in range(DRAWN)]
        home = roster.zones.get(self.context.settings.zone) if self.away and source is roster.all else None
        if home:  # as many again at home: the cost says whether one of them is still the better
            pool += [home.sample(rng) for _ in range(DRAWN)]
        return pool

    def cost(self, server: Server, request: OpenRequest, tried: set[str], least: float = inf) -> float:
        """What is zero on a calm day is not computed, nor what would only add to one that is no longer the `least`."""
        core, boxes, under_way = self.context, self.endpoints, 1.0 + len(server.in_flight)
        stretch = boxes.estimate(server)
        if self.away and server.entry.zone != core.settings.zone:
            stretch += self.away
        if stretch * under_way >= least:
            return inf
        suspicion = 0.0
        if server.in_flight:
            stretch = max(stretch, server.unanswered_ms(core.now_ms) / core.latency_objective_ms)
        if boxes.failing:
            suspicion = max(boxes.failing.get(group, 0.0) for group in server.failure_domains())
        if server.error_fraction:
            suspicion = max(
                suspicion, server.error_fraction * exp((server.error_fraction_at_ms - core.now_ms) / KNOWN_FOR)
            )
        cost = stretch * under_way * (1.0 + SUSPECT * suspicion**2 + 0.05 * core.rng.random())
        if server.full_plan_bits >> request.arrival.plan_index & 1 and core.now_ms - server.full_at_ms < FULL_FOR:
            return cost * AVOIDED
        return cost * AVOIDED if tried and server.entry.server_id in tried else cost
