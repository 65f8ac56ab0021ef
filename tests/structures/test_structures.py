"""The structures under the decisions: each against a plain model of itself, and what they cost."""

import random
from collections import Counter

import pytest
from helpers import entry
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.interface import ListKind, ServerState
from elderlock.state import Server
from elderlock.structures.candidate_set import CandidateSet
from elderlock.structures.expiry_queue import ExpiryQueue
from elderlock.structures.rendezvous import RendezvousRanking
from elderlock.structures.server_directory import ServerDirectory
from elderlock.structures.timer_queue import TimerQueue
from elderlock.structures.weighted_sampler import WeightedSampler


def server(name: str = "a", zone: int = 0) -> Server:
    return Server(entry(name, zone), 0.0, 1.0)


@given(st.lists(st.tuples(st.integers(0, 11), st.integers(0, 5000)), max_size=60), st.integers(0, 99))
def test_a_drawing_holds_what_was_put_and_draws_nothing_else(steps: list[tuple[int, int]], seed: int) -> None:
    drawing, servers, model = WeightedSampler(), [server(f"s{n}") for n in range(12)], {}
    for index, weight in steps:
        drawing.set_weight(servers[index], weight)
        model[index] = weight
        held = {n: w for n, w in model.items() if w}
        assert drawing.total_weight == sum(held.values()) and len(drawing) == len(held)
        assert {s: drawing.weight(s) for s in drawing.members()} == {servers[n]: w for n, w in held.items()}
    rng = random.Random(seed)
    if drawing.total_weight:
        assert all(model[servers.index(drawing.sample(rng))] for _ in range(20))


@pytest.mark.parametrize("weights", [(1, 1, 1, 1), (1000, 650, 200, 10), (1, 3, 1023, 1024), (7, 5000, 5000, 90)])
def test_a_drawing_draws_by_weight(weights: tuple[int, ...]) -> None:
    drawing, servers, rng = WeightedSampler(), [server(f"s{n}") for n in range(4)], random.Random(3)
    for n, weight in enumerate(weights):
        drawing.set_weight(servers[n], weight * 2)
        drawing.set_weight(servers[n], weight)  # as after a change
    drawn = Counter(drawing.sample(rng).entry.server_id for _ in range(40_000))
    for n, weight in enumerate(weights):
        expected = 40_000 * weight / sum(weights)
        assert abs(drawn[f"s{n}"] - expected) <= 5.0 * expected**0.5 + 1


class Counted(random.Random):
    """How often it was asked: what a draw costs, whatever the machine does."""

    asked = 0

    def random(self) -> float:
        self.asked += 1
        return super().random()


def test_a_draw_costs_as_much_of_ten_thousand_as_of_ten() -> None:
    costs = []
    for count in (10, 10_000):
        drawing, rng = WeightedSampler(), Counted(1)
        for n in range(count):
            drawing.set_weight(server(f"s{n}"), 300 + n * 977 % 1700)
        for _ in range(2000):
            drawing.sample(rng)
        costs.append(rng.asked / 2000)
    assert max(costs) <= 3.0  # one for the level and two tries


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2), st.integers(0, 2), st.integers(0, 3)), max_size=40))
def test_a_roster_has_each_in_its_zone_and_cell_also_once_these_change(
    steps: list[tuple[int, int, int, int]],
) -> None:
    roster, servers = CandidateSet(), [server(f"s{n}") for n in range(6)]
    model: dict[Server, tuple[int, int]] = {}
    for index, zone, cell, weight in steps:
        one = servers[index]
        one.entry = api.ServerEntry(one.entry.server_id, zone, 0, cell, ServerState.RUNNING, 1.0)
        roster.set_weight(one, weight)
        model.pop(one, None)
        if weight:
            model[one] = zone, cell
    assert set(roster.all.members()) == set(model)
    assert {z: set(d.members()) for z, d in roster.by_zone.items()} == {
        z: {s for s, at in model.items() if at[0] == z} for z in {at[0] for at in model.values()}
    }
    assert {c: set(members) for c, members in roster.by_cell.items()} == {
        c: {s for s, at in model.items() if at[1] == c} for c in {at[1] for at in model.values()}
    }


