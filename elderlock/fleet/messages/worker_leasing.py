"""Workers of the load generator that an agent's machine leases to an operator's run."""

from __future__ import annotations

from elderlock.fleet.messages.base import Message


class LeaseWorker(Message, tag="lend"):
    """Words for a worker of load that this agent's machine lends, and the request for what it has said since.
    The first of a `job` starts it. Its frames are its own protocol's: the agent passes them on unread. They are
    numbered from 0 each way, so that asking again after a lost answer loses nothing and says nothing twice:
    `first` is the number of the first of `frames`, `have` how many of the worker's have come."""

    id: int
    job: str
    first: int
    frames: tuple[bytes, ...]
    have: int
    end: bool = False


class WorkerLeased(Message, tag="lent"):
    """`ended` says in words how the process ended, and is empty while it lives or has words left. `taken`:
    how many of the caller's frames have come."""

    id: int
    agent: str
    taken: int
    first: int
    frames: tuple[bytes, ...]
    ended: str
