"""The fleet's decisions: wishes, reach, membership, plans, comparison, the account of a command."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.control.messages import AnswerCounts, LimiterState, ServerStatus
from elderlock.control.records import Record, Records
from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import Missing, Refusal
from elderlock.fleet.client.comparison import compare
from elderlock.fleet.client.drain_plan import (
    MAXIMUM_STEP_SHARE,
    MINIMUM_CAPACITY_LEFT,
    limiter_drain_risks,
    plan_server_drain,
    summarize_servers,
)
from elderlock.fleet.client.report import CommandReport, Exit
from elderlock.fleet.drain_intents import RecordProgress, concerns, decide_intent
from elderlock.fleet.group.membership import SUSPECT_AFTER, UNREACHABLE_AFTER, Membership
from elderlock.fleet.supervision.supervisor import Command, Policy, Supervisor
from elderlock.standins.limiters import box, state


def record(generation: int = 1, drained: bool = True, by: str = "an", target: str = "s-1") -> Record:
    return Record("box", target, drained, generation, f"{by}-{generation}", by, 0.0)


def wish(drained: bool = True, expect: int = 0) -> f.DrainIntent:
    return f.DrainIntent("box", "s-1", drained, expect)


def intend(generation: int, origin: str = "binh-x") -> f.SubmitIntents:
    return f.SubmitIntents(1, origin, generation, (), (), "", 200.0)


def test_a_wish_makes_one_record_and_its_repeat_makes_none() -> None:
    made = decide_intent(Records(), wish(), intend(1), "binh", 5.0)
    assert made.outcome == "made" and made.record is not None
    assert (made.record.requested_by, made.record.generation, made.record.created_at_unix_ms) == ("binh", 1, 5.0)
    again = decide_intent(Records([made.record]), wish(), intend(1), "binh", 6.0)
    assert again.outcome == "made" and again.record == made.record


def test_two_who_drain_the_same_box_share_one_record_and_are_told_whose() -> None:
    decision = decide_intent(Records([record(3)]), wish(expect=0), intend(4), "binh", 0.0)
    assert decision.outcome == "joined" and decision.record == record(3)
    assert decision.text == "drained by an (generation 3) already"


def test_who_acts_on_what_was_before_anothers_change_is_told_so() -> None:
    held = Records([record(4, drained=True)])
    decision = decide_intent(held, wish(drained=False, expect=2), intend(5), "binh", 0.0)
    assert decision.outcome == "stale" and decision.record == record(4)
    assert decision.text == "you acted on generation 2, but it is drained by an (generation 4) since"
    assert decide_intent(held, wish(drained=False, expect=4), intend(5), "binh", 0.0).outcome == "made"


def test_a_generation_that_is_not_above_what_holds_is_refused() -> None:
    decision = decide_intent(Records([record(4)]), wish(drained=False, expect=4), intend(4), "binh", 0.0)
    assert decision.outcome == "refused"


def test_to_undrain_what_was_never_drained_changes_nothing() -> None:
    assert decide_intent(Records(), wish(drained=False), intend(1), "binh", 0.0).record is None


# How far a record came


def test_what_was_sent_and_not_answered_is_unknown_until_the_limiter_says_so_itself() -> None:
    book = RecordProgress()
    assert book.reach("n0", record(), True, "").state == "not-reached"
    book.record_sent([record()])
    reach = book.reach("n0", record(), True, "")
    assert (reach.state, reach.why) == ("unknown", "sent, no answer: it may be in force")
    book.record_applied([record()], 7.0, {"s-1": 2}, 0)
    reach = book.reach("n0", record(), True, "silent: no answer")
    assert (reach.state, reach.at, reach.open_requests, reach.why) == ("reached", 7.0, 2, "")
    book.record_applied([record()], 9.0, {"s-1": 0}, 0)
    assert book.reach("n0", record(), True, "").at == 7.0  # since when, not when last told


def test_an_older_record_in_force_is_not_the_newer_one() -> None:
    book = RecordProgress()
    book.record_applied([record(1)], 7.0, {}, 0)
    assert book.reach("n0", record(2, drained=False), True, "").state == "not-reached"


def test_what_a_process_held_says_nothing_of_the_next() -> None:
    book = RecordProgress()
    book.record_sent([record()])
    book.record_applied([record()], 7.0, {"s-1": 2}, 3)
    book.reset()
    assert book.reach("n0", record(), True, "").state == "not-reached"
    assert book.reach("n0", record(), False, "").state == "at-start"


def test_a_boxs_drain_concerns_all_and_a_limiters_that_one() -> None:
    own = Record("limiter", "n0", True, 1, "o", "an", 0.0)
    assert concerns(record(), "n9") and concerns(own, "n0") and not concerns(own, "n1")


# Membership


def heard(agent: str, incarnation: int, sequence: int, age: float) -> f.AgentObservation:
    return f.AgentObservation(agent, "alive", incarnation, sequence, age, "", ())


def test_standing_follows_the_silence() -> None:
    members = Membership("a", ["a", "b"])
    assert [(h.agent, h.standing, h.age_ms) for h in members.view(0.0)] == [("b", "unreachable", -1.0)]
    members.record_direct("b", 1, 1, (), 100.0)
    standing = [members.view(100.0 + t)[0].standing for t in (0, SUSPECT_AFTER, UNREACHABLE_AFTER)]
    assert standing == ["alive", "suspect", "unreachable"]


def test_what_one_says_of_itself_beats_older_news_and_a_stranger_is_not_kept() -> None:
    members = Membership("a", ["a", "b", "c"])
    brief = (f.LimiterBrief("n0", "running", "answering", 4, False, 0),)
    members.record_direct("b", 2, 5, brief, 1000.0)
    members.record_relayed([heard("b", 1, 99, 0.0), heard("a", 9, 9, 0.0), heard("x", 1, 1, 0.0)], "c", 1000.0)
    view = {h.agent: h for h in members.view(1000.0)}
    assert set(view) == {"b", "c"}
    assert (view["b"].incarnation, view["b"].limiters, view["b"].via) == (2, brief, "")
    members.record_relayed([heard("b", 2, 6, 500.0)], "c", 2000.0)
    told = members.view(2000.0)[0]
    assert (told.sequence, told.age_ms, told.via) == (6, 500.0, "c")


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5), st.booleans()), max_size=20))
def test_news_never_goes_back(words: list[tuple[int, int, bool]]) -> None:
    members, before = Membership("a", ["b"]), (0, 0)
    for n, (incarnation, sequence, direct) in enumerate(words):
        if direct:
            members.record_direct("b", incarnation, sequence, (), float(n))
        else:
            members.record_relayed([heard("b", incarnation, sequence, 0.0)], "c", float(n))
        now = members.view(float(n))[0]
        assert (now.incarnation, now.sequence) >= before
        before = (now.incarnation, now.sequence)


# Supervision


class SupervisorMachine(RuleBasedStateMachine):
    """Wishes, exits and time in any order: never two processes, and back-off that is kept."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = Policy(
            first_backoff_ms=100.0,
            maximum_backoff_ms=400.0,
            backoff_reset_ms=1000.0,
            maximum_exits=3,
            exit_window_ms=5000.0,
        )
        self.supervisor = Supervisor(self.policy, random.Random(1))
        self.now, self.lives = 0.0, False
        self.exited_at: float | None = None

    def do(self, do: Command | None) -> None:
        if do is Command.SPAWN:
            assert not self.lives
            assert self.supervisor.wanted
            if self.supervisor.restarts and self.exited_at is not None and not self.restarted_by_hand:
                assert self.now - self.exited_at >= self.policy.first_backoff_ms / 2
            self.lives, self.restarted_by_hand = True, False
        elif do is Command.TERMINATE:
            assert not self.supervisor.wanted
        elif do is Command.KILL:  # also where it is wanted again: it was told to end, and does not
            assert self.supervisor.phase == "stopping"

    restarted_by_hand = False

    @rule(wanted=st.booleans())
    def operator(self, wanted: bool) -> None:
        self.restarted_by_hand = self.restarted_by_hand or wanted
        self.do(self.supervisor.want(wanted, self.now))

    @rule(passed=st.floats(0.0, 2000.0))
    def time(self, passed: float) -> None:
        self.now += passed
        self.do(self.supervisor.step(self.now))

    @rule()
    def exit(self) -> None:
        if self.lives:
            stopping = self.supervisor.phase == "stopping"
            self.lives, self.exited_at = False, self.now
            self.restarted_by_hand = self.restarted_by_hand or stopping
            self.do(self.supervisor.exited(self.now))

    @rule()
    def answers(self) -> None:
        if self.lives:
            self.supervisor.answered()

    @invariant()
    def the_phase_says_whether_a_process_lives(self) -> None:
        assert self.lives == (self.supervisor.phase in ("starting", "running", "stopping"))


