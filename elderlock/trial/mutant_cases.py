"""What shows that each judge bites on real processes: a schedule, and a build with one known fault that its judge
has to see in it."""

from __future__ import annotations

from typing import Any

from elderlock.sim import invariant_checkers as j
from elderlock.sim.exclusive_holdings import ExclusiveHoldings
from elderlock.sim.scenario import Fault, Plan, Scenario, Settings, with_load
from elderlock.trial import mutants


def scenario(load: float = 0.25, accounts: int = 100, **changes: Any) -> Scenario:
    given = Scenario("bite", **{"lasts_s": 4.0, "warm_s": 0.5, "rest_s": 0.5, "boxes": 6, **changes})
    return with_load(load, given, accounts)


PLAN = Plan("plain", ceiling_rate=40.0, ceiling_burst=40.0, ceiling_slack=10.0)
CEILED = scenario(accounts=2, plan=(PLAN,), settings=Settings(peers=False))
DRAINED = scenario(agents=1, fault=(Fault(1.0, "op-drain", "box:0"),))
BITES: list[tuple[str, Scenario, mutants.Mutant]] = [
    (j.UnansweredRequests.name, scenario(fault=(Fault(1.0, "errs", "box:*", 2.0, 0.9),)), mutants.loses),
    (j.DrainedServers.name, scenario(fault=(Fault(1.0, "drain", "box:0", 2.0),)), mutants.keeps_sending),
    (j.ColdServers.name, scenario(1.0, fault=(Fault(1.0, "restart", "box:*"),)), mutants.knows_no_cold),
    (j.HardCeilings.name, CEILED, mutants.knows_no_ceiling),
    (j.DrainReports.name, DRAINED, mutants.lies_of_drains),
    (j.UnhandledErrors.name, scenario(fault=(Fault(1.0, "errs", "box:0", 1.0),)), mutants.raises),
    (j.Quiescence.name, scenario(agents=1), mutants.keeps_what_is_over),
    (j.UnboundedGrowth.name, scenario(lasts_s=7.0), mutants.leaks_descriptors),
    (
        j.RecordAgreement.name,
        scenario(agents=2, fault=(Fault(0.5, "cut", "way:tool>agent:1"), Fault(1.0, "op-drain", "box:0", by=1.5))),
        mutants.learns_nothing,
    ),
    (
        ExclusiveHoldings.name,
        # one may be out: the tool's own plan lets two of six go, also where one tool comes after the other
        scenario(
            agents=3,
            settings=Settings(budget=0.17),
            fault=(Fault(0.5, "op-drain", "box:0", by=12.0), Fault(0.5, "op-drain", "box:1", by=12.0)),
        ),
        mutants.knows_no_budget,
    ),
    (
        ExclusiveHoldings.name,
        scenario(agents=1, fault=(Fault(0.5, "op-drain", "box:0"), Fault(2.5, "power", "house"))),
        mutants.keeps_nothing,
    ),
]
