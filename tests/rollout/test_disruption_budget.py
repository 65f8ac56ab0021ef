"""The disruption budget, against brute force and case by case, and the inventory that it counts."""

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
from elderlock.standins.limiters import box, state

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
    out: set[str], held: set[str], going: set[str], most: int, share: float, zone_least: int
) -> None:
    items = tuple(item._replace(out_reason="it is silent" if item.name in out else "") for item in SERVERS)
    limits = DisruptionLimits(
        maximum_out=most, maximum_out_fraction=share, zone_minimum_in_service=zone_least, minimum_in_service=1
    )
    permits = {("box", name): "an" for name in held}
    refused = refusal_reasons(
        DisruptionBudget(servers=limits), Inventory(items, LIMITERS), permits, [("box", name) for name in going]
    )

    def broken(gone: set[str]) -> bool:
        new, after = going - gone, gone | going
        return bool(new) and bool(
            (most and len(after) > most)
            or len(after) > share * 6 + 1e-9
            and share < 1.0
            or 6 - len(after) < 1
            or any(
                sum(item.name not in after for item in SERVERS if item.zone == zone) < zone_least
                for zone in {item.zone for item in SERVERS if item.name in new}
            )
        )

    assert bool(refused) == (broken(out | held) or broken(held))  # also by permits alone


def test_a_refusal_names_the_bound_with_its_figures() -> None:
    def why(limits: DisruptionLimits, *going: str, **more: object) -> str:
        return "; ".join(
            refusal_reasons(DisruptionBudget(servers=limits), INVENTORY, {}, [("box", name) for name in going])
        )

    assert (
        why(DisruptionLimits(kind_maximum_out_fraction=0.4), "s-1", "s-3")
        == "2 of 3 boxes of std would be out, 40% are the most"
    )
    assert (
        why(DisruptionLimits(zone_maximum_out_fraction=0.5), "s-0", "s-3")
        == "2 of 2 boxes of floor-0 would be out, 50% are the most"
    )
    assert (
        why(DisruptionLimits(weight_maximum_out_fraction=0.1), "s-0")
        == "2 of 12 of all boxes' weight would be out, 10% are the most"
    )
    assert why(DisruptionLimits(minimum_in_service=6), "s-0") == "5 boxes would be left, 6 are the least"
    assert why(DisruptionLimits(), "s-9") == "box s-9 is not known"


def test_each_set_of_consecutive_limiters_keeps_its_minimum() -> None:
    budget = DisruptionBudget(limiters=DisruptionLimits(), set_size=2, set_minimum_in_service=1)
    out = {("limiter", "n1"): "an"}
    assert refusal_reasons(budget, INVENTORY, out, [("limiter", "n3")]) == []
    (said,) = refusal_reasons(budget, INVENTORY, out, [("limiter", "n2")])
    assert said == "of the set n1, n2 0 limiters would be left, 1 are the least"
    assert refusal_reasons(budget, INVENTORY, {("limiter", "n0"): "an"}, [("limiter", "n5")])  # counted round


def test_involuntary_outages_count_and_do_not_block_repairs() -> None:
    dark = Inventory(tuple(item._replace(out_reason="silent") for item in SERVERS[:3]) + SERVERS[3:], LIMITERS)
    assert refusal_reasons(DisruptionBudget(), dark, {}, [("box", "s-3")])
    assert (
        refusal_reasons(DisruptionBudget(), dark, {}, [("box", "s-0")]) == []
    )  # it is out already: to drain it costs nothing more
    assert refusal_reasons(
        DisruptionBudget(), dark._replace(insufficient_reason="nothing is known"), {}, [("box", "s-3")]
    ) == ["nothing is known"]
    assert any("s-0: silent" in line for line in budget_status_lines(DisruptionBudget(), dark, {}))


def test_permits_respect_the_budget_while_everything_is_out_involuntarily() -> None:
    cold = Inventory(tuple(item._replace(out_reason="left out: cold") for item in SERVERS), LIMITERS)
    three = {("box", f"s-{n}"): "an" for n in range(3)}
    assert refusal_reasons(DisruptionBudget(), cold, {}, list(three)) == []
    assert (
        refusal_reasons(DisruptionBudget(), cold, three, [("box", "s-3")])[0]
        == "4 of 6 boxes would be out, 50% are the most"
    )
    assert refusal_reasons(
        DisruptionBudget(), cold._replace(insufficient_reason="nothing is known"), three, [("box", "s-3")]
    ) == ["nothing is known"]


def test_the_inventory_counts_discovery_ejections_drains_and_silence() -> None:
    boxes = [
        box("s-0"),
        box("s-1", state="draining"),
        box("s-2", unavailable_reason="failing"),
        box("s-3", drained_by="an"),
    ]
    states = [state("n0", boxes), state("n1", [*boxes[:2], box("s-2"), boxes[3]]), state("n2", boxes)]
    known = [
        KnownLimiter("n10", "", ""),
        KnownLimiter("n2", "", "its agent agent-1 is unreachable"),
        KnownLimiter("n1", "", ""),
    ]
    made = build_inventory(states, known, [])
    assert [item.out_reason for item in made.servers] == [
        "",
        "draining, as discovery says",
        "left out: failing",
        "drained by an",
    ]
    assert [item.name for item in made.limiters] == ["n1", "n2", "n10"] and made.limiters[1].out_reason
    assert not made.insufficient_reason
    assert (
        "agent-2" in build_inventory(states, known, ["agent-2"]).insufficient_reason
        and build_inventory([], known, []).insufficient_reason
    )
    without = build_inventory([state("n0", list_age_ms=-1.0)], known, [])
    assert "has a list" in without.insufficient_reason and without.lacks_knowledge_of([("limiter", "n1")])
    assert made.lacks_knowledge_of([("box", "s-0"), ("box", "s-9")]) and not made.lacks_knowledge_of(
        [("box", "s-0"), ("limiter", "n1")]
    )


def test_a_contradictory_budget_is_reported() -> None:
    assert (
        DisruptionBudget().validation_error() == ""
        and "set_least is 4" in DisruptionBudget(set_size=3, set_minimum_in_service=4).validation_error()
    )
    assert Permit("box", "s-0", "o", "an", "", 1, 1).key == ("box", "s-0")