@given(st.lists(st.tuples(st.sampled_from(["use", "wait"]), st.integers(0, 5), st.integers(1, 40)), max_size=60))
def test_aging_tells_each_key_once_for_each_time_it_has_stood_unused(steps: list[tuple[str, int, int]]) -> None:
    aging, now = ExpiryQueue(20.0), 0.0
    used: dict[int, float] = {}
    off: dict[int, float] = {}
    for what, key, value in steps:
        match what:
            case "use":
                aging.touch(key, now)
                used[key] = now
                off.pop(key, None)
            case "wait":
                now += value
                due = aging.pop_expired(now)
                old = {k for k, at in used.items() if now - at > 20.0}
                assert set(due) == old | {k for k, at in off.items() if at <= now}
                assert len(due) == len(set(due))
                for k in due:
                    used.pop(k, None)
                    off.pop(k, None)
                    if k % 2:  # not to be forgotten yet
                        aging.postpone(k, now + 30.0)
                        off[k] = now + 30.0


def test_a_hundred_thousand_that_rest_are_looked_at_once_and_not_again() -> None:
    aging = ExpiryQueue(10.0)
    for key in range(100_000):
        aging.touch(key, 0.0)
    for key in aging.pop_expired(11.0):
        aging.postpone(key, 5000.0)
    assert not aging.recent
    assert [aging.pop_expired(float(now)) for now in range(12, 1000)] == [[]] * 988
    assert len(aging.pop_expired(5000.0)) == 100_000


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 50), st.booleans()), max_size=40))
def test_timers_come_due_in_time_behind_one_that_is_asked_for(steps: list[tuple[bool, int, bool]]) -> None:
    timers, now = TimerQueue(), 0.0
    armed: dict[int, float] = {}
    live: dict[object, float] = {}

    def arm() -> None:
        if (asked := timers.arm(now)) is not None:
            armed[asked[1]] = now + asked[0]

    for sets, wait, cancels in steps:
        if sets:
            timer = timers.schedule(now + wait, wait)
            if cancels:
                timer.is_live = False
            else:
                live[timer] = now + wait
        else:
            now += wait
            for token in sorted((t for t, at in armed.items() if at <= now), key=lambda t: armed[t]):
                del armed[token]
                for timer in timers.pop_due(token, now):
                    assert live.pop(timer) <= now + 1.0
                arm()
        arm()
        late = [at for at in live.values() if at < now - 50]
        assert not late
        if live:
            assert min(armed.values(), default=1e9) <= max(min(live.values()), now)


def test_a_question_that_was_answered_wakes_nobody() -> None:
    timers, asked = TimerQueue(), []
    for n in range(1000):
        timer = timers.schedule(float(n) + 40.0, n)
        timer.is_live = n % 100 == 0
        asked.append(timers.arm(float(n)))
    assert sum(one is not None for one in asked) == 1
    woken, token, now = 0, 1001, 0.0
    token = next(one[1] for one in asked if one is not None)
    for now in range(40, 1100):
        due = timers.pop_due(token, float(now))
        woken += bool(due)
        if (again := timers.arm(float(now))) is not None:
            token = again[1]
    assert woken == 10 and not timers.heap


def ranked(limiters: int, names: list[str], number: int = 0) -> RendezvousRanking:
    ranking = RendezvousRanking(number, limiters)
    for name in names:
        ranking.add(name, 1000)
    return ranking


NAMES = [f"s-{n:x}" for n in range(600)]


def test_limiters_agree_on_who_holds_a_box_though_they_have_heard_of_others() -> None:
    for name in NAMES[:100]:
        ranks = [ranked(12, NAMES[number % 3 :: 2] + NAMES[:100], number).rank(name) for number in range(12)]
        assert sorted(ranks) == list(range(12))


