"""The servers and what is believed of them: who takes new work, how fast, how cold, how suspect."""

from __future__ import annotations

import heapq
from math import copysign, exp, sqrt

from elderlock import interface as api
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.load_estimator import SAMPLE_LIFETIME_MS, LoadEstimator
from elderlock.decisions.outlier_detection import OutlierDetector
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.subsetting import Subsetting
from elderlock.decisions.throttle import CONTROL_PERIOD_MS, GOAL_LOAD_LEVEL
from elderlock.interface import ListKind, Outcome
from elderlock.state import NEVER_MS, OpenRequest, Server
from elderlock.structures.candidate_set import CandidateSet
from elderlock.structures.server_directory import WEIGHT_UNIT_MILLI, ServerDirectory

LATENCY_WEIGHT = 0.15  # of one answer in an average
KNOWN_FOR, FULL_FOR = 5000.0, 8000.0  # ms that a server's latency and a 'full' to a plan tell
COLD_CHANCE, COLD_PART = 2.5, 0.65  # deviations of chance left below a cold budget; part used of it
COLD_KEPT, COLD_LOOK = 0.5, 10.0  # fall windows that its calls are kept, lest each limiter has one after a pause; ms
FAILURE = 4.0  # aims a failure counts as: the server is left alone till that fades or is averaged out