TestSupervisor = SupervisorMachine.TestCase
TestSupervisor.settings = settings(max_examples=60, deadline=None)


def test_crashes_in_a_row_end_the_restarts_until_an_operator_starts_it() -> None:
    supervisor = Supervisor(Policy(maximum_exits=3), random.Random(1))
    assert supervisor.want(True, 0.0) is Command.SPAWN
    now = 0.0
    for n in range(3):
        assert supervisor.exited(now) is None
        if n < 2:
            assert supervisor.phase == "backing-off" and supervisor.due is not None
            now = supervisor.due
            assert supervisor.step(now - 0.1) is None
            assert supervisor.step(now) is Command.SPAWN
    assert supervisor.phase == "gave-up"
    assert supervisor.step(now + 1e9) is None
    assert supervisor.want(True, now) is Command.SPAWN


def test_exits_far_apart_are_no_crash_loop_and_back_off_begins_anew() -> None:
    policy = Policy(maximum_exits=3, exit_window_ms=60_000.0)
    supervisor, now = Supervisor(policy, random.Random(1)), 0.0
    supervisor.want(True, now)
    for _ in range(10):
        now += 40_000.0
        supervisor.exited(now)
        assert supervisor.phase == "backing-off" and supervisor.due is not None
        assert supervisor.due - now <= policy.first_backoff_ms
        now = supervisor.due
        assert supervisor.step(now) is Command.SPAWN


