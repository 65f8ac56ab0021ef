"""The shared counter on the decisions' floor: totals by name, each with a life, behind delays and troubles.

A call takes a way there and a way back, and `serve` ms in turn at its part (names fall on parts by a checksum). It may
be silent, turn calls away (`busy`), answer `late` ms late, come back `empty`, or with the counts of a snapshot.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable
from typing import Any, Protocol

from elderlock import interface as api
from elderlock.interface import Outcome
from elderlock.sim.models.ways import Place, Ways

PARTS, SERVE, MOST_WAIT = 2, 0.4, 20.0  # ms of a call in turn, and of calls that a part lets wait
ANSWER_WITHIN = 50.0  # ms, as the limiters' terms have it


class Time(Protocol):
    def now(self) -> float: ...

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> Any: ...


class Caller(Protocol):
    """A limiter."""

    machine: Any

    def handle_event(self, event: api.Event) -> None: ...


class CounterModel:
    def __init__(self, time: Time, ways: Ways, place: Place, rng: random.Random) -> None:
        self._time, self._ways, self.place, self._rng = time, ways, place, rng
        self.totals: dict[str, tuple[float, float]] = {}
        self.silent = self.busy = False
        self.late = 0.0
        self.calls = 0
        self._free = [0.0] * PARTS
        self.generation = 0  # of its process: what one before it owed is never answered

    def lose(self) -> None:
        self.totals.clear()
        self.generation += 1

    def call(self, caller: Caller, token: int, name: str, amount: float, life: float) -> None:
        self.calls += 1
        time, ways = self._time, self._ways
        state = [False]  # whether the caller has heard
        time.after(ANSWER_WITHIN, self._unanswered, caller, token, state)
        if not (self.silent or ways.cut(caller.machine, self.place)):
            way = ways.delay(caller.machine, self.place)
            time.after(way, self._come, caller, token, name, amount, life, state, self.generation)

    def _unanswered(self, caller: Caller, token: int, state: list[bool]) -> None:
        if not state[0]:
            state[0] = True
            caller.handle_event(api.CounterAnswered(token, Outcome.RESET, 0.0, ANSWER_WITHIN))

    def _come(
        self, caller: Caller, token: int, name: str, amount: float, life: float, state: list[bool], generation: int
    ) -> None:
        if self.silent or generation != self.generation:
            return
        time, part = self._time, zlib.crc32(name.encode()) % PARTS
        now = time.now()
        if self.busy or self._free[part] - now > MOST_WAIT:
            return self._back(caller, token, Outcome.FULL, 0.0, state, 0.0)
        self._free[part] = max(self._free[part], now) + SERVE
        total, ends = self.totals.get(name, (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + life
        self.totals[name] = total + amount, ends
        self._back(caller, token, Outcome.OK, float(f"{total + amount:.7g}"), state, self._free[part] - now)

    def _back(self, caller: Caller, token: int, outcome: Outcome, total: float, state: list[bool], wait: float) -> None:
        if self._ways.cut(self.place, caller.machine):
            return
        way = self._ways.delay(self.place, caller.machine) + wait + self.late
        self._time.after(way, self._answered, caller, token, outcome, total, state)

    def _answered(self, caller: Caller, token: int, outcome: Outcome, total: float, state: list[bool]) -> None:
        if not state[0]:
            state[0] = True
            caller.handle_event(api.CounterAnswered(token, outcome, total, 0.0))
