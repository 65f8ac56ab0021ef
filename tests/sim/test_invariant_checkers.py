"""Each invariant checker detects a flaw in the code that violates its invariant, in a run that passes without it."""

from __future__ import annotations

from typing import Any

import pytest

from elderlock.sim import decisions, search, shells
from elderlock.sim import invariant_checkers as checkers
from elderlock.sim.exclusive_holdings import ExclusiveHoldings
from elderlock.sim.figures import Result
from elderlock.sim.scenario import Fault, Plan, Scenario, Service, Settings, with_load
from elderlock.trial import mutants

LIMITS = checkers.CheckerLimits()


def scenario(load: float = 0.5, accounts: int = 100, **changes: Any) -> Scenario:
    unloaded = Scenario("flaw-case", **{"lasts_s": 6.0, "warm_s": 1.0, "rest_s": 3.0, "boxes": 6, **changes})
    return with_load(load, unloaded, accounts)


PLAN = Plan("plain", ceiling_rate=40.0, ceiling_burst=40.0, ceiling_slack=10.0)
# Each checker's name, the level, the scenario and the flaw
FLAW_CASES: list[tuple[str, str, Scenario, mutants.Mutant]] = [
    (
        checkers.UnansweredRequests.name,
        "shells",
        scenario(fault=(Fault(2.0, "errs", "box:*", 2.0, 0.9),)),
        mutants.loses,
    ),
    (
        checkers.RepeatedEffects.name,
        "decisions",
        scenario(service=(Service(effect="single_shot"),), fault=(Fault(2.0, "errs", "box:*", 1.0, 0.5),)),
        mutants.tries_all_again,
    ),
    (
        checkers.DrainedServers.name,
        "decisions",
        scenario(fault=(Fault(2.0, "drain", "box:0", 2.0),)),
        mutants.keeps_sending,
    ),
    (
        checkers.DrainedServers.name,
        "shells",
        scenario(fault=(Fault(2.0, "drain", "box:0", 2.0),)),
        mutants.keeps_sending,
    ),
    (
        checkers.ColdServers.name,
        "shells",
        scenario(1.0, fault=(Fault(2.0, "restart", "box:*"),)),
        mutants.knows_no_cold,
    ),
    (
        checkers.ColdServers.name,
        "decisions",
        scenario(1.0, fault=(Fault(2.0, "restart", "box:*"),)),
        mutants.knows_no_cold,
    ),
    (
        checkers.HardCeilings.name,
        "decisions",
        scenario(accounts=2, plan=(PLAN,), settings=Settings(peers=False)),
        mutants.knows_no_ceiling,
    ),
    (
        checkers.HardCeilings.name,
        "shells",
        scenario(accounts=2, plan=(PLAN,), settings=Settings(peers=False)),
        mutants.knows_no_ceiling,
    ),
    (
        checkers.DrainReports.name,
        "shells",
        scenario(agents=1, fault=(Fault(2.0, "op-drain", "box:0"),)),
        mutants.lies_of_drains,
    ),
    (
        checkers.DrainReports.name,
        "decisions",
        scenario(agents=1, fault=(Fault(2.0, "op-drain", "box:0"),)),
        mutants.lies_of_drains,
    ),
    (checkers.UnhandledErrors.name, "shells", scenario(fault=(Fault(2.0, "errs", "box:0", 1.0),)), mutants.raises),
    (checkers.UnhandledErrors.name, "decisions", scenario(fault=(Fault(2.0, "errs", "box:0", 1.0),)), mutants.raises),
    (checkers.Quiescence.name, "shells", scenario(), mutants.never_lets_go),
    (checkers.Quiescence.name, "decisions", scenario(), mutants.never_lets_go),
    (checkers.UnboundedGrowth.name, "decisions", scenario(lasts_s=12.0), mutants.forgets_no_timer),
    (checkers.UnboundedGrowth.name, "shells", scenario(lasts_s=12.0), mutants.forgets_no_timer),
    (
        ExclusiveHoldings.name,
        "shells",
        scenario(
            agents=3, settings=Settings(budget=0.34), fault=tuple(Fault(2.0, "op-drain", f"box:{n}") for n in range(6))
        ),
        mutants.grants_alone,
    ),
    (
        ExclusiveHoldings.name,
        "shells",
        scenario(
            agents=3,
            settings=Settings(budget=0.34),
            fault=tuple(Fault(2.0, "op-drain", f"limiter:{n}") for n in range(3)),
        ),
        mutants.knows_no_budget,
    ),
    (
        checkers.RecordAgreement.name,
        "shells",
        scenario(agents=3, fault=(Fault(2.0, "op-drain", "box:0"),)),
        mutants.hears_no_other,
    ),
]


