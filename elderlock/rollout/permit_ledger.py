"""The state that a group has agreed on: the permits to take targets out of service, and the plans. No I/O.

The ledger is the value of the replicated register (`elderlock.rollout.caspaxos`). Each change is a function from one
ledger to the next.

The target of a permit counts as out of service from the moment the permit is chosen, used or not, until no process can
act on the permit any more. That is the case once the target has a newer record that undrains it, and every limiter of
the group holds that record or is known to start with it. Limiters refuse older records, so the generation of the permit
is a fencing token: the permit's own record cannot take effect again, even if a process that was suspended resumes and
sends it. A permit does not expire after a time, so its safety does not depend on clocks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from elderlock.control.records import Key, Kind
from elderlock.rollout.disruption_budget import DisruptionBudget, Inventory, refusal_reasons
from elderlock.rollout.plans import Plan

LEDGER_FORMAT = 2
READABLE_FORMATS = (1, 2)  # a ledger of format 1 has only permits
MAXIMUM_PERMITS = 5000


class LedgerError(Exception):
    """An encoded ledger cannot be decoded."""


class Permit(msgspec.Struct, frozen=True):
    """The permission to take one target out of service.

    Attributes:
        kind: Whether the target is a server (`box`) or a limiter.
        target: A server's uid or a limiter's name.
        origin: The unique id of the command that requested the permit.
        requested_by: The operator that requested it.
        reason: The operator's reason, for display.
        generation: The generation of the drain record that the permit allows.
        ledger_version: The version of the first ledger that contains the permit.
        requested_at_unix_ms: When it was requested, for display.
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
        targets: The targets to take out of service.
        origin: The unique id of the command that requests them.
        requested_by: The operator that requests them.
        reason: The operator's reason, for display.
        known_generation: The greatest generation of any record that the granting agent knows.
        requested_at_unix_ms: The time of the request, for display.
    """

    targets: tuple[tuple[Kind, str], ...]
    origin: str
    requested_by: str
    reason: str
    known_generation: int
    requested_at_unix_ms: float


class Ledger(msgspec.Struct, frozen=True):
    """The state that a group has agreed on.

    Attributes:
        format: The format of the encoded ledger.
        version: The number of changes made so far.
        generation: The greatest generation assigned to a record so far.
        permits: The permits in force.
        plans: The plans under way and the most recent finished ones, oldest first.
        limiter_versions: Pairs of a limiter's name and the version that it has to run, where that is not the version in
            its agent's configuration file.
        given_up: Pairs of the name of an agent that was declared permanently lost, and the operator that did so.
    """

    format: int = LEDGER_FORMAT
    version: int = 0
    generation: int = 0
    permits: tuple[Permit, ...] = ()
    plans: tuple[Plan, ...] = ()
    limiter_versions: tuple[tuple[str, str], ...] = msgspec.field(name="versions", default=())
    given_up: tuple[tuple[str, str], ...] = ()

    def permit_holders(self) -> dict[Key, str]:
        """Return the targets for which permits are held, with the operator that holds each."""
        return {permit.key: permit.requested_by for permit in self.permits}

    def permits_of_origin(self, origin: str) -> tuple[Permit, ...]:
        """Return the permits that the command `origin` requested."""
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
    """Decode a value of the register; an empty value stands for an empty ledger.

    Raises:
        LedgerError: The value is malformed, or its format is not supported.
    """
    if not value:
        return Ledger()
    try:
        ledger = msgspec.msgpack.decode(value, type=Ledger)
    except msgspec.DecodeError as error:
        raise LedgerError(f"the ledger cannot be read: {error}") from None
    if ledger.format not in READABLE_FORMATS:
        raise LedgerError(f"the ledger has format {ledger.format}, this agent reads formats {READABLE_FORMATS}")
    return msgspec.structs.replace(ledger, format=LEDGER_FORMAT)


def grant_permits(
    ledger: Ledger, request: PermitRequest, budget: DisruptionBudget, inventory: Inventory
) -> Ledger | list[str]:
    """Grant permits for all targets of a request, or for none.

    A request that is repeated under the same origin leaves the ledger unchanged.

    Args:
        ledger: The ledger to change.
        request: The request.
        budget: The bounds that the permits have to respect.
        inventory: The group, as the granting agent knows it.

    Returns:
        The ledger with the permits, or the reasons for the refusal.
    """
    targets = tuple(dict.fromkeys(request.targets))
    earlier_permits = ledger.permits_of_origin(request.origin)
    if earlier_permits and {permit.key for permit in earlier_permits} >= set(targets):
        return ledger
    holders = ledger.permit_holders()
    conflicts = [f"{key[0]} {key[1]} has a permit of {holders[key]}" for key in targets if key in holders]
    if conflicts:
        return conflicts
    if len(ledger.permits) + len(targets) > MAXIMUM_PERMITS:
        return [f"{len(ledger.permits)} permits are in force, {len(targets)} more would exceed {MAXIMUM_PERMITS}"]
    if refusals := refusal_reasons(budget, inventory, holders, targets):
        return refusals
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
        for kind, target in targets
    )
    return msgspec.structs.replace(ledger, version=version, generation=generation, permits=(*ledger.permits, *permits))


def release_fenced_permits(ledger: Ledger, fenced: Mapping[Key, int]) -> Ledger | None:
    """Remove the permits that no process can act on any more.

    Args:
        ledger: The ledger to change.
        fenced: For each target, a generation such that every limiter refuses the target's older records.

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

    A permit that was granted in a later version than `ledger` cannot be checked here and counts as valid. Any other
    permit has to be in the ledger.
    """
    return permit.ledger_version > ledger.version or ledger.find_permit(permit.key) == permit
