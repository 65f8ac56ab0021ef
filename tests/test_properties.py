"""Random orders of events never break a rule that a limiter can keep without the others."""

from collections import Counter
from dataclasses import replace

from helpers import KEYED_CLASS, LimiterHarness, limiter_settings, server_entry, start_harness
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.interface import ListKind, Outcome, ServerState

LEFT = st.sampled_from([20, 900, 4000])
OUTCOMES = st.sampled_from(list(Outcome))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(0, 3), st.integers(0, 3), st.integers(1, 4), LEFT),
        st.tuples(st.just("end"), st.integers(0, 30), OUTCOMES, st.integers(0, 300)),
        st.tuples(st.just("wait"), st.integers(1, 700)),
        st.tuples(st.just("list"), st.integers(0, 5), st.sampled_from(list(ServerState)), st.booleans()),
        st.tuples(st.just("gone"), st.integers(0, 30)),
        st.tuples(st.just("peer"), st.binary(max_size=30)),
    ),
    max_size=60,
)


class RuleChecker:
    """Keeps beside a harness what each rule needs to be checked."""

    def __init__(self, harness: LimiterHarness) -> None:
        self.harness = harness
        self.left: dict[str, float] = {}
        self.ran: dict[str, list[tuple[float, str]]] = {}
        self.kinds: dict[str, int] = {}
        self.deadline: dict[str, float] = {}
        self.seen = 0

    def check_sends(self) -> None:
        for at, send in self.harness.sent_attempts[self.seen :]:
            left = self.left.get(send.server_id)
            assert left is None or at - left <= 250.0, "sent to a server that drains"
            ran = self.ran.setdefault(send.request_id, [])
            kind = self.kinds[send.request_id]
            if ran and kind == 2:
                raise AssertionError("an unsafe request was sent again")
            if ran and kind == 1:  # also where a connection has to come up first
                assert (
                    at - ran[0][0] + self.harness.limiter.context.settings.capabilities.connect_timeout_ms
                    <= KEYED_CLASS.deduplication_window_ms
                )
                assert "abcdef".index(ran[0][1]) % 2 == "abcdef".index(send.server_id) % 2
            ran.append((at, send.server_id))
        self.seen = len(self.harness.sent_attempts)
        for name, finals in self.harness.final_answers.items():
            if self.kinds[name] in (1, 2) and "Reject" in finals:
                assert not self.ran.get(name), "refused, so that its client asks again, though it may have run"
        out = Counter(name for name, _, _ in self.harness.attempts_in_flight)
        assert all(count <= 1 for count in out.values()), "two attempts of one request are out"


def play(harness: LimiterHarness, steps: list[tuple[object, ...]]) -> None:
    checker = RuleChecker(harness)
    for step in steps:
        match step:
            case ("ask", int(kind), int(plan), int(units), int(left)):
                name = f"r{harness.request_count + 1}"
                checker.kinds[name], checker.deadline[name] = kind, harness.now_ms + left
                harness.send_request(f"c{plan}", plan, float(units), kind, 2, float(left))
            case ("end", int(index), Outcome() as outcome, int(took)) if harness.attempts_in_flight:
                name = harness.attempts_in_flight[index % len(harness.attempts_in_flight)][0]
                number = next(o for o in harness.attempts_in_flight if o[0] == name)
                if outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_FORWARDED):
                    ran = checker.ran.get(name, [])
                    checker.ran[name] = [r for r in ran if r[1] != number[2]]
                harness.end_attempt(name, outcome, float(took))
            case ("wait", int(ms)):
                harness.run_until(harness.now_ms + ms)
            case ("list", int(index), ServerState() as state, bool(cold)):
                server = "abcdef"[index]
                started = harness.now_ms if cold else 0.0
                harness.apply_list(server_entry(server, index % 2, state, started), kind=ListKind.CHANGES)
                if state is ServerState.RUNNING:
                    checker.left.pop(server, None)
                else:
                    checker.left.setdefault(server, harness.now_ms)
            case ("gone", int(index)) if harness.attempts_in_flight:
                name = harness.attempts_in_flight[index % len(harness.attempts_in_flight)][0]
                if name not in harness.answered_ids:
                    harness.handle(api.ClientDisconnected(name))
            case ("peer", bytes(data)):
                harness.handle(api.PeerMessage(1, data))
        checker.check_sends()
    harness.run_until(harness.now_ms + 5000.0)
    checker.check_sends()
    for name in checker.kinds:
        assert name in harness.answered_ids, "a request has no final answer"
        assert len(harness.final_answers.get(name, [])) <= 1


@given(STEPS)
@hypothesis_settings(max_examples=150, derandomize=True, deadline=None)
def test_rules_hold_for_any_order_of_events(steps: list[tuple[object, ...]]) -> None:
    play(start_harness(limiter_settings(can_message_peers=True)), steps)


@given(STEPS)
@hypothesis_settings(max_examples=150, derandomize=True, deadline=None)
def test_rules_hold_for_any_order_of_events_where_attempts_wait_for_a_connection(
    steps: list[tuple[object, ...]],
) -> None:
    base = limiter_settings(can_message_peers=True)
    play(start_harness(replace(base, capabilities=replace(base.capabilities, connect_timeout_ms=250.0))), steps)


@given(STEPS)
@hypothesis_settings(max_examples=30, derandomize=True, deadline=None)
def test_same_events_give_the_same_actions(steps: list[tuple[object, ...]]) -> None:
    first, second = (
        start_harness(limiter_settings(can_message_peers=True)),
        start_harness(limiter_settings(can_message_peers=True)),
    )
    play(first, steps)
    play(second, steps)
    assert (first.sent_attempts, first.final_answers, first.other_actions) == (
        second.sent_attempts,
        second.final_answers,
        second.other_actions,
    )


@given(st.lists(st.tuples(st.integers(1, 200), st.integers(1, 6), st.booleans()), max_size=120))
@hypothesis_settings(max_examples=60, derandomize=True, deadline=None)
def test_the_part_of_a_hard_ceiling_holds_through_restarts(steps: list[tuple[int, int, bool]]) -> None:
    harness = start_harness(server_ids="abc")
    level, at = 12.0, 0.0  # this limiter's part of burst 24 at rate 12, split over two
    for wait, units, restart in steps:
        harness.run_until(harness.now_ms + wait)
        if restart:
            count = harness.request_count
            harness = start_harness(server_ids="abc", started_at_ms=harness.now_ms)
            harness.request_count = count
        level, at = min(12.0, level + 6.0 * (harness.now_ms - at) / 1000.0), harness.now_ms
        name = harness.send_request("c", 1, float(units), limiter_count=2)
        if harness.attempted_servers(name):
            level -= units
            harness.end_attempt(name)
        assert level >= -1e-6
