"""A release of eight limiters in three waves, for tests of plans."""

from __future__ import annotations

from elderlock.rollout import plan_transitions, plans
from elderlock.rollout.disruption_budget import DisruptionBudget, DisruptionLimits, Inventory, InventoryItem
from elderlock.rollout.permit_ledger import Ledger
from elderlock.rollout.plans import Plan, RolloutPolicy

NAMES = [f"n{n}" for n in range(8)]
BUDGET = DisruptionBudget(
    limiters=DisruptionLimits(maximum_out_fraction=0.4), set_size=1, set_minimum_in_service=0
)  # three of the eight limiters may be out
INVENTORY = Inventory((), tuple(InventoryItem(name, f"floor-{n % 2}") for n, name in enumerate(NAMES)))
WAVES = [["n0"], ["n1", "n2"], ["n3", "n4", "n5", "n6", "n7"]]
POLICY = RolloutPolicy(settle_time_s=2.0, bake_time_s=4.0, maximum_bake_time_s=20.0, wave_pause_s=1.0, patience_s=10.0)


def release_plan(id: str = "p" * 32) -> Plan:
    """Return a release of all limiters to version v2."""
    return plans.new_release_plan(id, "v2", WAVES, {}, "an", "", 0.0, POLICY)


def accepted(result: plan_transitions.TransitionResult) -> Ledger:
    """Return the ledger after a transition that must not be refused."""
    assert isinstance(result, Ledger), result
    return result


def latest_plan(ledger: Ledger) -> Plan:
    """Return the plan that began last."""
    return ledger.plans[-1]
