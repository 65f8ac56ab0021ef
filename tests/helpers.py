"""A test harness that runs a limiter on a simulated clock, carries out its actions and checks general rules."""

from __future__ import annotations

from dataclasses import dataclass, field

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.interface import Outcome
from elderlock.state import Account

IDEMPOTENT_CLASS = api.RequestClass("read", latency_objective_ms=1000.0)
KEYED_CLASS = api.RequestClass(
    "put", 1000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.ZONE, deduplication_window_ms=2000.0
)
NOT_IDEMPOTENT_CLASS = api.RequestClass("pay", 1000.0, api.Idempotency.NOT_IDEMPOTENT)
STREAM_CLASS = api.RequestClass("watch", 1000.0, is_streaming=True)
RULES = api.ServiceRules(
    warm_up_initial_fraction=0.2,
    warm_up_ms=10000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
    list_refresh_within_ms=8000.0,
)
PLAIN_PLAN = api.Plan("plain", price_weight=1.0, rate_per_s=10.0, burst_units=20.0)
CEILING_PLAN = api.Plan(
    "ceiled", 1.0, 10.0, 20.0, ceiling_rate_per_s=12.0, ceiling_burst_units=24.0, ceiling_slack_units=2.4
)
CONCURRENCY_PLAN = api.Plan("capped", 1.0, 100.0, 100.0, concurrency_limit=2)
OVER_QUOTA_PLAN = api.Plan("earning", 0.5, 1.0, 2.0, over_quota_value=0.2)


def limiter_settings(
    limiter_count: int = 3,
    can_message_peers: bool = False,
    meter_period_ms: float = 0.0,
    subscribes_to_list: bool = False,
    can_cancel: bool = True,
    is_cost_known_at_end: bool = False,
) -> api.Settings:
    """Return the settings of a small group of limiters."""
    return api.Settings(
        limiter_index=0,
        limiter_count=limiter_count,
        clock_tick_ms=4.0,
        zone=0,
        request_classes=(IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS, STREAM_CLASS),
        plans=(PLAIN_PLAN, CEILING_PLAN, CONCURRENCY_PLAN, OVER_QUOTA_PLAN),
        rules=RULES,
        capabilities=api.Capabilities(max_attempts=4, can_cancel=can_cancel, can_message_peers=can_message_peers),
        quota_sources=api.QuotaSources(
            meter_period_ms=meter_period_ms,
            peer_messages_per_s=100.0,
            is_cost_known_at_end=is_cost_known_at_end,
        ),
        subscribes_to_list=subscribes_to_list,
    )


RUNNING = api.ServerState.RUNNING


def server_entry(
    server_id: str, zone: int = 0, state: api.ServerState = RUNNING, started_at_ms: float = 0.0
) -> api.ServerEntry:
    """Return an entry of the server list."""
    return api.ServerEntry(server_id, zone, 0, zone, state, 1.0, started_at_ms)


