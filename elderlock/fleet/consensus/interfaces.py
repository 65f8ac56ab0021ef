"""What the parts of a member of the consensus use of each other and of their agent."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from elderlock.control.records import Record, Records
from elderlock.fleet import messages
from elderlock.fleet.agent_store import Store
from elderlock.fleet.group.peer_link import PeerLink
from elderlock.rollout.disruption_budget import Inventory
from elderlock.rollout.permit_ledger import Ledger


class Owner(Protocol):
    """What `ConsensusMember` needs of its agent."""

    name: str
    store: Store
    records: Records
    peers: list[PeerLink]

    def epoch(self) -> int:
        """Return the agent's epoch, which grows at each start."""

    def inventory(self) -> Inventory:
        """Return what the agent knows of the group's servers and limiters."""

    def commit_record(self, record: Record, what: str) -> None:
        """Store the record with a line in the audit log and send it to the limiters and the other agents.

        Raises:
            StoreError: The record cannot be stored; nothing was done.
        """

    async def report_progress(self, progress: messages.Progress) -> messages.Progressed:
        """Report how far the records of some targets have come at this agent's limiters."""


class ChangeResult(NamedTuple):
    """The result of a proposed change.

    Attributes:
        chosen: Whether a majority has accepted the changed ledger.
        ledger: The newest ledger that is known to be chosen.
        reasons: Why the change was declined; empty where it was chosen or too few voters answered.
    """

    chosen: bool
    ledger: Ledger
    reasons: tuple[str, ...] = ()


Change = Callable[[Ledger], "Ledger | list[str]"]


class LedgerAccess(Protocol):
    """The ledger that a group has agreed on, and the way to change it."""

    @property
    def ledger(self) -> Ledger:
        """The newest ledger that this agent knows to be chosen."""

    async def change(self, change: Change) -> ChangeResult:
        """Propose a change of the ledger, and retry until it is chosen, declined or timed out.

        Raises:
            LedgerError: The ledger that a majority holds cannot be decoded.
        """
