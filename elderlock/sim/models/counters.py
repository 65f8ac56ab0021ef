"""Models the shared counter for runs at the decisions level: totals by name with a lifetime, network delays and faults.

A call takes the delay of the link in each direction, and `SERVICE_MS` of processing time on its shard, which processes
one call at a time. The shard of a name is given by the name's checksum. A counter can be silent, reject calls (`busy`)
or answer `late` ms late. Its data can be lost or replaced by those of a snapshot.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable
from typing import Any, Protocol

from elderlock import interface as api
from elderlock.interface import Outcome
from elderlock.sim.models.link_conditions import LinkConditions, NetworkNode

SHARDS = 2
SERVICE_MS = 0.4  # processing time of a call on its shard
MAX_QUEUE_MS = 20.0  # a shard rejects a call that would wait for longer
ANSWER_TIMEOUT_MS = 50.0  # the time-out that limiters are configured with


class Time(Protocol):
    """The clock and timers of a run; times are ms."""

    def now(self) -> float:
        """Returns the present time."""

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> Any:
        """Calls `do` after `wait` ms."""


class Caller(Protocol):
    """A limiter that calls the counter.

    Attributes:
        machine: The machine on which it runs.
    """

    machine: Any

    def handle_event(self, event: api.Event) -> None:
        """Handles the answer or the time-out of a call."""


class CounterModel:
    """A counter and its faults.

    Attributes:
        place: The machine on which the counter runs.
        totals: The total of each name and the time at which it expires, in ms.
        silent: Whether it ignores calls.
        busy: Whether it rejects calls.
        late: How much later it answers, in ms.
        calls: The number of calls to it.
        generation: The number of its process; a process never answers the calls of the one before.
    """

    def __init__(self, time: Time, ways: LinkConditions, place: NetworkNode, rng: random.Random) -> None:
        self._time, self._ways, self.place, self._rng = time, ways, place, rng
        self.totals: dict[str, tuple[float, float]] = {}
        self.silent = self.busy = False
        self.late = 0.0
        self.calls = 0
        self._free_at = [0.0] * SHARDS
        self.generation = 0

    def lose(self) -> None:
        """Loses all data, as a restart without persistence does."""
        self.totals.clear()
        self.generation += 1

    def call(self, caller: Caller, token: int, name: str, amount: float, life: float) -> None:
        """Adds to a total and sends the new total to the caller.

        Args:
            caller: The limiter that receives the answer.
            token: Identifies the call in the answer.
            name: The name of the total.
            amount: What to add.
            life: The lifetime of a new total, in ms.
        """
        self.calls += 1
        time, ways = self._time, self._ways
        is_answered = [False]
        time.after(ANSWER_TIMEOUT_MS, self._time_out, caller, token, is_answered)
        if not (self.silent or ways.is_cut(caller.machine, self.place)):
            delay = ways.delay(caller.machine, self.place)
            time.after(delay, self._receive, caller, token, name, amount, life, is_answered, self.generation)

    def _time_out(self, caller: Caller, token: int, is_answered: list[bool]) -> None:
        if not is_answered[0]:
            is_answered[0] = True
            caller.handle_event(api.CounterAnswered(token, Outcome.RESET, 0.0, ANSWER_TIMEOUT_MS))

    def _receive(
        self,
        caller: Caller,
        token: int,
        name: str,
        amount: float,
        life: float,
        is_answered: list[bool],
        generation: int,
    ) -> None:
        if self.silent or generation != self.generation:
            return
        time, shard = self._time, zlib.crc32(name.encode()) % SHARDS
        now = time.now()
        if self.busy or self._free_at[shard] - now > MAX_QUEUE_MS:
            return self._send_answer(caller, token, Outcome.FULL, 0.0, is_answered, 0.0)
        self._free_at[shard] = max(self._free_at[shard], now) + SERVICE_MS
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + life
        self.totals[name] = total + amount, expires_at
        wait = self._free_at[shard] - now
        self._send_answer(caller, token, Outcome.OK, float(f"{total + amount:.7g}"), is_answered, wait)

    def _send_answer(
        self, caller: Caller, token: int, outcome: Outcome, total: float, is_answered: list[bool], wait: float
    ) -> None:
        if self._ways.is_cut(self.place, caller.machine):
            return
        delay = self._ways.delay(self.place, caller.machine) + wait + self.late
        self._time.after(delay, self._deliver_answer, caller, token, outcome, total, is_answered)

    def _deliver_answer(
        self, caller: Caller, token: int, outcome: Outcome, total: float, is_answered: list[bool]
    ) -> None:
        if not is_answered[0]:
            is_answered[0] = True
            caller.handle_event(api.CounterAnswered(token, outcome, total, 0.0))
