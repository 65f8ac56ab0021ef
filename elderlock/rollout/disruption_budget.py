"""Decide whether servers or limiters may be taken out of service under the group's disruption budget. No I/O.

Everything that is out of service counts, whatever the cause: an operator's drain, an unused permit, discovery, an
ejection by the limiters, a crash, or an unknown state. Involuntary outages therefore prevent further disruption. They
never block a repair, because the budget is only checked when something is taken out of service.

This is the concept of a Kubernetes PodDisruptionBudget, with additional bounds per zone, hardware kind, capacity weight
and set of limiters.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Annotated, NamedTuple

import msgspec

from elderlock.control.records import Key

Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
FRACTION_TOLERANCE = 1e-9  # absorbs floating-point rounding


class DisruptionLimits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bounds on the servers, or on the limiters, that are out of service at the same time.

    A count of 0 or a maximum fraction of 1 means that there is no bound.

    Attributes:
        maximum_out: The number that may be out.
        maximum_out_fraction: The fraction of all that may be out.
        zone_maximum_out_fraction: The fraction of each zone that may be out.
        kind_maximum_out_fraction: The fraction of each kind that may be out.
        weight_maximum_out_fraction: The fraction of the total weight that may be out.
        minimum_in_service: The number that must stay in service.
        zone_minimum_in_service: The number in each zone that must stay in service.
    """

    maximum_out: Count = msgspec.field(name="most", default=0)
    maximum_out_fraction: Fraction = msgspec.field(name="share", default=1.0)
    zone_maximum_out_fraction: Fraction = msgspec.field(name="floor_share", default=1.0)
    kind_maximum_out_fraction: Fraction = msgspec.field(name="kind_share", default=1.0)
    weight_maximum_out_fraction: Fraction = msgspec.field(name="weight_share", default=1.0)
    minimum_in_service: Count = msgspec.field(name="least", default=1)
    zone_minimum_in_service: Count = msgspec.field(name="floor_least", default=0)


