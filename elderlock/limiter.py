"""Decides for a gateway that holds customers to quotas; its interface is elderlock/interface.py.

Top to bottom: constants, state, the throttle (ETSI ES 283 039-4), and the limiter with its events, admission,
quotas, keepers, servers, attempts and upkeep. Times are milliseconds, rates are a second.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from collections.abc import Callable
from itertools import accumulate
from math import exp, sqrt
from statistics import median
from struct import Struct

from elderlock import interface as api
from elderlock.interface import Effect, Group, ListKind, Outcome, Plan, ServerState
from elderlock.state import NEVER, Account, Attempt, Ledger, OpenRequest, Phase, Server

# The throttle. Load is latency over the class's aim, so the levels are shares of the aim.
GOAL_LOAD_LEVEL = 0.4  # with the median answer at this share a queue stands, and a slow tenth misses the aim
CROWDING_PART = 0.5  # of the crowding that counts as load: it is a mean with its tail, the level a median
MOST_CROWDING = 0.6  # aims of work out over what comes back, at which even the dearest work is held off
CHEAPEST = 0.7  # of that for worthless work: a gentle slope, as the plan that fares worst counts by itself
LEAST_BACK = 6.0  # attempts an aim taken to come back at least: with fewer, one or two out say nothing
CONTROL_PERIOD = 1000.0  # ms between updates of the leak rate, as in the design
MOST_CUT, MOST_RISE = 0.75, 1.15  # bounds of one update, so that one noisy reading cannot swing the rate
ENTRY_PER_SERVER = 3.6  # attempts an aim per ready server over all limiters, where fewer were answered
LEAST_PER_SERVER = 1.2  # the same below which no cut goes: answers must come to see the load fall
LEAST_OF_ANSWERED = 0.7  # of what was answered in time lately: that much is borne, and cuts do not overshoot
TERMINATION_PENDING_PERIOD = 3000.0  # ms of load below the goal before the return begins
LEAK_RATE_GROWTH_FACTOR = 25.0  # percent a period while returning
RATE_INCREMENT_PERIOD = 1000.0  # ms between its rises
MAX_LEAK_OVER_DEMAND = 1.2  # MaxLeakRate over the peak of demand: beyond it the bucket no longer binds
BUCKET_SPAN = 500.0  # ms of leak that the largest threshold holds
LEAST_DEPTH = 4.0  # attempts: below it the randomised fill would drown the thresholds
BEYOND_THRESHOLD, INSIDE_THRESHOLD = 0.3, 0.75  # of the depth: beyond quota; cheapest inside; dearest 1
# Quotas.
RATE_SPAN, RATE_COUNT = 4000.0, 4.0  # ms over which send rates are averaged, or so many sends if longer
FORGET_AFTER = 15000.0  # ms without a request until a customer is aged out, if its stores are full by then
SLACK_PART = 0.8  # of the ceiling's slack that is used; the rest is for rounding
ASK_AIMS, LEAST_ASK = 0.1, 40.0  # aims, but ms at least, that a keeper has to answer: there and back take 24
MAIL_PART = 0.75  # of what one takes in that each sends, so that intakes hold on average at any count
ANSWER_PART = 0.25  # of the room for mail that own questions leave to answers and reports
CALM_PART = 0.8  # of that room below which none is asked for customers far from their quota
REPORT_EVERY = 250.0  # ms between reports to keepers of what was let in without asking
COMFORT = 0.5  # of the burst: with more believed in the store, mail is left to those near their quota
MOST_MISSED, SILENT_FOR = 2, 2000.0  # questions in a row left open; ms that a keeper is passed over then
# Servers and attempts.
LATENCY_WEIGHT = 0.15  # of one answer in an average
FRESH_FOR = 2000.0  # ms that an answer counts as a signal of load
KNOWN_FOR, FULL_FOR = 5000.0, 8000.0  # ms that a server's latency and a 'full' to a plan tell
LEAST_ANSWERS, CALM_ANSWERS, MOST_ANSWERS = 9, 2, 127  # answers of which the level is the median
LEAST_DRAWN, DRAWN = 2, 60  # servers drawn for a choice, and more by DRAWN / limiters: herds follow the rest
COLD_CHANCE, COLD_PART = 2.5, 0.65  # deviations of chance left below a cold budget; part used of it
FAILURE = 4.0  # aims a failure counts as: the server is left alone till that fades or is averaged out
SUSPECT = 8.0  # times the cost of a server whose zone, kind or cell has failed throughout
EXTRA_PER_SEND, EXTRA_MOST = 0.15, 12.0  # further attempts earned by each first send, and kept at most
UNSEEN_UNTIL = 0.4  # of a request's time in which it may still go on, where no attempt has reached a server
UNSEEN_COST = 0.25  # of a further attempt, where the last one never ran
HOLD_AIMS = 0.25  # aims that a request may wait for a server with room
TICK, MOST_TICK = 50.0, 250.0  # ms between rounds of upkeep: a quarter of the time between two requests
SECOND = 1000.0  # ms
# Peer messages: format, latest latency, then customer, what, plan, units or level, belief or rate, question.
FORMAT, ENTRY = 0x5C, Struct(">BBIBBBBH")
ASK, GRANTED, DENIED = range(3)
# Batches: format, latest latency, what; of each customer then plan, units and belief, or level and rate.
BATCH, HEAD, USE, LEVEL, MOST_USES = 0x5D, Struct(">BBB"), Struct(">IBBB"), Struct(">IBB"), 36
REPORT, READINGS = range(2)
UNKNOWN = 255  # a belief or level not known


def _byte(value: float) -> int:
    return min(255, max(0, int(value)))


class Throttle:
    """The control adaptor and the class-threshold leaky bucket of one limiter."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.rng, self.phase = rng, Phase.NOT_OVERLOADED
        self.fill_at = self.updated_at = self.phase_at = now
        self.leak_rate = self.fill = self.entry_rate = self.max_leak_rate = self.least_rate = 0.0
        self.previous_rate: float | None = None
        self.last_attempts = 0.0

    def threshold_vector(self, inside: bool, value: float) -> float:
        """The threshold of a class; `value` is its worth over the dearest one's."""
        share = INSIDE_THRESHOLD + (1.0 - INSIDE_THRESHOLD) * value if inside else BEYOND_THRESHOLD
        return 1.0 + share * max(LEAST_DEPTH, self.leak_rate * BUCKET_SPAN / SECOND)

    def leak(self, now: float) -> None:
        self.fill = max(0.0, self.fill - self.leak_rate * (now - self.fill_at) / SECOND)
        self.fill_at = now

    def passes(self, inside: bool, value: float, now: float) -> bool:
        self.leak(now)
        passes = 1.0 + self.fill < self.threshold_vector(inside, value)
        self.fill += passes
        return passes or self.phase is Phase.NOT_OVERLOADED

    def set_rate(self, rate: float, now: float) -> None:
        """Randomises the fill at each new rate, so that limiters do not run in step; it stays bounded."""
        self.leak(now)
        self.leak_rate = max(rate, self.least_rate)
        fill = self.fill + self.rng.uniform(-1.0, 1.0)
        self.fill = min(max(0.0, fill), 2.0 * self.threshold_vector(True, 1.0))

    def enter(self, rate: float, now: float) -> None:
        if self.phase is Phase.NOT_OVERLOADED:
            self.leak_rate, self.fill_at = rate, now
            self.fill = self.threshold_vector(True, 0.0)
        self.entry_rate = rate
        self.set_rate(rate, now)
        self.turn(Phase.OVERLOADED, now)
        self.updated_at = now

    def turn(self, phase: Phase, now: float) -> None:
        self.phase, self.phase_at, self.previous_rate = phase, now, None

    def update(self, level: float, attempts: float, entry: float, now: float) -> None:
        """One look at the load level, `attempts` a second being let through."""
        over = level > GOAL_LOAD_LEVEL
        if over and self.phase in (Phase.NOT_OVERLOADED, Phase.RETURNING_TO_NOT_OVERLOADED):
            self.enter(entry if self.phase is Phase.NOT_OVERLOADED else self.entry_rate, now)
        elif over and self.phase is Phase.TERMINATION_PENDING:
            self.turn(Phase.OVERLOADED, now)
        if self.phase is Phase.NOT_OVERLOADED or now - self.updated_at < CONTROL_PERIOD:
            return
        self.updated_at = now
        factor = min(max(GOAL_LOAD_LEVEL / max(level, 1e-3), MOST_CUT), MOST_RISE)
        if self.phase is Phase.RETURNING_TO_NOT_OVERLOADED:
            self._return(now)
        elif self.phase is Phase.TERMINATION_PENDING:
            self._pend(factor, attempts, now)
        elif over:
            self.set_rate(self.leak_rate * factor, now)
        else:
            self.turn(Phase.TERMINATION_PENDING, now)
        self.last_attempts = attempts

    def _pend(self, factor: float, attempts: float, now: float) -> None:
        if self.previous_rate is not None and attempts < self.last_attempts:
            self.set_rate(self.previous_rate, now)
            self.previous_rate = None
        else:
            self.previous_rate = self.leak_rate
            self.set_rate(max(self.leak_rate, min(self.leak_rate * factor, self.max_leak_rate)), now)
        if now - self.phase_at >= TERMINATION_PENDING_PERIOD:
            self.turn(Phase.RETURNING_TO_NOT_OVERLOADED, now)
            self.entry_rate = self.leak_rate

    def _return(self, now: float) -> None:
        rate = self.leak_rate * (1.0 + LEAK_RATE_GROWTH_FACTOR / 100.0)
        if now - self.phase_at < RATE_INCREMENT_PERIOD:
            return
        if rate >= self.max_leak_rate:
            self.turn(Phase.NOT_OVERLOADED, now)
        else:
            self.set_rate(rate, now)