def play(level: str, tested: Scenario) -> Result:
    return search.play(tested, 5, level)


@pytest.mark.parametrize(
    "checker_name, level, tested, inject_flaw",
    FLAW_CASES,
    ids=[f"{number}-{case[0]}-{case[1]}".replace(" ", "_") for number, case in enumerate(FLAW_CASES)],
)
def test_checker_detects_flaw(
    checker_name: str, level: str, tested: Scenario, inject_flaw: mutants.Mutant, monkeypatch: pytest.MonkeyPatch
) -> None:
    result = play(level, tested)
    assert result.good(), result.text()
    inject_flaw(monkeypatch)
    assert checker_name in play(level, tested).rules()


def test_every_checker_of_a_run_has_a_flaw_case() -> None:
    for world in (shells.ShellWorld(scenario(), 1), decisions.DecisionWorld(scenario(), 1)):
        assert {checker.name for checker in world.bench.checkers} <= {name for name, _, _, _ in FLAW_CASES}


def test_requests_answered_twice_late_wrongly_or_never_are_reported() -> None:
    checker = checkers.UnansweredRequests(LIMITS)
    for name in ("a", "b", "c", "d"):
        checker.asked(0.0, name, "n0", 1000.0, "account", "free")
    checker.answered(10.0, "a", "served")
    checker.answered(20.0, "a", "failed")
    checker.answered(1060.0, "b", "failed")
    checker.answered(30.0, "c", "wrong")
    checker.ended(5000.0)
    assert [text.split(" by")[0] for _, _, text in checker.violations] == [
        "a was answered failed after served",
        "b was answered failed 60 ms late",
        "c got the answer to another request from n0",
        "d was never answered",
    ]


def test_a_stall_of_a_machine_extends_the_deadlines_of_its_limiter() -> None:
    checker = checkers.UnansweredRequests(LIMITS)
    checker.asked(0.0, "a", "n0", 100.0, "account", "free")
    checker.asked(0.0, "b", "n1", 100.0, "account", "free")
    checker.stalled(10.0, "n0", 500.0)
    checker.asked(300.0, "c", "n0", 400.0, "account", "free")
    for name in ("a", "b", "c"):
        checker.answered(600.0, name, "failed")
    assert [violation.text.split()[0] for violation in checker.violations] == ["b"]


def test_a_burst_at_a_cold_server_counts_only_if_its_limiters_knew_of_the_start() -> None:
    def count_violations(is_informed: bool) -> int:
        checker = checkers.ColdServers(LIMITS)
        checker.started(0.0, "s", capacity=0.1)
        if is_informed:
            checker.told(1.0, "n0", "s", "running", 0.0)
        for number in range(120):
            checker.sent(10.0 + number, "n0", "s", f"r{number}")
        return checker.count

    assert count_violations(True) > 0 and count_violations(False) == 0


def test_a_ceiling_holds_over_any_span() -> None:
    checker = checkers.HardCeilings(LIMITS)
    checker.ceiling("a", rate=10.0, burst=5.0, slack=1.0)
    for number in range(6):
        checker.spent(float(number), "a", 1.0)
    assert checker.count == 0
    checker.spent(10.0, "a", 1.0)
    assert checker.count == 1 and "over its ceiling" in checker.violations[0].text
    assert checker.count == 1
    checker.spent(10_000.0, "a", 5.0)
    assert checker.count == 1
