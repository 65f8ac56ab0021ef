"""The limiter's decisions, event by event."""

from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise

import pytest
from helpers import LimiterHarness, limiter_settings, server_entry, start_harness

from elderlock import interface as api
from elderlock.decisions.context import MS_PER_SECOND
from elderlock.interface import ListKind, Outcome, ServerState
from elderlock.peer_messages import (
    BATCH_FORMAT,
    BATCH_HEADER,
    LEVEL_ROW,
    SINGLE,
    SINGLE_FORMAT,
    UNKNOWN,
    USAGE_ROW,
    BatchKind,
    SingleKind,
)
from elderlock.state import Account, ThrottlePhase


def account_of(gate: LimiterHarness, index: int = 0) -> Account:
    return list(gate.limiter.quotas.accounts.values())[index]


# Quotas


def test_fill_rate_is_own_rate_plus_the_split_room() -> None:
    gate = start_harness(limiter_settings(meter=2000.0))
    gate.send_request(spread=2)
    account = account_of(gate)
    account.shared_units = 0.0
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 5.0
    assert gate.limiter.quotas.fill_rate_per_s(account, 1.0) == pytest.approx(3.0 + (10.0 - 8.0) / 2)
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 15.0
    assert gate.limiter.quotas.fill_rate_per_s(account, 1.0) == 0.0  # never below nought
    account.own_rate_per_s, account.others_rate_per_s = 12.0, 0.0
    assert gate.limiter.quotas.fill_rate_per_s(account, 1.0) == 10.0  # never above the quota
    assert gate.limiter.quotas.fill_rate_per_s(account, 0.0) == 5.0  # the even split without a reading
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 5.0
    assert gate.limiter.quotas.fill_rate_per_s(account, 0.5) == pytest.approx(4.5)  # and smoothly between


def test_customer_beyond_its_quota_is_refused_at_once() -> None:
    gate = start_harness()
    served = [gate.is_served() for _ in range(25)]
    assert served == [True] * 20 + [False] * 5
    gate.run_until(1000.0)
    assert gate.attempted_servers(gate.send_request(spread=1))


def test_meter_readings_move_the_bucket_and_age_to_the_even_split() -> None:
    gate = start_harness(limiter_settings(meter=2000.0))
    name = gate.send_request(spread=2)
    gate.end_attempt(name, meter=101)
    account = account_of(gate)
    assert account.others_rate_per_s == pytest.approx(10.0, abs=0.5)
    assert gate.limiter.quotas.reading_confidence(account) == 1.0
    account.averaging_ms = 4000.0  # requests are frequent: the reading lasts by the meter's period
    gate.run_until(6000.0)
    assert gate.limiter.quotas.reading_confidence(account) == pytest.approx(0.5, abs=0.02)
    account.averaging_ms = 16000.0  # and by count where they are few
    assert gate.limiter.quotas.reading_confidence(account) == pytest.approx(1.0)
    gate.run_until(17000.0)
    assert gate.limiter.quotas.reading_confidence(account) == 0.0


def test_metered_store_is_split_as_far_as_others_spend_it_unseen() -> None:
    busy, calm = start_harness(limiter_settings(meter=2000.0)), start_harness(limiter_settings(meter=2000.0))
    depths = []
    for gate, meter in ((busy, 101), (calm, 21)):
        gate.end_attempt(gate.send_request(spread=2), meter=meter)
        account = account_of(gate)
        account.shared_units = 8.0
        depths.append(gate.limiter.quotas.bucket_capacity_units(account, 1.0))
    assert depths[0] == pytest.approx(4.0, abs=0.3)
    assert depths[1] > 6.0


def test_without_a_reading_the_bucket_holds_an_even_part_of_the_burst() -> None:
    gate = start_harness(limiter_settings(meter=2000.0))
    assert [gate.is_served(spread=2) for _ in range(12)] == [True] * 10 + [False] * 2


def test_even_part_below_one_request_goes_into_debt_by_one_and_no_more() -> None:
    gate = start_harness(limiter_settings(limiters=400))
    assert gate.is_served(spread=400)  # the part of the burst is a twentieth of a request
    assert not gate.is_served(spread=400)
    gate.run_until(37000.0)  # the part of the rate is 1 request in 40 s
    assert not gate.is_served(spread=400)
    gate.run_until(42000.0)
    assert gate.is_served(spread=400)


def test_absent_meter_is_no_reading() -> None:
    gate = start_harness(limiter_settings(meter=2000.0))
    gate.end_attempt(gate.send_request(spread=2), meter=0)
    assert gate.limiter.quotas.reading_confidence(account_of(gate)) == 0.0


