"""Shares the event loop's time among the client connections that have commands to parse and to handle."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

# Relative costs of the work of a turn: handling a command takes some 30 times as long as parsing one.
PARSE_COST = 1
HANDLE_COST = 32
# The work of one step of the event loop, over all connections. Timers and other connections wait for a step's end.
MAX_STEP_COST = 32 * HANDLE_COST


class ScheduledConnection(Protocol):
    """A connection that takes turns.

    Attributes:
        is_queued: Whether it waits for its turn; set by the scheduler.
    """

    is_queued: bool

    def run_turn(self) -> int:
        """Parse and handle a few commands, and return the cost."""

    def has_work(self) -> bool:
        """Whether a further turn could parse or handle something now."""


class CommandScheduler:
    """Gives connections turns, one after another, and ends the loop's step when enough work is done.

    Without it, a step would take as long as all commands that have arrived on all connections, and deadlines, server
    lists and other clients would wait for that.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialise without connections.

        Args:
            loop: The event loop. Its time is assumed not to change within a step, as with uvloop; with another loop
                the bound on a step's work does not include work that is done as bytes arrive.
        """
        self._loop = loop
        self._queue: deque[ScheduledConnection] = deque()
        self._is_step_scheduled = False
        self._step_started_at_s = 0.0
        self._remaining_cost = MAX_STEP_COST

    def __len__(self) -> int:
        """Return the number of connections that wait for their turn."""
        return len(self._queue)

    def run(self, connection: ScheduledConnection) -> None:
        """Give a connection its turns at once if no other waits; otherwise it waits for its turn."""
        now_s = self._loop.time()
        if now_s != self._step_started_at_s:
            self._step_started_at_s = now_s
            self._remaining_cost = MAX_STEP_COST
        if not self._queue and not connection.is_queued:
            while self._remaining_cost > 0:
                self._remaining_cost -= connection.run_turn()
                if not connection.has_work():
                    return
        self.queue(connection)

    def queue(self, connection: ScheduledConnection) -> None:
        """Let a connection wait for its turn, in a later step."""
        if connection.is_queued:
            return
        connection.is_queued = True
        self._queue.append(connection)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self._loop.call_soon(self._run_step)

    def _run_step(self) -> None:
        """Give turns to the waiting connections, in their order, until the step's work is done."""
        self._is_step_scheduled = False
        self._step_started_at_s = self._loop.time()
        self._remaining_cost = MAX_STEP_COST
        while self._queue and self._remaining_cost > 0:
            connection = self._queue.popleft()
            connection.is_queued = False
            self._remaining_cost -= connection.run_turn()
            if connection.has_work() and not connection.is_queued:
                connection.is_queued = True
                self._queue.append(connection)
        if self._queue:
            self._schedule_step()