class DisruptionBudget(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The `[budget]` table of the group's file.

    Each customer is served by `set_size` limiters with consecutive numbers, so each such set has its own bound.

    Attributes:
        servers: The bounds on servers.
        limiters: The bounds on limiters.
        set_size: The number of limiters with consecutive numbers that form a set.
        set_minimum_in_service: The number of limiters of each set that must stay in service.
    """

    servers: DisruptionLimits = msgspec.field(
        name="boxes",
        default=DisruptionLimits(maximum_out_fraction=0.5, weight_maximum_out_fraction=0.5, zone_minimum_in_service=1),
    )
    limiters: DisruptionLimits = DisruptionLimits(maximum_out_fraction=0.5)
    set_size: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 3
    set_minimum_in_service: Count = msgspec.field(name="set_least", default=1)

    def validation_error(self) -> str:
        """Return why the settings contradict each other; empty where they do not."""
        if self.set_minimum_in_service > self.set_size:
            return f"set_least is {self.set_minimum_in_service}, but a set has only {self.set_size} limiters (set_size)"
        return ""


class InventoryItem(NamedTuple):
    """A server or a limiter, as the budget counts it.

    Attributes:
        name: A server's uid or a limiter's name.
        zone: The zone; empty where unknown.
        kind: The hardware kind of a server; empty for limiters.
        weight: The capacity weight.
        out_reason: Why it is out of service; empty while it serves.
    """

    name: str
    zone: str = ""
    kind: str = ""
    weight: float = 1.0
    out_reason: str = ""


class Inventory(NamedTuple):
    """The servers and limiters of a group, as one agent knows them.

    Attributes:
        servers: All known servers.
        limiters: All known limiters, in the order of their numbers.
        insufficient_reason: Why the agent knows too little to take anything out; empty where it knows enough.
    """

    servers: tuple[InventoryItem, ...]
    limiters: tuple[InventoryItem, ...]
    insufficient_reason: str = ""

    def items_of_kind(self, kind: str) -> tuple[InventoryItem, ...]:
        """Return the servers for the kind `box`, else the limiters."""
        return self.servers if kind == "box" else self.limiters

    def unknown_names(self, kind: str, names: Iterable[str]) -> list[str]:
        """Return the names that are not in the inventory, sorted."""
        return sorted(set(names) - {item.name for item in self.items_of_kind(kind)})

    def lacks_knowledge_of(self, keys: Iterable[Key]) -> bool:
        """Whether this agent knows too little to decide about `keys`, so that another agent has to decide."""
        return bool(self.insufficient_reason) or any(self.unknown_names(kind, [name]) for kind, name in keys)


class _Removal(NamedTuple):
    """A set of items to take out of service, checked against the bounds for one kind.

    Attributes:
        kind: `box` or `limiter`.
        items: All items of that kind.
        already_out: The names of the items that are out before the removal.
        removed: The names of the items that the removal takes out.
    """

    kind: str
    items: tuple[InventoryItem, ...]
    already_out: set[str]
    removed: set[str]

    @property
    def plural(self) -> str:
        return _plural(self.kind)

    @property
    def out_after(self) -> set[str]:
        return self.already_out | self.removed


def refusal_reasons(
    budget: DisruptionBudget, inventory: Inventory, permit_holders: Mapping[Key, str], targets: Iterable[Key]
) -> list[str]:
    """Return why `targets` may not be taken out of service in addition; empty where they may.

    A target that is already out does not count again. The permits alone must respect each bound too, because what is
    out involuntarily may be back at any moment: after a power loss, for example, all servers are out while they warm
    up, and return together. A bound that the targets do not affect is not checked, however far it is exceeded.

    Args:
        budget: The bounds.
        inventory: The group, as this agent knows it.
        permit_holders: The targets for which permits are held, with the operator that holds each.
        targets: The targets to take out of service.
    """
    requested = set(targets)
    reasons: list[str] = []
    for kind, limits in (("box", budget.servers), ("limiter", budget.limiters)):
        items = inventory.items_of_kind(kind)
        known_names = {item.name for item in items}
        permitted = {name for held_kind, name in permit_holders if held_kind == kind and name in known_names}
        requested_names = {name for requested_kind, name in requested if requested_kind == kind}
        if unknown := inventory.unknown_names(kind, requested_names):
            reasons.append(inventory.insufficient_reason or f"{kind} {', '.join(unknown)} is not known")
        requested_names &= known_names
        out_of_service = {item.name for item in items if item.out_reason} | permitted
        for already_out in (out_of_service, permitted):
            removed = requested_names - already_out
            if not removed:
                continue
            removal = _Removal(kind, items, already_out, removed)
            if refusals := _removal_refusals(budget, limits, inventory.insufficient_reason, removal):
                reasons += refusals
                break
    return reasons


def _removal_refusals(
    budget: DisruptionBudget, limits: DisruptionLimits, insufficient_reason: str, removal: _Removal
) -> list[str]:
    """Return why one removal is refused; empty where it is not."""
    if insufficient_reason:
        return [insufficient_reason]
    refusals = _total_refusals(limits, removal)
    refusals += _zone_refusals(limits, removal)
    refusals += _kind_refusals(limits, removal)
    if removal.kind == "limiter":
        refusals += _set_refusals(budget, removal)
    return refusals


def _total_refusals(limits: DisruptionLimits, removal: _Removal) -> list[str]:
    """Check the bounds on the total of all items of a kind."""
    refusals: list[str] = []
    count = len(removal.items)
    out_count = len(removal.out_after)
    plural = removal.plural
    if limits.maximum_out and out_count > limits.maximum_out:
        refusals.append(f"{out_count} {plural} would be out, {limits.maximum_out} are the most")
    if _exceeds_fraction(out_count, count, limits.maximum_out_fraction):
        refusals.append(_fraction_text(out_count, count, limits.maximum_out_fraction, plural))
    out_weight = sum(item.weight for item in removal.items if item.name in removal.out_after)
    total_weight = sum(item.weight for item in removal.items)
    if _exceeds_fraction(out_weight, total_weight, limits.weight_maximum_out_fraction):
        unit = f"of all {plural}' weight"
        refusals.append(_fraction_text(out_weight, total_weight, limits.weight_maximum_out_fraction, unit))
    if count - out_count < limits.minimum_in_service:
        refusals.append(f"{count - out_count} {plural} would be left, {limits.minimum_in_service} are the least")
    return refusals


def _zone_refusals(limits: DisruptionLimits, removal: _Removal) -> list[str]:
    """Check the bounds on each zone that the removal affects."""
    refusals: list[str] = []
    for zone, members in _names_by_group((item.zone, item.name) for item in removal.items):
        if not members & removal.removed:
            continue
        refusals += _group_fraction_refusals(limits.zone_maximum_out_fraction, removal, zone, members)
        remaining_count = len(members - removal.out_after)
        minimum = limits.zone_minimum_in_service
        if remaining_count < minimum:
            refusals.append(f"{remaining_count} {removal.plural} of {zone} would be left, {minimum} are the least")
    return refusals


def _kind_refusals(limits: DisruptionLimits, removal: _Removal) -> list[str]:
    """Check the bound on each hardware kind that the removal affects."""
    refusals: list[str] = []
    for kind, members in _names_by_group((item.kind, item.name) for item in removal.items):
        if members & removal.removed:
            refusals += _group_fraction_refusals(limits.kind_maximum_out_fraction, removal, kind, members)
    return refusals


def _group_fraction_refusals(maximum_fraction: float, removal: _Removal, group: str, members: set[str]) -> list[str]:
    out_count = len(members & removal.out_after)
    if not _exceeds_fraction(out_count, len(members), maximum_fraction):
        return []
    return [_fraction_text(out_count, len(members), maximum_fraction, f"{removal.plural} of {group}")]


def _names_by_group(groups_and_names: Iterable[tuple[str, str]]) -> list[tuple[str, set[str]]]:
    """Return each group with the names of its members, sorted by group; names without a group are skipped."""
    members: dict[str, set[str]] = defaultdict(set)
    for group, name in groups_and_names:
        if group:
            members[group].add(name)
    return sorted(members.items())


def _set_refusals(budget: DisruptionBudget, removal: _Removal) -> list[str]:
    """Check the sets of limiters with consecutive numbers; the numbering wraps around from the last to the first."""
    names = [item.name for item in removal.items]
    count = len(names)
    size = min(budget.set_size, count)
    minimum = min(budget.set_minimum_in_service, size)
    for first in range(count):
        members = [names[(first + offset) % count] for offset in range(size)]
        remaining_count = sum(name not in removal.out_after for name in members)
        if remaining_count < minimum and removal.removed.intersection(members):
            return [
                f"of the set {', '.join(members)} {remaining_count} limiters would be left, {minimum} are the least"
            ]
    return []


def _exceeds_fraction(out: float, total: float, maximum_fraction: float) -> bool:
    """Whether `out` exceeds the fraction of `total`; a fraction of 1 means no bound."""
    return maximum_fraction < 1.0 and total > 0 and out > maximum_fraction * total + FRACTION_TOLERANCE


def _fraction_text(out: float, total: float, maximum_fraction: float, unit: str) -> str:
    return f"{out:g} of {total:g} {unit} would be out, {maximum_fraction:.0%} are the most"


def _plural(kind: str) -> str:
    return "boxes" if kind == "box" else "limiters"


def budget_status_lines(budget: DisruptionBudget, inventory: Inventory, permit_holders: Mapping[Key, str]) -> list[str]:
    """Return lines for operators that list what is out of service, and the bounds.

    Args:
        budget: The bounds.
        inventory: The group, as this agent knows it.
        permit_holders: The targets for which permits are held, with the operator that holds each.
    """
    lines: list[str] = []
    for kind, limits in (("box", budget.servers), ("limiter", budget.limiters)):
        items = inventory.items_of_kind(kind)
        permitted = {name for held_kind, name in permit_holders if held_kind == kind}
        out_items = [item for item in items if item.out_reason or item.name in permitted]
        bounds = ", ".join(_bound_texts(limits)) or "no maximum"
        lines.append(f"{_plural(kind)}: {len(out_items)} of {len(items)} out; {bounds}")
        for item in out_items:
            permit = f"permit of {permit_holders[kind, item.name]}" if item.name in permitted else ""
            causes = [cause for cause in (item.out_reason, permit) if cause]
            lines.append(f"  {item.name}: {'; '.join(causes)}")
    return lines


def _bound_texts(limits: DisruptionLimits) -> list[str]:
    texts: list[str] = []
    if limits.maximum_out:
        texts.append(f"{limits.maximum_out} at most")
    if limits.maximum_out_fraction < 1.0:
        texts.append(f"{limits.maximum_out_fraction:.0%} of all")
    if limits.weight_maximum_out_fraction < 1.0:
        texts.append(f"{limits.weight_maximum_out_fraction:.0%} of the weight")
    return texts
