"""Cases that show that each invariant checker detects violations by real processes.

Each case is a rule, a scenario, and a mutant that violates the rule in it.
"""

from __future__ import annotations

from typing import Any

from elderlock.sim import invariant_checkers
from elderlock.sim.exclusive_holdings import ExclusiveHoldings
from elderlock.sim.scenario import Fault, Plan, Scenario, Settings, with_load
from elderlock.trial import mutants


def scenario(load: float = 0.25, accounts: int = 100, **changes: Any) -> Scenario:
    """Return a short scenario.

    Args:
        load: The load as a share of the servers' capacity.
        accounts: How many accounts the clients use.
        **changes: Fields of the scenario with other values.
    """
    defaults = Scenario("bite", **{"lasts_s": 4.0, "warm_s": 0.5, "rest_s": 0.5, "boxes": 6, **changes})
    return with_load(load, defaults, accounts)


PLAN_WITH_CEILING = Plan("plain", ceiling_rate=40.0, ceiling_burst=40.0, ceiling_slack=10.0)
WITH_CEILING = scenario(accounts=2, plan=(PLAN_WITH_CEILING,), settings=Settings(peers=False))
WITH_DRAIN = scenario(agents=1, fault=(Fault(1.0, "op-drain", "box:0"),))
MUTANT_CASES: list[tuple[str, Scenario, mutants.Mutant]] = [
    (
        invariant_checkers.UnansweredRequests.name,
        scenario(fault=(Fault(1.0, "errs", "box:*", 2.0, 0.9),)),
        mutants.loses,
    ),
    (
        invariant_checkers.DrainedServers.name,
        scenario(fault=(Fault(1.0, "drain", "box:0", 2.0),)),
        mutants.keeps_sending,
    ),
    (
        invariant_checkers.ColdServers.name,
        scenario(1.0, fault=(Fault(1.0, "restart", "box:*"),)),
        mutants.knows_no_cold,
    ),
    (invariant_checkers.HardCeilings.name, WITH_CEILING, mutants.knows_no_ceiling),
    (invariant_checkers.DrainReports.name, WITH_DRAIN, mutants.lies_of_drains),
    (invariant_checkers.UnhandledErrors.name, scenario(fault=(Fault(1.0, "errs", "box:0", 1.0),)), mutants.raises),
    (invariant_checkers.Quiescence.name, scenario(agents=1), mutants.keeps_what_is_over),
    (invariant_checkers.UnboundedGrowth.name, scenario(lasts_s=7.0), mutants.leaks_descriptors),
    (
        invariant_checkers.RecordAgreement.name,
        scenario(agents=2, fault=(Fault(0.5, "cut", "way:tool>agent:1"), Fault(1.0, "op-drain", "box:0", by=1.5))),
        mutants.learns_nothing,
    ),
    (
        ExclusiveHoldings.name,
        # The budget allows one drained server. Without it, the command's own check allows two of the six, also if one
        # command runs after the other.
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
