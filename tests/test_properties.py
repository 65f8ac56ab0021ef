"""Random sequences of events break none of the rules that a limiter can keep without other limiters."""

from collections import Counter
from dataclasses import replace

from helpers import KEYED_CLASS, LimiterHarness, limiter_settings, server_entry, start_harness
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.interface import ListKind, Outcome, ServerState

REMAINING_MS = st.sampled_from([20, 900, 4000])
OUTCOMES = st.sampled_from(list(Outcome))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("request"), st.integers(0, 3), st.integers(0, 3), st.integers(1, 4), REMAINING_MS),
        st.tuples(st.just("end"), st.integers(0, 30), OUTCOMES, st.integers(0, 300)),
        st.tuples(st.just("wait"), st.integers(1, 700)),
        st.tuples(st.just("list"), st.integers(0, 5), st.sampled_from(list(ServerState)), st.booleans()),
        st.tuples(st.just("disconnect"), st.integers(0, 30)),
        st.tuples(st.just("peer"), st.binary(max_size=30)),
    ),
    max_size=60,
)


class RuleChecker:
    """Checks the attempts and answers of a harness against the rules.

    Attributes:
        harness: The harness under test.
        unavailable_since_ms: The time at which each server that is not running stopped to be, by server id.
        possible_runs: The time and server id of the attempts that may have run, by request id.
        class_indices: The class index of each request, by request id.
        checked_count: The number of sent attempts that were checked.
    """

    def __init__(self, harness: LimiterHarness) -> None:
        self.harness = harness
        self.unavailable_since_ms: dict[str, float] = {}
        self.possible_runs: dict[str, list[tuple[float, str]]] = {}
        self.class_indices: dict[str, int] = {}
        self.checked_count = 0

    def check_sends(self) -> None:
        for sent_at_ms, send in self.harness.sent_attempts[self.checked_count :]:
            since_ms = self.unavailable_since_ms.get(send.server_id)
            assert since_ms is None or sent_at_ms - since_ms <= 250.0, "an attempt was sent to a draining server"
            runs = self.possible_runs.setdefault(send.request_id, [])
            class_index = self.class_indices[send.request_id]
            if runs and class_index == 2:
                raise AssertionError("a request that is not idempotent was sent again")
            if runs and class_index == 1:  # the rule also holds if the retry waits for a connection
                first_sent_at_ms, first_server_id = runs[0]
                assert (
                    sent_at_ms
                    - first_sent_at_ms
                    + self.harness.limiter.context.settings.capabilities.connect_timeout_ms
                    <= KEYED_CLASS.deduplication_window_ms
                )
                assert "abcdef".index(first_server_id) % 2 == "abcdef".index(send.server_id) % 2
            runs.append((sent_at_ms, send.server_id))
        self.checked_count = len(self.harness.sent_attempts)
        for request_id, answers in self.harness.final_answers.items():
            if self.class_indices[request_id] in (1, 2) and "Reject" in answers:
                assert not self.possible_runs.get(request_id), "a request that may have run was rejected as retryable"
        in_flight_counts = Counter(request_id for request_id, _, _ in self.harness.attempts_in_flight)
        assert all(count <= 1 for count in in_flight_counts.values()), "a request has two attempts in flight"


