"""Endpoints: the servers that may be selected for an attempt."""

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
    """The next review of a server that is warming up; `sequence_number` keeps reviews of the same time in order."""

    due_at_ms: float
    sequence_number: int
    server: Server


class Endpoints:
    """The servers of the latest list, and those of them that may be selected.

    Invariant: `candidates` holds exactly the servers that may be sent a new attempt now. These are running by the
    latest list, in this limiter's subset, not ejected, not on probation with an attempt in flight, and within their
    warm-up budget. An update touches only the servers that changed; all servers are visited only after a complete list
    or a change of the subset's size.

    Attributes:
        directory: The servers of the server lists.
        servers: All known servers by id.
        candidates: The servers that may be selected, with their weights.
        subsetting: Chooses the servers that this limiter connects to.
        outlier_detector: Ejects servers that fail.
        slow_start: Limits the attempts to servers that are warming up.
        health: Averages over the outcomes of attempts.
        usable_count_by_rank: The number of ready servers that are not ejected, by this limiter's rank for them.
        review_queue: The reviews of the servers that are warming up, as a heap by their due time.
        list_requested_at_ms: The time at which the server list was last requested or received.
    """

    def __init__(self, context: DecisionContext, load_estimator: LoadEstimator, quotas: Quotas) -> None:
        """Start without servers."""
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
        """Apply a server list; a refused one changes nothing."""
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
        """Return the number of servers that may get new work by the latest list."""
        return len(self.directory.ready)

    def update_subset(self) -> None:
        """Adjust the size of the subset, and update all ready servers if it changes."""
        if self.subsetting.update(self.usable_count_by_rank):
            for server in self.directory.ready.values():
                self.update_candidate(server)

    # The candidates

    def is_selectable(self, server: Server) -> bool:
        """Return whether a server may be sent a new attempt now."""
        return server in self.candidates.all

    def update_candidate(self, server: Server) -> None:
        """Add a server to the candidates, change its weight or remove it, after a change of the server's state."""
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
        """Count a server as usable after it has joined or its ejection has ended."""
        self.usable_count_by_rank[self.subsetting.rank(server.entry.server_id)] += 1
        self.update_candidate(server)

    def update_ejection(self, server: Server, was_ejected: bool) -> None:
        """Update the usable count and the candidates for a server that may have been ejected or reinstated.

        Args:
            server: The server.
            was_ejected: Whether it was ejected before.
        """
        rank = self.subsetting.rank(server.entry.server_id)
        self.usable_count_by_rank[rank] += was_ejected - server.is_ejected
        self.update_candidate(server)

    def _schedule_review(self, server: Server, delay_ms: float) -> None:
        server.awaits_review = True
        self._last_review_number += 1
        due_at_ms = self.context.now_ms + delay_ms
        heapq.heappush(self.review_queue, _Review(due_at_ms, self._last_review_number, server))

    def review_due_servers(self) -> None:
        """Update the candidates before a selection, as warm-up budgets grow and ejections end with time."""
        while self.review_queue and self.review_queue[0].due_at_ms <= self.context.now_ms:
            server = heapq.heappop(self.review_queue).server
            server.awaits_review = False
            self.update_candidate(server)
        for server in self.outlier_detector.reinstate_due():
            self.reinstate(server)

    # Attempts

    def record_attempt(self, server: Server) -> None:
        """Record that an attempt was sent to a server."""
        if self.slow_start.capacity_fraction(server) < 1.0 or server.is_on_probation:
            self.slow_start.record_attempt(server)
            self.update_candidate(server)

    def record_outcome(self, server: Server, request: OpenRequest, event: api.AttemptEnded) -> None:
        """Record the end of an attempt, and eject or reinstate the server if necessary."""
        server.in_flight.pop((event.request_id, event.attempt_index), None)
        has_failed = self.health.record_outcome(server, request, event)
        if server.is_draining or not (has_failed or server.consecutive_failures or server.is_on_probation):
            return
        was_ejected = server.is_ejected
        if has_failed:
            self._record_failure(server)
        elif event.outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):  # the server answered
            self.outlier_detector.record_success(server)
        self.update_ejection(server, was_ejected)

    def _record_failure(self, server: Server) -> None:
        ready_count = self.ready_count()
        ready_weight_milli = self.directory.total_weight_milli
        for reinstated in self.outlier_detector.record_failure(server, ready_count, ready_weight_milli):
            self.reinstate(reinstated)

    # Maintenance

    def update_rates(self, answers_per_s: float) -> None:
        """Do the work that is due once per control period.

        Args:
            answers_per_s: The successful answers per second that this limiter gets from all servers.
        """
        for server in list(self.directory.warming_up.values()):
            if self.slow_start.capacity_fraction(server) >= 1.0:
                self.directory.mark_warm(server)
            self.update_candidate(server)
        if self.subsetting.subset_size:
            self.update_subset()
            for server in self.candidates.all.members():
                self.update_candidate(server)
        warm_weight = self.directory.warm_weight_milli / WEIGHT_UNIT_MILLI
        if warm_weight:
            self.slow_start.warm_answers_per_s = answers_per_s / warm_weight
        self.health.decay_domain_failures()