def test_settled_units_take_the_place_of_the_guess() -> None:
    gate = start_harness(limiter_settings(settled=True))
    name = gate.send_request(units=2.0)
    before = account_of(gate).shared_units
    gate.end_attempt(name, true=5.0)
    assert account_of(gate).shared_units == pytest.approx(before - 3.0)


def test_open_cap_holds_until_one_has_ended() -> None:
    gate = start_harness()
    first, second, third = (gate.send_request(plan=2) for _ in range(3))
    assert gate.attempted_servers(first) and gate.attempted_servers(second)
    assert gate.final_answers[third] == ["Reject"]
    gate.run_until(100.0)
    gate.end_attempt(first)
    assert gate.attempted_servers(gate.send_request(plan=2))


def test_beyond_quota_is_sent_only_where_it_earns_and_there_is_room() -> None:
    gate = start_harness()
    assert all(gate.is_served(plan=3) for _ in range(6))
    gate.limiter.throttle.start_throttling(50.0, gate.now_ms)
    assert gate.final_answers[gate.send_request(plan=3)] == ["Reject"]


def test_unseen_customers_are_aged_out() -> None:
    gate = start_harness()
    gate.end_attempt(gate.send_request())
    gate.run_until(10000.0)
    assert len(gate.limiter.quotas.accounts) == 1
    gate.run_until(20000.0)
    assert not gate.limiter.quotas.accounts


# Ceiling


def test_ceiling_part_is_never_passed_and_starts_empty_after_a_start() -> None:
    gate = start_harness(start=5000.0)
    assert gate.final_answers[gate.send_request(plan=1, spread=2)] == ["Reject"]
    taken: list[float] = []
    for _ in range(400):
        gate.run_until(gate.now_ms + 25.0)
        name = gate.send_request(plan=1, spread=2)
        if gate.attempted_servers(name):
            taken.append(gate.now_ms)
            gate.end_attempt(name)
    for i, start in enumerate(taken):
        for j in range(i, len(taken)):
            assert j - i + 1 <= 12.0 + 6.0 * (taken[j] - start) / MS_PER_SECOND + 1e-6
    assert len(taken) <= 6.0 * (gate.now_ms - 5000.0) / MS_PER_SECOND + 1e-6


# Peers


def sent_singles(gate: LimiterHarness) -> list[tuple[int, tuple[int, ...]]]:
    return [
        (a.receiver_index, SINGLE.unpack(a.payload))
        for _, a in gate.other_actions
        if isinstance(a, api.SendPeerMessage)
    ]


def single(key: int, what: int, a: int = 4, b: int = UNKNOWN, number: int = 1, plan: int = 0) -> bytes:
    return SINGLE.pack(SINGLE_FORMAT, UNKNOWN, key, what, plan, a, b, number)


def harness_with_pending_query(spread: int = 3, limiters: int = 3) -> tuple[LimiterHarness, str, int, tuple[int, ...]]:
    """A gateway with a request whose units it asks a peer for."""
    gate = start_harness(limiter_settings(limiters=limiters, peers=True))
    for i in range(100):
        name = gate.send_request(customer=f"c{i}", spread=spread)
        if not gate.attempted_servers(name):
            return (gate, name, *sent_singles(gate)[-1])
    raise AssertionError("no customer is kept elsewhere")


def test_granted_units_are_sent_and_denied_ones_refused() -> None:
    for what, sent in ((SingleKind.GRANTED, True), (SingleKind.DENIED, False)):
        gate, name, keeper, asked = harness_with_pending_query()
        assert asked[3] == SingleKind.QUERY and asked[5] == 4
        gate.handle(api.PeerMessage(keeper, single(asked[2], what, a=0, number=asked[7])))
        assert bool(gate.attempted_servers(name)) is sent
        assert (name in gate.final_answers) is not sent
        customer = gate.limiter.quotas.accounts[asked[2]]
        assert (gate.now_ms < customer.exhausted_until_ms) is not sent


def test_answer_of_another_peer_or_to_no_question_changes_nothing() -> None:
    gate, name, keeper, asked = harness_with_pending_query()
    gate.handle(api.PeerMessage(keeper, single(asked[2], SingleKind.GRANTED, number=asked[7] + 1)))
    gate.handle(api.PeerMessage(3 - keeper, single(asked[2], SingleKind.GRANTED, number=asked[7])))
    assert not gate.attempted_servers(name) and name not in gate.final_answers