def test_one_that_does_not_end_is_killed_once() -> None:
    supervisor = Supervisor(Policy(stop_timeout_ms=500.0), random.Random(1))
    supervisor.want(True, 0.0)
    assert supervisor.want(False, 10.0) is Command.TERMINATE
    assert supervisor.step(509.0) is None
    assert supervisor.step(510.0) is Command.KILL
    assert supervisor.step(520.0) is None
    supervisor.exited(530.0)
    assert supervisor.phase == "stopped"


# Plans


def views(*boxes: ServerStatus) -> list[LimiterState]:
    return [state("n0", boxes), state("n1", boxes)]


FLOORS = ("floor-2", "floor-3", "floor-4")
NINE = [box(f"s-{n}", zone=FLOORS[n % 3], weight=2.0) for n in range(9)]


def test_a_safe_drain_gives_its_figures() -> None:
    plan = plan_server_drain(summarize_servers(views(*NINE)), ["s-0"])
    assert plan.unsafe == () and plan.steps == (("s-0",),)
    assert (plan.capacity_before, round(plan.capacity_after, 3)) == (1.0, 0.889)


def test_the_last_box_of_a_floor_is_refused_with_its_figures() -> None:
    gone = [box(b.uid, zone=b.zone, weight=2.0, drained_by="an") if b.uid in ("s-0", "s-3") else b for b in NINE]
    plan = plan_server_drain(summarize_servers(views(*gone)), ["s-6"])
    assert plan.unsafe == ("it takes the last box of floor-2, which has 1 in service",)
    assert plan_server_drain(summarize_servers(views(*NINE)), ["s-0", "s-3"]).unsafe == ()


def test_too_little_left_is_refused_with_its_figures() -> None:
    plan = plan_server_drain(summarize_servers(views(*NINE)), ["s-0", "s-1", "s-2", "s-3", "s-4"])
    assert plan.unsafe == ("44 % of all capacity would be left in service; 50 % is the least (now 100 %)",)