def play_steps(harness: LimiterHarness, steps: list[tuple[object, ...]]) -> None:
    checker = RuleChecker(harness)
    for step in steps:
        match step:
            case ("request", int(class_index), int(plan_index), int(units), int(remaining_ms)):
                request_id = f"r{harness.request_count + 1}"
                checker.class_indices[request_id] = class_index
                harness.send_request(f"c{plan_index}", plan_index, float(units), class_index, 2, float(remaining_ms))
            case ("end", int(index), Outcome() as outcome, int(duration_ms)) if harness.attempts_in_flight:
                request_id = harness.attempts_in_flight[index % len(harness.attempts_in_flight)][0]
                _, _, server_id = next(each for each in harness.attempts_in_flight if each[0] == request_id)
                if outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_FORWARDED):
                    runs = checker.possible_runs.get(request_id, [])
                    checker.possible_runs[request_id] = [run for run in runs if run[1] != server_id]
                harness.end_attempt(request_id, outcome, float(duration_ms))
            case ("wait", int(wait_ms)):
                harness.run_until(harness.now_ms + wait_ms)
            case ("list", int(index), ServerState() as state, bool(is_warming_up)):
                server_id = "abcdef"[index]
                started_at_ms = harness.now_ms if is_warming_up else 0.0
                harness.apply_list(server_entry(server_id, index % 2, state, started_at_ms), kind=ListKind.CHANGES)
                if state is ServerState.RUNNING:
                    checker.unavailable_since_ms.pop(server_id, None)
                else:
                    checker.unavailable_since_ms.setdefault(server_id, harness.now_ms)
            case ("disconnect", int(index)) if harness.attempts_in_flight:
                request_id = harness.attempts_in_flight[index % len(harness.attempts_in_flight)][0]
                if request_id not in harness.answered_ids:
                    harness.handle(api.ClientDisconnected(request_id))
            case ("peer", bytes(payload)):
                harness.handle(api.PeerMessage(1, payload))
        checker.check_sends()
    harness.run_until(harness.now_ms + 5000.0)
    checker.check_sends()
    for request_id in checker.class_indices:
        assert request_id in harness.answered_ids, "a request has no final answer"
        assert len(harness.final_answers.get(request_id, [])) <= 1


@given(STEPS)
@hypothesis_settings(max_examples=150, derandomize=True, deadline=None)
def test_rules_hold_for_any_order_of_events(steps: list[tuple[object, ...]]) -> None:
    play_steps(start_harness(limiter_settings(can_message_peers=True)), steps)


@given(STEPS)
@hypothesis_settings(max_examples=150, derandomize=True, deadline=None)
def test_rules_hold_for_any_order_of_events_where_attempts_wait_for_a_connection(
    steps: list[tuple[object, ...]],
) -> None:
    base = limiter_settings(can_message_peers=True)
    play_steps(start_harness(replace(base, capabilities=replace(base.capabilities, connect_timeout_ms=250.0))), steps)


@given(STEPS)
@hypothesis_settings(max_examples=30, derandomize=True, deadline=None)
def test_same_events_give_the_same_actions(steps: list[tuple[object, ...]]) -> None:
    first, second = (
        start_harness(limiter_settings(can_message_peers=True)),
        start_harness(limiter_settings(can_message_peers=True)),
    )
    play_steps(first, steps)
    play_steps(second, steps)
    assert (first.sent_attempts, first.final_answers, first.other_actions) == (
        second.sent_attempts,
        second.final_answers,
        second.other_actions,
    )


@given(st.lists(st.tuples(st.integers(1, 200), st.integers(1, 6), st.booleans()), max_size=120))
@hypothesis_settings(max_examples=60, derandomize=True, deadline=None)
def test_the_part_of_a_hard_ceiling_holds_through_restarts(steps: list[tuple[int, int, bool]]) -> None:
    harness = start_harness(server_ids="abc")
    # The limiter's part of a ceiling with a burst of 24 units and a rate of 12 units a second, split over two limiters.
    level_units, refilled_at_ms = 12.0, 0.0
    for wait_ms, units, is_restart in steps:
        harness.run_until(harness.now_ms + wait_ms)
        if is_restart:
            request_count = harness.request_count
            harness = start_harness(server_ids="abc", started_at_ms=harness.now_ms)
            harness.request_count = request_count
        level_units = min(12.0, level_units + 6.0 * (harness.now_ms - refilled_at_ms) / 1000.0)
        refilled_at_ms = harness.now_ms
        request_id = harness.send_request("c", 1, float(units), limiter_count=2)
        if harness.attempted_servers(request_id):
            level_units -= units
            harness.end_attempt(request_id)
        assert level_units >= -1e-6