def test_keeper_grants_the_store_once_over_all_that_ask() -> None:
    gate = start_harness(limiter_settings(limiters=400, peers=True))
    for sender in range(1, 31):
        gate.handle(api.PeerMessage(sender, single(7, SingleKind.QUERY, number=sender)))
        gate.run_until(gate.now_ms + 25.0)
    answers = [entry_told[3] for _, entry_told in sent_singles(gate)]
    assert len(answers) == 30
    assert 20 <= answers.count(SingleKind.GRANTED) <= 28  # 20 of burst and 10 a second for 0.75 s
    assert [receiver for receiver, _ in sent_singles(gate)] == list(range(1, 31))


def test_silent_keeper_leaves_the_bucket_to_decide_and_is_passed_over() -> None:
    gate, name, keeper, asked = harness_with_pending_query()
    gate.run_until(150.0)
    assert not gate.attempted_servers(name) and len(sent_singles(gate)) == 2  # asked once more
    gate.run_until(250.0)
    assert gate.attempted_servers(name)  # by the even part
    customer = gate.limiter.quotas.accounts[asked[2]]
    gate.limiter.quota_coordinator.handle_query_timeout(-1)
    for _ in range(3):
        gate.send_request(customer=f"c{int(name[1:]) - 1}", spread=3)
        gate.run_until(gate.now_ms + 250.0)
    assert gate.now_ms < gate.limiter.quota_coordinator.owners.silent_until_ms[keeper]
    assert gate.limiter.quota_coordinator.owners.owner_of(customer) != keeper
    gate.handle(api.PeerMessage(keeper, single(1, SingleKind.DENIED, number=9)))
    assert gate.limiter.quota_coordinator.owners.owner_of(customer) == keeper


def test_gateways_of_a_customer_agree_on_its_keeper_at_400_limiters() -> None:
    keepers: list[int] = []
    for number in (300, 301, 310, 380):
        gate = start_harness(replace(limiter_settings(limiters=400, peers=True), limiter_index=number))
        gate.handle(api.RequestArrived("r", 0, 0, "wide", 1.0, 4000.0, limiter_count=300, first_limiter=250))
        keepers.append(gate.limiter.quota_coordinator.owners.owner_of(account_of(gate)) or 0)
    assert len(set(keepers)) == 1
    assert (keepers.pop() - 250) % 400 < 300


def test_restarted_keeper_opens_a_store_as_it_was_last_heard_of() -> None:
    gate = start_harness(limiter_settings(peers=True))
    gate.handle(api.PeerMessage(1, single(7, SingleKind.QUERY, b=0)))
    assert sent_singles(gate)[-1][1][3] == SingleKind.DENIED


def test_peers_are_told_within_their_part_of_the_intake() -> None:
    gate = start_harness(limiter_settings(limiters=400, peers=True))
    for i in range(2000):
        gate.handle(api.PeerMessage(1 + i % 399, single(i, SingleKind.QUERY)))
        gate.run_until(gate.now_ms + 1.0)
    assert len(sent_singles(gate)) <= 25 + 75 * 2.1


def test_where_mail_is_short_calm_customers_are_let_in_and_reported_in_few_messages() -> None:
    """One question a request is more than peers take in on a busy day: answers were missing, and use was
    counted nowhere."""
    gate = start_harness(limiter_settings(peers=True))
    gate.limiter.quota_coordinator.messenger.available_messages = 10.0  # under half of its most, 25
    assert all(gate.is_served(customer=f"c{i}", spread=3) for i in range(60))
    assert not [a for _, a in gate.other_actions if isinstance(a, api.SendPeerMessage)]
    gate.run_until(400.0)
    told = [a for _, a in gate.other_actions if isinstance(a, api.SendPeerMessage)]
    assert 2 <= len(told) <= 4 and all(len(a.payload) <= 256 and a.payload[0] == BATCH_FORMAT for a in told)
    reported = [key for a in told for key, *_ in USAGE_ROW.iter_unpack(a.payload[BATCH_HEADER.size :])]
    assert len(reported) == len(set(reported)) == 60 - len(gate.limiter.quota_coordinator.quota_owner.ledgers)
    assert not gate.limiter.quota_coordinator.usage_reports.unreported_units


