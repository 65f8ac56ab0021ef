"""Ceilings by demand: whatever happens to messages and processes, no more is sent on than one bucket would let through,
and what one limiter needs comes from those that can spare it."""

from __future__ import annotations

import random
import re
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from helpers import SAFE, settings
from playing import played

from elderlock import interface as api
from elderlock.control import messages as m
from elderlock.control.shared import ceiling_status
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quotas import Quotas
from elderlock.gossip.ceilings import (
    AGAIN,
    BURST,
    FORMAT,
    INTAKE_PART,
    LIFE,
    MOST_OPENED,
    VERSION,
    CeilingLimiter,
    EscrowQuotas,
    Grant,
    Want,
    decode,
    encode,
)
from elderlock.gossip.limiter import SharedLimiter
from elderlock.gossip.sharing import SharingLimiter
from elderlock.net.config import ConfigError
from elderlock.operators import OptionalFeatures
from elderlock.sim import scenario as sim
from elderlock.sim.decisions import DecisionWorld
from elderlock.sim.scenario import Fault, Scenario
from elderlock.state import OpenRequest

RATE, FULL, SLACK = 12.0, 24.0, 2.0
PLAN = api.Plan(
    "ceiled", 1.0, 1000.0, 1000.0, ceiling_rate_per_s=RATE, ceiling_burst_units=FULL, ceiling_slack_units=SLACK
)
MEMBERS, FIRST, LIMITERS = 3, 4, 6  # limiters 4, 5 and 0
HISTORIES = 100
WARM = 1000.0 * FULL / RATE + 1.0  # ms in which all parts fill


class Node:
    """A limiter's quotas with a clock of their own, which may stand still beside the world's."""

    def __init__(self, number: int, now: float, seed: int, kind: type[Quotas] = EscrowQuotas) -> None:
        given = settings(LIMITERS, peers=True)
        self.number, self.core = number, DecisionContext(replace(given, limiter_index=number, plans=(PLAN,)), seed, now)
        self.quotas = kind(self.core)

    def ask(self, now: float, units: float = 1.0, customer: str = "c") -> bool:
        """Whether the ceiling lets it be sent."""
        self.core.now_ms = now
        event = api.RequestArrived("r", 0, 0, customer, units, now + 1000.0, MEMBERS, FIRST)
        account = self.quotas.account(event)
        if self.quotas.exceeds_hard_ceiling(account, units):
            return False
        self.quotas.take(OpenRequest(event, SAFE, account, now))
        account.in_flight -= 1
        return True

    def due(self) -> list[tuple[int, bytes]]:
        return self.quotas.due() if isinstance(self.quotas, EscrowQuotas) else []

    def told(self, now: float, sender: int, data: bytes) -> None:
        self.core.now_ms = now
        message = decode(data)
        if message is not None and isinstance(self.quotas, EscrowQuotas):
            self.quotas.told(sender, message)

    def level(self) -> float:
        (account,) = self.quotas.accounts.values()
        return account.ceiling_units


class Reference:
    """The one bucket that all together have to keep, as the operators count it."""

    def __init__(self) -> None:
        self.level, self.at, self.least = FULL, 0.0, 0.0

    def spent(self, now: float, units: float) -> None:
        self.level = min(FULL, self.level + RATE * (now - self.at) / MS_PER_SECOND) - units
        self.at, self.least = now, min(self.least, self.level)


def nodes(now: float = 0.0, kind: type[Quotas] = EscrowQuotas) -> dict[int, Node]:
    return {(FIRST + n) % LIMITERS: Node((FIRST + n) % LIMITERS, now, n, kind) for n in range(MEMBERS)}


