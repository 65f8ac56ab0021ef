"""What an agent that leads a plan does next: looks at the plan and at what is told of its targets, and says the next
step. No I/O; the step itself is a change of the ledger under the leader's term (`elderlock.rollout.steps`).

All that is kept here may be lost: a leader that takes over begins its waits anew, which makes it slower and never less
careful.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Literal, NamedTuple

from elderlock.rollout.plans import Plan, Unit
from elderlock.rollout.verdict import Figures, Verdict, Window, judge

SILENT_AFTER = 10_000.0  # ms without a word of a target that is under way, after which too little is known
BEFORE = 60_000.0  # ms of figures that the time before a trial is taken from; a quarter at least
KEPT = 4 * BEFORE  # ms of figures that are kept
KEPT_EVERY = 5000.0  # ms between two that are the same
LOOK_EVERY = 1000.0  # ms between judgements of one that is on trial
RETRY = 500.0  # ms between tries of what the budget refused

Do = Literal["send", "serve", "pass", "close", "halt"]


class Move(NamedTuple):
    do: Do
    targets: tuple[str, ...] = ()
    why: str = ""


class Told(NamedTuple):
    """Of one target, by the agent in charge of it. `generation`: of the unit that `stage` and `why` are said of, see
    `carrying`. `age`: ms since that agent spoke, negative where it never did. For a box, `serving` says whether all
    limiters have undrained it, `stage` up that none sends to it and nothing is left at it."""

    name: str
    generation: int = 0
    stage: str = ""
    why: str = ""
    phase: str = "running"
    serving: bool = True
    restarts: int = 0
    drained: str = ""  # by whom, where that is not the plan
    figures: Figures = Figures()
    age: float = 0.0


class Series:
    """The figures of all limiters over the last minutes, as an agent hears them whether it leads or not: one that
    takes a plan over knows what was before. They go on over a restart, so that a limiter's own past is there to compare
    with."""

    def __init__(self) -> None:
        self._of: dict[str, deque[tuple[float, Figures]]] = {}
        self._life: dict[str, tuple[Figures, Figures]] = {}  # of processes before, and the last of this one
        self._kept_at: dict[str, float] = {}

    def heard(self, name: str, figures: Figures, now: float) -> None:
        base, last = self._life.get(name, (Figures(), Figures()))
        if figures is last and now - self._kept_at.get(name, now) <= KEPT_EVERY:
            return  # the same word again: agents look more often than they hear
        if figures.since(last) is None:
            base = base.plus(last)  # another process counts from nothing
        self._life[name] = base, figures
        total, series = base.plus(figures), self._of.setdefault(name, deque())
        if not series or series[-1][1] != total or now - series[-1][0] > KEPT_EVERY:
            series.append((now, total))
            self._kept_at[name] = now
        while len(series) > 2 and series[1][0] < now - KEPT:
            series.popleft()

    def window(self, name: str, start: float, settled: float) -> Window | None:
        """From `start` on, with what came after `settled`, and with the time before, where that is known for long
        enough. None where nothing is known."""
        series = self._of.get(name)
        if not series:
            return None
        last, at_start = series[-1][1], _at(series, start)
        after, times = last.since(at_start), last.since(_at(series, settled))
        assert after is not None and times is not None  # totals only grow
        known = series[0][0] < start - BEFORE / 4
        return Window(name, after, times, at_start.since(_at(series, start - BEFORE)) if known else None)


class Leader:
    """`step` is called again and again; `waits` says what it waits for, in words. Invariant: never sends one of a wave
    before all of the wave before are done, and never while anything that it took is known to be bad."""

    def __init__(self, now: float, series: Series) -> None:
        self._figures = series
        self.waits: tuple[str, ...] = ()
        self._since: dict[tuple[str, str, str, int], float] = {}  # when a unit was first seen in this stage
        self._restarts: dict[tuple[str, int], int] = {}
        self._served: dict[tuple[str, int], float] = {}  # when one on trial was first seen to serve
        self._short: float | None = None  # since when the budget lets nothing go and nothing is under way
        self._size = 0  # how many are asked for at once; 0 for all of the wave
        self._again = 0.0
        self._turn_of = 0  # which one is asked for first, so that one that cannot go does not hold up the others
        self._wave_done: tuple[int, str, float] = (-1, "", now)
        self._looked = 0.0

    # What it is told

    def refused(self, reasons: Iterable[str], count: int, now: float) -> None:
        """The ledger said no to a `send` of so many."""
        self._size = max(1, count // 2)
        self._turn_of += count == 1
        self._again = now + RETRY
        self.waits = tuple(reasons)

    # What it does

    def step(self, plan: Plan, told: Mapping[str, Told], now: float) -> Move | None:
        if plan.state != "running":
            self.waits = (f"an operator: {plan.why}",)
            return None
        mine = self._under_way(plan, told)
        if not mine:
            return Move("close")
        for unit in plan.units:
            self._since.setdefault((unit.target, unit.aim, unit.stage, unit.generation), now)
        if plan.kind != "drain" and (why := self._trouble(plan, told, now)):
            return Move("halt", (), why)
        drain = plan.kind == "drain"
        move = self._drain(mine, told, plan.aim == "back") if drain else self._release(plan, mine, told, now)
        if move is not None:
            return move
        return self._send(plan, mine, told, now)

    def _under_way(self, plan: Plan, told: Mapping[str, Told]) -> list[Unit]:
        """The units of the wave that is due. On the way back one that nothing is heard of holds up no other: what can
        be taken back is, under the same budget."""
        wave = plan.wave()
        if plan.aim == "back":
            left = [unit for unit in plan.units if unit.stage != "done"]
            heard = [unit.wave for unit in left if not _silent(told.get(unit.target))]
            wave = min(heard, default=wave)
        # what is out or on trial is seen through whatever its wave: it went while an earlier one was silent, and that
        # one, heard again, would wait for it under the budget for good
        return [
            unit
            for unit in plan.units
            if unit.stage in ("out", "trial") or (unit.wave <= wave and (unit.stage != "done" or unit.wave == wave))
        ]

    def _age(self, unit: Unit, now: float) -> float:
        return now - self._since[unit.target, unit.aim, unit.stage, unit.generation]

    def _trouble(self, plan: Plan, told: Mapping[str, Told], now: float) -> str:
        """Why the plan has to stop by itself; empty where nothing is known against it."""
        for unit in plan.units:
            if unit.aim != plan.aim or unit.stage == "waiting" or (unit.aim == "back" and unit.stage == "done"):
                continue
            each = told.get(unit.target)
            way = "on the way back, " if unit.aim == "back" else ""
            if each is None or _silent(each):
                # the way back waits for it: to stop there would leave more on a version that nobody wants
                if self._age(unit, now) > SILENT_AFTER and unit.stage != "done" and unit.aim == "to":
                    return f"too little is known: nothing was heard of {unit.target} for {SILENT_AFTER / 1000:g} s"
                continue
            if each.generation == unit.generation and each.stage == "failed":
                return f"{way}{unit.target}: {each.why}"
            if unit.stage in ("trial", "done") and unit.aim == "to":
                first = self._restarts.setdefault((unit.target, unit.generation), each.restarts)
                if each.restarts > first or each.phase in ("backing-off", "gave-up"):
                    return f"{unit.target} crashed on {plan.version or 'the version of the files'}"
        return ""

    def _release(self, plan: Plan, mine: list[Unit], told: Mapping[str, Told], now: float) -> Move | None:
        for unit in mine:
            each = told.get(unit.target)
            if unit.stage == "out" and each is not None and each.generation == unit.generation and each.stage == "up":
                return Move("serve", (unit.target,))
        trial = [unit for unit in mine if unit.stage == "trial"]
        if not trial:
            return None
        if plan.aim == "back":
            said = {unit.target: told.get(unit.target) for unit in trial}
            done = [u.target for u in trial if (e := said[u.target]) and e.serving and e.generation == u.generation]
            return Move("pass", tuple(done)) if done else None
        if now - self._looked < LOOK_EVERY:
            return None
        self._looked = now
        return self._judged(plan, trial, told, now)

    def _judged(self, plan: Plan, trial: list[Unit], told: Mapping[str, Told], now: float) -> Move | None:
        terms = plan.terms
        # nobody is passed on what was heard of it before it fell silent
        waits = [u.target for u in trial if not (e := told.get(u.target)) or not e.serving or _silent(e)]
        if waits:
            if max(self._age(unit, now) for unit in trial if unit.target in waits) > 1000.0 * terms.start_within:
                return Move("halt", (), f"{', '.join(waits)} does not serve, {terms.start_within:g} s after it may")
            self.waits = (f"{', '.join(waits)} to serve again",)
            return None
        # a trial counts from when it was seen to serve: what it answered before is not its own time's
        since = {u.target: self._served.setdefault((u.target, u.generation), now) for u in trial}
        start = max(since.values())
        settled = start + 1000.0 * terms.settle
        due = now >= settled + 1000.0 * terms.bake
        if plan.kind == "agents":
            # an agent answers no requests: what it shows in its trial is that it lives, is heard and has its limiters
            self.waits = (f"{', '.join(since)} on trial",)
            enough = 1000.0 * (terms.settle + terms.bake)
            passed = tuple(name for name, at in since.items() if now - at >= enough)
            return Move("pass", passed) if passed else None
        over = now >= settled + 1000.0 * max(terms.bake, terms.bake_most)
        waiting = [unit.target for unit in plan.units if unit.stage == "waiting"]
        others = [name for name in told if plan.unit(name) is None and told[name].serving]
        controls = waiting + others or [u.target for u in plan.units if u.stage == "done"]
        window = self._figures.window
        new = [w for name in since if (w := window(name, start, settled)) is not None]
        old = [w for name in controls if (w := window(name, start, settled)) is not None]
        if len(new) < len(trial) or not old:
            verdict = Verdict("unclear", "no figures to compare with")
        else:
            verdict = judge(new, old, due, over)
        names = tuple(unit.target for unit in trial)
        if verdict.word == "bad":
            return Move("halt", (), f"{', '.join(names)}: {verdict.text}")
        left = (settled - now) / 1000.0 + terms.bake
        self.waits = (f"{', '.join(names)} on trial, {verdict.text}" + (f", {left:.0f} s more" if left > 0 else ""),)
        all_on_trial = not any(unit.stage in ("waiting", "out") for unit in plan.units if unit.wave == plan.wave())
        if all_on_trial and ((due and verdict.word == "good") or over):
            # where hardly anybody asks there is nothing to compare: that is said, and holds up nothing for good
            return Move("pass", names)
        return None

    def _drain(self, mine: list[Unit], told: Mapping[str, Told], back: bool) -> Move | None:
        if back and (waiting := tuple(unit.target for unit in mine if unit.stage == "waiting")):
            return Move("serve", waiting[:1])
        done = []
        for unit in mine:
            each = told.get(unit.target)
            if each is None or each.generation != unit.generation:
                continue
            if (unit.stage == "out" and each.stage == "up") or (unit.stage == "trial" and each.serving):
                done.append(unit.target)
        if done:
            return Move("pass", tuple(done))
        left = [unit.target for unit in mine if unit.stage in ("out", "trial")]
        if left:
            self.waits = (f"all limiters to hold it, and for what is out at {', '.join(left)}",)
        return None

    def _send(self, plan: Plan, mine: list[Unit], told: Mapping[str, Told], now: float) -> Move | None:
        waiting = [unit.target for unit in mine if unit.stage == "waiting"]
        if not waiting:
            return None
        wave = plan.wave()
        if self._wave_done[:2] != (wave, plan.aim):
            self._wave_done = (wave, plan.aim, now)
            self._size = 0
        rest = self._wave_done[2] + 1000.0 * plan.terms.pause - now if wave > 0 and plan.aim == "to" else 0.0
        if rest > 0:
            self.waits = (f"the pause between waves, {rest / 1000.0:.0f} s more",)
            return None
        if now < self._again:
            return self._too_short(plan, mine, now)
        taken = {name: told[name].drained for name in waiting if name in told and told[name].drained}
        free = [name for name in waiting if name not in taken]
        if not free:
            self.waits = tuple(f"{name}, drained by {by}" for name, by in taken.items())
            return self._too_short(plan, mine, now)
        first = self._turn_of % len(free)
        free = free[first:] + free[:first]
        return Move("send", tuple(free[: self._size or len(free)]))

    def _too_short(self, plan: Plan, mine: list[Unit], now: float) -> Move | None:
        if any(unit.stage in ("out", "trial") for unit in mine):
            self._short = None
            return None
        if self._short is None:
            self._short = now
        if now - self._short > 1000.0 * plan.terms.patience and plan.kind != "drain" and plan.aim == "to":
            self._short = None
            return Move("halt", (), f"the budget is short: {'; '.join(self.waits)}"[:400])
        return None

    def sent(self) -> None:
        """The ledger took a `send`."""
        self._short = None
        self.waits = ()


def _silent(told: Told | None) -> bool:
    return told is None or told.age < 0 or told.age > SILENT_AFTER


def _at(series: Iterable[tuple[float, Figures]], at: float) -> Figures:
    """The last figures told up to then, or the first."""
    found: Figures | None = None
    for when, figures in series:
        if found is not None and when > at:
            break
        found = figures
    assert found is not None
    return found