def test_a_keeper_takes_reported_use_from_the_store_and_tells_the_level() -> None:
    keeper, other = start_harness(limiter_settings(peers=True)), start_harness(limiter_settings(peers=True))
    report = (
        BATCH_HEADER.pack(BATCH_FORMAT, UNKNOWN, BatchKind.USAGE_REPORT)
        + USAGE_ROW.pack(7, 0, 60, UNKNOWN)
        + USAGE_ROW.pack(8, 200, 4, UNKNOWN)
    )
    keeper.handle(api.PeerMessage(1, report))
    reply = next(a for _, a in keeper.other_actions if isinstance(a, api.SendPeerMessage))
    assert keeper.limiter.quota_coordinator.quota_owner.ledgers[7].level_units == pytest.approx(
        5.0
    )  # 20 of burst less 15 units
    assert list(keeper.limiter.quota_coordinator.quota_owner.ledgers) == [7]
    other.limiter.quota_coordinator.messenger.available_messages = 0.0
    other.send_request(customer="c", spread=3)
    key = account_of(other).key
    _, level, rate = LEVEL_ROW.unpack(reply.payload[BATCH_HEADER.size :])
    other.handle(
        api.PeerMessage(
            1, BATCH_HEADER.pack(BATCH_FORMAT, UNKNOWN, BatchKind.QUOTA_LEVELS) + LEVEL_ROW.pack(key, level, rate)
        )
    )
    assert account_of(other).shared_units == pytest.approx(
        5.0 - other.limiter.quota_coordinator.usage_reports.unreported_units.get(key, 0.0), abs=0.1
    )
    assert account_of(other).others_rate_per_s > 0.0


@pytest.mark.parametrize("spread", [-1, 0, 4, 9999])
def test_gateways_outside_the_count_of_limiters_act_as_no_knowledge(spread: int) -> None:
    gate = start_harness(limiter_settings(peers=True))
    name = gate.send_request(spread=spread)
    gate.run_until(1000.0)
    assert gate.attempted_servers(name)
    assert 1 <= account_of(gate).limiter_count <= 3


TRUNCATED = [b"\x5d\xff\x00\x01", b"\x5d\xff\x01\x01", b"\x5d\xff\x07"]
UNREADABLE = [
    b"",
    *TRUNCATED,
    b"\x5c",
    b"abc",
    bytes([SINGLE_FORMAT]) + bytes(7),
    b"\x5a" + b"\xff" * (SINGLE.size - 1),
]


@pytest.mark.parametrize("data", [*UNREADABLE, single(5, SingleKind.QUERY, plan=200), single(5, 9)])
def test_foreign_or_truncated_peer_bytes_change_nothing(data: bytes) -> None:
    gate = start_harness(limiter_settings(peers=True))
    assert gate.handle(api.PeerMessage(1, data)) == []
    assert gate.handle(api.PeerMessage(99, single(5, SingleKind.QUERY))) == []
    assert not gate.limiter.quotas.accounts and not gate.limiter.quota_coordinator.quota_owner.ledgers


# Attempts and final answers


@pytest.mark.parametrize(("plan", "kind"), [(-1, 0), (99, 0), (0, -1), (0, 99)])
def test_request_of_a_plan_or_class_not_known_is_refused(plan: int, kind: int) -> None:
    gate = start_harness()
    assert gate.final_answers[gate.send_request(plan=plan, kind=kind)] == ["Reject"]


def test_safe_request_is_tried_elsewhere_after_an_error() -> None:
    gate = start_harness()
    name = gate.send_request()
    gate.end_attempt(name, Outcome.ERROR)
    assert len(set(gate.attempted_servers(name))) == 2


def test_unsafe_request_is_sent_again_only_when_it_never_ran() -> None:
    gate = start_harness()
    name = gate.send_request(kind=2)
    gate.end_attempt(name, Outcome.FULL)
    assert len(gate.attempted_servers(name)) == 2
    gate.end_attempt(name, Outcome.RESET)
    assert len(gate.attempted_servers(name)) == 2
    assert gate.final_answers[name] == ["Fail"]


def test_keyed_request_stays_in_its_group_and_window() -> None:
    gate = start_harness()
    name = gate.send_request(kind=1)
    gate.end_attempt(name, Outcome.RESET)
    zones = {"abcdef".index(s) % 2 for s in gate.attempted_servers(name)}
    assert len(gate.attempted_servers(name)) == 2 and len(zones) == 1
    gate.now_ms += 2500.0
    gate.end_attempt(name, Outcome.RESET)
    assert len(gate.attempted_servers(name)) == 2
    assert gate.final_answers[name] == ["Fail"]


def test_stream_that_started_outlives_the_deadline() -> None:
    gate = start_harness()
    name = gate.send_request(kind=3)
    gate.handle(api.StreamStarted(name, 0, gate.attempted_servers(name)[0], 10.0))
    gate.run_until(9000.0)
    assert name not in gate.final_answers
    gate.end_attempt(name)
    assert not gate.limiter.requests


def test_no_request_ever_has_two_attempts_out() -> None:
    gate = start_harness()
    name = gate.send_request()
    gate.run_until(900.0)
    assert len(gate.attempted_servers(name)) == 1


