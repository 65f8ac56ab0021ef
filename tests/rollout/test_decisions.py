"""The register, the ledger and the budget without I/O: any loss, repetition, order and death of messages and voters."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock.rollout.budget import Budget, Inventory, Item, Limits, reasons, spent
from elderlock.rollout.inventory import Known, inventory
from elderlock.rollout.ledger import Ledger, LedgerError, Permit, above, decode, encode, give_back, grant, stands
from elderlock.rollout.register import Acceptor, Ballot, Join, Phase, Round, joining, to_read
from elderlock.standins.limiters import box, state

BOXES = tuple(Item(f"s-{n}", f"floor-{n % 3}", "std" if n % 2 else "old", 2.0) for n in range(6))
LIMITERS = tuple(Item(f"n{n}", f"floor-{n % 3}") for n in range(6))
ALL = Inventory(BOXES, LIMITERS)


# The register


@dataclass
class Proposer:
    """Appends its mark to the value, and tries again until it was chosen. It knows its own mark when it meets it."""

    name: str
    mark: bytes
    number: int = 0
    round: Round | None = None
    done: list[bytes] = field(default_factory=list)

    def change(self, value: bytes) -> bytes | None:
        return value if self.mark in value.split(b",") else value + self.mark + b","


def phase_of(round: Round) -> Phase:
    return round.phase


def play(seed: int, voters: int, proposers: int, loss: float, forgets: bool = False) -> tuple[list[bytes], int]:
    """All values that were chosen, in the order in which their proposers learnt of it, and how many tries that took."""
    rng = random.Random(seed)
    names = [f"a{n}" for n in range(voters)]
    acceptors = {name: Acceptor() for name in names}
    asking = [Proposer(f"p{n}", b"m%d" % n) for n in range(proposers)]
    wire: list[tuple[str, Proposer, Round, str, Ballot, bytes]] = []
    chosen: list[bytes] = []
    rounds = 0

    def begin(p: Proposer) -> None:
        nonlocal rounds
        rounds += 1
        p.number += 1 + rng.randrange(3)
        p.round = Round(Ballot(p.number, p.name), names, p.change)
        for name in names:
            wire.append((name, p, p.round, "prepare", p.round.ballot, b""))

    for _ in range(60_000):
        if all(p.done for p in asking):
            break
        for p in asking:
            if not p.done and (p.round is None or rng.random() < 0.02 or p.round.phase is Phase.OUTBID):
                begin(p)
        if not wire:
            continue
        number = rng.randrange(len(wire))  # any order
        name, p, round, kind, ballot, value = wire[number]
        if rng.random() > 0.1:  # else it comes once more later
            del wire[number]
        if rng.random() < loss:
            continue
        acceptor = acceptors[name] = Acceptor(*acceptors[name].state())  # it died and is back from its store
        if forgets and rng.random() < 0.2:
            acceptor = acceptors[name] = Acceptor()
        if kind == "prepare":
            vote = acceptor.prepare(ballot)
            if rng.random() >= loss and p.round is round:
                before = round.phase
                round.promise(name, vote)
                p.number = max(p.number, round.greatest.number)
                if before is Phase.PREPARE and round.phase is Phase.ACCEPT:
                    wire += [(other, p, round, "accept", round.ballot, round.value) for other in names]
        else:
            vote = acceptor.accept(ballot, value)
            if rng.random() >= loss and p.round is round and round.phase is Phase.ACCEPT:
                round.acceptance(name, vote)
                if phase_of(round) is Phase.CHOSEN:
                    p.done.append(round.value)
                    chosen.append(round.value)
    return chosen, rounds


def one_line(values: list[bytes]) -> bool:
    """Whether of any two one goes on from the other, and no mark stands in one twice."""
    ordered = sorted(values, key=len)
    lines = all(later.startswith(earlier) for earlier, later in itertools.pairwise(ordered))
    marks = [value.split(b",")[:-1] for value in ordered]
    return lines and all(len(set(each)) == len(each) for each in marks)


@given(st.integers(0, 1 << 30), st.sampled_from([1, 2, 3, 5]), st.integers(1, 4), st.sampled_from([0.0, 0.1, 0.4]))
@settings(max_examples=60)
def test_chosen_values_are_one_line_whatever_is_lost_repeated_or_dies(
    seed: int, voters: int, count: int, loss: float
) -> None:
    chosen, _ = play(seed, voters, count, loss)
    assert one_line(chosen)
    assert len(chosen) == count, "nobody is kept from it for ever"


def test_a_voter_that_forgets_breaks_it_and_the_test_sees_that() -> None:
    assert any(not one_line(play(seed, 3, 4, 0.1, forgets=True)[0]) for seed in range(100))


def test_a_round_without_a_majority_is_over_at_once() -> None:
    round = Round(Ballot(1, "p"), "abc", lambda value: value)
    round.away("a")
    assert round.phase is Phase.PREPARE
    round.away("b")
    assert phase_of(round) is Phase.OUTBID


def test_who_has_just_begun_votes_once_enough_others_saw_it_promise_no_more_than_it_remembers() -> None:
    mine, more = Ballot(5, "a"), Ballot(6, "b")
    known, newer, new = (mine, False), (more, False), (Ballot(), True)
    assert joining(3, True, mine, [])[0] is Join.WAIT and joining(3, True, mine, [known])[0] is Join.VOTE
    assert joining(5, True, mine, [known])[0] is Join.WAIT and joining(5, True, mine, [known] * 2)[0] is Join.VOTE
    assert joining(3, True, mine, [known, newer])[0] is Join.READ  # its store is an old copy
    assert joining(3, False, Ballot(), [new])[0] is Join.WAIT and joining(3, False, Ballot(), [new] * 2)[0] is Join.VOTE
    assert joining(3, False, Ballot(), [new, known])[0] is Join.READ  # its store is lost


@pytest.mark.parametrize("voters", [2, 3, 4, 5])
def test_a_register_is_read_through_one_of_each_majority(voters: int) -> None:
    others = range(1, voters)
    majority = voters // 2 + 1
    for read in itertools.combinations(others, to_read(voters)):
        for rest in itertools.combinations(others, majority - 1):  # that it made a majority with
            assert set(read) & set(rest)


# The ledger


def asked(
    ledger: Ledger, *boxes: str, origin: str = "o", budget: Budget | None = None, known: Inventory = ALL
) -> Ledger | list[str]:
    return grant(ledger, [("box", name) for name in boxes], budget or Budget(), known, origin, "an", "", 7, 0.0)


def test_permits_are_all_or_none_and_a_command_finds_its_own() -> None:
    first = asked(Ledger(), "s-0", "s-1")
    assert isinstance(first, Ledger) and first.version == 1
    assert {permit.generation for permit in first.permits} == {8}  # above all that was seen
    assert asked(first, "s-0", "s-1") is first
    assert asked(first, "s-1", "s-2", origin="other") == ["box s-1 has a permit of an"]
    refused = asked(first, "s-3", "s-4", origin="other")
    assert isinstance(refused, list) and "4 of 6 boxes would be out, 50% are the most" in refused
    assert decode(encode(first)) == first


def test_a_permit_is_given_back_only_to_a_newer_record_everywhere() -> None:
    made = asked(Ledger(), "s-0")
    assert isinstance(made, Ledger)
    (permit,) = made.permits
    assert give_back(made, {}) is None and give_back(made, {permit.key: permit.generation}) is None
    after = give_back(made, {permit.key: permit.generation + 1})
    assert after is not None and after.permits == () and after.version == 2
    assert stands(made, permit) and not stands(after, permit)
    assert stands(Ledger(), permit)  # one that this agent has not heard of yet
    assert above(after, 20).generation == 21
    again = asked(after, "s-0", origin="next")
    assert isinstance(again, Ledger) and again.permits[0].generation > permit.generation


def test_a_ledger_that_cannot_be_read_is_said() -> None:
    with pytest.raises(LedgerError, match="cannot be read"):
        decode(b"\xc1")
    with pytest.raises(LedgerError, match="format 9"):
        decode(encode(Ledger(format=9)))


# The budget


names = st.sets(st.sampled_from([item.name for item in BOXES]))


@given(names, names, names, st.integers(0, 4), st.sampled_from([0.2, 0.34, 0.5, 1.0]), st.integers(0, 2))
def test_what_is_let_go_keeps_every_bound_and_what_is_refused_would_break_one(
    out: set[str], held: set[str], going: set[str], most: int, share: float, floor_least: int
) -> None:
    items = tuple(item._replace(out="it is silent" if item.name in out else "") for item in BOXES)
    limits = Limits(most=most, share=share, floor_least=floor_least, least=1)
    permits = {("box", name): "an" for name in held}
    refused = reasons(Budget(boxes=limits), Inventory(items, LIMITERS), permits, [("box", name) for name in going])

    def broken(gone: set[str]) -> bool:
        new, after = going - gone, gone | going
        return bool(new) and bool(
            (most and len(after) > most)
            or len(after) > share * 6 + 1e-9
            and share < 1.0
            or 6 - len(after) < 1
            or any(
                sum(item.name not in after for item in BOXES if item.floor == floor) < floor_least
                for floor in {item.floor for item in BOXES if item.name in new}
            )
        )

    assert bool(refused) == (broken(out | held) or broken(held))  # also by permits alone


def test_each_bound_is_said_with_its_figures() -> None:
    def why(limits: Limits, *going: str, **more: object) -> str:
        return "; ".join(reasons(Budget(boxes=limits), ALL, {}, [("box", name) for name in going]))

    assert why(Limits(kind_share=0.4), "s-1", "s-3") == "2 of 3 boxes of std would be out, 40% are the most"
    assert why(Limits(floor_share=0.5), "s-0", "s-3") == "2 of 2 boxes of floor-0 would be out, 50% are the most"
    assert why(Limits(weight_share=0.1), "s-0") == "2 of 12 of all boxes' weight would be out, 10% are the most"
    assert why(Limits(least=6), "s-0") == "5 boxes would be left, 6 are the least"
    assert why(Limits(), "s-9") == "box s-9 is not known"


def test_each_set_of_limiters_in_a_row_keeps_its_least() -> None:
    budget = Budget(limiters=Limits(), set_size=2, set_least=1)
    out = {("limiter", "n1"): "an"}
    assert reasons(budget, ALL, out, [("limiter", "n3")]) == []
    (said,) = reasons(budget, ALL, out, [("limiter", "n2")])
    assert said == "of the set n1, n2 0 limiters would be left, 1 are the least"
    assert reasons(budget, ALL, {("limiter", "n0"): "an"}, [("limiter", "n5")])  # counted round


def test_what_is_out_against_our_will_counts_and_mending_asks_nobody() -> None:
    dark = Inventory(tuple(item._replace(out="silent") for item in BOXES[:3]) + BOXES[3:], LIMITERS)
    assert reasons(Budget(), dark, {}, [("box", "s-3")])
    assert reasons(Budget(), dark, {}, [("box", "s-0")]) == []  # it is out already: to drain it costs nothing more
    assert reasons(Budget(), dark._replace(blind="nothing is known"), {}, [("box", "s-3")]) == ["nothing is known"]
    assert any("s-0: silent" in line for line in spent(Budget(), dark, {}))


def test_permits_keep_the_budget_by_themselves_where_all_is_out_for_a_moment() -> None:
    cold = Inventory(tuple(item._replace(out="left out: cold") for item in BOXES), LIMITERS)
    three = {("box", f"s-{n}"): "an" for n in range(3)}
    assert reasons(Budget(), cold, {}, list(three)) == []
    assert reasons(Budget(), cold, three, [("box", "s-3")])[0] == "4 of 6 boxes would be out, 50% are the most"
    assert reasons(Budget(), cold._replace(blind="nothing is known"), three, [("box", "s-3")]) == ["nothing is known"]


def test_an_agent_counts_what_discovery_judgements_and_silence_take() -> None:
    boxes = [box("s-0"), box("s-1", state="draining"), box("s-2", left_out="failing"), box("s-3", drained_by="an")]
    states = [state("n0", boxes), state("n1", [*boxes[:2], box("s-2"), boxes[3]]), state("n2", boxes)]
    known = [Known("n10", "", ""), Known("n2", "", "its agent agent-1 is unreachable"), Known("n1", "", "")]
    made = inventory(states, known, [])
    assert [item.out for item in made.boxes] == [
        "",
        "draining, as discovery says",
        "left out: failing",
        "drained by an",
    ]
    assert [item.name for item in made.limiters] == ["n1", "n2", "n10"] and made.limiters[1].out
    assert not made.blind
    assert "agent-2" in inventory(states, known, ["agent-2"]).blind and inventory([], known, []).blind
    without = inventory([state("n0", list_age_ms=-1.0)], known, [])
    assert "has a list" in without.blind and without.lacking([("limiter", "n1")])
    assert made.lacking([("box", "s-0"), ("box", "s-9")]) and not made.lacking([("box", "s-0"), ("limiter", "n1")])


def test_a_budget_that_cannot_hold_is_said() -> None:
    assert Budget().trouble() == "" and "set_least is 4" in Budget(set_size=3, set_least=4).trouble()
    assert Permit("box", "s-0", "o", "an", "", 1, 1).key == ("box", "s-0")
