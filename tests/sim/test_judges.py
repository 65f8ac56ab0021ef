"""Each judge bites: a change of the code that breaks its rule makes it fail, in a run that is good without it."""

from __future__ import annotations

from typing import Any

import pytest

from elderlock.sim import decisions, search, shells
from elderlock.sim import judges as j
from elderlock.sim.agreed import Agreed
from elderlock.sim.figures import Result
from elderlock.sim.scenario import Fault, Plan, Scenario, Service, Settings, of_load
from elderlock.trial import mutants

RULES = j.Rules()


def scenario(load: float = 0.5, accounts: int = 100, **changes: Any) -> Scenario:
    given = Scenario("bite", **{"lasts_s": 6.0, "warm_s": 1.0, "rest_s": 3.0, "boxes": 6, **changes})
    return of_load(load, given, accounts)


PLAN = Plan("plain", ceiling_rate=40.0, ceiling_burst=40.0, ceiling_slack=10.0)
BITES: list[tuple[str, str, Scenario, mutants.Mutant]] = [
    (j.Lost.name, "shells", scenario(fault=(Fault(2.0, "errs", "box:*", 2.0, 0.9),)), mutants.loses),
    (
        j.Twice.name,
        "decisions",
        scenario(service=(Service(effect="single_shot"),), fault=(Fault(2.0, "errs", "box:*", 1.0, 0.5),)),
        mutants.tries_all_again,
    ),
    (j.Drains.name, "decisions", scenario(fault=(Fault(2.0, "drain", "box:0", 2.0),)), mutants.keeps_sending),
    (j.Drains.name, "shells", scenario(fault=(Fault(2.0, "drain", "box:0", 2.0),)), mutants.keeps_sending),
    (j.Cold.name, "shells", scenario(1.0, fault=(Fault(2.0, "restart", "box:*"),)), mutants.knows_no_cold),
    (j.Cold.name, "decisions", scenario(1.0, fault=(Fault(2.0, "restart", "box:*"),)), mutants.knows_no_cold),
    (
        j.Ceilings.name,
        "decisions",
        scenario(accounts=2, plan=(PLAN,), settings=Settings(peers=False)),
        mutants.knows_no_ceiling,
    ),
    (
        j.Ceilings.name,
        "shells",
        scenario(accounts=2, plan=(PLAN,), settings=Settings(peers=False)),
        mutants.knows_no_ceiling,
    ),
    (j.Reports.name, "shells", scenario(agents=1, fault=(Fault(2.0, "op-drain", "box:0"),)), mutants.lies_of_drains),
    (j.Reports.name, "decisions", scenario(agents=1, fault=(Fault(2.0, "op-drain", "box:0"),)), mutants.lies_of_drains),
    (j.Failures.name, "shells", scenario(fault=(Fault(2.0, "errs", "box:0", 1.0),)), mutants.raises),
    (j.Failures.name, "decisions", scenario(fault=(Fault(2.0, "errs", "box:0", 1.0),)), mutants.raises),
    (j.Rest.name, "shells", scenario(), mutants.never_lets_go),
    (j.Rest.name, "decisions", scenario(), mutants.never_lets_go),
    (j.Growth.name, "decisions", scenario(lasts_s=12.0), mutants.forgets_no_timer),
    (j.Growth.name, "shells", scenario(lasts_s=12.0), mutants.forgets_no_timer),
    (
        Agreed.name,
        "shells",
        scenario(
            agents=3, settings=Settings(budget=0.34), fault=tuple(Fault(2.0, "op-drain", f"box:{n}") for n in range(6))
        ),
        mutants.grants_alone,
    ),
    (
        Agreed.name,
        "shells",
        scenario(
            agents=3,
            settings=Settings(budget=0.34),
            fault=tuple(Fault(2.0, "op-drain", f"limiter:{n}") for n in range(3)),
        ),
        mutants.knows_no_budget,
    ),
    (j.Agreement.name, "shells", scenario(agents=3, fault=(Fault(2.0, "op-drain", "box:0"),)), mutants.hears_no_other),
]


def play(floor: str, given: Scenario) -> Result:
    return search.play(given, 5, floor)


@pytest.mark.parametrize(
    "rule, floor, given, mutate", BITES, ids=[f"{n}-{b[0]}-{b[1]}".replace(" ", "_") for n, b in enumerate(BITES)]
)
def test_a_judge_bites(
    rule: str, floor: str, given: Scenario, mutate: mutants.Mutant, monkeypatch: pytest.MonkeyPatch
) -> None:
    good = play(floor, given)
    assert good.good(), good.text()
    mutate(monkeypatch)
    assert rule in play(floor, given).rules()


def test_every_judge_of_a_run_is_shown_to_bite() -> None:
    for world in (shells.ShellWorld(scenario(), 1), decisions.DecisionWorld(scenario(), 1)):
        assert {judge.name for judge in world.bench.judges} <= {rule for rule, _, _, _ in BITES}


def test_a_request_answered_twice_or_late_or_by_anothers_answer_is_told() -> None:
    judge = j.Lost(RULES)
    for name in ("a", "b", "c", "d"):
        judge.asked(0.0, name, "n0", 1000.0, "account", "free")
    judge.answered(10.0, "a", "served")
    judge.answered(20.0, "a", "failed")
    judge.answered(1060.0, "b", "failed")
    judge.answered(30.0, "c", "wrong")
    judge.ended(5000.0)
    assert [text.split(" by")[0] for _, _, text in judge.broken] == [
        "a was answered failed after served",
        "b was answered failed 60 ms late",
        "c got another's answer from n0",
        "d was never answered",
    ]


def test_a_machine_that_stalls_owes_its_answers_that_much_later() -> None:
    judge = j.Lost(RULES)
    judge.asked(0.0, "a", "n0", 100.0, "account", "free")
    judge.asked(0.0, "b", "n1", 100.0, "account", "free")
    judge.stalled(10.0, "n0", 500.0)
    judge.asked(300.0, "c", "n0", 400.0, "account", "free")
    for name in ("a", "b", "c"):
        judge.answered(600.0, name, "failed")
    assert [broken.text.split()[0] for broken in judge.broken] == ["b"]


def test_a_burst_at_a_cold_box_counts_only_by_those_who_knew() -> None:
    def judged(told: bool) -> int:
        judge = j.Cold(RULES)
        judge.started(0.0, "s", bears=0.1)
        if told:
            judge.told(1.0, "n0", "s", "running", 0.0)
        for number in range(120):
            judge.sent(10.0 + number, "n0", "s", f"r{number}")
        return judge.count

    assert judged(True) > 0 and judged(False) == 0


def test_a_ceiling_counts_over_any_span() -> None:
    judge = j.Ceilings(RULES)
    judge.ceiling("a", rate=10.0, burst=5.0, slack=1.0)
    for number in range(6):
        judge.spent(float(number), "a", 1.0)
    assert judge.count == 0
    judge.spent(10.0, "a", 1.0)
    assert judge.count == 1 and "over its ceiling" in judge.broken[0].text
    assert judge.count == 1
    judge.spent(10_000.0, "a", 5.0)
    assert judge.count == 1