def test_safe_request_is_waited_for_until_its_aim_and_then_fails() -> None:
    gate = start_harness()
    name = gate.send_request()
    sent = next(s for _, s in gate.sent_attempts if s.request_id == name)
    assert sent.timeout_ms == pytest.approx(1000.0)
    gate.now_ms += 1000.0
    gate.end_attempt(name, Outcome.TIMEOUT, took=1000.0)
    assert gate.final_answers[name] == ["Fail"]


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_all_draining_gives_each_request_one_answer_in_time(state: ServerState) -> None:
    gate = start_harness()
    gate.apply_list(*(server_entry(n, 0, state) for n in "abcdef"), kind=ListKind.CHANGES)
    name = gate.send_request()
    gate.run_until(4000.0)
    assert gate.final_answers[name] == ["Reject"] and not gate.attempted_servers(name)


def test_no_server_known_or_an_emptied_list_gives_each_request_one_answer() -> None:
    gate = start_harness(names="")
    early = gate.send_request()
    gate.run_until(4000.0)
    gate.apply_list(server_entry("a"))
    assert gate.attempted_servers(gate.send_request())
    gate.apply_list(kind=ListKind.COMPLETE)
    late = gate.send_request()
    gate.run_until(8000.0)
    assert gate.final_answers[early] == gate.final_answers[late] == ["Reject"]


def test_held_requests_do_not_pass_the_ceiling_together() -> None:
    gate = start_harness(names="", start=0.0)
    gate.run_until(10000.0)
    names = [gate.send_request(plan=1, spread=2) for _ in range(20)]
    gate.apply_list(server_entry("a"))
    gate.run_until(10500.0)
    assert sum(bool(gate.attempted_servers(n)) for n in names) <= 13


def test_late_repeated_and_unknown_ids_change_nothing() -> None:
    gate = start_harness()
    name = gate.send_request()
    server = gate.attempted_servers(name)[0]
    gate.end_attempt(name)
    assert gate.handle(api.AttemptEnded(name, 0, server, Outcome.OK, 5.0, True)) == []
    assert gate.handle(api.AttemptEnded("r-none", 0, "zz", Outcome.ERROR, 5.0, False)) == []
    assert gate.handle(api.ClientDisconnected(name)) == []
    assert gate.handle(api.StreamStarted("r-none", 0, "zz", 5.0)) == []
    assert gate.handle(api.TimerFired(987654)) == []
    assert gate.handle(api.HealthCheckEnded("zz", Outcome.OK, 1.0)) == []


# Servers


def test_server_that_fails_fast_is_left_alone_and_comes_back_by_a_trial() -> None:
    gate = start_harness(names="ab")
    for _ in range(60):
        name = gate.send_request(customer=f"c{gate.request_count}")
        while name not in gate.answered_ids:
            bad = gate.attempted_servers(name)[-1] == "a"
            gate.end_attempt(name, Outcome.ERROR if bad else Outcome.OK)
        gate.run_until(gate.now_ms + 20.0)
    recent = [s.server_id for at, s in gate.sent_attempts if at > gate.now_ms - 500.0]
    assert recent.count("a") <= 2
    before = gate.send_request(customer="first")
    for _ in range(600):
        now = gate.send_request(customer=f"c{gate.request_count}")
        gate.end_attempt(before)
        gate.run_until(gate.now_ms + 50.0)
        before = now
    recent = [s.server_id for at, s in gate.sent_attempts if at > gate.now_ms - 1000.0]
    assert recent.count("a") >= 3


def test_failing_everywhere_is_no_reason_to_send_nowhere() -> None:
    gate = start_harness()
    for _ in range(60):
        name = gate.send_request(customer=f"c{gate.request_count}")
        while name not in gate.answered_ids:
            gate.end_attempt(name, Outcome.ERROR)
        gate.run_until(gate.now_ms + 20.0)
    assert gate.attempted_servers(gate.send_request(customer="last"))


def test_zone_that_fails_is_avoided_at_servers_not_tried_yet() -> None:
    gate = start_harness(limiter_settings(limiters=400), names="abcdefghijklmnopqrst")
    for _ in range(20):
        name = gate.send_request(customer=f"c{gate.request_count}")
        bad = ord(gate.attempted_servers(name)[0]) % 2
        gate.end_attempt(name, Outcome.CONNECT_FAILED if bad else Outcome.OK)
        gate.run_until(gate.now_ms + 50.0)
    share = gate.limiter.endpoints.health.failure_fraction_by_domain  # one that never failed need not stand there
    assert share["zone", 0] > share.get(("zone", 1), 0.0)
    servers = gate.limiter.endpoints.servers
    request = gate.limiter.requests[gate.send_request(customer="x")]
    costs = {
        n: gate.limiter.attempts.server_selector.cost(servers[n], request, set())
        for n in servers
        if not servers[n].in_flight
    }
    unseen = {n: c for n, c in costs.items() if servers[n].latency_ratio_at_ms < 0}
    bad_costs = [c for n, c in unseen.items() if ord(n) % 2]
    good_costs = [c for n, c in unseen.items() if not ord(n) % 2]
    assert not bad_costs or not good_costs or min(bad_costs) > max(good_costs)