@dataclass
class LimiterHarness:
    """Runs a limiter on a simulated clock.

    Attributes:
        limiter: The limiter under test.
        now_ms: The simulated time.
        timers: The time at which each timer fires, and its token.
        sent_attempts: The time at which each attempt was sent, and the action.
        final_answers: The names of the final actions of each request, by request id.
        answered_ids: The ids of the requests that have their final answer.
        attempt_counts: The number of attempts of each request, by request id.
        attempts_in_flight: The request id, index and server id of each attempt without an outcome.
        other_actions: The time and the action of all other actions.
        attempt_timeouts: The time at which each attempt in flight times out, and the attempt.
        permits: The time and the action of each permit.
        request_count: The number of requests that were sent.
    """

    limiter: Limiter
    now_ms: float = 0.0
    timers: list[tuple[float, int]] = field(default_factory=list)
    sent_attempts: list[tuple[float, api.SendAttempt]] = field(default_factory=list)
    final_answers: dict[str, list[str]] = field(default_factory=dict)
    answered_ids: set[str] = field(default_factory=set)
    attempt_counts: dict[str, int] = field(default_factory=dict)
    attempts_in_flight: list[tuple[str, int, str]] = field(default_factory=list)
    other_actions: list[tuple[float, api.Action]] = field(default_factory=list)
    attempt_timeouts: list[tuple[float, tuple[str, int, str]]] = field(default_factory=list)
    permits: list[tuple[float, api.Permit]] = field(default_factory=list)
    request_count: int = 0

    def handle(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the limiter, and carry out the actions that it returns."""
        if isinstance(event, api.AttemptEnded | api.ClientDisconnected) and getattr(event, "is_answered", True):
            self.answered_ids.add(event.request_id)
        if isinstance(event, api.StreamStarted):
            self.attempt_timeouts = [
                timeout
                for timeout in self.attempt_timeouts
                if timeout[1][:2] != (event.request_id, event.attempt_index)
            ]
        actions = self.limiter.handle(event, self.now_ms)
        self.carry_out(actions)
        return actions

    def carry_out(self, actions: list[api.Action]) -> None:
        """Record the actions, and fail the test on an attempt or a further answer after the final answer."""
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now_ms + max(action.delay_ms, 4.0), action.token))
            elif isinstance(action, api.SendAttempt):
                assert action.request_id not in self.answered_ids, "an attempt was sent after the final answer"
                attempt_index = self.attempt_counts.get(action.request_id, 0)
                self.attempt_counts[action.request_id] = attempt_index + 1
                self.attempts_in_flight.append((action.request_id, attempt_index, action.server_id))
                self.sent_attempts.append((self.now_ms, action))
                if action.timeout_ms > 0:
                    self.attempt_timeouts.append((self.now_ms + action.timeout_ms, self.attempts_in_flight[-1]))
            elif isinstance(action, api.Permit):
                assert action.request_id not in self.answered_ids, "a request was answered twice"
                self.answered_ids.add(action.request_id)
                self.final_answers.setdefault(action.request_id, []).append("Permit")
                self.attempts_in_flight.append((action.request_id, 0, action.server_id))
                self.permits.append((self.now_ms, action))
            elif isinstance(action, api.Reject | api.Fail):
                assert action.request_id not in self.answered_ids, "a request was answered twice"
                self.answered_ids.add(action.request_id)
                self.final_answers.setdefault(action.request_id, []).append(type(action).__name__)
            else:
                self.other_actions.append((self.now_ms, action))

    def run_until(self, until_ms: float) -> None:
        """Advance the clock, with the timers and the timeouts of attempts that are due until then."""
        while True:
            self.attempt_timeouts = [
                timeout for timeout in self.attempt_timeouts if timeout[1] in self.attempts_in_flight
            ]
            due_times_ms = [due[0] for due in [*self.timers, *self.attempt_timeouts] if due[0] <= until_ms]
            if not due_times_ms:
                break
            self.now_ms = max(self.now_ms, min(due_times_ms))
            for due_at_ms, attempt in [timeout for timeout in self.attempt_timeouts if timeout[0] <= self.now_ms]:
                self.attempt_timeouts.remove((due_at_ms, attempt))
                self.attempts_in_flight.remove(attempt)
                is_answered = attempt[0] in self.answered_ids
                self.handle(api.AttemptEnded(*attempt, Outcome.TIMEOUT, 1.0, is_answered))
            for timer in [timer for timer in self.timers if timer[0] <= self.now_ms]:
                self.timers.remove(timer)
                self.handle(api.TimerFired(timer[1]))
        self.now_ms = max(self.now_ms, until_ms)

    def send_request(
        self,
        customer_id: str = "c",
        plan_index: int = 0,
        units: float = 1.0,
        class_index: int = 0,
        limiter_count: int = 1,
        remaining_ms: float = 4000.0,
        wants_permit: bool = False,
    ) -> str:
        """Send a request, or ask for a permit, and return its id.

        Args:
            customer_id: The customer's id.
            plan_index: The index of the plan.
            units: The cost of the request in units.
            class_index: The index of the class.
            limiter_count: The number of limiters that serve the customer.
            remaining_ms: The time until the deadline.
            wants_permit: Whether the client asks for a permit.
        """
        self.request_count += 1
        request_id = f"r{self.request_count}"
        event_class = api.PermitRequested if wants_permit else api.RequestArrived
        deadline_ms = self.now_ms + remaining_ms
        self.handle(event_class(request_id, class_index, plan_index, customer_id, units, deadline_ms, limiter_count, 0))
        return request_id

    def end_attempt(
        self,
        request_id: str,
        outcome: api.Outcome = api.Outcome.OK,
        duration_ms: float = 50.0,
        meter: int = 0,
        settled_units: float = 0.0,
    ) -> list[api.Action]:
        """End the oldest attempt in flight of a request."""
        oldest = next((attempt for attempt in self.attempts_in_flight if attempt[0] == request_id), None)
        if oldest is None:
            return []
        self.attempts_in_flight.remove(oldest)
        _, attempt_index, server_id = oldest
        is_answered = outcome is api.Outcome.OK or request_id in self.answered_ids
        return self.handle(
            api.AttemptEnded(
                request_id, attempt_index, server_id, outcome, duration_ms, is_answered, meter, settled_units
            )
        )

    def is_served(
        self, customer_id: str = "c", plan_index: int = 0, units: float = 1.0, limiter_count: int = 1
    ) -> bool:
        """Send a request, answer its first attempt if there is one, and return whether there was."""
        request_id = self.send_request(customer_id, plan_index, units, limiter_count=limiter_count)
        self.end_attempt(request_id)
        return bool(self.attempted_servers(request_id))

    def apply_list(self, *entries: api.ServerEntry, kind: api.ListKind = api.ListKind.COMPLETE) -> None:
        """Pass a server list to the limiter."""
        self.handle(api.ServerList(1, kind, entries))

    def attempted_servers(self, request_id: str) -> list[str]:
        """Return the ids of the servers that attempts of a request were sent to."""
        return [attempt.server_id for _, attempt in self.sent_attempts if attempt.request_id == request_id]


def start_harness(
    settings: api.Settings | None = None, server_ids: str = "abcdef", started_at_ms: float = 0.0
) -> LimiterHarness:
    """Start a limiter whose server list has one server for each letter of `server_ids`, in two zones by turns."""
    settings = settings or limiter_settings()
    harness = LimiterHarness(Limiter(settings, 7, started_at_ms), now_ms=started_at_ms)
    harness.carry_out(harness.limiter.start(started_at_ms))
    entries = [server_entry(server_id, index % 2) for index, server_id in enumerate(server_ids)]
    harness.apply_list(*entries, kind=api.ListKind.CACHED)
    return harness


def account_of(harness: LimiterHarness, index: int = 0) -> Account:
    """Return an account of the limiter, in the order in which they were opened."""
    return list(harness.limiter.quotas.accounts.values())[index]
