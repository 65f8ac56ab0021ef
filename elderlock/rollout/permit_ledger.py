"""Hold what a group has agreed on: the permits to take something out of service, and the plans. No I/O.

The ledger is the one value of the replicated register (`elderlock.rollout.caspaxos`), and each change is a function
from one ledger to the next.

A permit counts as out of service from the moment it is chosen, used or not, until nobody can act on it any more: its
target has a newer, undrained record, and every limiter of the group holds that record or is known to start with it.
Limiters refuse older records, so the generation of the permit is a fencing token: the permit's own record cannot come
into force again, even through a process that was suspended meanwhile. A permit does not expire by time, so no clock
has to be trusted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from elderlock.control.records import Key, Kind
from elderlock.rollout.disruption_budget import DisruptionBudget, Inventory, refusal_reasons
from elderlock.rollout.plans import Plan

LEDGER_FORMAT = 2
READABLE_FORMATS = (1, 2)  # a ledger of format 1 has permits alone
MAXIMUM_PERMITS = 5000


class LedgerError(Exception):
    """An encoded ledger that this program cannot read."""


class Permit(msgspec.Struct, frozen=True):
    """The permission to take one target out of service.

    Attributes:
        kind: Whether the target is a server (`box`) or a limiter.
        target: A server's uid or a limiter's name.
        origin: The unique id of the command that asked for the permit.
        requested_by: The operator that asked.
        reason: The operator's reason, for people.
        generation: The generation of the drain record that the permit allows.
        ledger_version: The version of the first ledger that contains the permit.
        requested_at_unix_ms: When it was asked for, for people.
    """

    kind: Kind
    target: str
    origin: str
    requested_by: str = msgspec.field(name="by")
    reason: str
    generation: int
    ledger_version: int = msgspec.field(name="version")
    requested_at_unix_ms: float = msgspec.field(name="at", default=0.0)

    @property
    def key(self) -> Key:
        """The kind and name of the target."""
        return self.kind, self.target


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for permits.

    Attributes:
        targets: What to take out of service.
        origin: The unique id of the command that asks.
        requested_by: The operator that asks.
        reason: The operator's reason, for people.
        known_generation: The greatest generation of any record that the granting agent knows.
        requested_at_unix_ms: When it was asked, for people.
    """

    targets: tuple[tuple[Kind, str], ...]
    origin: str
    requested_by: str
    reason: str
    known_generation: int
    requested_at_unix_ms: float