def history(seed: int, kind: type[Quotas] = EscrowQuotas) -> tuple[float, float]:
    """One with everything that befalls datagrams and processes; the reference's least level, and units that moved."""
    rng, now, moved = random.Random(seed), 0.0, 0.0
    group, reference = nodes(now, kind), Reference()
    asleep: dict[int, float] = {}  # until when
    flying: list[tuple[float, int, int, bytes]] = []
    flown: list[tuple[int, int, bytes]] = []
    busy = rng.choice(list(group))
    now += WARM
    for _ in range(600):
        now += rng.choice((0.0, 1.0, 5.0, 20.0, 60.0, rng.uniform(0.0, 700.0), 3000.0 * (rng.random() < 0.05)))
        number = busy if rng.random() < 0.7 else rng.choice(list(group))
        if rng.random() < 0.02:
            busy = rng.choice(list(group))
        node = group[number]
        if rng.random() < 0.01:
            moved += getattr(node.quotas, "taken", 0.0)
            group[number] = node = Node(number, now, rng.randrange(1 << 30), kind)
        if rng.random() < 0.03:
            asleep[number] = now + rng.choice((100.0, LIFE, 4000.0, 60_000.0))
        units = rng.choice((1.0, 1.0, 2.5, 4.0))
        for _ in range(rng.choice((1, 1, 3, 12))):
            if now >= asleep.get(number, 0.0) and node.ask(now, units):
                reference.spent(now, units)
        if rng.random() < 0.1:  # all that there is, everywhere
            for member in group.values():
                while now >= asleep.get(member.number, 0.0) and member.ask(now):
                    reference.spent(now, 1.0)
        if rng.random() < 0.02:
            node.core.now_ms = now
            node.quotas.age_out()
        for other in list(group.values()):
            for to, data in other.due():
                for _ in range(rng.choice((0, 1, 1, 1, 1, 2))):  # lost, or twice
                    flying.append((now + rng.choice((0.0, 1.0, 3.0, LIFE - 1.0, LIFE, 2500.0)), other.number, to, data))
        if flown and rng.random() < 0.1:
            flying.append((now, *rng.choice(flown)))  # played again
        rng.shuffle(flying)
        for each in [each for each in flying if each[0] <= now and now >= asleep.get(each[2], 0.0)]:
            flying.remove(each)
            _, sender, to, data = each
            flown.append((sender, to, data))
            group[to].told(now, sender, data)
    moved += sum(getattr(node.quotas, "taken", 0.0) for node in group.values())
    return reference.least, moved


def test_no_order_loss_repetition_sleep_or_restart_lets_more_through_than_one_bucket_would() -> None:
    found = [history(seed) for seed in range(HISTORIES)]
    assert min(least for least, _ in found) >= -SLACK
    assert sum(moved for _, moved in found) > 5.0 * HISTORIES  # and units do move


class TakesTwice(EscrowQuotas):
    """A grant counts as often as it comes."""

    def _granted(self, sender: int, grant: Grant) -> None:
        super()._granted(sender, grant)
        if grant.id in self._pending:
            self._pending[grant.id].asked.add(sender)


class TakesLate(EscrowQuotas):
    """A grant counts however late it comes."""

    def _granted(self, sender: int, grant: Grant) -> None:
        if grant.id in self._pending:
            self._pending[grant.id].at = self.context.now_ms
        super()._granted(sender, grant)


class GivesAndKeeps(EscrowQuotas):
    """Who gives does not take it off."""

    def _wanted(self, sender: int, want: Want) -> None:
        super()._wanted(sender, want)
        for account in self.accounts.values():
            account.ceiling_units += sum(units for _, units in self._away.pop(account.key, []))


@pytest.mark.parametrize("flawed", [TakesTwice, TakesLate, GivesAndKeeps])
def test_the_history_sees_each_flaw(flawed: type[EscrowQuotas]) -> None:
    assert any(history(seed, flawed)[0] < -SLACK for seed in range(HISTORIES))


def served_by_one(kind: type[Quotas]) -> int:
    """One limiter of three is asked all there is, twice the ceiling's rate; datagrams take 2 ms."""
    group, count, now = nodes(0.0, kind), 0, WARM
    for step in range(2000):
        now += 1000.0 / (2.0 * RATE)
        count += group[FIRST].ask(now)
        for _ in range(2):
            for node in group.values():
                for to, data in node.due():
                    group[to].told(now + 2.0, node.number, data)
        assert step < 2000
    return count


def test_a_limiter_that_is_asked_for_all_gets_nearly_the_whole_ceiling() -> None:
    even, shared = served_by_one(Quotas), served_by_one(EscrowQuotas)
    whole = 2000 / 2.0
    assert even < 0.4 * whole and 0.95 * whole < shared < 1.05 * whole


# What is taken, and what is not


def granted() -> tuple[dict[int, Node], float, list[tuple[int, bytes]]]:
    """Its part is spent and it has asked; nobody has answered yet."""
    group, now = nodes(), 2.0 * WARM
    for other in (5, 0):
        assert group[other].ask(now - 900.0) and group[other].due() == []
    while group[FIRST].ask(now):
        pass
    return group, now, group[FIRST].due()


def answers(group: dict[int, Node], now: float, wants: list[tuple[int, bytes]]) -> list[tuple[int, bytes]]:
    found = []
    for to, data in wants:
        group[to].told(now, FIRST, data)
        found += [(to, answer) for _, answer in group[to].due()]
    return found