def test_full_told_to_one_plan_is_no_load_and_to_two_is() -> None:
    gate = start_harness()
    for plans, loaded in (((0,), False), ((0, 3), True)):
        for i in range(40):
            name = gate.send_request(customer=f"c{plans}{i}", plan=plans[i % len(plans)])
            gate.end_attempt(name, Outcome.FULL, took=200.0)
            gate.end_attempt(name, Outcome.FULL, took=200.0)
            gate.end_attempt(name)
            gate.run_until(gate.now_ms + 10.0)
        assert (gate.limiter.load_estimator.load_level() > 0.4) is loaded


def test_plan_told_full_goes_elsewhere() -> None:
    gate = start_harness(names="ab")
    for i in range(30):
        name = gate.send_request(customer=f"c{i}", plan=0)
        gate.end_attempt(name, Outcome.FULL if gate.attempted_servers(name)[0] == "a" else Outcome.OK)
        gate.end_attempt(name)
        gate.run_until(gate.now_ms + 10.0)
    assert [gate.attempted_servers(gate.send_request(customer=f"d{i}"))[0] for i in range(5)].count("a") == 0


def test_server_that_never_answers_is_left_alone() -> None:
    gate = start_harness(names="abc")
    for _ in range(100):
        name = gate.send_request(customer=f"c{gate.request_count}")
        if gate.attempted_servers(name)[0] != "a":
            gate.end_attempt(name)
        gate.run_until(gate.now_ms + 20.0)
    recent = [s.server_id for at, s in gate.sent_attempts if at > 1000.0]
    assert recent.count("a") <= 3


def test_cold_server_gets_its_part_only() -> None:
    gate = start_harness(names="abcde")
    gate.run_until(20000.0)
    gate.apply_list(*(server_entry(n, 0) for n in "abcde"), server_entry("f", 0, at=20000.0))
    for _ in range(200):
        gate.end_attempt(gate.send_request(customer=f"c{gate.request_count}"), took=50.0)
        gate.run_until(gate.now_ms + 10.0)
    counts = [sum(s.server_id == n for _, s in gate.sent_attempts) for n in "abcdef"]
    assert 0 < counts[5] <= 0.6 * 2.0 * 0.4 * sum(counts[:5]) / 5 + 2


def test_small_cold_server_gets_a_part_by_its_weight() -> None:
    gate = start_harness(names="abcde")
    for _ in range(200):
        gate.end_attempt(gate.send_request(customer=f"c{gate.request_count}"))
        gate.run_until(gate.now_ms + 10.0)
    big, small = server_entry("f", 0, at=gate.now_ms), server_entry("g", 0, at=gate.now_ms)
    gate.apply_list(big, replace(small, weight=0.25), kind=ListKind.CHANGES)
    for _ in range(100):
        gate.end_attempt(gate.send_request(customer=f"c{gate.request_count}"), took=50.0)
        gate.run_until(gate.now_ms + 10.0)
    counts = [sum(s.server_id == n for _, s in gate.sent_attempts) for n in "fg"]
    assert counts[0] > counts[1] > 0
    assert gate.final_answers == {}


def test_errors_are_no_samples_of_load() -> None:
    gate = start_harness()
    for _ in range(20):
        name = gate.send_request(customer=f"c{gate.request_count}")
        while name not in gate.answered_ids:
            gate.end_attempt(name, Outcome.ERROR, took=1.0)
    assert gate.limiter.load_estimator.load_level() < 0.4


def test_one_sick_server_is_no_load_and_all_slow_is() -> None:
    gate = start_harness()
    for _ in range(30):
        name = gate.send_request(customer=f"c{gate.request_count}")
        slow = gate.attempted_servers(name)[0] == "a"
        gate.end_attempt(name, took=900.0 if slow else 50.0)
    assert gate.limiter.load_estimator.load_level() < 0.2
    for _ in range(60):
        gate.end_attempt(gate.send_request(customer=f"d{gate.request_count}"), took=900.0)
    assert gate.limiter.load_estimator.load_level() > 0.8


def test_crowding_holds_new_work_off_before_answers_tell() -> None:
    gate = start_harness(names="ab")
    names = [gate.send_request(customer=f"c{i}") for i in range(40)]
    assert any(gate.final_answers.get(n) == ["Reject"] for n in names)
    assert sum(bool(gate.attempted_servers(n)) for n in names) >= 1


