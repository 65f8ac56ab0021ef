"""Granting, releasing and encoding permits."""

from __future__ import annotations

import pytest
from budget_fixtures import INVENTORY

from elderlock.rollout.disruption_budget import DisruptionBudget, Inventory
from elderlock.rollout.permit_ledger import (
    Ledger,
    LedgerError,
    PermitRequest,
    decode_ledger,
    encode_ledger,
    grant_permits,
    is_permit_valid,
    release_fenced_permits,
    with_new_generation,
)


def request_permits(
    ledger: Ledger,
    *servers: str,
    origin: str = "o",
    budget: DisruptionBudget | None = None,
    inventory: Inventory = INVENTORY,
) -> Ledger | list[str]:
    """Request permits for servers from an agent whose newest record has generation 7."""
    request = PermitRequest(tuple(("box", name) for name in servers), origin, "an", "", 7, 0.0)
    return grant_permits(ledger, request, budget or DisruptionBudget(), inventory)


def test_permits_are_granted_all_or_none_and_a_repeated_request_gets_the_same_permits() -> None:
    first = request_permits(Ledger(), "s-0", "s-1")
    assert isinstance(first, Ledger) and first.version == 1
    assert {permit.generation for permit in first.permits} == {8}  # greater than the newest known generation
    assert request_permits(first, "s-0", "s-1") is first
    assert request_permits(first, "s-1", "s-2", origin="other") == ["box s-1 has a permit of an"]
    refused = request_permits(first, "s-3", "s-4", origin="other")
    assert isinstance(refused, list) and "4 of 6 boxes would be out, 50% are the most" in refused
    assert decode_ledger(encode_ledger(first)) == first


def test_a_permit_is_released_only_once_all_limiters_hold_a_newer_record() -> None:
    granted = request_permits(Ledger(), "s-0")
    assert isinstance(granted, Ledger)
    (permit,) = granted.permits
    assert (
        release_fenced_permits(granted, {}) is None
        and release_fenced_permits(granted, {permit.key: permit.generation}) is None
    )
    released = release_fenced_permits(granted, {permit.key: permit.generation + 1})
    assert released is not None and released.permits == () and released.version == 2
    assert is_permit_valid(granted, permit) and not is_permit_valid(released, permit)
    assert is_permit_valid(Ledger(), permit)  # from a ledger that this agent has not received yet
    assert with_new_generation(released, 20).generation == 21
    second = request_permits(released, "s-0", origin="next")
    assert isinstance(second, Ledger) and second.permits[0].generation > permit.generation


def test_decoding_an_unreadable_ledger_raises_ledger_error() -> None:
    with pytest.raises(LedgerError, match="cannot be read"):
        decode_ledger(b"\xc1")
    with pytest.raises(LedgerError, match="format 9"):
        decode_ledger(encode_ledger(Ledger(format=9)))