def test_a_grant_is_taken_once_in_time_and_from_whom_it_was_wanted() -> None:
    group, now, wants = granted()
    assert sorted(to for to, _ in wants) == [0, 5]
    (giver, data), *_ = given = answers(group, now, wants)
    assert len(given) == 2
    before = group[FIRST].level()
    group[FIRST].told(now, 3, data)  # it was not asked
    assert group[FIRST].level() == before
    group[FIRST].told(now + 1.0, giver, data)
    after = group[FIRST].level()
    assert after > before + 0.5
    group[FIRST].told(now + 1.0, giver, data)
    assert group[FIRST].level() == after
    other, late = given[1]
    group[FIRST].told(now + LIFE, other, late)
    group[FIRST].ask(now + LIFE, 1000.0)  # only looks: so much no bucket holds
    assert group[FIRST].level() == pytest.approx(after + RATE / MEMBERS * (LIFE - 1.0) / MS_PER_SECOND)


def test_a_process_that_begins_anew_takes_no_grant_of_the_one_before() -> None:
    group, now, wants = granted()
    given = answers(group, now, wants)
    anew = Node(FIRST, now, 99)
    assert not anew.ask(now, 4.0)
    before = anew.level()
    for giver, data in given:
        anew.told(now + 1.0, giver, data)
    assert anew.level() == before


def test_one_that_gave_away_does_not_fill_again_before_nobody_can_take_it() -> None:
    group, now, wants = granted()
    answers(group, now, wants)
    giver, part = group[5], FULL / MEMBERS
    left = giver.level()
    giver.ask(now + LIFE - 1.0, 1000.0)
    assert giver.level() <= part - (part - left) + RATE / MEMBERS * LIFE / MS_PER_SECOND
    giver.ask(now + LIFE + WARM, 1000.0)
    assert giver.level() == pytest.approx(part)


def test_a_want_is_answered_once_and_only_where_both_hold_a_part_alike() -> None:
    group, now, wants = granted()
    want = decode(wants[0][1])
    assert isinstance(want, Want)
    to = wants[0][0]
    assert len(answers(group, now, [wants[0]])) == 1 and answers(group, now, [wants[0]]) == []
    wrong = [
        want._replace(id=1, plan=3),
        want._replace(id=2, spread=2),
        want._replace(id=3, spread=LIMITERS + 1),
        want._replace(id=4, first=0),
        want._replace(id=5, spread=0),
    ]
    for each in wrong:
        assert answers(group, now, [(to, encode(each))]) == []
    group[to].told(now, 3, encode(want._replace(id=6)))  # not one of those that the ceiling is split by
    assert group[to].due() == []


def test_one_that_wants_some_itself_gives_none() -> None:
    group, now, wants = granted()
    while group[5].ask(now):
        pass
    assert group[5].due()
    assert [to for to, _ in answers(group, now, wants)] == [0]


def test_a_customer_that_nobody_asked_it_about_has_a_part_there_too_within_a_bound() -> None:
    node = Node(5, 0.0, 1)
    for key in range(MOST_OPENED + 50):
        node.told(WARM + 1000.0 * key, FIRST, encode(Want(key, key, 0, MEMBERS, FIRST, 4.0)))
    assert len(node.quotas.accounts) == MOST_OPENED and len(node.due()) == MOST_OPENED
    node.core.now_ms += 1e9
    node.quotas.age_out()
    assert not node.quotas.accounts


def test_datagrams_stay_within_their_part_of_the_intake() -> None:
    node, sent, seconds = Node(FIRST, 0.0, 1), 0, 20
    for step in range(100 * seconds):
        now = WARM + 10.0 * step
        for customer in range(20):
            while node.ask(now, 4.0, f"c{customer}"):
                pass
        sent += len(node.due())
    assert 0 < sent <= BURST + INTAKE_PART * 100.0 * (seconds + WARM / MS_PER_SECOND)


def test_what_it_wants_again_waits_a_moment() -> None:
    group, now, wants = granted()
    assert wants and not group[FIRST].ask(now + AGAIN - 1.0, 50.0) and group[FIRST].due() == []
    assert not group[FIRST].ask(now + AGAIN, 50.0) and group[FIRST].due() != []


@pytest.mark.parametrize(
    "data",
    [
        b"",
        bytes([FORMAT]),
        bytes([FORMAT, VERSION]),
        bytes([FORMAT, VERSION + 1, 0]) + bytes(19),
        bytes([FORMAT, VERSION, 2]) + bytes(8),
        encode(Grant(1, 2.0))[:-1],
        encode(Want(1, 2, 0, 3, 4, 5.0)) + b"\0",
        b"\x5c" * 12,
    ],
)
def test_what_is_not_of_this_form_is_nothing(data: bytes) -> None:
    assert decode(data) is None


def test_units_are_told_rounded_down() -> None:
    told = decode(encode(Grant(7, 1.999)))
    assert isinstance(told, Grant) and 1.99 < told.units <= 1.999
    assert decode(encode(Want(7, 8, 1, 3, 4, 5.5))) == Want(7, 8, 1, 3, 4, 5.5)