def test_what_reached_no_server_is_refused_before_half_of_its_time() -> None:
    gate = start_harness()
    name, left = gate.send_request(left=1600.0), 1600.0
    gate.now_ms = 0.3 * left
    gate.end_attempt(name, Outcome.CONNECT_FAILED)
    assert len(gate.attempted_servers(name)) == 2 and name not in gate.final_answers
    gate.now_ms = 0.45 * left
    gate.end_attempt(name, Outcome.CONNECT_FAILED)
    assert gate.final_answers == {name: ["Reject"]}


def test_denied_customers_ask_again_after_their_share_of_the_refill() -> None:
    gate, name, keeper, asked = harness_with_pending_query()
    customer = gate.limiter.quotas.accounts[asked[2]]
    gate.handle(api.PeerMessage(keeper, single(asked[2], SingleKind.DENIED, a=0, b=127, number=asked[7])))
    assert name in gate.final_answers
    wait = customer.exhausted_until_ms - gate.now_ms
    assert wait == pytest.approx(3 * 1000.0 / customer.plan.rate_per_s)  # three limiters, one unit each in turn


def test_a_spike_is_asked_for_once_others_may_have_let_in_as_much() -> None:
    gate, name, _, asked = harness_with_pending_query()
    gate.end_attempt(name)
    for _ in range(20):
        gate.limiter.quota_coordinator.messenger.available_messages = 10.0
        gate.end_attempt(gate.send_request(f"c{int(name[1:]) - 1}", spread=3))
    # a quarter of the burst of 20, where each of three would let in half of it between two reports
    assert 2.0 <= gate.limiter.quota_coordinator.usage_reports.unreported_units[asked[2]] <= 5.0


def test_throttling_starts_ends_and_is_logged() -> None:
    gate = start_harness()
    for _ in range(120):
        gate.end_attempt(gate.send_request(customer=f"c{gate.request_count}"), took=900.0)
        gate.run_until(gate.now_ms + 25.0)
    assert all(at >= 2000.0 for at, a in gate.other_actions if isinstance(a, api.Log))  # what is borne is seen first
    assert any(isinstance(a, api.Log) for _, a in gate.other_actions)
    for _ in range(1200):
        name = gate.send_request(customer=f"c{gate.request_count}")
        if gate.attempted_servers(name):
            gate.end_attempt(name, took=50.0)
        gate.run_until(gate.now_ms + 25.0)
    assert gate.limiter.throttle.phase is ThrottlePhase.NOT_OVERLOADED
    logs = [a.text for _, a in gate.other_actions if isinstance(a, api.Log)]
    assert logs[0].startswith("throttling starts") and logs[-1].startswith("throttling ends")


def test_what_is_gone_or_full_again_is_forgotten_however_much_there_was() -> None:
    """On a day without end each of these would fill the memory."""
    gate = start_harness(limiter_settings(peers=True))
    for _ in range(3000):
        gate.end_attempt(gate.send_request(customer=f"c{gate.request_count}", spread=3))
        gate.run_until(gate.now_ms + 2.0)
    for number in range(200):
        gate.apply_list(server_entry(f"n{number}", zone=number))
        gate.end_attempt(gate.send_request(customer="always", spread=3), Outcome.CONNECT_FAILED)
        gate.run_until(gate.now_ms + 50.0)
    gate.run_until(gate.now_ms + 90000.0)
    limiter = gate.limiter
    assert (
        len(limiter.quotas.accounts) == len(limiter.quota_coordinator.quota_owner.ledgers) == len(limiter.requests) == 0
    )
    assert list(limiter.endpoints.servers) == ["n199"]
    assert (
        len(limiter.endpoints.health.failure_fraction_by_domain)
        == len(limiter.quota_coordinator.quota_client.pending_queries)
        == len(limiter.admission.waiting_request_ids)
        == 0
    )
    assert len(limiter.context.timers.heap) == 1


def first_servers(gate: LimiterHarness, count: int, wrong: Callable[[int, str], bool]) -> list[str]:
    """Where requests went with some always out; a wrong answer is followed by the good one elsewhere."""
    names: list[str] = []
    for number in range(count):
        names.append(gate.send_request(customer=f"c{gate.request_count}"))
        gate.run_until(gate.now_ms + 20.0)
        if number >= 4:
            if wrong(number, gate.attempted_servers(names[number - 4])[0]):
                gate.end_attempt(names[number - 4], Outcome.ERROR, took=1.0)
            gate.end_attempt(names[number - 4])
    return [gate.attempted_servers(name)[0] for name in names]


