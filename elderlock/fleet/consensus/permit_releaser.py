"""Release the permits that nobody uses, and those whose targets are back in service.

A permit without a drain record belongs to a command that has ended. It is revoked by a newer, undrained record of its
target, and released once every limiter holds that record.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from functools import partial

from elderlock import logs
from elderlock.control.records import Key, Record
from elderlock.fleet import messages
from elderlock.fleet.agent_store import StoreError
from elderlock.fleet.consensus.interfaces import LedgerAccess, Owner
from elderlock.fleet.group.peer_link import gather_answers
from elderlock.rollout import permit_ledger
from elderlock.rollout.permit_ledger import Ledger, LedgerError, Permit

PERMIT_CHECK_INTERVAL_S = 1.0  # between checks for permits that can be released
MAXIMUM_TARGETS_PER_REQUEST = 200  # in one `Progress` message
PROGRESS_TIMEOUT_S = 1.0  # for the answer of another agent
UNUSED_PERMIT_TIMEOUT_S = 10.0  # a permit without a drain record for so long is revoked
PERMIT_CHECK_STAGGER_S = 2.0  # an agent waits so long for each agent that is listed before it in the group's file

log = logs.get_logger(__name__)


class PermitReleaser:
    """Checks the permits in force."""

    def __init__(self, owner: Owner, ledger_access: LedgerAccess, rng: random.Random, rank: int) -> None:
        """Initialise without a task.

        Args:
            owner: The agent.
            ledger_access: The ledger with the permits.
            rng: The source of random delays.
            rank: How many agents are listed before this one in the group's file.
        """
        self._owner = owner
        self._ledger_access = ledger_access
        self._rng = rng
        self._rank = rank
        self._unused_since_s: dict[Permit, float] = {}
        self._undrained_since_s: dict[Permit, float] = {}  # when the target's newer record was first found

    async def run(self) -> None:
        """Check the permits at intervals, until the task is cancelled."""
        while True:
            await asyncio.sleep(PERMIT_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.0))
            # forget permits that another agent has released
            held_permits = set(self._ledger_access.ledger.permits)
            self._unused_since_s = {
                each: since_s for each, since_s in self._unused_since_s.items() if each in held_permits
            }
            self._undrained_since_s = {
                each: since_s for each, since_s in self._undrained_since_s.items() if each in held_permits
            }
            try:
                await self._check_permits()
            except (StoreError, LedgerError) as error:
                log.error("a permit cannot be released", error=str(error))

    async def _check_permits(self) -> None:
        """Revoke unused permits, and release those whose targets were undrained.

        The agents take turns by their rank: the first one takes care of a permit, and the next one only where the first
        did not. Otherwise each agent of a large group would send requests about each permit.
        """
        now_s, stagger_s = time.monotonic(), PERMIT_CHECK_STAGGER_S * self._rank
        active_plan_prefixes = tuple(f"{plan.id}/" for plan in self._ledger_access.ledger.active_plans())
        undrained_records: dict[Permit, Record] = {}
        for permit in self._ledger_access.ledger.permits:
            record = self._owner.records.get(*permit.key)
            if record is None or record.generation < permit.generation:
                # The leader of an active plan looks after the plan's permits. Any other permit without a record is
                # unused because its command has ended.
                if not permit.origin.startswith(active_plan_prefixes or ("/",)):
                    since_s = self._unused_since_s.setdefault(permit, now_s)
                    if now_s - since_s > UNUSED_PERMIT_TIMEOUT_S + stagger_s:
                        await self._revoke_unused_permit(permit)
                continue
            self._unused_since_s.pop(permit, None)
            is_undrained = not record.is_drained and record.generation > permit.generation
            if is_undrained and now_s - self._undrained_since_s.setdefault(permit, now_s) >= stagger_s:
                undrained_records[permit] = record
        if undrained_records:
            fenced = await self._fenced_generations(list(undrained_records.values()))
            if fenced:
                await self._ledger_access.change(
                    lambda ledger: permit_ledger.release_fenced_permits(ledger, fenced)
                    or ["the permits are released already"]
                )

    async def _revoke_unused_permit(self, permit: Permit) -> None:
        """Undrain the target of a permit whose requester died before it used it.

        The newer, undrained record also fences the permit if it is used at this moment.
        """

        def assign_generation(ledger: Ledger) -> Ledger | list[str]:
            if ledger.find_permit(permit.key) != permit:
                return ["the permit was released already"]
            return permit_ledger.with_new_generation(ledger, self._owner.records.greatest_generation())

        result = await self._ledger_access.change(assign_generation)
        if result.chosen:
            record = Record(
                permit.kind,
                permit.target,
                False,
                result.ledger.generation,
                f"{permit.origin}/back",
                self._owner.name,
                time.time() * 1000.0,
                "its permit was never used",
            )
            self._owner.commit_record(
                record, f"undrained {permit.kind} {permit.target}: the permit of {permit.requested_by} was not used"
            )
            self._unused_since_s.pop(permit, None)

    async def _fenced_generations(self, records: Sequence[Record]) -> dict[Key, int]:
        """Return, by target, a generation such that every limiter refuses older records of the target.

        Each limiter has the record of that generation in force, or is known to start with it. Agents that an operator
        has given up are not asked.

        Args:
            records: The newest records of the targets.
        """
        fenced = {record.key: record.generation for record in records}
        given_up = dict(self._ledger_access.ledger.given_up)
        for batch in (
            records[n : n + MAXIMUM_TARGETS_PER_REQUEST] for n in range(0, len(records), MAXIMUM_TARGETS_PER_REQUEST)
        ):
            targets = tuple((record.kind, record.target) for record in batch)
            make_message = partial(messages.Progress, targets=targets)
            answers: list[messages.FromAgent | None] = [
                await self._owner.report_progress(messages.Progress(0, targets))
            ]
            peers = [peer for peer in self._owner.peers if peer.name not in given_up]
            answers += await gather_answers([peer.request(make_message, PROGRESS_TIMEOUT_S) for peer in peers])
            for answer in answers:
                if not isinstance(answer, messages.Progressed):
                    return {}
                held_orders = {each.key: each.order for each in answer.records}
                reached_states = ("reached", "at-start")
                unreached = {(reach.kind, reach.target) for reach in answer.reach if reach.state not in reached_states}
                for record in batch:
                    if held_orders.get(record.key, (0, "")) < record.order or record.key in unreached:
                        fenced.pop(record.key, None)
        return fenced