# What operators say of it


@pytest.mark.parametrize(
    "text, kind",
    [
        ("[shared]", Limiter),
        ("[shared]\nevidence = true", SharedLimiter),
        ("[shared]\nceilings = true", CeilingLimiter),
        ("[shared]\nevidence = true\nceilings = true", SharingLimiter),
    ],
)
def test_the_operators_file_says_what_is_shared(text: str, kind: type[Limiter], tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    assert OptionalFeatures(path).limiter_type(settings(peers=True)) is kind


@pytest.mark.parametrize(
    "text, why",
    [
        ("[shared]\nceilings = true\n[quota]\nstore = 'tally'", "with [quota] the counter holds them"),
        ("[shared]\nceilings = 3", "bool"),
        ("[shared]\nceiling = true", "ceiling"),
    ],
)
def test_what_cannot_be_shared_is_said_in_one_line(text: str, why: str, tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=re.escape(why)) as error:
        OptionalFeatures(path).limiter_type(settings(peers=True))
    assert str(path) in str(error.value) and "\n" not in str(error.value)


def test_operators_see_what_went_where() -> None:
    limiter = CeilingLimiter(replace(settings(LIMITERS, peers=True), limiter_index=5, plans=(PLAN,)), 1, 0.0)
    want = encode(Want(9, 77, 0, MEMBERS, FIRST, 3.0))
    (answer,) = limiter.handle(api.PeerMessage(FIRST, want), 2.0 * WARM)
    assert (
        isinstance(answer, api.SendPeerMessage)
        and decode(answer.payload) == Grant(9, 3.0)
        and answer.receiver_index == FIRST
    )
    assert ceiling_status(limiter) == m.CeilingStatus(
        given=3.0, taken=0.0, offered=3.0, maximum_sent_per_s=INTAKE_PART * 100.0
    )
    assert limiter.handle(api.PeerMessage(FIRST, want[:-1]), 2.0 * WARM) == []  # of this form, and cannot be read
    assert ceiling_status(Limiter(settings(peers=True), 1, 0.0)) is None


# Fleets


def scenario(shared: bool, limiters: int, spread: int, rate: float) -> Scenario:
    raw = {
        "name": "ceilings",
        "lasts_s": 20.0,
        "limiters": limiters,
        "boxes": 24,
        "floors": 3,
        "plan": [
            {
                "name": "shop",
                "rate": 14.0,
                "burst": 28.0,
                "ceiling_rate": 15.0,
                "ceiling_burst": 30.0,
                "ceiling_slack": 4.0,
                "over_worth": 0.5,
                "over_cost": 0.1,
            }
        ],
        "service": [{"name": "lookup", "aim_ms": 300.0}],
        "stream": [
            {
                "name": "a",
                "plan": "shop",
                "deadline_ms": 1200.0,
                "spread": spread,
                "accounts": {"count": 6},
                "shape": [{"kind": "steady", "rate": rate}],
            }
        ],
        "settings": {"shared_ceilings": shared},
    }
    return msgspec.convert(raw, Scenario)


@pytest.mark.parametrize("limiters, spread, rate", [(12, 4, 80.0), (60, 8, 40.0), (60, 8, 80.0)])
def test_a_fleet_refuses_less_and_keeps_its_ceilings(limiters: int, spread: int, rate: float) -> None:
    """Near the ceiling, where the even parts are at times too small by chance alone."""
    refused = {False: 0, True: 0}
    for shared in refused:
        for seed in (1, 2):
            result = DecisionWorld(scenario(shared, limiters, spread, rate), seed).play()
            assert result.good()
            refused[shared] += result.figures.outcomes.get("refused", 0)
    assert refused[True] < 0.9 * refused[False], refused


def test_on_real_processes_ceilings_hold_whatever_befalls_datagrams_and_limiters() -> None:
    plan = sim.Plan("plain", ceiling_rate=40.0, ceiling_burst=40.0, ceiling_slack=10.0)
    given = sim.Scenario(
        "ceilings",
        lasts_s=6.0,
        warm_s=0.5,
        rest_s=0.5,
        limiters=4,
        boxes=6,
        plan=(plan,),
        settings=sim.Settings(shared_ceilings=True),
        fault=(
            Fault(0.2, "loss", "peers", 5.0, 0.3),
            Fault(0.2, "reorder", "peers", 5.0),
            Fault(0.2, "duplicate", "peers", 5.0, 0.5),
            Fault(1.0, "pause", "limiter:1", 1.5),
            Fault(2.0, "kill", "limiter:2"),
            Fault(3.0, "cut", "way:limiter:0>limiter:3", 2.0),
        ),
    )
    outcome = played(sim.of_load(0.4, given, 2))
    assert outcome.verdict() != "broken", outcome.text()
