"""A limiter that shares health evidence: what its own attempts tell goes out as rumours, and what others saw counts as
if it had seen it itself, within bounds."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from elderlock import interface as api
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.outlier_detection import (
    BASE_EJECTION_MS,
    FAILURES_BEFORE_EJECTION,
    MAX_EJECTION_MS,
    OutlierDetector,
)
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.gossip.evidence import ENOUGH, FRESH, Evidence
from elderlock.gossip.rumours import Rumours
from elderlock.gossip.wire import NO_ZONE, Kind, Observation, WireError, decode, encode, is_gossip, key
from elderlock.interface import Outcome
from elderlock.state import Server

TOLD_EVERY = 250.0  # ms between two tellings of the same kind of one server
TRIALS = 9.0  # limiters that try a server again first, over all zones; the others wait for what these tell
PUT_OFF = 3.0  # times as long they wait, where nobody tells anything
LEAST_WRONG = 0.02  # share of a server's answers that were errors, from which a good one is told
HEARD_WITHIN = 3000.0  # ms in which others have to be heard of for us to lean on their trials


class Held(NamedTuple):
    """Since when a server is left out (ms), and by whose failures."""

    since: float
    origins: tuple[int, ...]


class SharedOutliers(OutlierDetector):
    """`failed_here` hears of each failure of our own. Where others are heard, few of all try a server again first."""

    def __init__(self, core: DecisionContext, failed_here: Callable[[Server], None]) -> None:
        super().__init__(core)
        self._failed_here = failed_here
        self.heard_at = float("-inf")  # when another limiter was last heard of
        self.held: dict[Server, Held] = {}  # those left out

    def record_failure(self, server: Server, ready: int, mass: int) -> list[Server]:
        self._failed_here(server)
        return self.blamed(server, ready, mass, (self.context.settings.limiter_index,))

    def blamed(self, server: Server, ready: int, mass: int, origins: tuple[int, ...]) -> list[Server]:
        """A failure, ours or others' that weigh as much."""
        out_before = server.is_ejected
        let_in = super().record_failure(server, ready, mass)
        if server.is_ejected and not out_before:
            self.held[server] = Held(self.context.now_ms, origins)
            self._wait(server)
        return let_in

    def _reinstate(self, server: Server) -> None:
        super()._reinstate(server)
        self.held.pop(server, None)

    def _wait(self, server: Server) -> None:
        core, limiters = self.context, self.context.settings.limiter_count
        wait = min(BASE_EJECTION_MS * 2.0 ** (server.consecutive_ejections - 1), MAX_EJECTION_MS)
        first = core.rng.random() * limiters < TRIALS or core.now_ms - self.heard_at > HEARD_WITHIN
        self.put_off(server, wait * core.rng.uniform(0.8, 1.2) * (1.0 if first else PUT_OFF))

    def put_off(self, server: Server, wait: float) -> None:
        """Left out for `wait` ms from now; what `back` had noted for it is passed over."""
        self.schedule_reinstatement(server, wait)