class Ledger(msgspec.Struct, frozen=True):
    """Everything that a group has agreed on.

    Attributes:
        format: The format of the encoded ledger.
        version: How many changes have been made.
        generation: The greatest generation that was assigned to a record.
        permits: The permits in force.
        plans: The plans under way and the last finished ones, oldest first.
        limiter_versions: The version that each limiter has to run, by limiter name, where that is not the one in its
            agent's file.
        given_up: The agents that an operator declared lost for good, by agent name, with the operator's name.
    """

    format: int = LEDGER_FORMAT
    version: int = 0
    generation: int = 0
    permits: tuple[Permit, ...] = ()
    plans: tuple[Plan, ...] = ()
    limiter_versions: tuple[tuple[str, str], ...] = msgspec.field(name="versions", default=())
    given_up: tuple[tuple[str, str], ...] = ()

    def permit_holders(self) -> dict[Key, str]:
        """Return the targets that permits are held for, with the operator that holds each."""
        return {permit.key: permit.requested_by for permit in self.permits}

    def permits_of_origin(self, origin: str) -> tuple[Permit, ...]:
        """Return the permits that the command `origin` asked for."""
        return tuple(permit for permit in self.permits if permit.origin == origin)

    def find_permit(self, key: Key) -> Permit | None:
        """Return the permit for a target, if there is one."""
        return next((permit for permit in self.permits if permit.key == key), None)

    def find_plan(self, plan_id: str) -> Plan | None:
        """Return the plan with this id, if there is one."""
        return next((plan for plan in self.plans if plan.id == plan_id), None)

    def active_plans(self) -> tuple[Plan, ...]:
        """Return the plans that are not over."""
        return tuple(plan for plan in self.plans if plan.state != "over")


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger as a value of the register."""
    return msgspec.msgpack.encode(ledger)


def decode_ledger(value: bytes) -> Ledger:
    """Decode a value of the register; an empty value is an empty ledger.

    Raises:
        LedgerError: The value is malformed, or of a format that this program does not know.
    """
    if not value:
        return Ledger()
    try:
        ledger = msgspec.msgpack.decode(value, type=Ledger)
    except msgspec.DecodeError as error:
        raise LedgerError(f"the ledger cannot be read: {error}") from None
    if ledger.format not in READABLE_FORMATS:
        raise LedgerError(f"the ledger is of format {ledger.format}, this agent's is {LEDGER_FORMAT}")
    return msgspec.structs.replace(ledger, format=LEDGER_FORMAT)


def grant_permits(
    ledger: Ledger, request: PermitRequest, budget: DisruptionBudget, inventory: Inventory
) -> Ledger | list[str]:
    """Grant permits for all targets of a request, or for none.

    A command that asks again under the same origin gets the ledger unchanged.

    Args:
        ledger: The ledger to change.
        request: What is asked for.
        budget: The bounds that the permits have to respect.
        inventory: What the granting agent knows of the group.

    Returns:
        The ledger with the permits, or the reasons for the refusal.
    """
    wanted = tuple(dict.fromkeys(request.targets))
    own_permits = ledger.permits_of_origin(request.origin)
    if own_permits and {permit.key for permit in own_permits} >= set(wanted):
        return ledger
    holders = ledger.permit_holders()
    conflicts = [f"{key[0]} {key[1]} has a permit of {holders[key]}" for key in wanted if key in holders]
    if conflicts:
        return conflicts
    if len(ledger.permits) + len(wanted) > MAXIMUM_PERMITS:
        return [f"{len(ledger.permits)} permits are out, {MAXIMUM_PERMITS} are the most"]
    if refused := refusal_reasons(budget, inventory, holders, wanted):
        return refused
    version = ledger.version + 1
    generation = max(ledger.generation, request.known_generation) + 1
    permits = tuple(
        Permit(
            kind,
            target,
            request.origin,
            request.requested_by,
            request.reason,
            generation,
            version,
            request.requested_at_unix_ms,
        )
        for kind, target in wanted
    )
    return msgspec.structs.replace(ledger, version=version, generation=generation, permits=(*ledger.permits, *permits))


def release_fenced_permits(ledger: Ledger, fenced: Mapping[Key, int]) -> Ledger | None:
    """Remove the permits that nobody can act on any more.

    Args:
        ledger: The ledger to change.
        fenced: By target, a generation such that every limiter refuses older records of the target.

    Returns:
        The changed ledger; None where no permit can be removed.
    """
    remaining = tuple(permit for permit in ledger.permits if fenced.get(permit.key, 0) <= permit.generation)
    if len(remaining) == len(ledger.permits):
        return None
    return msgspec.structs.replace(ledger, version=ledger.version + 1, permits=remaining)


def with_new_generation(ledger: Ledger, known_generation: int) -> Ledger:
    """Assign a new generation, greater than the ledger's and than `known_generation`."""
    generation = max(ledger.generation, known_generation) + 1
    return msgspec.structs.replace(ledger, version=ledger.version + 1, generation=generation)


def with_plan(ledger: Ledger, changed: Plan) -> Ledger:
    """Replace the plan of the same id."""
    plans = tuple(changed if plan.id == changed.id else plan for plan in ledger.plans)
    return msgspec.structs.replace(ledger, version=ledger.version + 1, plans=plans)


def is_permit_valid(ledger: Ledger, permit: Permit) -> bool:
    """Whether a permit may be acted on, as far as this agent knows.

    A permit of a later version than `ledger` cannot be checked here and counts as valid; any other has to be in it.
    """
    return permit.ledger_version > ledger.version or ledger.find_permit(permit.key) == permit
