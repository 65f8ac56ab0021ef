"""Routing at size: who may be drawn, subsets, outliers, zones; each hard case played in simulated time."""

from collections import Counter
from dataclasses import replace
from itertools import pairwise

import pytest
from helpers import Gateway, entry, gateway
from helpers import settings as settings_for
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock import interface as api
from elderlock.decisions import server_selection as choice
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.outlier_detection import (
    FAILURES_BEFORE_EJECTION,
    MAX_EJECTED_WEIGHT_FRACTION,
    MAX_EJECTION_MS,
    PANIC_THRESHOLD_FRACTION,
    OutlierDetector,
)
from elderlock.interface import ListKind, Outcome, Routing, ServerState
from elderlock.standins.tier import Size, Tier
from elderlock.state import Server

NAMES = [f"n{i}" for i in range(24)]
ENDS = st.sampled_from(
    [
        Outcome.OK,
        Outcome.OK,
        Outcome.RESET,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.FULL,
        Outcome.ERROR,
        Outcome.CANCELLED,
        Outcome.NOT_FORWARDED,
    ]
)


class Routes(RuleBasedStateMachine):
    """Whatever happens, in whatever order: those that may be drawn are those that the rules let, and sums are sums."""

    def __init__(self) -> None:
        super().__init__()
        self.gate: Gateway | None = None

    def start(self, subset: int, limiters: int) -> Gateway:
        config = replace(
            settings_for(limiters=limiters, peers=False), routing=Routing(subset_size=subset, cross_zone_penalty=0.1)
        )
        self.gate = gateway(config, names="")
        return self.gate

    @rule(subset=st.sampled_from([0, 0, 4, 9]), limiters=st.integers(1, 9))
    def starts(self, subset: int, limiters: int) -> None:
        if self.gate is None:
            self.start(subset, limiters)

    @rule(
        rows=st.lists(
            st.tuples(
                st.integers(0, 23),
                st.sampled_from(list(ServerState)),
                st.integers(0, 2),
                st.sampled_from([0.0, -9000.0, -100.0]),
                st.sampled_from([0.5, 1.0, 3.0]),
            )
        ),
        whole=st.booleans(),
    )
    def lists(self, rows: list[tuple[int, ServerState, int, float, float]], whole: bool) -> None:
        gate = self.gate or self.start(0, 3)
        entries = tuple(
            api.ServerEntry(NAMES[n], zone, 0, n // 4, state, weight, gate.now + at if at else 0.0)
            for n, state, zone, at, weight in {row[0]: row for row in rows}.values()
        )
        gate.servers(*entries, kind=ListKind.COMPLETE if whole else ListKind.CHANGES)

    @rule(count=st.integers(1, 20), kind=st.sampled_from([0, 0, 1, 2]))
    def asks(self, count: int, kind: int) -> None:
        gate = self.gate or self.start(0, 3)
        for _ in range(count):
            name = gate.ask(customer=f"c{gate.count}", kind=kind)
            for server in gate.where(name)[:1]:  # a first send goes where it may
                told = gate.limiter.endpoints.directory.ready[server]
                assert gate.limiter.endpoints.subsetting.includes(server) and not told.is_ejected

    @rule(outcome=ENDS, count=st.integers(1, 20))
    def ends(self, outcome: Outcome, count: int) -> None:
        for name, _, _ in list((self.gate or self.start(0, 3)).out)[:count]:
            assert self.gate is not None
            self.gate.end(name, outcome)

    @rule(wait=st.sampled_from([5.0, 60.0, 900.0, 5000.0]))
    def waits(self, wait: float) -> None:
        gate = self.gate or self.start(0, 3)
        gate.run(gate.now + wait)

    @invariant()
    def who_may_be_drawn(self) -> None:
        if self.gate is None:
            return
        boxes = self.gate.limiter.endpoints
        listing, core = boxes.directory, boxes.context
        for server in listing.servers.values():
            drawn = server in boxes.candidates.all
            barred = server.is_draining or server.is_ejected or not boxes.subsetting.includes(server.entry.server_id)
            if drawn:
                assert not barred and not (server.is_on_probation and server.in_flight), server
                assert boxes.slow_start.capacity_fraction(server) >= 1.0 or server.warm_up_budget >= 1.0 - 1e-9
            elif not barred and not (server.is_on_probation and server.in_flight):
                assert server.awaits_review and any(one is server for _, _, one in boxes.review_queue), server
        drawn_ones = set(boxes.candidates.all.members())
        assert drawn_ones <= set(listing.ready.values())
        assert {s for zone in boxes.candidates.by_zone.values() for s in zone.members()} == drawn_ones
        assert {s for cell in boxes.candidates.by_cell.values() for s in cell} == drawn_ones
        out = boxes.outlier_detector
        assert set(out.ejected) == {s for s in listing.ready.values() if s.is_ejected}
        assert (
            out.ejected_weight_milli
            == sum(s.weight_milli for s in out.ejected)
            <= MAX_EJECTED_WEIGHT_FRACTION * listing.total_weight_milli
        )
        ranks = Counter(boxes.subsetting.ranking.rank(n) for n, s in listing.ready.items() if not s.is_ejected)
        assert boxes.usable_count_by_rank == [ranks[rank] for rank in range(core.settings.limiter_count)]
        assert boxes.load_estimator.ready_server_count == len(listing.ready)


TestRoutes = Routes.TestCase
TestRoutes.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def failing(gate: Gateway, bad: set[str], rounds: int) -> list[str]:
    """Where the first tries went, with those boxes refusing connections."""
    went = []
    for _ in range(rounds):
        name = gate.ask(customer=f"c{gate.count}")
        went += gate.where(name)[:1]
        while name not in gate.ended:
            gate.end(name, Outcome.CONNECT_FAILED if gate.where(name)[-1] in bad else Outcome.OK)
        gate.run(gate.now + 20.0)
    return went


def test_of_boxes_that_all_fail_but_one_half_at_most_is_left_out_and_the_one_serves() -> None:
    names = [chr(97 + n) for n in range(20)]
    gate = gateway(settings_for(limiters=1), names="".join(names))
    went = failing(gate, set(names[1:]), 600)
    outliers = gate.limiter.endpoints.outlier_detector
    assert len(outliers.ejected) <= 10
    assert went[-200:].count("a") > 150


def test_when_nearly_all_fail_it_is_likelier_us_and_nobody_stays_left_out() -> None:
    names = [chr(97 + n) for n in range(20)]
    gate = gateway(settings_for(limiters=1), names="".join(names))
    boxes = gate.limiter.endpoints
    most = 0
    for _ in range(400):
        name = gate.ask(customer=f"c{gate.count}")
        while name not in gate.ended:
            gate.end(name, Outcome.CONNECT_FAILED)
        most = max(most, len(boxes.outlier_detector.ejected))
        gate.run(gate.now + 20.0)
        if boxes.outlier_detector.is_panicking(20):
            break
    assert most == 10 and len(boxes.outlier_detector.failing_server_ids) > PANIC_THRESHOLD_FRACTION * 20
    assert not boxes.outlier_detector.ejected and len(boxes.candidates.all) == 20


def test_a_box_that_is_back_is_tried_with_one_request_at_a_time() -> None:
    gate = gateway(settings_for(limiters=1), names="abcd")
    server = gate.limiter.endpoints.servers["b"]
    while not server.is_ejected:
        failing(gate, {"b"}, 20)
    assert server.consecutive_failures == FAILURES_BEFORE_EJECTION
    while server.is_ejected:  # what it was known for fades meanwhile
        assert "b" not in failing(gate, set(), 1)
    names = [gate.ask(customer=f"d{n}") for n in range(30)]
    went = [gate.where(name)[0] for name in names if gate.where(name)]
    assert len(went) > 5 and went.count("b") <= 1 and server.is_on_probation
    while not server.in_flight:
        failing(gate, set(), 1)
        names.append(gate.ask(customer=f"e{gate.count}"))
    assert server not in gate.limiter.endpoints.candidates.all
    gate.end(next(iter(server.in_flight))[0], Outcome.OK)
    assert (
        not server.is_on_probation
        and not server.consecutive_failures
        and server in gate.limiter.endpoints.candidates.all
    )


def test_one_that_fails_again_is_left_out_for_longer_up_to_a_most() -> None:
    outliers = OutlierDetector(DecisionContext(settings_for(limiters=1), 1, 0.0))
    one, waits = Server(entry("a"), 0.0, 0.0, weight_milli=10), []
    for _ in range(8):
        while not one.is_ejected:
            assert outliers.record_failure(one, 4, 40) == []
        waits.append(one.reinstate_at_ms - outliers.context.now_ms)
        outliers.context.now_ms = one.reinstate_at_ms
        assert outliers.reinstate_due() == [one] and one.is_on_probation
    assert all(later > 1.2 * earlier for earlier, later in pairwise(waits[:4]))
    assert max(waits) <= MAX_EJECTION_MS * 1.2
    outliers.record_success(one)
    assert (one.consecutive_failures, one.consecutive_ejections, one.is_on_probation) == (0, 0, False)


def test_leaving_out_stops_at_its_part_also_when_the_list_shrinks() -> None:
    gate = gateway(settings_for(limiters=1), names="abcdefgh")
    boxes = gate.limiter.endpoints
    for name in "abcd":
        for _ in range(FAILURES_BEFORE_EJECTION):
            boxes.outlier_detector.record_failure(boxes.servers[name], 8, boxes.directory.total_weight_milli)
        boxes.usable_count_by_rank[0] -= 1
        boxes.reposition(boxes.servers[name])
    assert len(boxes.outlier_detector.ejected) == 4 and len(boxes.candidates.all) == 4
    gate.servers(*(entry(n, state=ServerState.REMOVED) for n in "efg"), kind=ListKind.CHANGES)
    assert len(boxes.outlier_detector.ejected) == 2 and len(boxes.candidates.all) == 3


def played(size: Size, seed: int = 1, warm: float = 2000.0) -> Tier:
    tier = Tier(size, seed).play(warm)
    tier.count_anew()
    return tier


def test_equal_boxes_get_equal_shares() -> None:
    tier = played(Size(limiters=3, boxes=60, load=0.5, speeds=(1.0,))).play(3000.0)
    mean = sum(tier.sends.values()) / 60
    assert len(tier.sends) == 60 and max(tier.sends.values()) < 2.2 * mean


def test_a_gray_box_gets_little() -> None:
    tier = played(Size(limiters=3, boxes=90, load=0.5))
    tier.boxes["s-50"].speed /= 10.0
    tier.play(2000.0)
    tier.count_anew()
    tier.play(2000.0)
    assert tier.sends["s-50"] < 0.25 * sum(tier.sends.values()) / 90
    assert tier.served() > 0.99


def test_a_zone_vanishes_and_comes_back_cold() -> None:
    tier = played(Size(limiters=3, boxes=60, load=0.5), seed=2)
    lost = [box for box in tier.boxes.values() if box.zone == 1]
    for box in lost:
        box.silent = True
    tier.play(4000.0)
    assert tier.served() > 0.98
    tried = sum(tier.sends[box.uid] for box in lost)
    assert tried < 0.05 * sum(tier.sends.values())
    for box in lost:
        box.restart()
    tier.tell_all(lost)
    tier.count_anew()
    tier.play(4000.0)
    assert tier.served() > 0.97
    assert 0.0 < tier.cold_excess() <= 1.0  # the fourth rule
    assert sum(tier.sends[box.uid] for box in lost) > 0.05 * sum(tier.sends.values())  # and they take work again


def test_a_list_replaces_half_the_boxes_at_once() -> None:
    tier = played(Size(limiters=3, boxes=60, load=0.4), seed=3)
    tier.replace(list(tier.boxes)[::2])
    for number in range(3):
        tier.tell(number)
    tier.count_anew()
    tier.play(4000.0)
    assert set(tier.sends) <= set(tier.boxes), "sent to one that the list no longer names"
    assert tier.cold_excess() <= 1.0 and tier.served() > 0.85


def test_reports_that_lie_change_nothing_as_none_is_read() -> None:
    """The queue that boxes report was weighed and left: see docs/design/decisions.md."""
    found = []
    for lies in (False, True):
        tier = Tier(Size(limiters=3, boxes=20, load=0.8), 4)
        for box in list(tier.boxes.values())[::4]:
            box.lies = lies
        found.append(tier.play(1500.0).sends)
    assert found[0] == found[1]


def test_thirty_limiters_that_start_on_one_list_do_not_come_as_a_herd() -> None:
    tier = Tier(Size(limiters=30, boxes=120, load=0.7), 5).play(150.0)
    mean = sum(tier.sends.values()) / 120
    assert mean > 2 and max(tier.sends.values()) < 5 * mean


def connected(limiters: int, boxes: int, subset: int) -> list[Limiter]:
    entries = tuple(entry(f"s-{n}", n % 3) for n in range(boxes))
    made = []
    for number in range(limiters):
        config = replace(settings_for(limiters=limiters), limiter_index=number, routing=Routing(subset_size=subset))
        made.append(Limiter(config, number, 0.0))
        made[-1].handle(api.ServerList(1, ListKind.COMPLETE, entries), 0.0)
    return made


def held(limiter: Limiter) -> set[str]:
    return {server.entry.server_id for server in limiter.endpoints.candidates.all.members()}


def test_a_subset_loses_and_gains_just_what_it_must() -> None:
    group = connected(12, 240, 60)
    before = [held(limiter) for limiter in group]
    assert Counter(name for names in before for name in names) == {f"s-{n}": 3 for n in range(240)}
    gone = [entry(f"s-{n}", state=ServerState.REMOVED) for n in range(10)]
    for limiter, names in zip(group, before, strict=True):
        limiter.handle(api.ServerList(2, ListKind.CHANGES, tuple(gone)), 10.0)
        assert held(limiter) == names - {one.server_id for one in gone}
        limiter.handle(api.ServerList(3, ListKind.CHANGES, (entry("new"),)), 20.0)
    assert sum("new" in held(limiter) for limiter in group) == 3


def test_a_limiter_more_or_fewer_moves_little() -> None:
    before, after = connected(12, 240, 60), connected(13, 240, 60)
    pairs = [{(n, name) for n, limiter in enumerate(group) for name in held(limiter)} for group in (before, after)]
    assert len(pairs[0] - pairs[1]) < 1.5 * len(pairs[0]) / 13
    assert all(number == 12 for number, _ in pairs[1] - pairs[0])


def test_a_subset_whose_boxes_are_all_gone_takes_in_others_and_gives_them_back() -> None:
    limiter = connected(6, 60, 20)[2]
    before = held(limiter)
    down = tuple(entry(name, state=ServerState.DRAINING) for name in before)
    limiter.handle(api.ServerList(2, ListKind.CHANGES, down), 10.0)
    wider = held(limiter)
    assert len(wider) >= 10 and not wider & before
    up = tuple(entry(name, int(name[2:]) % 3) for name in before)
    limiter.handle(api.ServerList(3, ListKind.CHANGES, up), 20.0)
    assert held(limiter) == before


def test_small_changes_of_the_number_of_boxes_do_not_flap_the_subset() -> None:
    limiter = connected(10, 100, 25)[0]
    holders = limiter.endpoints.subsetting.holder_count
    for turn in range(20):
        state = ServerState.REMOVED if turn % 2 else ServerState.RUNNING
        limiter.handle(api.ServerList(2, ListKind.CHANGES, tuple(entry(f"x-{n}", state=state) for n in range(6))), 9.0)
        assert limiter.endpoints.subsetting.holder_count == holders


def test_home_comes_first_while_it_has_room_and_spill_rises_with_load() -> None:
    away = []
    for load in (0.3, 0.6, 0.9):
        tier = played(Size(limiters=3, boxes=60, load=load, routing=Routing(cross_zone_penalty=0.2))).play(1500.0)
        away.append(tier.away / sum(tier.sends.values()))
    assert away[0] < 0.02 and away[0] <= away[1] < away[2] < 0.6


def test_a_home_that_is_lost_is_left() -> None:
    tier = played(Size(limiters=3, boxes=60, load=0.4, routing=Routing(cross_zone_penalty=0.3)), seed=6)
    for box in tier.boxes.values():
        box.silent = box.zone == 0
    tier.play(2000.0)
    tier.count_anew()
    tier.play(2000.0)
    assert tier.served() > 0.98


class Looks(choice.ServerSelector):
    seen = 0

    def cost(self, server, request, tried, least=0.0):  # type: ignore[no-untyped-def]
        Looks.seen += 1
        return super().cost(server, request, tried, least)


@pytest.mark.parametrize("boxes", [100, 1000, 5000])
def test_a_choice_weighs_as_many_of_thousands_as_of_a_hundred(boxes: int) -> None:
    limiter = connected(1, boxes, 0)[0]
    limiter.attempts.server_selector = Looks(limiter.context, limiter.endpoints)
    Looks.seen = 0
    for n in range(50):
        limiter.handle(api.RequestArrived(f"r{n}", 0, 0, f"c{n}", 1.0, 900.0, 1, 0), 100.0)
    assert Looks.seen == 50 * choice.SAMPLE_COUNT


def test_two_thousand_that_time_out_at_one_instant_get_one_answer_each() -> None:
    gate = gateway(settings_for(limiters=1), names="".join(chr(0x4E00 + n) for n in range(1500)))
    gate.limiter.attempts.extra = 0.0
    names = [gate.ask(customer=f"c{n}") for n in range(2000)]
    assert sum(bool(gate.where(name)) for name in names) == 2000
    gate.run(gate.now + 1100.0)
    assert all(len(gate.finals[name]) == 1 for name in names)
    assert gate.limiter.load_estimator.in_flight == 0 and not gate.limiter.requests
    assert not any(server.in_flight for server in gate.limiter.endpoints.servers.values())


def test_accounts_seen_once_are_forgotten_and_a_busy_one_is_not() -> None:
    limiter, now = connected(1, 4, 0)[0], 0.0

    def asks(name: str, customer: str) -> None:
        arrived = api.RequestArrived(name, 0, 0, customer, 1.0, now + 900.0, 1, 0)
        sent = [a.server_id for a in limiter.handle(arrived, now) if isinstance(a, api.SendAttempt)]
        for server in sent:
            limiter.handle(api.AttemptEnded(name, 0, server, Outcome.OK, 5.0, True), now)

    for n in range(20_000):
        now += 0.5
        asks(f"r{n}", f"c{n}")
    assert len(limiter.quotas.accounts) == 20_000
    for n in range(400):
        now += 100.0
        asks(f"b{n}", "busy")
        limiter.quotas.age_out()
    assert len(limiter.quotas.accounts) == 1 and not limiter.quotas.aging.postponed