def test_one_more_limiter_takes_from_others_just_what_it_holds() -> None:
    """Among those that stay, a box's order does not change."""
    before = [ranked(20, NAMES, number) for number in range(20)]
    after = [ranked(21, NAMES, number) for number in range(21)]
    moved = 0
    for name in NAMES:
        was = {n for n in range(20) if before[n].rank(name) < 4}
        now = {n for n in range(21) if after[n].rank(name) < 4}
        moved += len(was - now)
        assert now - was <= {20} and len(was - now) == len(now - was)
    assert 0.5 < moved / (4 * len(NAMES) / 21) < 1.5


def test_every_limiter_holds_about_as_much_and_evening_makes_boxes_equal() -> None:
    rankings = [ranked(20, NAMES, number) for number in range(20)]
    for one in rankings:
        one.set_holder_count(4)
    held = [[name for name in NAMES if one.rank(name) < 4] for one in rankings]
    assert (
        [1000 * len(names) for names in held]
        == rankings[0].weight_milli_by_limiter
        == rankings[7].weight_milli_by_limiter
    )
    raw, evened = Counter[str](), Counter[str]()
    for one, names in zip(rankings, held, strict=True):
        whole = sum(one.balance_factor(name) for name in names)
        for name in names:
            raw[name] += 1.0 / len(names)  # type: ignore[assignment]
            evened[name] += one.balance_factor(name) / whole  # type: ignore[assignment]
    mean = 20 / len(NAMES)
    assert max(evened.values()) / mean < 1.1 < max(raw.values()) / mean
    assert min(evened.values()) / mean > 0.9


def test_a_ranking_forgets_what_left() -> None:
    ranking = ranked(5, NAMES)
    ranking.set_holder_count(2)
    for name in NAMES:
        ranking.remove(name)
        ranking.remove(name)
    assert len(ranking) == 0 and ranking.weight_milli_by_limiter == [0] * 5 and ranking.rank(NAMES[0]) == 0


States = st.sampled_from([ServerState.RUNNING, ServerState.RUNNING, ServerState.DRAINING, ServerState.REMOVED])
Rows = st.lists(st.tuples(st.integers(0, 5), States, st.sampled_from([0.0, 5.0, 95.0]), st.integers(1, 3)), max_size=6)


@settings(max_examples=200)
@given(st.lists(st.tuples(st.booleans(), Rows), max_size=15))
def test_a_listing_says_who_is_ready_young_and_how_much_that_is(
    lists: list[tuple[bool, list[tuple[int, ServerState, float, int]]]],
) -> None:
    listing, rng = ServerDirectory(warm_up_ms=50.0), random.Random(1)
    model: dict[str, api.ServerEntry] = {}
    ready: dict[str, Server] = {}
    for whole, rows in lists:
        entries = tuple(
            api.ServerEntry(f"s{n}", 0, 0, 0, state, float(weight), at)
            for n, state, at, weight in {row[0]: row for row in rows}.values()
        )
        if whole:
            model.clear()
        model.update({one.server_id: one for one in entries})
        kind = ListKind.COMPLETE if whole else ListKind.CHANGES
        changes = listing.apply(api.ServerList(1, kind, entries), 100.0, rng)
        for one in changes.left:
            del ready[one.entry.server_id]
        for one in changes.joined:
            assert one.entry.server_id not in ready
            ready[one.entry.server_id] = one
        expected = {name for name, one in model.items() if one.state is ServerState.RUNNING}
        assert set(ready) == set(listing.ready) == expected and ready == listing.ready
        assert all(
            one.entry == model[name] and not one.is_draining and not one.is_removed for name, one in ready.items()
        )
        young = {name for name in expected if model[name].started_at_ms == 95.0}
        assert set(listing.warming_up) == young
        assert listing.total_weight_milli == sum(1000 * int(model[name].weight) for name in expected)
        assert listing.warm_weight_milli == listing.total_weight_milli - sum(
            1000 * int(model[name].weight) for name in young
        )
    listing.forget_removed()
    gone = {name for name, one in model.items() if one.state is ServerState.REMOVED}
    assert set(listing.servers) == set(model) - gone