class Endpoints:
    """Invariant: `open` holds just those that may be sent a new request now: running by the latest list, ours, not
    left out, with room in their cold budget. Only what changes is looked at: no step walks all boxes but
    one that the whole list, or a new size of the subset, calls for."""

    def __init__(self, core: DecisionContext, load: LoadEstimator, quotas: Quotas) -> None:
        self.context, self.load_estimator, self.quotas = core, load, quotas
        settings = core.settings
        self.subsetting = Subsetting(settings.limiter_index, settings.limiter_count, settings.routing.subset_size)
        self.outliers = OutlierDetector(core)
        self.directory = ServerDirectory(settings.rules.warm_up_ms)
        self.servers = self.directory.servers
        self.by_rank = [0] * settings.limiter_count  # ready ones that are not left out, by our rank in the subset
        self.candidates = CandidateSet()
        self.parked: list[tuple[float, int, Server]] = []  # cold ones, by when they are looked at
        self.parkings = 0
        self.usual: dict[int, float] = {}  # latency of each kind in aims
        self.failing: dict[tuple[str, int], float] = {}  # averaged failures of zones, kinds and cells
        self.full_at: dict[int, float] = {}  # when a plan was last told 'full'
        self.warm_rate, self.asked_at = 0.0, core.now_ms  # answers a second of a warm server of weight one

    # The list

    def listed(self, event: api.ServerList) -> None:
        core, ranking = self.context, self.subsetting.ranking
        if event.kind is ListKind.REFUSED:
            return
        self.asked_at = core.now_ms
        left, joined = self.directory.apply(event, core.now_ms, core.rng)
        for server in left:
            self.by_rank[ranking.rank(server.entry.server_id)] -= not server.is_ejected
            ranking.remove(server.entry.server_id)
            self.outliers.forget(server)
            self.candidates.set_weight(server, 0)
        for server in joined:
            self.subsetting.add(server.entry.server_id, server.weight_milli)
            self._let_in(server)
        for server in self.outliers.trim(self.directory.total_weight_milli):
            self._let_in(server)
        self.resize()
        self.load_estimator.ready_server_count = len(self.directory.ready)

    def resize(self) -> None:
        if self.subsetting.resize(self.by_rank):
            for server in self.directory.ready.values():
                self.place(server)

    # Who may be drawn

    def place(self, server: Server) -> None:
        """Puts it where it belongs after whatever changed of it."""
        name, weight = server.entry.server_id, 0
        if self.subsetting.holds(name) and not (
            server.is_draining or server.is_ejected or (server.is_on_probation and server.in_flight)
        ):
            if (wait := self.cold_wait(server)) <= 0.0:
                weight = self.subsetting.weight(name, server.weight_milli * self.coldness(server))
            if name in self.directory.warming_up and not server.awaits_review:
                server.awaits_review = True
                self.parkings += 1
                heapq.heappush(self.parked, (self.context.now_ms + max(abs(wait), COLD_LOOK), self.parkings, server))
        self.candidates.set_weight(server, weight)

    def settle(self) -> None:
        """Before a choice: whoever's time has come may be drawn again."""
        while self.parked and self.parked[0][0] <= self.context.now_ms:
            server = heapq.heappop(self.parked)[2]
            server.awaits_review = False
            self.place(server)
        for server in self.outliers.back():
            self._let_in(server)

    def _let_in(self, server: Server) -> None:
        self.by_rank[self.subsetting.ranking.rank(server.entry.server_id)] += 1
        self.place(server)

    def sent(self, server: Server) -> None:
        """An attempt went there."""
        if self.coldness(server) < 1.0 or server.is_on_probation:
            server.warm_up_budget -= 1.0  # which a warm one is not asked for
            self.place(server)

    # Beliefs

    def coldness(self, server: Server) -> float:
        """The least share of its capacity that a young server has; 1 when it is warm."""
        rules, age = self.context.settings.rules, self.context.now_ms - server.entry.started_at_ms
        if server.entry.started_at_ms <= 0 or age >= rules.warm_up_ms:
            return 1.0
        return (
            rules.warm_up_initial_fraction + (1.0 - rules.warm_up_initial_fraction) * max(0.0, age) / rules.warm_up_ms
        )

    def cold_wait(self, server: Server) -> float:
        """How long (ms) till our part of a cold server's budget has room for one more, or till that is worth a look:
        what warm ones bear of all, less what chance may add. Where it has room, not above 0: till that may lapse."""
        core = self.context
        share, rules, count = self.coldness(server), core.settings.rules, core.settings.limiter_count
        if share >= 1.0:
            return 0.0
        bears = max(self.warm_rate * server.entry.weight * count, self.load_estimator.min_rate_per_server * count)
        budget = bears * share * rules.overload_multiple * rules.overload_window_ms / MS_PER_SECOND
        sharing = self.subsetting.sharing()
        spaced = budget - COLD_CHANCE * sqrt(sharing / 12.0)  # few limiters send evenly, many at random
        random_part = (sqrt(COLD_CHANCE**2 / 4.0 + budget) - COLD_CHANCE / 2.0) ** 2
        part = max(COLD_PART * max(spaced, random_part) / sharing, 1e-6)
        room = server.warm_up_budget + part / rules.overload_window_ms * (core.now_ms - server.warm_up_budget_at_ms)
        if room > (most := max(1.0 + COLD_KEPT * part, part)):
            room = most if part >= 1.0 else room % 1.0 + (room % 1.0 < COLD_KEPT * part)
        server.warm_up_budget, server.warm_up_budget_at_ms = room, core.now_ms
        wait = ((most if room >= 1.0 - 1e-9 else 1.0) - room) / part * rules.overload_window_ms
        return copysign(min(max(wait, COLD_LOOK), CONTROL_PERIOD_MS / 4), 1.0 - 1e-9 - room)

    def estimate(self, server: Server) -> float:
        """Its latency in aims: what is known of it as far as that is fresh, else what its kind takes."""
        usual = self.usual.get(server.entry.kind, GOAL_LOAD_LEVEL / 2)
        return usual + exp((server.latency_ratio_at_ms - self.context.now_ms) / KNOWN_FOR) * (
            server.latency_ratio - usual
        )

    def learn(self, server: Server, request: OpenRequest, event: api.AttemptEnded) -> None:
        """What the end of an attempt tells of its server, its kind and its neighbours."""
        core = self.context
        server.in_flight.pop((event.request_id, event.attempt_index), None)
        aim, outcome, plan = request.request_class.latency_objective_ms, event.outcome, request.arrival.plan_index
        # one that answered others while this waited is slow, not dead: held for dead, each server that
        # fell behind would be left by all at once, and the rest would fall behind in turn
        silent = outcome is Outcome.TIMEOUT and server.answered_at_ms <= core.now_ms - event.duration_ms
        failed = silent or outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
        if outcome in (Outcome.OK, Outcome.ERROR):
            # an error tells nothing of speed, and all servers may give some alike: taken for a latency it
            # would leave out all but those that erred longest ago, and these few would drown
            before = server.error_fraction * exp((server.error_fraction_at_ms - core.now_ms) / KNOWN_FOR)
            wrong = outcome is Outcome.ERROR
            server.error_fraction, server.error_fraction_at_ms = (
                before + 2 * LATENCY_WEIGHT * (wrong - before),
                core.now_ms,
            )
        slow = outcome is Outcome.TIMEOUT
        if outcome is Outcome.OK:
            server.answered_at_ms = core.now_ms
            server.full_plan_bits &= ~(1 << plan)
            usual = self.usual.get(server.entry.kind, event.duration_ms / aim)
            self.usual[server.entry.kind] = usual + LATENCY_WEIGHT / 2 * (event.duration_ms / aim - usual)
            self.quotas.mean_latency_ms += LATENCY_WEIGHT / 2 * (event.duration_ms - self.quotas.mean_latency_ms)
        elif outcome is Outcome.FULL:  # told to one plan alone it is no load: the plan goes elsewhere
            server.full_plan_bits |= 1 << plan
            server.full_at_ms = server.answered_at_ms = self.full_at[plan] = core.now_ms
            others = [at for other, at in self.full_at.items() if other != plan]
            slow = len(core.settings.plans) == 1 or core.now_ms - max(others, default=NEVER_MS) < SAMPLE_LIFETIME_MS
        if failed or outcome is Outcome.OK:
            for group in server.failure_domains():
                before = self.failing.get(group, 0.0)
                if failed or before:  # empty on a calm day, when nobody has to look into it
                    self.failing[group] = before + 2 * LATENCY_WEIGHT * (failed - before)
        if failed or slow or (outcome is Outcome.OK and not request.is_streaming):  # errors are no health
            stretch = max(event.duration_ms / aim, float(slow))
            before, server.latency_ratio_at_ms = self.estimate(server), core.now_ms
            weight = LATENCY_WEIGHT * (1 + failed)
            server.latency_ratio = before + weight * (max(stretch, FAILURE * failed) - before)
            if slow or not failed:
                self.load_estimator.add_sample(stretch)
        if failed or server.consecutive_failures or server.is_on_probation:
            self._weigh_out(server, failed, outcome)

    def _weigh_out(self, server: Server, failed: bool, outcome: Outcome) -> None:
        if server.is_draining:
            return
        before = server.is_ejected
        if failed:
            for other in self.outliers.failed(server, len(self.directory.ready), self.directory.total_weight_milli):
                self._let_in(other)
        elif outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):  # an answer, of whatever kind
            self.outliers.good(server)
        self.by_rank[self.subsetting.ranking.rank(server.entry.server_id)] += before - server.is_ejected
        self.place(server)

    # Upkeep

    def rate(self, answer_rate: float) -> None:
        """Once a control period: `answer_rate` good answers a second come back over all servers."""
        for server in list(self.directory.warming_up.values()):
            if self.coldness(server) >= 1.0:
                self.directory.mark_warm(server)
            self.place(server)
        if self.subsetting.size:
            self.resize()
            for server in self.candidates.all.members():
                self.place(server)
        warm = self.directory.warm_weight_milli / WEIGHT_UNIT_MILLI
        self.warm_rate = answer_rate / warm if warm else self.warm_rate
        if self.failing:
            self.failing = {group: 0.8 * share for group, share in self.failing.items() if share > 1e-3}
