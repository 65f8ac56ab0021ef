"""A group of six servers and six limiters, for tests of the disruption budget."""

from __future__ import annotations

from elderlock.rollout.disruption_budget import Inventory, InventoryItem

SERVERS = tuple(InventoryItem(f"s-{n}", f"floor-{n % 3}", "std" if n % 2 else "old", 2.0) for n in range(6))
LIMITERS = tuple(InventoryItem(f"n{n}", f"floor-{n % 3}") for n in range(6))
INVENTORY = Inventory(SERVERS, LIMITERS)
