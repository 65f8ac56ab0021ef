"""The disruption budget, against a brute-force check and in single cases, and the inventory."""

from __future__ import annotations

from budget_fixtures import INVENTORY, LIMITERS, SERVERS
from hypothesis import given
from hypothesis import strategies as st

from elderlock.rollout.disruption_budget import (
    DisruptionBudget,
    DisruptionLimits,
    Inventory,
    budget_status_lines,
    refusal_reasons,
)
from elderlock.rollout.inventory import KnownLimiter, build_inventory
from elderlock.rollout.permit_ledger import Permit
from elderlock.standins.limiters import limiter_state, server_status

server_names = st.sets(st.sampled_from([item.name for item in SERVERS]))


@given(
    server_names,
    server_names,
    server_names,
    st.integers(0, 4),
    st.sampled_from([0.2, 0.34, 0.5, 1.0]),
    st.integers(0, 2),
)
def test_a_removal_is_refused_exactly_if_it_would_break_a_bound(
    out: set[str], permitted: set[str], targets: set[str], maximum: int, maximum_fraction: float, zone_minimum: int
) -> None:
    items = tuple(item._replace(out_reason="no report" if item.name in out else "") for item in SERVERS)
    limits = DisruptionLimits(
        maximum_out=maximum,
        maximum_out_fraction=maximum_fraction,
        zone_minimum_in_service=zone_minimum,
        minimum_in_service=1,
    )
    permit_holders = {("box", name): "an" for name in permitted}
    reasons = refusal_reasons(
        DisruptionBudget(servers=limits),
        Inventory(items, LIMITERS),
        permit_holders,
        [("box", name) for name in targets],
    )

    def breaks_a_bound(already_out: set[str]) -> bool:
        removed, out_after = targets - already_out, already_out | targets
        return bool(removed) and bool(
            (maximum and len(out_after) > maximum)
            or len(out_after) > maximum_fraction * 6 + 1e-9
            and maximum_fraction < 1.0
            or 6 - len(out_after) < 1
            or any(
                sum(item.name not in out_after for item in SERVERS if item.zone == zone) < zone_minimum
                for zone in {item.zone for item in SERVERS if item.name in removed}
            )
        )

    # the permits alone must respect the bounds too
    assert bool(reasons) == (breaks_a_bound(out | permitted) or breaks_a_bound(permitted))


def test_a_refusal_names_the_bound_with_its_figures() -> None:
    def refusal(limits: DisruptionLimits, *targets: str) -> str:
        return "; ".join(
            refusal_reasons(DisruptionBudget(servers=limits), INVENTORY, {}, [("box", name) for name in targets])
        )

    assert (
        refusal(DisruptionLimits(kind_maximum_out_fraction=0.4), "s-1", "s-3")
        == "2 of 3 boxes of std would be out, 40% are the most"
    )
    assert (
        refusal(DisruptionLimits(zone_maximum_out_fraction=0.5), "s-0", "s-3")
        == "2 of 2 boxes of floor-0 would be out, 50% are the most"
    )
    assert (
        refusal(DisruptionLimits(weight_maximum_out_fraction=0.1), "s-0")
        == "2 of 12 of all boxes' weight would be out, 10% are the most"
    )
    assert refusal(DisruptionLimits(minimum_in_service=6), "s-0") == "5 boxes would be left, 6 are the least"
    assert refusal(DisruptionLimits(), "s-9") == "box s-9 is not known"


def test_each_set_of_consecutive_limiters_keeps_its_minimum() -> None:
    budget = DisruptionBudget(limiters=DisruptionLimits(), set_size=2, set_minimum_in_service=1)
    permit_holders = {("limiter", "n1"): "an"}
    assert refusal_reasons(budget, INVENTORY, permit_holders, [("limiter", "n3")]) == []
    (reason,) = refusal_reasons(budget, INVENTORY, permit_holders, [("limiter", "n2")])
    assert reason == "of the set n1, n2 0 limiters would be left, 1 are the least"
    assert refusal_reasons(
        budget, INVENTORY, {("limiter", "n0"): "an"}, [("limiter", "n5")]
    )  # the numbering wraps around


def test_involuntary_outages_count_and_do_not_block_repairs() -> None:
    power_loss = Inventory(tuple(item._replace(out_reason="silent") for item in SERVERS[:3]) + SERVERS[3:], LIMITERS)
    assert refusal_reasons(DisruptionBudget(), power_loss, {}, [("box", "s-3")])
    assert (
        refusal_reasons(DisruptionBudget(), power_loss, {}, [("box", "s-0")]) == []
    )  # it is out already and does not count again
    assert refusal_reasons(
        DisruptionBudget(), power_loss._replace(insufficient_reason="nothing is known"), {}, [("box", "s-3")]
    ) == ["nothing is known"]
    assert any("s-0: silent" in line for line in budget_status_lines(DisruptionBudget(), power_loss, {}))


def test_permits_respect_the_budget_while_everything_is_out_involuntarily() -> None:
    warming_up = Inventory(tuple(item._replace(out_reason="ejected: warming up") for item in SERVERS), LIMITERS)
    permit_holders = {("box", f"s-{n}"): "an" for n in range(3)}
    assert refusal_reasons(DisruptionBudget(), warming_up, {}, list(permit_holders)) == []
    assert (
        refusal_reasons(DisruptionBudget(), warming_up, permit_holders, [("box", "s-3")])[0]
        == "4 of 6 boxes would be out, 50% are the most"
    )
    assert refusal_reasons(
        DisruptionBudget(),
        warming_up._replace(insufficient_reason="nothing is known"),
        permit_holders,
        [("box", "s-3")],
    ) == ["nothing is known"]


def test_the_inventory_counts_discovery_ejections_drains_and_silence() -> None:
    servers = [
        server_status("s-0"),
        server_status("s-1", state="draining"),
        server_status("s-2", unavailable_reason="failing"),
        server_status("s-3", drained_by="an"),
    ]
    states = [
        limiter_state("n0", servers),
        limiter_state("n1", [*servers[:2], server_status("s-2"), servers[3]]),
        limiter_state("n2", servers),
    ]
    limiters = [
        KnownLimiter("n10", "", ""),
        KnownLimiter("n2", "", "its agent agent-1 is unreachable"),
        KnownLimiter("n1", "", ""),
    ]
    inventory = build_inventory(states, limiters, [])
    assert [item.out_reason for item in inventory.servers] == [
        "",
        "draining in discovery",
        "ejected: failing",
        "drained by an",
    ]
    assert [item.name for item in inventory.limiters] == ["n1", "n2", "n10"] and inventory.limiters[1].out_reason
    assert not inventory.insufficient_reason
    assert (
        "agent-2" in build_inventory(states, limiters, ["agent-2"]).insufficient_reason
        and build_inventory([], limiters, []).insufficient_reason
    )
    without_list = build_inventory([limiter_state("n0", list_age_ms=-1.0)], limiters, [])
    assert "has a list" in without_list.insufficient_reason and without_list.lacks_knowledge_of([("limiter", "n1")])
    assert inventory.lacks_knowledge_of([("box", "s-0"), ("box", "s-9")]) and not inventory.lacks_knowledge_of(
        [("box", "s-0"), ("limiter", "n1")]
    )


def test_a_contradictory_budget_is_reported() -> None:
    assert (
        DisruptionBudget().validation_error() == ""
        and "set_least is 4" in DisruptionBudget(set_size=3, set_minimum_in_service=4).validation_error()
    )
    assert Permit("box", "s-0", "o", "an", "", 1, 1).key == ("box", "s-0")