def test_queues_that_those_left_could_not_take_are_refused() -> None:
    pressed = [box(b.uid, zone=b.zone, weight=2.0, queue=8) for b in NINE]
    plan = plan_server_drain(summarize_servers(views(*pressed)), ["s-0"])
    assert plan.unsafe == ("72 requests wait: 4.5 for each unit of weight left, 4 is the most",)


def test_one_limiter_that_heard_of_a_drain_outweighs_those_that_did_not() -> None:
    seen = summarize_servers([state("n0", NINE), state("n1", [box("s-0", zone="floor-2", drained_by="binh")])])
    assert not seen["s-0"].serving and seen["s-1"].serving


def test_what_is_drained_already_or_not_known_needs_no_step() -> None:
    seen = summarize_servers(views(*NINE[:8], box("s-8", zone="floor-4", state="draining")))
    plan = plan_server_drain(seen, ["s-8", "no-such"])
    assert plan.steps == () and plan.unknown == ("no-such",) and plan.unsafe == ()


@given(st.lists(st.tuples(st.sampled_from(FLOORS), st.floats(0.5, 4.0)), min_size=1, max_size=30), st.randoms())
def test_steps_take_each_box_once_and_a_part_of_the_weight_at_most(kinds: list[tuple[str, float]], rng: object) -> None:
    boxes = [box(f"s-{n}", zone=floor, weight=weight) for n, (floor, weight) in enumerate(kinds)]
    targets = [b.uid for b in boxes if rng.random() < 0.6]  # type: ignore[attr-defined]
    seen = summarize_servers([state("n0", boxes)])
    plan = plan_server_drain(seen, targets)
    assert sorted(uid for step in plan.steps for uid in step) == sorted(targets)
    full = sum(b.weight for b in boxes)
    for step in plan.steps:
        assert len(step) == 1 or sum(seen[uid].weight for uid in step) <= MAXIMUM_STEP_SHARE * full + 1e-9
        assert len({seen[uid].zone for uid in step}) == len(step)
    if plan.capacity_after < MINIMUM_CAPACITY_LEFT and targets:
        assert plan.unsafe


def test_the_last_limiter_in_service_is_not_drained() -> None:
    assert limiter_drain_risks(["n0", "n1"], ["n0"]) == ()
    assert limiter_drain_risks(["n0"], ["n0"]) == (
        "it takes the last limiter in service: 1 serve now, 0 would be left",
    )
    assert limiter_drain_risks(["n0"], ["n1"]) == ()  # not in service: nothing is lost by it


# Comparison


def texts(*states: LimiterState) -> list[str]:
    return [d.text for d in compare(states)]


def test_nothing_differs_between_the_same() -> None:
    assert texts(state("n0", NINE), state("n1", NINE), state("n2", NINE)) == []


def test_each_difference_is_named_in_words() -> None:
    like = [state(f"n{n}", NINE) for n in range(3)]
    assert texts(*like, state("n3", NINE, build="2")) == ["n3: version 2"]
    assert texts(*like, state("n3", NINE, config_parts={"plans": "q"})) == [
        "n3: 'plans' of the configuration differs (q)"
    ]
    assert texts(*like, state("n3", NINE[1:])) == ["n3: does not know s-0"]
    drains = state("n3", NINE, records=(record(4),), records_digest="d")
    assert texts(*like, drains) == ["n3: drains s-1 (generation 4)"]
    assert texts(*like, state("n3", NINE, answer_p50_ms=90.0)) == ["n3: answers take 90 ms, 20 ms elsewhere"]
    refuses = state("n3", NINE, counts=AnswerCounts(served=60, refused=40))
    assert texts(*like, refuses) == ["n3: refuses 40 % of all, 0 % elsewhere"]
    slow = [box("s-0", zone="floor-2", latency_ms=300.0), *NINE[1:]]
    assert texts(*like, state("n3", slow)) == ["n3: finds s-0 at 300 ms, 20 ms from elsewhere"]


