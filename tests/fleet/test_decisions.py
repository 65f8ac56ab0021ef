"""Decisions without I/O: intents, reach, membership, supervision, drain plans, comparison, reports of commands."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.control.messages import AnswerCounts, LimiterState, ServerStatus
from elderlock.control.records import Record, Records
from elderlock.fleet import messages
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
from elderlock.fleet.group.membership import SUSPECT_AFTER_MS, UNREACHABLE_AFTER_MS, Membership
from elderlock.fleet.supervision.supervisor import Command, Policy, Supervisor
from elderlock.standins.limiters import limiter_state, server_status


def record(generation: int = 1, drained: bool = True, requested_by: str = "an", target: str = "s-1") -> Record:
    return Record("box", target, drained, generation, f"{requested_by}-{generation}", requested_by, 0.0)


def intent(drained: bool = True, expect: int = 0) -> messages.DrainIntent:
    return messages.DrainIntent("box", "s-1", drained, expect)


def submission(generation: int, origin: str = "binh-x") -> messages.SubmitIntents:
    return messages.SubmitIntents(1, origin, generation, (), (), "", 200.0)


def test_an_intent_makes_one_record_and_its_repetition_makes_none() -> None:
    decision = decide_intent(Records(), intent(), submission(1), "binh", 5.0)
    assert decision.outcome == "made" and decision.record is not None
    assert (decision.record.requested_by, decision.record.generation, decision.record.created_at_unix_ms) == (
        "binh",
        1,
        5.0,
    )
    repetition = decide_intent(Records([decision.record]), intent(), submission(1), "binh", 6.0)
    assert repetition.outcome == "made" and repetition.record == decision.record


def test_two_operators_who_drain_the_same_server_share_one_record() -> None:
    decision = decide_intent(Records([record(3)]), intent(expect=0), submission(4), "binh", 0.0)
    assert decision.outcome == "joined" and decision.record == record(3)
    assert decision.text == "drained by an (generation 3) already"


def test_an_intent_based_on_an_outdated_generation_is_stale() -> None:
    records = Records([record(4, drained=True)])
    decision = decide_intent(records, intent(drained=False, expect=2), submission(5), "binh", 0.0)
    assert decision.outcome == "stale" and decision.record == record(4)
    assert decision.text == "you acted on generation 2, but it is drained by an (generation 4) since"
    assert decide_intent(records, intent(drained=False, expect=4), submission(5), "binh", 0.0).outcome == "made"


def test_a_generation_not_above_the_record_in_force_is_refused() -> None:
    decision = decide_intent(Records([record(4)]), intent(drained=False, expect=4), submission(4), "binh", 0.0)
    assert decision.outcome == "refused"


def test_an_undrain_without_a_drain_changes_nothing() -> None:
    assert decide_intent(Records(), intent(drained=False), submission(1), "binh", 0.0).record is None


# How far a record came


def test_an_unanswered_record_is_unknown_until_the_limiter_reports_it() -> None:
    book = RecordProgress()
    assert book.reach("n0", record(), True, "").state == "not-reached"
    book.record_sent([record()])
    reach = book.reach("n0", record(), True, "")
    assert (reach.state, reach.why) == ("unknown", "sent, no answer: it may be in force")
    book.record_applied([record()], 7.0, {"s-1": 2}, 0)
    reach = book.reach("n0", record(), True, "silent: no answer")
    assert (reach.state, reach.at, reach.open_requests, reach.why) == ("reached", 7.0, 2, "")
    book.record_applied([record()], 9.0, {"s-1": 0}, 0)
    assert book.reach("n0", record(), True, "").at == 7.0  # when it came into force, not when it was last reported


def test_an_older_record_in_force_does_not_count_as_the_newer_one() -> None:
    book = RecordProgress()
    book.record_applied([record(1)], 7.0, {}, 0)
    assert book.reach("n0", record(2, drained=False), True, "").state == "not-reached"


def test_progress_is_forgotten_when_the_process_restarts() -> None:
    book = RecordProgress()
    book.record_sent([record()])
    book.record_applied([record()], 7.0, {"s-1": 2}, 3)
    book.reset()
    assert book.reach("n0", record(), True, "").state == "not-reached"
    assert book.reach("n0", record(), False, "").state == "at-start"


def test_a_server_drain_concerns_all_limiters_and_a_limiter_drain_only_that_one() -> None:
    limiter_record = Record("limiter", "n0", True, 1, "o", "an", 0.0)
    assert concerns(record(), "n9") and concerns(limiter_record, "n0") and not concerns(limiter_record, "n1")


# Membership


def observation(agent: str, incarnation: int, sequence: int, age_ms: float) -> messages.AgentObservation:
    return messages.AgentObservation(agent, "alive", incarnation, sequence, age_ms, "", ())


def test_standing_depends_on_the_time_since_the_last_report() -> None:
    members = Membership("a", ["a", "b"])
    assert [(observed.agent, observed.standing, observed.age_ms) for observed in members.view(0.0)] == [
        ("b", "unreachable", -1.0)
    ]
    members.record_direct("b", 1, 1, (), 100.0)
    standing = [
        members.view(100.0 + silence_ms)[0].standing for silence_ms in (0, SUSPECT_AFTER_MS, UNREACHABLE_AFTER_MS)
    ]
    assert standing == ["alive", "suspect", "unreachable"]


def test_a_direct_report_beats_older_relayed_ones_and_strangers_are_ignored() -> None:
    members = Membership("a", ["a", "b", "c"])
    briefs = (messages.LimiterBrief("n0", "running", "answering", 4, False, 0),)
    members.record_direct("b", 2, 5, briefs, 1000.0)
    members.record_relayed(
        [observation("b", 1, 99, 0.0), observation("a", 9, 9, 0.0), observation("x", 1, 1, 0.0)], "c", 1000.0
    )
    view = {observed.agent: observed for observed in members.view(1000.0)}
    assert set(view) == {"b", "c"}
    assert (view["b"].incarnation, view["b"].limiters, view["b"].via) == (2, briefs, "")
    members.record_relayed([observation("b", 2, 6, 500.0)], "c", 2000.0)
    relayed = members.view(2000.0)[0]
    assert (relayed.sequence, relayed.age_ms, relayed.via) == (6, 500.0, "c")


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5), st.booleans()), max_size=20))
def test_incarnation_and_sequence_never_decrease(reports: list[tuple[int, int, bool]]) -> None:
    members, previous = Membership("a", ["b"]), (0, 0)
    for number, (incarnation, sequence, is_direct) in enumerate(reports):
        if is_direct:
            members.record_direct("b", incarnation, sequence, (), float(number))
        else:
            members.record_relayed([observation("b", incarnation, sequence, 0.0)], "c", float(number))
        newest = members.view(float(number))[0]
        assert (newest.incarnation, newest.sequence) >= previous
        previous = (newest.incarnation, newest.sequence)


# Supervision


class SupervisorMachine(RuleBasedStateMachine):
    """Commands, exits and time in any order: there are never two processes, and the backoff is respected."""

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
        self.now_ms, self.is_alive = 0.0, False
        self.exited_at_ms: float | None = None

    def check_command(self, command: Command | None) -> None:
        if command is Command.SPAWN:
            assert not self.is_alive
            assert self.supervisor.wanted
            if self.supervisor.restarts and self.exited_at_ms is not None and not self.restarted_by_hand:
                assert self.now_ms - self.exited_at_ms >= self.policy.first_backoff_ms / 2
            self.is_alive, self.restarted_by_hand = True, False
        elif command is Command.TERMINATE:
            assert not self.supervisor.wanted
        elif command is Command.KILL:  # also if it is wanted again: it was told to stop and did not
            assert self.supervisor.phase == "stopping"

    restarted_by_hand = False

    @rule(wanted=st.booleans())
    def operator_command(self, wanted: bool) -> None:
        self.restarted_by_hand = self.restarted_by_hand or wanted
        self.check_command(self.supervisor.want(wanted, self.now_ms))

    @rule(elapsed_ms=st.floats(0.0, 2000.0))
    def time_passes(self, elapsed_ms: float) -> None:
        self.now_ms += elapsed_ms
        self.check_command(self.supervisor.step(self.now_ms))

    @rule()
    def process_exits(self) -> None:
        if self.is_alive:
            stopping = self.supervisor.phase == "stopping"
            self.is_alive, self.exited_at_ms = False, self.now_ms
            self.restarted_by_hand = self.restarted_by_hand or stopping
            self.check_command(self.supervisor.exited(self.now_ms))

    @rule()
    def process_answers(self) -> None:
        if self.is_alive:
            self.supervisor.answered()

    @invariant()
    def phase_matches_the_process(self) -> None:
        assert self.is_alive == (self.supervisor.phase in ("starting", "running", "stopping"))


TestSupervisor = SupervisorMachine.TestCase
TestSupervisor.settings = settings(max_examples=60, deadline=None)


def test_repeated_crashes_stop_the_restarts_until_an_operator_starts_the_limiter() -> None:
    supervisor = Supervisor(Policy(maximum_exits=3), random.Random(1))
    assert supervisor.want(True, 0.0) is Command.SPAWN
    now_ms = 0.0
    for n in range(3):
        assert supervisor.exited(now_ms) is None
        if n < 2:
            assert supervisor.phase == "backing-off" and supervisor.due is not None
            now_ms = supervisor.due
            assert supervisor.step(now_ms - 0.1) is None
            assert supervisor.step(now_ms) is Command.SPAWN
    assert supervisor.phase == "gave-up"
    assert supervisor.step(now_ms + 1e9) is None
    assert supervisor.want(True, now_ms) is Command.SPAWN


def test_exits_far_apart_are_not_a_crash_loop_and_reset_the_backoff() -> None:
    policy = Policy(maximum_exits=3, exit_window_ms=60_000.0)
    supervisor, now_ms = Supervisor(policy, random.Random(1)), 0.0
    supervisor.want(True, now_ms)
    for _ in range(10):
        now_ms += 40_000.0
        supervisor.exited(now_ms)
        assert supervisor.phase == "backing-off" and supervisor.due is not None
        assert supervisor.due - now_ms <= policy.first_backoff_ms
        now_ms = supervisor.due
        assert supervisor.step(now_ms) is Command.SPAWN


def test_a_process_that_does_not_stop_is_killed_once() -> None:
    supervisor = Supervisor(Policy(stop_timeout_ms=500.0), random.Random(1))
    supervisor.want(True, 0.0)
    assert supervisor.want(False, 10.0) is Command.TERMINATE
    assert supervisor.step(509.0) is None
    assert supervisor.step(510.0) is Command.KILL
    assert supervisor.step(520.0) is None
    supervisor.exited(530.0)
    assert supervisor.phase == "stopped"


# Plans


def two_states(*servers: ServerStatus) -> list[LimiterState]:
    return [limiter_state("n0", servers), limiter_state("n1", servers)]


ZONES = ("floor-2", "floor-3", "floor-4")
NINE_SERVERS = [server_status(f"s-{n}", zone=ZONES[n % 3], weight=2.0) for n in range(9)]


def test_a_safe_drain_reports_the_capacity_before_and_after() -> None:
    plan = plan_server_drain(summarize_servers(two_states(*NINE_SERVERS)), ["s-0"])
    assert plan.unsafe == () and plan.steps == (("s-0",),)
    assert (plan.capacity_before, round(plan.capacity_after, 3)) == (1.0, 0.889)


def test_draining_the_last_server_of_a_zone_is_refused() -> None:
    servers = [
        server_status(server.uid, zone=server.zone, weight=2.0, drained_by="an")
        if server.uid in ("s-0", "s-3")
        else server
        for server in NINE_SERVERS
    ]
    plan = plan_server_drain(summarize_servers(two_states(*servers)), ["s-6"])
    assert plan.unsafe == ("it takes the last box of floor-2, which has 1 in service",)
    assert plan_server_drain(summarize_servers(two_states(*NINE_SERVERS)), ["s-0", "s-3"]).unsafe == ()


def test_a_drain_that_leaves_too_little_capacity_is_refused() -> None:
    plan = plan_server_drain(summarize_servers(two_states(*NINE_SERVERS)), ["s-0", "s-1", "s-2", "s-3", "s-4"])
    assert plan.unsafe == ("44 % of all capacity would be left in service; 50 % is the least (now 100 %)",)


def test_a_drain_is_refused_if_the_other_servers_queues_are_too_long() -> None:
    servers = [server_status(server.uid, zone=server.zone, weight=2.0, queue=8) for server in NINE_SERVERS]
    plan = plan_server_drain(summarize_servers(two_states(*servers)), ["s-0"])
    assert plan.unsafe == ("72 requests wait: 4.5 for each unit of weight left, 4 is the most",)
    without_capacity = plan_server_drain(summarize_servers(two_states(*servers)), ["s-0"], checks_capacity=False)
    assert without_capacity.unsafe == plan.unsafe


def test_without_the_check_of_the_capacity_only_queues_make_a_drain_unsafe() -> None:
    servers = summarize_servers(two_states(*NINE_SERVERS))
    uids = [f"s-{n}" for n in range(7)]
    assert len(plan_server_drain(servers, [*uids, "s-7", "s-8"]).unsafe) == 4  # three zones and the weight
    assert plan_server_drain(servers, uids, checks_capacity=False).unsafe == ()


def test_a_drain_known_to_a_single_limiter_counts() -> None:
    summary = summarize_servers(
        [
            limiter_state("n0", NINE_SERVERS),
            limiter_state("n1", [server_status("s-0", zone="floor-2", drained_by="binh")]),
        ]
    )
    assert not summary["s-0"].serving and summary["s-1"].serving


def test_draining_or_unknown_servers_need_no_step() -> None:
    summary = summarize_servers(two_states(*NINE_SERVERS[:8], server_status("s-8", zone="floor-4", state="draining")))
    plan = plan_server_drain(summary, ["s-8", "no-such"])
    assert plan.steps == () and plan.unknown == ("no-such",) and plan.unsafe == ()


@given(st.lists(st.tuples(st.sampled_from(ZONES), st.floats(0.5, 4.0)), min_size=1, max_size=30), st.randoms())
def test_steps_take_each_server_once_and_a_bounded_part_of_the_weight(
    zones_and_weights: list[tuple[str, float]], rng: object
) -> None:
    servers = [server_status(f"s-{n}", zone=zone, weight=weight) for n, (zone, weight) in enumerate(zones_and_weights)]
    targets = [server.uid for server in servers if rng.random() < 0.6]  # type: ignore[attr-defined]
    summary = summarize_servers([limiter_state("n0", servers)])
    plan = plan_server_drain(summary, targets)
    assert sorted(uid for step in plan.steps for uid in step) == sorted(targets)
    total_weight = sum(server.weight for server in servers)
    for step in plan.steps:
        assert len(step) == 1 or sum(summary[uid].weight for uid in step) <= MAXIMUM_STEP_SHARE * total_weight + 1e-9
        assert len({summary[uid].zone for uid in step}) == len(step)
    if plan.capacity_after < MINIMUM_CAPACITY_LEFT and targets:
        assert plan.unsafe


def test_the_last_limiter_in_service_is_not_drained() -> None:
    assert limiter_drain_risks(["n0", "n1"], ["n0"]) == ()
    assert limiter_drain_risks(["n0"], ["n0"]) == (
        "it takes the last limiter in service: 1 serve now, 0 would be left",
    )
    assert limiter_drain_risks(["n0"], ["n1"]) == ()  # n1 is not in service, so nothing is lost


# Comparison


def difference_texts(*states: LimiterState) -> list[str]:
    return [d.text for d in compare(states)]


def test_equal_states_have_no_differences() -> None:
    assert (
        difference_texts(
            limiter_state("n0", NINE_SERVERS), limiter_state("n1", NINE_SERVERS), limiter_state("n2", NINE_SERVERS)
        )
        == []
    )


def test_each_difference_has_its_text() -> None:
    others = [limiter_state(f"n{n}", NINE_SERVERS) for n in range(3)]
    assert difference_texts(*others, limiter_state("n3", NINE_SERVERS, build="2")) == ["n3: version 2"]
    assert difference_texts(*others, limiter_state("n3", NINE_SERVERS, config_parts={"plans": "q"})) == [
        "n3: 'plans' of the configuration differs (q)"
    ]
    assert difference_texts(*others, limiter_state("n3", NINE_SERVERS[1:])) == ["n3: does not know s-0"]
    drains = limiter_state("n3", NINE_SERVERS, records=(record(4),), records_digest="d")
    assert difference_texts(*others, drains) == ["n3: drains s-1 (generation 4)"]
    assert difference_texts(*others, limiter_state("n3", NINE_SERVERS, answer_p50_ms=90.0)) == [
        "n3: answers take 90 ms, 20 ms elsewhere"
    ]
    refuses = limiter_state("n3", NINE_SERVERS, counts=AnswerCounts(served=60, refused=40))
    assert difference_texts(*others, refuses) == ["n3: refuses 40 % of all, 0 % elsewhere"]
    slow = [server_status("s-0", zone="floor-2", latency_ms=300.0), *NINE_SERVERS[1:]]
    assert difference_texts(*others, limiter_state("n3", slow)) == ["n3: finds s-0 at 300 ms, 20 ms from elsewhere"]


def test_without_a_majority_value_all_limiters_are_named() -> None:
    assert difference_texts(limiter_state("n0", NINE_SERVERS), limiter_state("n1", NINE_SERVERS, build="2")) == [
        "n0: version 1",
        "n1: version 2",
    ]


# The report of a command

KEY = ("box", "s-1")


def new_account(*agents: str) -> CommandReport:
    return CommandReport("an-1", {KEY: True}, known_limiters={name: (f"n-{name}",) for name in agents})


def intents_answer(
    agent: str, outcome: str, held_record: Record | None, reached: str = "reached", out: int = 0
) -> messages.IntentsAnswer:
    reach = messages.Reach(f"n-{agent}", "box", "s-1", reached, 5.0, "", out)  # type: ignore[arg-type]
    return messages.IntentsAnswer(1, agent, (messages.Decision(outcome, held_record, "why"),), (reach,))  # type: ignore[arg-type]


def test_a_command_is_done_when_every_limiter_has_reported() -> None:
    account = new_account("a", "b")
    account.add_answer("a", intents_answer("a", "made", record(1), out=2))
    account.add_answer("b", intents_answer("b", "made", record(1)))
    assert account.outcome() is Exit.DONE and not account.is_finished()
    account.add_answer("a", messages.Progressed(2, "a", (record(1),), intents_answer("a", "made", record(1)).reach))
    assert account.is_finished()


def test_an_unreached_agent_is_distinguished_from_one_that_may_have_been_reached() -> None:
    account = new_account("a", "b", "c")
    account.add_answer("a", intents_answer("a", "made", record(1)))
    account.add_answer("b", Missing("b", "nothing listens there", False))
    account.add_answer("c", Missing("c", "no answer within 1 s", True))
    rows = {row.limiter: (row.state, row.why) for row in account.rows()}
    assert rows["n-a"][0] == "reached"
    assert rows["n-b"] == ("not-reached", "agent b: nothing listens there")
    assert rows["n-c"] == ("unknown", "agent c: no answer within 1 s; it may be in force")
    assert account.outcome() is Exit.PART
    account.add_answer("b", Missing("b", "no answer within 1 s", True))
    account.add_answer("c", Missing("c", "nothing listens there", False))
    states = {row.limiter: row.state for row in account.rows()}
    assert states["n-c"] == "unknown"  # a later connection failure does not undo an earlier send


def test_a_reached_limiter_stays_reached_when_its_agent_is_lost() -> None:
    account = new_account("a")
    account.add_answer("a", intents_answer("a", "made", record(1)))
    account.add_answer("a", Missing("a", "the connection was reset", True))
    assert [(row.state, row.why) for row in account.rows()] == [("reached", "since then: the connection was reset")]


def test_nothing_done_is_reported_only_if_it_is_certain() -> None:
    account = new_account("a")
    account.add_answer("a", Missing("a", "nothing listens there", False))
    assert account.outcome() is Exit.NOTHING
    account.add_answer("a", Missing("a", "no answer", True))
    assert account.outcome() is Exit.PART
    refused = new_account("a")
    refused.add_answer("a", Refusal("a", "role", "lam is a viewer and may not intend"))
    assert refused.outcome() is Exit.NOTHING
    assert refused.text() == ["agent a refuses: lam is a viewer and may not intend"]


def test_both_operators_are_told_whose_record_is_in_force() -> None:
    joining = new_account("a")
    joining.add_answer("a", intents_answer("a", "joined", record(1, requested_by="binh")))
    assert joining.outcome() is Exit.DONE
    assert joining.text() == ["box s-1: drained by binh (generation 1); yours joins that record"]
    overtaken = new_account("a")
    overtaken.add_answer("a", intents_answer("a", "made", Record("box", "s-1", True, 1, "an-1", "an", 0.0)))
    overtaken.add_answer("a", messages.Progressed(2, "a", (record(2, drained=False, requested_by="binh"),), ()))
    assert overtaken.outcome() is Exit.OVERTAKEN
    assert overtaken.text() == ["box s-1: not done, it is undrained by binh (generation 2)"]


@pytest.mark.parametrize("outcome", ["stale", "refused"])
def test_an_intent_that_no_agent_accepted_is_not_done(outcome: str) -> None:
    account = new_account("a")
    account.add_answer("a", intents_answer("a", outcome, record(3, drained=False, requested_by="binh")))
    assert account.outcome() is Exit.OVERTAKEN
    assert "agent a: why" in account.text()
