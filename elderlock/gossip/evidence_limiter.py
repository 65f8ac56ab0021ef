"""A limiter that shares health evidence.

It sends the outcomes of its own attempts as rumours. It treats the observations of other limiters like its own, within
the bounds of `health_evidence` and of the outlier detector.
"""

from __future__ import annotations

import random

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.outlier_detection import FAILURES_BEFORE_EJECTION
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.gossip.evidence_messages import (
    UNKNOWN_ZONE,
    EvidenceMessageError,
    Observation,
    ObservationKind,
    decode,
    encode,
    is_evidence,
    server_key,
)
from elderlock.gossip.health_evidence import EJECTION_WEIGHT, FRESH_MS, HealthEvidence
from elderlock.gossip.outlier_sharing import SharedOutlierDetector
from elderlock.gossip.rumours import RumourQueue
from elderlock.interface import Outcome
from elderlock.state import Server

REPORT_INTERVAL_MS = 250.0  # between two own rumours of the same kind on one server
MIN_ERROR_FRACTION = 0.02  # the error fraction of a server above which its successful answers are reported
RUMOUR_SEED_MASK = 0x5E


class EvidenceLimiter(Limiter):
    """A limiter that ejects servers on the evidence of all limiters.

    Invariant: if it has received no evidence from other limiters for `FRESH_MS`, it ejects servers on its own evidence
    alone, as `Limiter` does. An ejection that began earlier continues, for at most `LATER_TRIAL_FACTOR` times its usual
    duration. Evidence ejects no more servers than `OutlierDetector` allows one limiter.

    Attributes:
        evidence: The observations of all limiters.
        rumours: The observations that are still to be sent.
        outlier_detector: The detector that ejects servers.
        received_datagrams: The number of evidence datagrams that were accepted.
        refused_datagrams: The number of evidence datagrams that were malformed or too old.
        sent_datagrams: The number of evidence datagrams that were sent.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now_ms: float,
        coordinator_class: type[QuotaCoordinator] = QuotaCoordinator,
    ) -> None:
        """Start with no evidence; see `Limiter`."""
        super().__init__(settings, seed, now_ms, coordinator_class)
        zone = settings.zone if 0 <= settings.zone < UNKNOWN_ZONE else UNKNOWN_ZONE
        self.evidence = HealthEvidence(settings.limiter_index, zone)
        self.rumours = RumourQueue(
            settings.limiter_index,
            settings.limiter_count,
            settings.quota_sources.peer_messages_per_s,
            random.Random(seed ^ RUMOUR_SEED_MASK),  # so that decisions draw the same numbers as without evidence
            now_ms,
        )
        self.outlier_detector = SharedOutlierDetector(self.context, self._record_own_failure)
        self.endpoints.outlier_detector = self.outlier_detector
        self.received_datagrams = 0
        self.refused_datagrams = 0
        self.sent_datagrams = 0
        self._servers_by_key: dict[int, Server] = {}
        self._reported_at_ms: dict[tuple[int, ObservationKind], float] = {}  # by server key and kind
        self._attempt_began_at_ms = now_ms  # of the attempt whose end is being handled
        self.handlers[api.AttemptEnded] = self._handle_attempt_end
        self.handlers[api.PeerMessage] = self._handle_peer_message
        self.handlers[api.ServerList] = self._handle_server_list

    # Own observations

    def _handle_server_list(self, event: api.ServerList) -> None:
        """Apply a full server list, or changes to it in time proportional to their number."""
        servers = self.endpoints.servers
        server_ids = [entry.server_id for entry in event.entries]
        started_before = {
            server_id: servers[server_id].entry.started_at_ms for server_id in server_ids if server_id in servers
        }
        self.endpoints.apply_server_list(event)
        if event.kind is not api.ListKind.CHANGES:
            self._servers_by_key = {server_key(server_id): server for server_id, server in servers.items()}
        for server_id in server_ids:
            key = server_key(server_id)
            server = servers.get(server_id)
            if server is None:
                self._servers_by_key.pop(key, None)
                continue
            self._servers_by_key[key] = server
            started_at_ms = server.entry.started_at_ms
            if started_before.get(server_id, started_at_ms) != started_at_ms:
                self.evidence.forget(key)

    def _handle_attempt_end(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        server = self.endpoints.servers.get(event.server_id)
        self._attempt_began_at_ms = self.context.now_ms - event.duration_ms
        self.attempts.handle_attempt_end(event)
        if request is None or server is None:
            return
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            self.evidence.record_own_attempt(server_key(event.server_id), self.context.now_ms)
            if event.outcome is Outcome.ERROR:
                self._observe(server, ObservationKind.ERROR)
            elif self._is_answer_relevant(server):
                self._observe(server, ObservationKind.ANSWERED)
        self._send_rumours()

    def _is_answer_relevant(self, server: Server) -> bool:
        """Return whether a successful answer would cancel failures or errors of the server that still count."""
        if server.error_fraction > MIN_ERROR_FRACTION:
            return True
        ready_count = self.endpoints.load_estimator.ready_server_count
        key = server_key(server.entry.server_id)
        return self.evidence.failure_weight(key, ready_count, self.context.now_ms) > 0.0

    def _record_own_failure(self, server: Server) -> None:
        self.evidence.record_own_attempt(server_key(server.entry.server_id), self.context.now_ms)
        self._observe(server, ObservationKind.FAILED)

    def _observe(self, server: Server, kind: ObservationKind) -> None:
        """Record the outcome of the attempt that has ended, and send it as a rumour unless one was sent recently."""
        now_ms = self.context.now_ms
        if self._attempt_began_at_ms < server.entry.started_at_ms:
            return  # the attempt went to an earlier process of the server
        key = server_key(server.entry.server_id)
        limiter_index = self.context.settings.limiter_index
        observation = Observation(key, limiter_index, self.evidence.zone, kind, self._attempt_began_at_ms)
        self.evidence.record(observation, now_ms)
        if now_ms - self._reported_at_ms.get((key, kind), float("-inf")) < REPORT_INTERVAL_MS:
            return
        if kind is ObservationKind.ANSWERED or not self.evidence.is_self_distrusted(now_ms):
            self._reported_at_ms[key, kind] = now_ms
            self.rumours.add(observation)

    # Observations of other limiters

    def _handle_peer_message(self, event: api.PeerMessage) -> None:
        if not is_evidence(event.payload):
            self.quota_coordinator.handle_peer_message(event)
            return
        try:
            observations = decode(event.payload, self.context.now_ms, self.context.settings.limiter_count)
        except EvidenceMessageError:
            self.refused_datagrams += 1
            return
        self.received_datagrams += 1
        self.outlier_detector.heard_at_ms = self.context.now_ms
        ready_count = len(self.endpoints.directory.ready)
        for observation in observations:
            self._learn(observation, ready_count)
        self._send_rumours()

    def _learn(self, observation: Observation, ready_count: int) -> None:
        """Record another limiter's observation; forward and apply it if it is new and its origin is trusted."""
        now_ms = self.context.now_ms
        server = self._servers_by_key.get(observation.server_key)
        if server is None or server.is_removed or observation.began_at_ms < server.entry.started_at_ms:
            return  # the server is not on the list, or the observation is of an earlier process
        is_own = observation.origin_index == self.context.settings.limiter_index
        if is_own or not self.evidence.record(observation, now_ms):
            return
        if self.evidence.is_distrusted(observation.origin_index, ready_count, now_ms):
            return
        self.rumours.add(observation)
        if not server.is_draining:
            self._apply(server, observation, ready_count)

    def _apply(self, server: Server, observation: Observation, ready_count: int) -> None:
        match observation.kind:
            case ObservationKind.FAILED:
                self._weigh_failures(server, ready_count)
            case ObservationKind.ERROR:
                self.endpoints.health.record_peer_error(server)
            case ObservationKind.ANSWERED:
                self.endpoints.health.record_peer_success(server)
                if server.is_ejected and observation.origin_zone == self.evidence.zone:
                    self.outlier_detector.record_success(server)
                    self.endpoints.update_ejection(server, was_ejected=True)

    def _weigh_failures(self, server: Server, ready_count: int) -> None:
        """Eject a server whose failures have enough weight, or extend its ejection after a failed trial elsewhere."""
        key = server_key(server.entry.server_id)
        if self.evidence.failure_weight(key, ready_count, self.context.now_ms) < EJECTION_WEIGHT:
            return
        if server.is_ejected:
            self.outlier_detector.extend_ejection(server)
        else:
            self._eject(server, ready_count)

    def _eject(self, server: Server, ready_count: int) -> None:
        """Eject a server: the failures at other limiters count as the last consecutive failure that is needed."""
        detector = self.outlier_detector
        ejected_count = len(detector.ejected) + 1
        origins = self._failure_origins(server)
        server.consecutive_failures = max(server.consecutive_failures, FAILURES_BEFORE_EJECTION - 1)
        ready_weight_milli = self.endpoints.directory.total_weight_milli
        for reinstated in detector.record_failure_of(origins, server, ready_count, ready_weight_milli):
            self.endpoints.reinstate(reinstated)
        self.endpoints.update_ejection(server, was_ejected=False)
        if server in detector.ejected:
            text = f"{server.entry.server_id} is ejected ({ejected_count} in all) after failures at limiters "
            self.context.actions.append(api.Log(text + ", ".join(map(str, origins))))

    def _failure_origins(self, server: Server) -> tuple[int, ...]:
        """Return the limiters that observed recent failures of the server, the latest first."""
        witnesses = self.evidence.witnesses(server_key(server.entry.server_id), self.context.now_ms)
        return tuple(witness.origin_index for witness in witnesses if 0.0 <= witness.failed_age_ms <= FRESH_MS)

    # Maintenance

    def maintain(self) -> None:
        """Run the limiter's maintenance and send the rumours that are due."""
        super().maintain()
        self._send_rumours()

    def _send_rumours(self) -> None:
        if not len(self.rumours):
            return
        now_ms = self.context.now_ms
        for datagram in self.rumours.due_datagrams(now_ms, FRESH_MS):
            self.sent_datagrams += 1
            payload = encode(datagram.observations, now_ms)
            self.context.actions.append(api.SendPeerMessage(datagram.peer_index, payload))

    def end_control_period(self, elapsed_s: float) -> None:
        """End a control period of `elapsed_s` seconds and remove expired evidence."""
        super().end_control_period(elapsed_s)
        self.evidence.age_out(self.context.now_ms)
        oldest_ms = self.context.now_ms - REPORT_INTERVAL_MS
        for key_and_kind in [key for key, at_ms in self._reported_at_ms.items() if at_ms <= oldest_ms]:
            del self._reported_at_ms[key_and_kind]