def test_errors_alike_at_all_servers_leave_none_of_them_out() -> None:
    went = first_servers(start_harness(), 600, lambda number, _: number % 12 == 0)
    parts = [went[at : at + 30] for at in range(90, 600, 30)]
    assert max(max(part.count(name) for name in "abcdef") for part in parts) <= 15


def test_a_time_out_at_a_server_that_answers_others_is_slow_and_a_silent_one_is_dead() -> None:
    for answers in (True, False):
        gate = start_harness(names="a")
        gate.end_attempt(gate.send_request(customer="first"))
        waiting = gate.send_request(customer="c")
        gate.run_until(gate.now_ms + 500.0)
        if answers:
            gate.end_attempt(gate.send_request(customer="other"))
        gate.run_until(gate.now_ms + 499.0)
        gate.end_attempt(waiting, Outcome.TIMEOUT, took=999.0)
        assert (gate.limiter.endpoints.servers["a"].latency_ratio > 1.0) is not answers


def test_a_server_that_answers_with_nothing_but_errors_fast_is_left_alone() -> None:
    went = first_servers(start_harness(), 600, lambda _, server: server == "a")
    assert went[100:].count("a") < 25


def test_subscribes_and_asks_again_before_old_news_counts() -> None:
    gate = start_harness(limiter_settings(subscribe=True))
    gate.run_until(20000.0)
    asked = [at for at, a in gate.other_actions if isinstance(a, api.Subscribe)]
    fetched = [at for at, a in gate.other_actions if isinstance(a, api.FetchServerList)]
    assert asked[0] == 0.0
    assert fetched and max(b - a for a, b in pairwise(fetched)) < 8000.0
    gate.handle(api.ServerList(2, ListKind.REFUSED))
    assert gate.attempted_servers(gate.send_request())


def test_serves_from_the_first_request_after_a_start() -> None:
    gate = start_harness(start=77777.0)
    assert gate.attempted_servers(gate.send_request(spread=3))


def test_few_answers_count_as_calm_so_that_a_low_rate_does_not_latch() -> None:
    gate = start_harness(limiter_settings(limiters=400))
    gate.run_until(1500.0)
    for _ in range(12):
        gate.end_attempt(gate.send_request(customer=f"c{gate.request_count}"), took=900.0)
    assert gate.limiter.load_estimator.load_level() > 0.4
    gate.run_until(3000.0)
    assert gate.limiter.throttle.leak_rate_per_s > 0.0
    gate.run_until(8000.0)
    for _ in range(30):
        gate.end_attempt(gate.send_request(customer=f"d{gate.request_count}"), took=50.0)
        gate.run_until(gate.now_ms + 1000.0)
    assert gate.limiter.throttle.phase is ThrottlePhase.NOT_OVERLOADED


def test_rate_is_not_cut_below_most_of_what_was_answered_in_time() -> None:
    gate = start_harness()
    for _ in range(400):
        gate.end_attempt(gate.send_request(customer=f"c{gate.request_count}"), took=50.0)
        gate.run_until(gate.now_ms + 50.0)
    assert 0.6 * 20 <= gate.limiter.throttle.min_leak_rate_per_s <= 0.8 * 20


def test_three_slow_answers_are_load_and_one_is_not() -> None:
    gate = start_harness(limiter_settings(limiters=400))
    gate.end_attempt(gate.send_request(), took=900.0)
    assert gate.limiter.load_estimator.load_level() < 0.4
    for i in range(2):
        gate.end_attempt(gate.send_request(customer=f"c{i}"), took=900.0)
    assert gate.limiter.load_estimator.load_level() > 0.4


def test_level_that_peers_tell_counts_where_own_answers_are_few() -> None:
    gate = start_harness(limiter_settings(limiters=400, peers=True))
    for sender in range(1, 20):
        gate.handle(api.PeerMessage(sender, SINGLE.pack(SINGLE_FORMAT, 64, 1, SingleKind.DENIED, 0, 0, 0, 0)))
    assert gate.limiter.load_estimator.load_level() > 0.8
    gate.run_until(5000.0)
    assert gate.limiter.load_estimator.load_level() < 0.4  # what was told is old


def test_store_that_a_limiter_takes_over_opens_as_last_heard_of() -> None:
    gate, name, keeper, asked = harness_with_pending_query(spread=2, limiters=2)
    gate.handle(api.PeerMessage(keeper, single(asked[2], SingleKind.DENIED, a=0, number=asked[7])))
    gate.limiter.quota_coordinator.owners.silent_until_ms[keeper] = gate.now_ms + 1e6
    gate.limiter.quotas.accounts[asked[2]].exhausted_until_ms = gate.now_ms
    again = gate.send_request(customer=f"c{int(name[1:]) - 1}", spread=2)
    assert gate.final_answers[again] == ["Reject"]
