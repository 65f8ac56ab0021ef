"""Messages that lease load generator workers on an agent's machine to an operator's run."""

from __future__ import annotations

from elderlock.fleet.messages.base import Message


class LeaseWorker(Message, tag="lend"):
    """Sends frames to a leased load worker and requests the frames that it has sent since.

    The first message of a job starts the worker. The frames belong to the worker's own protocol, and the agent forwards
    them unread. In each direction they are numbered from 0, so that a repeated request after a lost answer neither
    loses nor duplicates a frame.

    Attributes:
        id: The id of the request.
        job: The id of the lease.
        first: The number of the first of `frames`.
        frames: The frames to the worker.
        have: How many of the worker's frames the caller has received.
        end: Whether to end the worker.
    """

    id: int
    job: str
    first: int
    frames: tuple[bytes, ...]
    have: int
    end: bool = False


class WorkerLeased(Message, tag="lent"):
    """The answer to `LeaseWorker`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        taken: How many of the caller's frames have arrived.
        first: The number of the first of `frames`.
        frames: Frames from the worker.
        ended: How the worker's process ended, for people; empty while it runs or still has frames to deliver.
    """

    id: int
    agent: str
    taken: int
    first: int
    frames: tuple[bytes, ...]
    ended: str
