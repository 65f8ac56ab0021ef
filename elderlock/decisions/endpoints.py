"""Endpoints: which servers may be selected for an attempt."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from elderlock import interface as api
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.outlier_detection import OutlierDetector
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.server_health import ServerHealth
from elderlock.decisions.slow_start import SlowStart
from elderlock.decisions.subsetting import Subsetting
from elderlock.interface import ListKind, Outcome
from elderlock.state import OpenRequest, Server
from elderlock.structures.candidate_set import CandidateSet
from elderlock.structures.server_directory import WEIGHT_UNIT_MILLI, ServerDirectory


class _Review(NamedTuple):
    """When a server that is warming up is looked at again; `sequence_number` keeps equal times in order."""

    due_at_ms: float
    sequence_number: int
    server: Server


class Endpoints:
    """The servers of the latest list, and those of them that may be selected.

    Invariant: `candidates` holds just the servers that may be sent a new attempt now: running by the latest list, in
    this limiter's subset, not ejected, not on probation with an attempt in flight, and within their warm-up budget.
    Only what changes is looked at: no step walks all servers but one that a complete list or a new size of the subset
    calls for.

    Attributes:
        directory: The servers as the lists name them.
        servers: All known servers by id.
        candidates: The servers that may be selected, with their weights.
        subsetting: Which servers this limiter connects to.
        outlier_detector: Which servers are ejected.
        slow_start: What a server that is warming up may get.
        health: What the outcomes of attempts tell of the servers.
        usable_count_by_rank: How many ready servers are not ejected, by this limiter's rank for them.
        review_queue: The servers that are warming up, as a heap by the time of their next review.
        list_requested_at_ms: When the server list was last asked for or received.
    """

    def __init__(self, context: DecisionContext, load_estimator: LoadEstimator, quotas: Quotas) -> None:
        """Create an empty set of servers."""
        self.context = context
        self.load_estimator = load_estimator
        settings = context.settings
        self.subsetting = Subsetting(settings.limiter_index, settings.limiter_count, settings.routing.subset_size)
        self.outlier_detector = OutlierDetector(context)
        self.slow_start = SlowStart(context, load_estimator, self.subsetting)
        self.health = ServerHealth(context, load_estimator, quotas)
        self.directory = ServerDirectory(settings.rules.warm_up_ms)
        self.servers = self.directory.servers
        self.usable_count_by_rank = [0] * settings.limiter_count
        self.candidates = CandidateSet()
        self.review_queue: list[_Review] = []
        self.list_requested_at_ms = context.now_ms
        self._last_review_number = 0

    # The server list

    def apply_server_list(self, event: api.ServerList) -> None:
        """Take over a server list; a refused one changes nothing."""
        if event.kind is ListKind.REFUSED:
            return
        self.list_requested_at_ms = self.context.now_ms
        changes = self.directory.apply(event, self.context.now_ms, self.context.rng)
        for server in changes.left:
            self._remove(server)
        for server in changes.joined:
            self.subsetting.add(server.entry.server_id, server.weight_milli)
            self.reinstate(server)
        for server in self.outlier_detector.reinstate_excess(self.directory.total_weight_milli):
            self.reinstate(server)
        self.update_subset()
        self.load_estimator.ready_server_count = self.ready_count()

    def _remove(self, server: Server) -> None:
        server_id = server.entry.server_id
        self.usable_count_by_rank[self.subsetting.rank(server_id)] -= not server.is_ejected
        self.subsetting.remove(server_id)
        self.outlier_detector.forget(server)
        self.candidates.set_weight(server, 0)

    def ready_count(self) -> int:
        """Return how many servers the latest list allows new work for."""
        return len(self.directory.ready)

    def update_subset(self) -> None:
        """Adjust the size of the subset, and reposition all ready servers if it changes."""
        if self.subsetting.update(self.usable_count_by_rank):
            for server in self.directory.ready.values():
                self.reposition(server)

    # The candidates

    def is_selectable(self, server: Server) -> bool:
        """Return whether a server may be sent a new attempt now."""
        return server in self.candidates.all

    def reposition(self, server: Server) -> None:
        """Add a server to the candidates or remove it, after whatever has changed of it."""
        server_id = server.entry.server_id
        weight = 0
        is_barred = server.is_draining or server.is_ejected or (server.is_on_probation and server.in_flight)
        if self.subsetting.includes(server_id) and not is_barred:
            budget = self.slow_start.check_budget(server)
            if budget.allows_attempt:
                weight_milli = server.weight_milli * self.slow_start.capacity_fraction(server)
                weight = self.subsetting.selection_weight(server_id, weight_milli)
            if server_id in self.directory.warming_up and not server.awaits_review:
                self._schedule_review(server, budget.review_after_ms)
        self.candidates.set_weight(server, weight)

    def reinstate(self, server: Server) -> None:
        """Count a server that has joined, or whose ejection has ended, as usable."""
        self.usable_count_by_rank[self.subsetting.rank(server.entry.server_id)] += 1
        self.reposition(server)

    def update_ejection(self, server: Server, was_ejected: bool) -> None:
        """Count and reposition a server that may have been ejected or reinstated.

        Args:
            server: The server.
            was_ejected: Whether it was ejected before.
        """
        rank = self.subsetting.rank(server.entry.server_id)
        self.usable_count_by_rank[rank] += was_ejected - server.is_ejected
        self.reposition(server)

    def _schedule_review(self, server: Server, delay_ms: float) -> None:
        server.awaits_review = True
        self._last_review_number += 1
        due_at_ms = self.context.now_ms + delay_ms
        heapq.heappush(self.review_queue, _Review(due_at_ms, self._last_review_number, server))

    def review_due_servers(self) -> None:
        """Bring the candidates up to date before a selection: warm-up budgets grow, and ejections end."""
        while self.review_queue and self.review_queue[0].due_at_ms <= self.context.now_ms:
            server = heapq.heappop(self.review_queue).server
            server.awaits_review = False
            self.reposition(server)
        for server in self.outlier_detector.reinstate_due():
            self.reinstate(server)

    # Attempts

    def record_attempt(self, server: Server) -> None:
        """Record that an attempt was sent to a server."""
        if self.slow_start.capacity_fraction(server) < 1.0 or server.is_on_probation:
            self.slow_start.record_attempt(server)
            self.reposition(server)

    def record_outcome(self, server: Server, request: OpenRequest, event: api.AttemptEnded) -> None:
        """Record the end of an attempt, and eject or reinstate the server if that is due."""
        server.in_flight.pop((event.request_id, event.attempt_index), None)
        has_failed = self.health.record_outcome(server, request, event)
        if server.is_draining or not (has_failed or server.consecutive_failures or server.is_on_probation):
            return
        was_ejected = server.is_ejected
        if has_failed:
            self._record_failure(server)
        elif event.outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):  # an answer of any kind
            self.outlier_detector.record_success(server)
        self.update_ejection(server, was_ejected)

    def _record_failure(self, server: Server) -> None:
        ready_count = self.ready_count()
        ready_weight_milli = self.directory.total_weight_milli
        for reinstated in self.outlier_detector.record_failure(server, ready_count, ready_weight_milli):
            self.reinstate(reinstated)

    # Maintenance

    def update_rates(self, answers_per_s: float) -> None:
        """Do what is due once a control period.

        Args:
            answers_per_s: Good answers per second to this limiter, over all servers.
        """
        for server in list(self.directory.warming_up.values()):
            if self.slow_start.capacity_fraction(server) >= 1.0:
                self.directory.mark_warm(server)
            self.reposition(server)
        if self.subsetting.subset_size:
            self.update_subset()
            for server in self.candidates.all.members():
                self.reposition(server)
        warm_weight = self.directory.warm_weight_milli / WEIGHT_UNIT_MILLI
        if warm_weight:
            self.slow_start.warm_answers_per_s = answers_per_s / warm_weight
        self.health.decay_domain_failures()
