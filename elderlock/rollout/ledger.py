"""What a group has agreed on: which permits are out. One value of the register; changes are functions of it. No I/O.

A permit counts as out from the moment it is chosen, whether it is used or not, until it is known that nobody can act on
it any more: its target has a newer record that says undrained, and every limiter of the group holds that or is known to
begin with it. Limiters refuse older records, so the permit's own (its generation is in it) can never come into force
again, also by a process that was stopped meanwhile. A permit has no end by the clock: nobody's clock is asked.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from elderlock.control.records import Key, Kind
from elderlock.rollout.budget import Budget, Inventory, reasons
from elderlock.rollout.plans import Plan

FORMAT = 2
READ = (1, 2)  # formats; one of format 1 has permits alone
MOST_PERMITS = 5000


class LedgerError(Exception):
    """A value that this program cannot read: of a later one."""


class Permit(msgspec.Struct, frozen=True):
    """`origin`: the command that asked, unique; `generation`: of the record that it allows; `version`: of the ledger in
    which it stands first; `at` Unix ms, for people."""

    kind: Kind
    target: str
    origin: str
    by: str
    reason: str
    generation: int
    version: int
    at: float = 0.0

    @property
    def key(self) -> Key:
        return self.kind, self.target


class Ledger(msgspec.Struct, frozen=True):
    """`generation`: the greatest that was given out. `versions`: which one each limiter is to run, where that is not
    the one in its agent's file. `given_up`: agents that an operator said are gone for good, with who said so."""

    format: int = FORMAT
    version: int = 0
    generation: int = 0
    permits: tuple[Permit, ...] = ()
    plans: tuple[Plan, ...] = ()
    versions: tuple[tuple[str, str], ...] = ()
    given_up: tuple[tuple[str, str], ...] = ()

    def held(self) -> dict[Key, str]:
        """What permits are out for, with who has them."""
        return {permit.key: permit.by for permit in self.permits}

    def of(self, origin: str) -> tuple[Permit, ...]:
        return tuple(permit for permit in self.permits if permit.origin == origin)

    def get(self, key: Key) -> Permit | None:
        return next((permit for permit in self.permits if permit.key == key), None)

    def plan(self, id: str) -> Plan | None:
        return next((plan for plan in self.plans if plan.id == id), None)

    def under_way(self) -> tuple[Plan, ...]:
        return tuple(plan for plan in self.plans if plan.state != "over")


def encode(ledger: Ledger) -> bytes:
    return msgspec.msgpack.encode(ledger)


def decode(value: bytes) -> Ledger:
    """Raises `LedgerError`."""
    if not value:
        return Ledger()
    try:
        made = msgspec.msgpack.decode(value, type=Ledger)
    except msgspec.DecodeError as error:
        raise LedgerError(f"the ledger cannot be read: {error}") from None
    if made.format not in READ:
        raise LedgerError(f"the ledger is of format {made.format}, this agent's is {FORMAT}")
    return msgspec.structs.replace(made, format=FORMAT)


def grant(
    ledger: Ledger,
    keys: Iterable[tuple[Kind, str]],
    budget: Budget,
    inventory: Inventory,
    origin: str,
    by: str,
    reason: str,
    generation: int,
    at: float,
) -> Ledger | list[str]:
    """The ledger with permits for all of these, or why not; all or none. A command that asks again finds its own.
    `generation`: the greatest of any record that the asker knows of."""
    wanted = tuple(dict.fromkeys(keys))
    mine = ledger.of(origin)
    if mine and {permit.key for permit in mine} >= set(wanted):
        return ledger
    held = ledger.held()
    other = [f"{key[0]} {key[1]} has a permit of {held[key]}" for key in wanted if key in held]
    if other:
        return other
    if len(ledger.permits) + len(wanted) > MOST_PERMITS:
        return [f"{len(ledger.permits)} permits are out, {MOST_PERMITS} are the most"]
    if refused := reasons(budget, inventory, held, wanted):
        return refused
    version, above = ledger.version + 1, max(ledger.generation, generation) + 1
    made = tuple(Permit(kind, target, origin, by, reason, above, version, at) for kind, target in wanted)
    return msgspec.structs.replace(ledger, version=version, generation=above, permits=(*ledger.permits, *made))


def give_back(ledger: Ledger, fenced: Mapping[Key, int]) -> Ledger | None:
    """Without the permits whose target has a record of a greater generation at every limiter (`fenced`: the least of
    those held there); None where none is."""
    left = tuple(permit for permit in ledger.permits if fenced.get(permit.key, 0) <= permit.generation)
    if len(left) == len(ledger.permits):
        return None
    return msgspec.structs.replace(ledger, version=ledger.version + 1, permits=left)


def above(ledger: Ledger, generation: int) -> Ledger:
    """With one generation more given out, for a record that takes a permit back."""
    return msgspec.structs.replace(
        ledger, version=ledger.version + 1, generation=max(ledger.generation, generation) + 1
    )


def stands(ledger: Ledger, permit: Permit) -> bool:
    """Whether the permit may be acted on, as far as is known here: one of a later version than ours is not yet known to
    us, one of ours or an older one has to stand in it."""
    return permit.version > ledger.version or ledger.get(permit.key) == permit