class Limiter:
    """One limiter: `handle(event, now)` returns the actions; it holds no clock and does no I/O."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.now = self.started = self.rated_at = self.asked_at = self.ticked_at = self.back_at = now
        self.reported_at = now
        self.actions: list[api.Action] = []
        self.throttle = Throttle(self.rng, now)
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []  # what is drawn from, with running sums of weight
        self.ready_weights: list[float] = []
        self.usual: dict[int, float] = {}  # latency of each kind in aims
        self.failing: dict[tuple[str, int], float] = {}  # averaged failures of zones, kinds and cells
        self.full_at: dict[int, float] = {}  # when a plan was last told 'full'
        self.requests: dict[str, OpenRequest] = {}
        self.accounts: dict[int, Account] = {}  # the longest unused first, as the ledgers
        self.ledgers: dict[int, Ledger] = {}
        self.questions: dict[int, tuple[str, int, int, bool]] = {}  # request, keeper, belief, again
        self.missed: dict[int, int] = {}  # questions in a row that a keeper left open
        self.silent: dict[int, float] = {}  # keepers passed over, until when
        self.timers: dict[int, int | None] = {}  # by token: the question, or upkeep
        self.held: deque[str] = deque()
        self.unreported: dict[int, float] = {}  # units let in by customer that its keeper has not been told
        self.levels: deque[tuple[float, float]] = deque(maxlen=MOST_ANSWERS)  # when answered, latency in aims
        self.latest = (NEVER, 0.0)  # of our own
        self.extra, self.tick, self.mail_room = EXTRA_MOST / 2, TICK, settings.sources.peer_intake / 4
        self.next_token = self.arrivals = self.offered = self.admitted = self.answers = self.out = 0
        self.warm_rate = self.admit_rate = self.answer_rate = self.peak_rate = self.latency = self.back = 0.0
        self.top_price = max([c.worth * p.price for c in settings.classes for p in settings.plans] + [1e-9])
        self.aim = min([c.aim for c in settings.classes], default=SECOND)
        part = SECOND / self.aim / settings.limiters  # from attempts an aim at a server to ours a second
        self.entry_rate, self.least_rate = ENTRY_PER_SERVER * part, LEAST_PER_SERVER * part
        self.handlers: dict[type, Callable[..., None]] = {
            api.RequestArrived: self._arrived, api.PermissionAsked: self._arrived,
            api.AttemptEnded: self._ended, api.TimerDue: self._due, api.ServerList: self._listed,
            api.PeerMessage: self._told, api.ClientGone: self._gone, api.StreamStarted: self._streaming,
        }

    # Events

    def start(self, now: float) -> list[api.Action]:
        self.now, self.actions = now, [api.Subscribe(True)] if self.settings.subscribe else []
        self._timer(TICK * self.rng.random())
        return self.actions

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.now, self.actions = now, []
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def _timer(self, wait: float, question: int | None = None) -> None:
        self.next_token += 1
        self.timers[self.next_token] = question
        self.actions.append(api.SetTimer(max(wait, 0.0), self.next_token))

    def _due(self, event: api.TimerDue) -> None:
        question = self.timers.pop(event.token, -1)
        if question is None:
            self._tick()
        else:
            self._unanswered(question)

    def _listed(self, event: api.ServerList) -> None:
        if event.kind is ListKind.REFUSED:
            return
        self.asked_at = self.now
        if event.kind is not ListKind.CHANGES:
            for server in self.servers.values():
                server.leaving = server.gone = True  # what a whole list does not name is gone
        for entry in event.entries:
            server = self.servers.get(entry.server) or Server(entry, self.now, self.rng.random())
            if server.entry.started_at != entry.started_at:  # a new process: nothing known of it holds
                server = Server(entry, self.now, self.rng.random(), out=server.out)
            server.entry, server.leaving = entry, entry.state is not ServerState.RUNNING
            server.gone = entry.state is ServerState.GONE
            self.servers[entry.server] = server
        self._draw_from()

    def _draw_from(self) -> None:
        self.ready = [s for s in self.servers.values() if not s.leaving]
        weights = (max(s.entry.weight, 1e-3) * self._coldness(s) for s in self.ready)
        self.ready_weights = list(accumulate(weights))

    def _streaming(self, event: api.StreamStarted) -> None:
        if event.request in self.requests:
            self.requests[event.request].streaming = True

    def _gone(self, event: api.ClientGone) -> None:
        if event.request in self.requests:
            self._finish(self.requests[event.request])

    # Admission

    def _arrived(self, event: api.RequestArrived) -> None:
        name, settings, kinds = event.request, self.settings, range(len(self.settings.classes))
        if event.plan_index not in range(len(settings.plans)) or event.class_index not in kinds:
            self.actions.append(api.Refuse(name))
        if name in self.requests or self.actions:
            return
        account, rclass = self._account(event), settings.classes[event.class_index]
        self.arrivals += 1
        request = self.requests[name] = OpenRequest(event, rclass, account, self.now)
        if self._capped(account, event.units):
            self._close(request)
        elif self.now < account.empty_until or 0 < account.plan.open_limit <= account.open:
            self._beyond(request)
        elif self._bucket_passes(request, True):
            self._read(request)

    def _beyond(self, request: OpenRequest) -> None:
        plan, calm = request.account.plan, self.throttle.phase is Phase.NOT_OVERLOADED
        if not (calm and plan.over_worth > plan.over_cost):
            self._close(request)
        elif self._bucket_passes(request, False):
            self._first_send(request)

    def _bucket_passes(self, request: OpenRequest, inside: bool) -> bool:
        """Else it is refused. Crowding acts where load jumps."""
        value = request.rclass.worth * request.account.plan.price / self.top_price
        most = MOST_CROWDING * (CHEAPEST + (1.0 - CHEAPEST) * value) * (1.0 if inside else 0.5)
        passes = self.crowding() <= most and self.throttle.passes(inside, value, self.now)
        if not passes:
            self.offered += inside
            self._close(request)
        return passes

    def _first_send(self, request: OpenRequest) -> None:
        account, server = request.account, self._choose(request)
        self._refresh(account)
        left = request.event.give_up_at - request.arrived - 2 * self.tick
        wait = min(HOLD_AIMS * request.rclass.aim, left)
        late = self.now - request.arrived >= wait
        if self._capped(account, request.event.units) or (server is None and late):
            self._close(request)
        elif server is None:
            self.held.append(request.event.request)
        else:
            self.admitted += 1
            self._take(request)
            self._send(request, server)
            self.extra = min(EXTRA_MOST, self.extra + EXTRA_PER_SEND)

    # Quotas

    def _account(self, event: api.RequestArrived) -> Account:
        key = zlib.crc32(event.customer.encode())
        plan, known = self.settings.plans[event.plan_index], self.accounts.pop(key, None)
        spread = min(max(1, event.spread), self.settings.limiters)
        account = known or self._open_account(key, plan, spread, event.first)
        self.accounts[key] = account
        if account.plan is not plan:
            account.plan, account.ceiling = plan, -SLACK_PART * plan.ceiling_slack
        account.spread = max(spread, account.spread if plan.ceiling_rate else 1)
        account.first = event.first
        self._refresh(account)
        return account

    def _open_account(self, key: int, plan: Plan, spread: int, first: int) -> Account:
        """A ceiling's part fills from our start on: what came before, an earlier self may have used."""
        filled = (self.now - self.started) / SECOND * plan.ceiling_rate - SLACK_PART * plan.ceiling_slack
        ceiling = min(filled, plan.ceiling_burst) / spread
        burst, part = plan.burst, plan.burst / spread
        return Account(key, plan, spread, first, burst, part, ceiling, self.now, RATE_SPAN)

    def _trust(self, account: Account) -> float:
        """How far the latest reading can be relied on, 0 to 1: by time, or by count if requests are few."""
        span = 2.0 * max(self.settings.sources.meter_period, SECOND / 2, account.span / RATE_COUNT)
        return min(1.0, max(0.0, 2.0 - (self.now - account.reading_at) / span))

    def _depth(self, account: Account, trust: float) -> float:
        """The store as believed, less what others may spend of it before we are told; at least a part."""
        busy = min(1.0, account.others_rate / (account.plan.rate or 1.0))
        contested = 1.0 - trust * (1.0 - busy)
        return (1.0 - contested * (1.0 - 1.0 / account.spread)) * max(account.store, 0.0)

    def fill_rate(self, account: Account, trust: float) -> float:
        """The design's: own rate plus our part of the room or excess; the even split where none is known."""
        rate = account.plan.rate
        room = rate - account.own_rate - account.others_rate
        told = min(max(0.0, account.own_rate + room / account.spread), rate)
        return trust * told + (1.0 - trust) * rate / account.spread

    def _refresh(self, account: Account) -> None:
        elapsed, account.at = (self.now - account.at) / SECOND, self.now
        plan, trust = account.plan, self._trust(account)
        if elapsed == 0.0:  # again within one event: nothing has filled, what was read is taken in
            account.store = min(plan.burst, account.store)
            account.bucket = min(account.bucket, self._depth(account, trust))
            account.ceiling = min(account.ceiling, plan.ceiling_burst / account.spread)
            return
        unknown = (1.0 - trust) * (plan.rate - plan.rate / account.spread)
        store = account.store + (plan.rate - trust * account.others_rate - unknown) * elapsed
        account.store = min(plan.burst, max(store, min(account.store, 0.0)))
        filled = account.bucket + self.fill_rate(account, trust) * elapsed
        account.bucket = min(filled, self._depth(account, trust))
        account.own_rate *= exp(-elapsed * SECOND / account.span)
        ceiling = account.ceiling + plan.ceiling_rate / account.spread * elapsed
        account.ceiling = min(ceiling, plan.ceiling_burst / account.spread)

    def _inside(self, account: Account, units: float) -> bool:
        """By the bucket alone. A part below a request may go into debt by one, else none would ever pass."""
        plan = account.plan
        need = min(max(0.0, 2.0 * plan.burst / account.spread - units), units)
        if plan.rate > 0 and account.bucket < need:
            return False
        elsewhere = account.others_rate / account.units * self.latency / SECOND  # Little's law
        return plan.open_limit <= 0 or account.open + elsewhere <= plan.open_limit - 0.5

    def _capped(self, account: Account, units: float) -> bool:
        slack = SLACK_PART * account.plan.ceiling_slack / account.spread
        return account.plan.ceiling_rate > 0 and account.ceiling + slack < units

    def _take(self, request: OpenRequest) -> None:
        account, units = request.account, request.event.units
        account.ceiling -= units
        account.open += 1
        gap = min(max(self.now - account.sent_at, 0.0), 2 * FORGET_AFTER)
        account.span = max(RATE_SPAN, account.span + (RATE_COUNT * gap - account.span) / RATE_COUNT)
        account.sent_at = self.now
        account.own_rate += units * SECOND / account.span
        account.units += 0.1 * (units - account.units)
        account.store -= units * request.inside
        account.bucket -= units * request.inside

    def _give_back(self, account: Account, request: OpenRequest) -> None:
        """What a permission took and its asker did not use. Its keeper is not told: the safe side."""
        units, plan = request.event.units, account.plan
        self._refresh(account)
        account.ceiling = min(account.ceiling + units, plan.ceiling_burst / account.spread)
        account.own_rate = max(0.0, account.own_rate - units * SECOND / account.span)
        account.store = min(plan.burst, account.store + units * request.inside)
        account.bucket = min(account.bucket + units * request.inside, plan.burst)

    def _settle(self, account: Account, more: float) -> None:
        account.store = min(account.plan.burst, account.store - more)
        account.bucket -= more
        account.own_rate = max(0.0, account.own_rate + more * SECOND / account.span)

    def _metered(self, account: Account, meter: int) -> None:
        if meter > 0 and self.settings.sources.meter_period:
            self._refresh(account)
            account.others_rate = max(0.0, (meter - 1) / 100.0 * account.plan.rate - account.own_rate)
            account.reading_at = self.now

    # Keepers: one of a customer's limiters keeps its store, and tells it to the others as they ask

    def _read(self, request: OpenRequest) -> None:
        """Gets the latest reading of the customer's use, at the request itself where it can be had."""
        account, event, keeper = request.account, request.event, self._keeper(request.account)
        belief = self._belief(account)
        if keeper == self.settings.number:
            ledger = self._ledger(account.key, account.plan, belief)
            granted = self._grants(ledger, event.units)
            self._reading(request, granted, ledger.level, ledger.rate)
        elif keeper is not None and self._may_ask(account):
            self._ask(request, keeper, belief, False)
        else:
            self._decide_alone(request, keeper is not None)

    def _belief(self, account: Account) -> int:
        """A store that another keeper takes over opens as last heard of."""
        part = account.store / (account.plan.burst or 1.0)
        return min(254, _byte(part * 254)) if account.reading_at > NEVER else UNKNOWN

    def _may_ask(self, account: Account) -> bool:
        """Mail is short where requests are many: then most of it is for customers near their quota. The
        others are let in by the last reading, and their use is reported a little later."""
        most = self.settings.sources.peer_intake / 4
        return self.mail_room >= max(1.0, (CALM_PART if self._calm(account) else ANSWER_PART) * most)

    def _calm(self, account: Account) -> bool:
        """Whether much is left also if each of its other limiters let in unseen as much as we did."""
        unseen = self.unreported.get(account.key, 0.0) * (account.spread - 1)
        return account.plan.open_limit <= 0 and account.store - unseen > COMFORT * account.plan.burst

    def _ask(self, request: OpenRequest, keeper: int, belief: int, again: bool) -> None:
        event, self.next_token = request.event, self.next_token + 1
        number = self.next_token % (1 << 16)
        self.questions[number] = (event.request, keeper, belief, again)
        self._post(keeper, request.account.key, ASK, event.plan_index, event.units * 4, belief, number)
        left = event.give_up_at - self.now - 2 * self.settings.tick  # an answer comes after it
        self._timer(min(max(ASK_AIMS * self.aim, LEAST_ASK), left), number)

    def _keeper(self, account: Account) -> int | None:
        """By the customer, so that all its limiters agree; the next in the row while that is silent."""
        count, number = self.settings.limiters, self.settings.number
        if account.spread <= 1:
            return number
        for turn in range(2 * self.settings.allow.peers):
            keeper = (account.first + (account.key + turn) % account.spread) % count
            if keeper == number or self.now >= self.silent.get(keeper, NEVER):
                return keeper
        return None

    def _unanswered(self, number: int) -> None:
        """Asks once more, as messages are lost; then the bucket decides, and the keeper is passed over."""
        if number not in self.questions:
            return
        name, keeper, belief, again = self.questions.pop(number)
        self.missed[keeper] = self.missed.get(keeper, 0) + 1
        if self.missed[keeper] >= MOST_MISSED:
            self.silent[keeper] = self.now + SILENT_FOR
        request = self.requests.get(name)
        if request and not again and self.mail_room >= 1.0:
            self._ask(request, keeper, belief, True)
        elif request:
            self._decide_alone(request, True)

    def _decide_alone(self, request: OpenRequest, kept: bool) -> None:
        """Without a reading of this moment. What is let in reaches the keeper with the next report: it
        left a question open where it had no mail for an answer, and has counted nothing then."""
        account, units = request.account, request.event.units
        inside = (kept and self._calm(account)) or self._inside(account, units)
        if inside and kept:
            self.unreported[account.key] = self.unreported.get(account.key, 0.0) + units
        self._decide(request, inside)

    def _decide(self, request: OpenRequest, inside: bool) -> None:
        request.inside = inside
        if inside:
            self.offered += 1
            return self._first_send(request)
        # work beyond the quota is no demand, and takes no room of the throttle's bucket
        self.throttle.fill = max(0.0, self.throttle.fill - 1.0)
        self._beyond(request)

    def _reading(self, request: OpenRequest, granted: bool, level: float, rate: float) -> None:
        """Takes in a reading; the units it grants fill the bucket, as nobody else may spend them."""
        account, units = request.account, request.event.units
        self._read_level(account, level, rate)
        if granted:
            account.store, account.bucket = level + units, max(account.bucket, 0.0) + units
        elif account.plan.rate > 0:
            # until our share of what comes in is enough for this: were all its limiters to ask as soon as
            # one request's worth has come in, most would ask in vain and take up the keeper's mail
            both = account.own_rate + account.others_rate
            share = max(account.own_rate / both if both > 0 else 1.0, 1.0 / account.spread)
            account.empty_until = self.now + (units - level) / (account.plan.rate * share) * SECOND
        self._decide(request, granted)

    def _read_level(self, account: Account, level: float, rate: float) -> None:
        self._refresh(account)
        account.store, account.reading_at = level, self.now
        account.others_rate = max(0.0, rate - account.own_rate)
        account.bucket = min(account.bucket, self._depth(account, 1.0))

    def _report(self) -> None:
        """Tells keepers in few messages what was let in without asking; each answers with the levels."""
        self.reported_at, unreported, self.unreported = self.now, self.unreported, {}
        uses: dict[int, list[tuple[int, bytes]]] = {}
        for key, units in unreported.items():
            account = self.accounts.get(key)
            keeper = self._keeper(account) if account else None
            if account is None or keeper is None:
                continue
            if keeper == self.settings.number:
                self._spend(self._ledger(key, account.plan, UNKNOWN), units)
                continue
            belief, plan = self._belief(account), self.settings.plans.index(account.plan) % 256
            uses.setdefault(keeper, []).append((key, USE.pack(key, plan, _byte(units * 4), belief)))
        for keeper, entries in uses.items():
            for at in range(0, len(entries), MOST_USES):
                part = entries[at : at + MOST_USES]
                if self.mail_room >= 1.0:
                    self._post_batch(keeper, REPORT, [entry for _, entry in part])
                else:  # it goes with the next ones
                    self.unreported.update((key, unreported[key]) for key, _ in part)

    def _post_batch(self, to: int, what: int, entries: list[bytes]) -> None:
        self.mail_room -= 1.0
        self.actions.append(api.TellPeer(to, HEAD.pack(BATCH, self._latest(), what) + b"".join(entries)))

    def _told_batch(self, sender: int, what: int, body: bytes) -> None:
        if what == REPORT and len(body) % USE.size == 0:
            levels = []
            for key, index, units, belief in USE.iter_unpack(body):
                if index < len(self.settings.plans):
                    plan = self.settings.plans[index]
                    ledger = self._ledger(key, plan, belief)
                    self._spend(ledger, units / 4)
                    level, rate = ledger.level / (plan.burst or 1.0), ledger.rate / (plan.rate or 1.0)
                    levels.append(LEVEL.pack(key, _byte(level * 254), _byte(rate * 254 / 8)))
            if levels and self.mail_room >= 1.0:
                self._post_batch(sender, READINGS, levels)
        elif what == READINGS and len(body) % LEVEL.size == 0:
            for key, level, rate in LEVEL.iter_unpack(body):
                if (account := self.accounts.get(key)) is not None:
                    plan, since = account.plan, self.unreported.get(key, 0.0)
                    self._read_level(account, level / 254 * plan.burst - since, rate / 254 * 8 * plan.rate)

    def _ledger(self, key: int, plan: Plan, belief: int) -> Ledger:
        """Opened full, or as the asking limiter last heard of it from a keeper that is gone."""
        ledger = self.ledgers.pop(key, None)
        if ledger is None or ledger.plan is not plan:
            ledger = Ledger(plan, plan.burst * (1.0 if belief == UNKNOWN else belief / 254), self.now)
        self.ledgers[key] = ledger
        return ledger

    def _fill(self, ledger: Ledger) -> None:
        plan, elapsed, ledger.at = ledger.plan, self.now - ledger.at, self.now
        ledger.level = min(plan.burst, ledger.level + plan.rate * elapsed / SECOND)
        ledger.rate *= exp(-elapsed / RATE_SPAN)

    def _spend(self, ledger: Ledger, units: float) -> None:
        """Takes what was let in already; a store is in debt by the burst at most, as one that went on
        longer would hold back a customer for what nobody knew."""
        self._fill(ledger)
        ledger.level = max(ledger.level - units, -ledger.plan.burst)
        ledger.rate += units * SECOND / RATE_SPAN

    def _grants(self, ledger: Ledger, units: float) -> bool:
        plan = ledger.plan
        self._fill(ledger)
        while ledger.open and self.now - ledger.open[0] > self.latency:
            ledger.open.popleft()  # attempts are taken to be out as long as they usually are
        if (plan.rate > 0 and ledger.level < units) or 0 < plan.open_limit <= len(ledger.open):
            return False
        ledger.level -= units
        ledger.rate += units * SECOND / RATE_SPAN
        if plan.open_limit > 0:
            ledger.open.append(self.now)
        return True

    def _post(self, to: int, key: int, what: int, plan: int, a: float, b: float, asked: int) -> None:
        self.mail_room -= 1.0
        data = ENTRY.pack(FORMAT, self._latest(), key, what, plan % 256, _byte(a), _byte(b), asked)
        self.actions.append(api.TellPeer(to, data))

    def _latest(self) -> int:
        """Our latest latency, told with every message so that few samples each still make a level."""
        at, latest = self.latest
        return min(254, int(latest * 64)) if self.now - at < FRESH_FOR else UNKNOWN

    def _told(self, event: api.PeerMessage) -> None:
        sender, data, settings = event.sender, event.data, self.settings
        if sender not in range(settings.limiters) or len(data) < HEAD.size or data[0] not in (FORMAT, BATCH):
            return
        if data[0] == FORMAT and len(data) != ENTRY.size:
            return
        self.missed.pop(sender, None)
        self.silent.pop(sender, None)
        if data[1] != UNKNOWN:
            self.levels.append((self.now, data[1] / 64))
        if data[0] == BATCH:
            return self._told_batch(sender, data[2], data[HEAD.size :])
        _, _, key, what, index, a, b, number = ENTRY.unpack(data)
        if what == ASK and index < len(settings.plans) and self.mail_room >= 1.0:
            plan = settings.plans[index]
            ledger = self._ledger(key, plan, b)
            answer = GRANTED if self._grants(ledger, a / 4) else DENIED
            level, rate = ledger.level / (plan.burst or 1.0) * 254, ledger.rate / (plan.rate or 1.0) * 254 / 8
            self._post(sender, key, answer, index, level, rate, number)
        elif what in (GRANTED, DENIED):
            name, keeper, _, _ = self.questions.pop(number, ("", -1, 0, False))
            request = self.requests.get(name)
            if request and keeper == sender and request.account.key == key:
                plan = request.account.plan
                self._reading(request, what == GRANTED, a / 254 * plan.burst, b / 254 * 8 * plan.rate)

    # Servers

    def _coldness(self, server: Server) -> float:
        """The least share of its capacity that a young server has; 1 when it is warm."""
        rules, age = self.settings.rules, self.now - server.entry.started_at
        if server.entry.started_at <= 0 or age >= rules.cold_time:
            return 1.0
        return rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age) / rules.cold_time

    def _cold_allows(self, server: Server) -> bool:
        """Our part of a cold server's budget: what warm ones bear of all, less what chance may add."""
        share, rules, count = self._coldness(server), self.settings.rules, self.settings.limiters
        if share >= 1.0:
            return True
        bears = max(self.warm_rate * server.entry.weight * count, self.least_rate * count)
        budget = bears * share * rules.fall_multiple * rules.fall_window / SECOND
        spaced = budget - COLD_CHANCE * sqrt(count / 12.0)  # few limiters send evenly, many at random
        random_part = (sqrt(COLD_CHANCE**2 / 4.0 + budget) - COLD_CHANCE / 2.0) ** 2
        part = COLD_PART * max(spaced, random_part) / count
        server.cold_room += part / rules.fall_window * (self.now - server.cold_at)
        server.cold_room, server.cold_at = min(max(1.0, part), server.cold_room), self.now
        return server.cold_room >= 1.0

    def _estimate(self, server: Server) -> float:
        """Its latency in aims: what is known of it as far as that is fresh, else what its kind takes."""
        usual = self.usual.get(server.entry.kind, GOAL_LOAD_LEVEL / 2)
        return usual + exp((server.known_at - self.now) / KNOWN_FOR) * (server.stretch - usual)

    def _cost(self, server: Server, request: OpenRequest, tried: set[str]) -> float:
        """Looked at for each server drawn, for each request: what is zero on a calm day is not computed."""
        stretch, suspicion = self._estimate(server), 0.0
        if server.out:
            stretch = max(stretch, server.silence(self.now) / self.aim)
        if self.failing:
            suspicion = max(self.failing.get(group, 0.0) for group in server.groups())
        if server.wrong:
            suspicion = max(suspicion, server.wrong * exp((server.wrong_at - self.now) / KNOWN_FOR))
        cost = stretch * (1.0 + len(server.out)) * (1.0 + SUSPECT * suspicion**2 + 0.05 * self.rng.random())
        if server.full_plans >> request.event.plan_index & 1 and self.now - server.full_at < FULL_FOR:
            return cost * 10.0
        return cost * 10.0 if tried and server.entry.server in tried else cost

    def _choose(self, request: OpenRequest) -> Server | None:
        count, drawn = LEAST_DRAWN + DRAWN // self.settings.limiters, self.ready
        if count < len(drawn):
            drawn = self.rng.choices(self.ready, cum_weights=self.ready_weights, k=count)
        pool = self._allowed(request, drawn) or self._allowed(request, self.ready)
        tried = {a.server.entry.server for a in request.attempts}
        best, least = None, 0.0
        for server in pool:  # the first of the cheapest, as min() would give
            cost = self._cost(server, request, tried)
            if best is None or cost < least:
                best, least = server, cost
        return best

    def _allowed(self, request: OpenRequest, servers: list[Server]) -> list[Server]:
        if request.attempts:
            servers = [s for s in servers if self._may_repeat_at(request, s)]
        return [s for s in servers if s.entry.started_at <= 0 or self._cold_allows(s)]

    def _may_repeat_at(self, request: OpenRequest, server: Server) -> bool:
        """The second rule: where a further attempt may go, given the attempts that may have run."""
        run, rclass = [a for a in request.attempts if a.may_have_run], request.rclass
        if not run or rclass.effect is Effect.SAFE:
            return True
        if rclass.effect is Effect.UNSAFE or self.now - run[0].sent_at >= rclass.window - self.settings.tick:
            return False
        first = run[0].server.entry
        if rclass.group is Group.ZONE:
            return first.zone == server.entry.zone
        return rclass.group is Group.ALL or first.cell == server.entry.cell

    def _sample(self, stretch: float) -> None:
        self.latest = (self.now, stretch)
        self.levels.append(self.latest)
        self.back = self.back * exp((self.back_at - self.now) / FRESH_FOR) + SECOND / FRESH_FOR
        self.back_at = self.now

    def load_level(self) -> float:
        """The median of fresh answers, ours and those that peers told, with a few calm ones added, so that
        few neither alarm nor latch; or the crowding."""
        lasts = FRESH_FOR if len(self.levels) > LEAST_ANSWERS else 3 * FRESH_FOR
        while self.levels and self.now - self.levels[0][0] > lasts:
            self.levels.popleft()
        level = median([level for _, level in self.levels] + [GOAL_LOAD_LEVEL / 2] * CALM_ANSWERS)
        return max(level, CROWDING_PART * self.crowding())

    def crowding(self) -> float:
        """Little's law: what is out over what comes back in an aim. It sees a queue before its answers do."""
        seen = 1.0 - exp((self.started - self.now) / FRESH_FOR)
        back = self.back * exp((self.back_at - self.now) / FRESH_FOR) / max(seen, 0.05)
        least = self.entry_rate * len(self.ready)
        return self.out / max(max(back, least) * self.aim / SECOND, LEAST_BACK)

    # Attempts

    def _send(self, request: OpenRequest, server: Server) -> None:
        server.out[request.event.request, len(request.attempts)] = self.now
        request.attempts.append(Attempt(server, self.now))
        server.cold_room -= self._coldness(server) < 1.0
        self.out += 1
        asked = type(request.event) is api.PermissionAsked
        action = api.Permit if asked else api.Send
        self.actions.append(action(request.event.request, server.entry.server, self._patience(request)))
        request.answered = asked  # a permission is the one final answer: no further attempt is ours to make

    def _ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        named = request.attempts[event.attempt : event.attempt + 1] if request and event.attempt >= 0 else []
        if request is None or not named or named[0].over:
            return
        attempt, account = named[0], request.account
        attempt.over = True
        self.out -= 1
        attempt.may_have_run = event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        self._learn(attempt.server, request, event)
        self._metered(account, event.meter)
        if event.true_units > 0 and request.inside and self.settings.sources.settled_after:
            self._settle(account, event.true_units - request.event.units)
        if type(request.event) is api.PermissionAsked:
            self.answers += event.outcome is Outcome.OK and event.took <= request.rclass.aim
            if event.outcome is Outcome.MOOT:
                self._give_back(account, request)
            self._drop_if_over(request)
        elif event.answered and not request.answered:
            self.answers += event.outcome is Outcome.OK and event.took <= request.rclass.aim
            self._finish(request)
        elif not request.answered and not request.out():
            self._again(request, attempt.may_have_run)
        else:
            self._drop_if_over(request)

    def _learn(self, server: Server, request: OpenRequest, event: api.AttemptEnded) -> None:
        server.out.pop((event.request, event.attempt), None)
        aim, outcome, plan = request.rclass.aim, event.outcome, request.event.plan_index
        # one that answered others while this waited is slow, not dead: held for dead, each server that
        # fell behind would be left by all at once, and the rest would fall behind in turn
        silent = outcome is Outcome.TIMEOUT and server.answered_at <= self.now - event.took
        failed = silent or outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
        if outcome in (Outcome.OK, Outcome.ERROR):
            # an error tells nothing of speed, and all servers may give some alike: taken for a latency it
            # would leave out all but those that erred longest ago, and these few would drown
            before = server.wrong * exp((server.wrong_at - self.now) / KNOWN_FOR)
            wrong = outcome is Outcome.ERROR
            server.wrong, server.wrong_at = before + 2 * LATENCY_WEIGHT * (wrong - before), self.now
        slow = outcome is Outcome.TIMEOUT
        if outcome is Outcome.OK:
            server.answered_at = self.now
            server.full_plans &= ~(1 << plan)
            usual = self.usual.get(server.entry.kind, event.took / aim)
            self.usual[server.entry.kind] = usual + LATENCY_WEIGHT / 2 * (event.took / aim - usual)
            self.latency += LATENCY_WEIGHT / 2 * (event.took - self.latency)
        elif outcome is Outcome.FULL:  # told to one plan alone it is no load: the plan goes elsewhere
            server.full_plans |= 1 << plan
            server.full_at = server.answered_at = self.full_at[plan] = self.now
            others = [at for other, at in self.full_at.items() if other != plan]
            slow = len(self.settings.plans) == 1 or self.now - max(others, default=NEVER) < FRESH_FOR
        if failed or outcome is Outcome.OK:
            for group in server.groups():
                before = self.failing.get(group, 0.0)
                if failed or before:  # empty on a calm day, when nobody has to look into it
                    self.failing[group] = before + 2 * LATENCY_WEIGHT * (failed - before)
        if failed or slow or (outcome is Outcome.OK and not request.streaming):  # errors are no health
            stretch = max(event.took / aim, float(slow))
            before, server.known_at = self._estimate(server), self.now
            weight = LATENCY_WEIGHT * (1 + failed)
            server.stretch = before + weight * (max(stretch, FAILURE * failed) - before)
            if slow or not failed:
                self._sample(stretch)

    def _again(self, request: OpenRequest, ran: bool) -> None:
        """No attempt is out and none has answered: try another server, or give the final answer."""
        in_time = self._patience(request) > 2 * self.settings.tick and not request.streaming
        if not any(a.may_have_run for a in request.attempts):
            # a refusal is worth more to a client while it has time to ask elsewhere
            time = request.event.give_up_at - request.arrived
            in_time = in_time and self.now - request.arrived < UNSEEN_UNTIL * time
        fewer = self.extra >= 1.0 and len(request.attempts) < self.settings.allow.max_attempts
        server = self._choose(request) if in_time and fewer else None
        if server is None:
            return self._close(request)
        self.extra -= 1.0 if ran else UNSEEN_COST
        self._send(request, server)

    def _patience(self, request: OpenRequest) -> float:
        """How long an answer is waited for: past the aim it may earn nothing and keep others waiting."""
        left, rclass = request.event.give_up_at - self.now, request.rclass
        early = rclass.effect is Effect.SAFE and rclass.late_worth <= 0 and not rclass.stream
        return max(1.0, min(left, request.arrived + rclass.aim - self.now) if early else left)

    def _close(self, request: OpenRequest) -> None:
        """The one final answer: a refusal where no attempt can have run, else a failure."""
        if not request.answered and not request.streaming:
            name, allow = request.event.request, self.settings.allow
            run = any(a.may_have_run for a in request.attempts)
            wait = self._advice(request.account) if allow.retry_after else 0.0
            self.actions.append(api.Fail(name) if run else api.Refuse(name, wait))
            self._finish(request)

    def _advice(self, account: Account) -> float:
        """When to come back: once the quota has room by what its keeper told, else after a control period."""
        wait = account.empty_until - self.now
        wait = max(wait, self.settings.tick) if wait > 0 else CONTROL_PERIOD
        return min(wait, self.settings.allow.max_retry_after)

    def _finish(self, request: OpenRequest) -> None:
        if not request.answered and self.settings.allow.cancel:
            for number, attempt in enumerate(request.attempts):
                if not attempt.over:
                    self.actions.append(api.Cancel(request.event.request, number))
        request.answered = True
        self._drop_if_over(request)

    def _drop_if_over(self, request: OpenRequest) -> None:
        if not request.answered or request.out() or self.requests.pop(request.event.request, None) is None:
            return
        if request.attempts:
            request.account.open = max(0, request.account.open - 1)

    # Upkeep

    def _tick(self) -> None:
        self._timer(self.tick)
        elapsed, self.ticked_at = self.now - self.ticked_at, self.now
        for name in [n for n in (self.held.popleft() for _ in range(len(self.held))) if n in self.requests]:
            self._first_send(self.requests[name])
        if self.now - self.rated_at >= CONTROL_PERIOD:
            self._rate((self.now - self.rated_at) / SECOND)
        self._control()
        intake = self.settings.sources.peer_intake
        self.mail_room = min(self.mail_room + MAIL_PART * intake * elapsed / SECOND, intake / 4)
        if self.unreported and self.now - self.reported_at >= REPORT_EVERY:
            self._report()
        if self.settings.subscribe and self.now - self.asked_at >= self.settings.rules.ask_within / 2:
            self.asked_at = self.now  # well before old news would count against the drain rule
            self.actions += [api.Subscribe(True), api.FetchList()]

    def _rate(self, elapsed: float) -> None:
        self.rated_at, self.admit_rate = self.now, self.admitted / elapsed
        self.peak_rate = max(self.offered / elapsed, 0.95 * self.peak_rate)
        rate = max(self.answer_rate, self.answers / elapsed, 0.1)
        span = max(RATE_SPAN / SECOND, 2 * RATE_COUNT / rate)
        weight = max(1.0 - exp(-elapsed / span), elapsed * SECOND / (self.now - self.started))
        self.answer_rate += weight * (self.answers / elapsed - self.answer_rate)
        gap = SECOND / max(self.arrivals / elapsed, 0.1)
        self.tick = min(max(TICK, 0.75 * self.tick + gap / 16), MOST_TICK)
        self.offered = self.admitted = self.arrivals = self.answers = 0
        self._draw_from()
        weight = sum(s.entry.weight for s in self.ready if self._coldness(s) >= 1.0)
        self.warm_rate = self.answer_rate / weight if weight > 0 else self.warm_rate
        self.failing = {group: 0.8 * share for group, share in self.failing.items() if share > 1e-3}
        self._age_out()

    def _age_out(self) -> None:
        """Forgets what is gone or full again: new customers, servers and cells come all day. The longest
        unused stand first, so a look ends at the first that is in use; those before it that are not full
        yet are few, as a store fills in seconds."""
        old = []
        for account in self.accounts.values():
            if self.now - account.at <= FORGET_AFTER:
                break
            p = account.plan  # once every store is full again, so that nothing is won by it
            owed = max(p.burst, p.burst - account.bucket * account.spread) / (p.rate or 1.0)
            refill = max(owed, p.ceiling_burst / (p.ceiling_rate or 1.0)) * SECOND
            if not account.open and self.now - account.at > refill:
                old.append(account.key)
        for key in old:
            del self.accounts[key]
        full = []
        for key, ledger in self.ledgers.items():
            elapsed = self.now - ledger.at
            if elapsed <= FORGET_AFTER:
                break
            if ledger.level + ledger.plan.rate * elapsed / SECOND >= ledger.plan.burst:
                full.append(key)
        for key in full:
            del self.ledgers[key]
        for name in [name for name, server in self.servers.items() if server.gone and not server.out]:
            del self.servers[name]

    def _control(self) -> None:
        if self.now - self.started < 2 * CONTROL_PERIOD:
            return  # what is borne is not seen yet: an entry now would be at the least rate
        before, level, ready = self.throttle.phase, self.load_level(), len(self.ready)
        self.throttle.max_leak_rate = MAX_LEAK_OVER_DEMAND * self.peak_rate
        self.throttle.least_rate = max(self.least_rate * ready, LEAST_OF_ANSWERED * self.answer_rate)
        self.throttle.update(level, self.admit_rate, max(self.answer_rate, self.entry_rate * ready), self.now)
        after = self.throttle.phase
        if before is not after and Phase.NOT_OVERLOADED in (before, after):
            verb = "ends" if after is Phase.NOT_OVERLOADED else "starts"
            shown = f"load_level {level:.2f}, leak_rate {self.throttle.leak_rate:.1f}/s"
            self.actions.append(api.Log(f"throttling {verb}: {shown}"))