class SharedLimiter(Limiter):
    """Invariant: with nobody heard of for `FRESH` ms it leaves servers out on its own evidence alone, as `Limiter`
    does; a wait that began before goes on, `PUT_OFF` times its own at most. What is shared leaves out no more servers
    than `Outliers` allows one limiter."""

    def __init__(
        self, settings: api.Settings, seed: int, now: float, source: type[QuotaCoordinator] = QuotaCoordinator
    ) -> None:
        super().__init__(settings, seed, now, source)
        zone = settings.zone if 0 <= settings.zone < NO_ZONE else NO_ZONE
        self.evidence = Evidence(settings.limiter_index, zone)
        # draws of its own: what is drawn for choices stays as it was
        intake, rng = settings.quota_sources.peer_messages_per_s, random.Random(seed ^ 0x5E)
        self.rumours = Rumours(settings.limiter_index, settings.limiter_count, intake, rng, now)
        self.outliers = self.endpoints.outlier_detector = SharedOutliers(self.context, self._failed_here)
        self._by_key: dict[int, Server] = {}
        self._told: dict[tuple[int, Kind], float] = {}  # when we last told this of that server
        self._began = now  # ms, the attempt whose end is in work
        self.heard = self.refused = self.told = 0  # datagrams
        self.handlers[api.AttemptEnded] = self._ended
        self.handlers[api.PeerMessage] = self._message
        self.handlers[api.ServerList] = self._listed

    # What we see

    def _listed(self, event: api.ServerList) -> None:
        """At the cost of what the list names: a change does not walk all servers."""
        servers, names = self.endpoints.servers, [entry.server_id for entry in event.entries]
        before = {name: servers[name].entry.started_at_ms for name in names if name in servers}
        self.endpoints.apply_server_list(event)
        if event.kind is not api.ListKind.CHANGES:
            self._by_key = {key(name): server for name, server in servers.items()}
        for name in names:
            if (server := servers.get(name)) is None:
                self._by_key.pop(key(name), None)
                continue
            self._by_key[key(name)] = server
            if before.get(name, server.entry.started_at_ms) != server.entry.started_at_ms:
                self.evidence.forget(key(name))

    def _ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        server = self.endpoints.servers.get(event.server_id)
        self._began = self.context.now_ms - event.duration_ms
        self.attempts.handle_attempt_end(event)
        if request is None or server is None:
            return
        name = key(event.server_id)
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            self.evidence.tried(name, self.context.now_ms)
            # a good answer is told where failures still weigh or errors did: the first one of a zone undoes these there
            if event.outcome is Outcome.ERROR:
                self._saw(server, Kind.ERROR)
            elif (
                server.error_fraction > LEAST_WRONG
                or self.evidence.failures(name, self.endpoints.load_estimator.ready_server_count, self.context.now_ms)
                > 0.0
            ):
                self._saw(server, Kind.GOOD)
        self._tell()

    def _failed_here(self, server: Server) -> None:
        self.evidence.tried(key(server.entry.server_id), self.context.now_ms)
        self._saw(server, Kind.FAILED)

    def _saw(self, server: Server, kind: Kind) -> None:
        now, name = self.context.now_ms, key(server.entry.server_id)
        if self._began < server.entry.started_at_ms:
            return  # it tells of the process before
        observation = Observation(name, self.context.settings.limiter_index, self.evidence.zone, kind, self._began)
        self.evidence.take(observation, now)
        if now - self._told.get((name, kind), float("-inf")) < TOLD_EVERY:
            return
        if kind is Kind.GOOD or not self.evidence.doubts_itself(now):
            self._told[name, kind] = now
            self.rumours.add(observation)

    # What others say

    def _message(self, event: api.PeerMessage) -> None:
        if not is_gossip(event.payload):
            return self.quota_coordinator.handle_peer_message(event)
        try:
            observations = decode(event.payload, self.context.now_ms, self.context.settings.limiter_count)
        except WireError:
            self.refused += 1
            return
        self.heard += 1
        self.outliers.heard_at = self.context.now_ms
        ready = len(self.endpoints.directory.ready)
        for observation in observations:
            server = self._by_key.get(observation.server)
            if server is None or server.is_removed or observation.at < server.entry.started_at_ms:
                continue  # not ours to judge, or of the process before
            ours = observation.origin == self.context.settings.limiter_index
            if ours or not self.evidence.take(observation, self.context.now_ms):
                continue
            if not self.evidence.doubted(observation.origin, ready, self.context.now_ms):
                self.rumours.add(observation)
                self._learn(server, observation, ready)
        self._tell()

    def _learn(self, server: Server, observation: Observation, ready: int) -> None:
        if server.is_draining:
            return
        match observation.kind:
            case Kind.FAILED:
                self._weigh(server, ready)
            case Kind.ERROR:
                self.endpoints.health.record_peer_error(server)
            case Kind.GOOD:
                self.endpoints.health.record_peer_success(server)
                if server.is_ejected and observation.zone == self.evidence.zone:
                    self._place(server, lambda: self.outliers.record_success(server))

    def _weigh(self, server: Server, ready: int) -> None:
        if self.evidence.failures(key(server.entry.server_id), ready, self.context.now_ms) < ENOUGH:
            return
        if server.is_ejected:  # somebody tried it in vain: we need not
            wait = min(BASE_EJECTION_MS * 2.0 ** (server.consecutive_ejections - 1), MAX_EJECTION_MS)
            return self.outliers.put_off(server, max(wait, server.reinstate_at_ms - self.context.now_ms))

        name, out = server.entry.server_id, len(self.outliers.ejected) + 1
        seen = self.evidence.who(key(name), self.context.now_ms)
        origins = tuple(each.origin for each in seen if 0.0 <= each.failed_age <= FRESH)

        def blame() -> None:
            server.consecutive_failures = max(server.consecutive_failures, FAILURES_BEFORE_EJECTION - 1)
            for other in self.outliers.blamed(server, ready, self.endpoints.directory.total_weight_milli, origins):
                self.endpoints.reinstate(other)

        self._place(server, blame)
        if server.is_ejected:
            who = ", ".join(map(str, origins))
            self.context.actions.append(api.Log(f"{name} is left out, one of {out}: it failed at limiters {who}"))

    def _place(self, server: Server, change: Callable[[], None]) -> None:
        before = server.is_ejected
        change()
        self.endpoints.update_ejection(server, before)

    # Upkeep

    def maintain(self) -> None:
        super().maintain()
        self._tell()

    def _tell(self) -> None:
        if not len(self.rumours):
            return
        now = self.context.now_ms
        for to, observations in self.rumours.due(now, FRESH):
            self.told += 1
            self.context.actions.append(api.SendPeerMessage(to, encode(observations, now)))

    def end_control_period(self, elapsed: float) -> None:
        super().end_control_period(elapsed)
        self.evidence.age_out(self.context.now_ms)
        for told in [told for told, at in self._told.items() if at <= self.context.now_ms - TOLD_EVERY]:
            del self._told[told]