def test_where_no_value_leads_all_are_named() -> None:
    assert texts(state("n0", NINE), state("n1", NINE, build="2")) == ["n0: version 1", "n1: version 2"]


# The account of a command

KEY = ("box", "s-1")


def account(*agents: str) -> CommandReport:
    return CommandReport("an-1", {KEY: True}, known_limiters={name: (f"n-{name}",) for name in agents})


def intended(agent: str, outcome: str, held: Record | None, reached: str = "reached", out: int = 0) -> f.IntentsAnswer:
    reach = f.Reach(f"n-{agent}", "box", "s-1", reached, 5.0, "", out)  # type: ignore[arg-type]
    return f.IntentsAnswer(1, agent, (f.Decision(outcome, held, "why"),), (reach,))  # type: ignore[arg-type]


def test_done_everywhere_means_every_limiters_own_word() -> None:
    whole = account("a", "b")
    whole.add_answer("a", intended("a", "made", record(1), out=2))
    whole.add_answer("b", intended("b", "made", record(1)))
    assert whole.outcome() is Exit.DONE and not whole.is_finished()
    whole.add_answer("a", f.Progressed(2, "a", (record(1),), intended("a", "made", record(1)).reach))
    assert whole.is_finished()


def test_an_agent_that_was_not_reached_is_told_apart_from_one_that_may_have_been() -> None:
    part = account("a", "b", "c")
    part.add_answer("a", intended("a", "made", record(1)))
    part.add_answer("b", Missing("b", "nothing listens there", False))
    part.add_answer("c", Missing("c", "no answer within 1 s", True))
    rows = {row.limiter: (row.state, row.why) for row in part.rows()}
    assert rows["n-a"][0] == "reached"
    assert rows["n-b"] == ("not-reached", "agent b: nothing listens there")
    assert rows["n-c"] == ("unknown", "agent c: no answer within 1 s; it may be in force")
    assert part.outcome() is Exit.PART
    part.add_answer("b", Missing("b", "no answer within 1 s", True))
    part.add_answer("c", Missing("c", "nothing listens there", False))
    assert {row.limiter: row.state for row in part.rows()}["n-c"] == "unknown"  # once sent, for ever


def test_a_limiter_that_was_reached_stays_so_when_its_agent_goes() -> None:
    part = account("a")
    part.add_answer("a", intended("a", "made", record(1)))
    part.add_answer("a", Missing("a", "the connection was reset", True))
    assert [(r.state, r.why) for r in part.rows()] == [("reached", "since then: the connection was reset")]


def test_nothing_done_is_said_only_where_it_is_certain() -> None:
    none = account("a")
    none.add_answer("a", Missing("a", "nothing listens there", False))
    assert none.outcome() is Exit.NOTHING
    none.add_answer("a", Missing("a", "no answer", True))
    assert none.outcome() is Exit.PART
    refused = account("a")
    refused.add_answer("a", Refusal("a", "role", "lam is a viewer and may not intend"))
    assert refused.outcome() is Exit.NOTHING
    assert refused.text() == ["agent a refuses: lam is a viewer and may not intend"]


def test_both_operators_are_told_whose_record_holds() -> None:
    second = account("a")
    second.add_answer("a", intended("a", "joined", record(1, by="binh")))
    assert second.outcome() is Exit.DONE
    assert second.text() == ["box s-1: drained by binh (generation 1); yours joins that record"]
    undone = account("a")
    undone.add_answer("a", intended("a", "made", Record("box", "s-1", True, 1, "an-1", "an", 0.0)))
    undone.add_answer("a", f.Progressed(2, "a", (record(2, drained=False, by="binh"),), ()))
    assert undone.outcome() is Exit.OVERTAKEN
    assert undone.text() == ["box s-1: not done, it is undrained by binh (generation 2)"]


@pytest.mark.parametrize("outcome", ["stale", "refused"])
def test_a_wish_that_no_agent_took_is_not_done(outcome: str) -> None:
    none = account("a")
    none.add_answer("a", intended("a", outcome, record(3, drained=False, by="binh")))
    assert none.outcome() is Exit.OVERTAKEN
    assert "agent a: why" in none.text()
