"""Schedules of faults drawn from a grammar, changed a little, and cut down. No I/O.

A schedule is faults (kind, what, target, when, for how long, how much). A drawn one is a mix of single faults, a fault
that comes again, and pairs that overlap on purpose: what two rooms do together is what tests of one room do not see.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import msgspec

from elderlock.sim.scenario import FAULTS_BY_TARGET, SHELLS_ONLY, TRIAL_ONLY, Fault, Scenario

RANGES: dict[str, tuple[float, float]] = {
    "slow": (2.0, 20.0),
    "errs": (0.1, 1.0),
    "loss": (0.02, 0.4),
    "late": (10.0, 400.0),
    "pause": (100.0, 2500.0),
    "clock": (-10_000.0, 10_000.0),
    "rush": (30.0, 400.0),
    "silent-clients": (20.0, 300.0),
    "hoard": (0.1, 1.0),
    "duplicate": (0.05, 0.8),
    "reorder": (5.0, 300.0),
    "trickle": (500.0, 20_000.0),
    "disk-slow": (20.0, 800.0),
}
ENDLESS = frozenset(
    {
        "kill",
        "term",
        "clock",
        "restart",
        "remove",
        "empty",
        "lies",
        "op-undrain",
        "power",
        "old-state",
        "no-state",
        "kill-write",
        "kill-sync",
        "kill-rename",
        "reset",
        "half-close",
    }
)
KEPT = 64  # schedules that showed something new, to be varied
VARIED = 0.6  # share of tries that vary one of them
MOST_REMOVED = 0.3  # of the boxes: with fewer left there is nothing to be learnt


class Grammar:
    """Draws for one scenario and floor."""

    def __init__(self, scenario: Scenario, floor: str) -> None:
        self._scenario = scenario
        s = scenario
        counts = {"box": s.boxes, "limiter": s.limiters, "agent": s.agents, "floor": s.floors}
        self._choices: list[tuple[str, str]] = []
        for kind, able in FAULTS_BY_TARGET.items():
            if counts.get(kind, 1) == 0 or (kind == "counter" and not s.settings.counter):
                continue
            for what in sorted(able):
                if what.startswith("op-") and not s.agents:
                    continue
                if floor == "decisions" and (
                    kind == "way" or what in SHELLS_ONLY or what in ("silent-clients", "hoard")
                ):
                    continue
                if floor != "trial" and what in TRIAL_ONLY:
                    continue
                self._choices.append((kind, what))
        self._counts = counts

    def fault(self, rng: random.Random, at: float | None = None) -> Fault:
        s = self._scenario
        kind, what = rng.choice(self._choices)
        latest = s.lasts_s * 0.75
        when = rng.uniform(min(s.warm_s, latest), latest) if at is None else min(at, latest)
        lasts = 0.0 if what in ENDLESS else round(min(rng.expovariate(1.0) * 2.0 + 0.1, s.lasts_s - when), 3)
        by = 0.0
        if what in RANGES:
            by = round(rng.uniform(*RANGES[what]), 2)
        return Fault(round(when, 3), what, self._target(kind, rng), lasts, by)  # type: ignore[arg-type]

    def _end(self, rng: random.Random) -> str:
        kinds = ["box", "limiter", "limiter", "discovery", *(["agent"] if self._scenario.agents else [])]
        kind = rng.choice(kinds)
        return kind if kind == "discovery" else f"{kind}:{rng.randrange(self._counts[kind])}"

    def _target(self, kind: str, rng: random.Random) -> str:
        if kind == "way":
            ends = (self._end(rng), f"limiter:{rng.randrange(self._scenario.limiters)}")
            return "way:{}>{}".format(*(ends if rng.random() < 0.5 else ends[::-1]))
        count = self._counts.get(kind)
        if count is None:
            return kind
        if rng.random() < 0.15 and kind == "box":
            first = rng.randrange(count)
            return f"box:{first}-{min(count - 1, first + rng.randrange(1, max(2, count // 2)))}"
        return f"{kind}:{rng.randrange(count)}"

    def draw(self, rng: random.Random, most: int = 8) -> tuple[Fault, ...]:
        faults: list[Fault] = []
        for _ in range(1 + min(most - 1, int(rng.expovariate(1.0) * 3.0))):
            fault = self.fault(rng)
            faults.append(fault)
            if rng.random() < 0.4:  # another one while that lasts
                faults.append(self.fault(rng, fault.at_s + rng.random() * max(fault.for_s, 0.3)))
            if rng.random() < 0.15:  # the same once more
                faults.append(msgspec.structs.replace(fault, at_s=round(fault.at_s + rng.uniform(0.2, 2.0), 3)))
        return self._sane(faults)

    def vary(self, faults: Sequence[Fault], rng: random.Random) -> tuple[Fault, ...]:
        """A neighbour: one fault more, less, moved, stretched or of another size."""
        made = list(faults)
        match rng.randrange(5) if made else 0:
            case 0:
                made.append(self.fault(rng))
            case 1:
                del made[rng.randrange(len(made))]
            case 2:
                n = rng.randrange(len(made))
                moved = max(0.0, made[n].at_s + rng.gauss(0.0, 1.0))
                made[n] = msgspec.structs.replace(made[n], at_s=round(min(moved, self._scenario.lasts_s * 0.75), 3))
            case 3:
                n = rng.randrange(len(made))
                if made[n].for_s:
                    made[n] = msgspec.structs.replace(made[n], for_s=round(made[n].for_s * rng.uniform(0.3, 3.0), 3))
            case 4:
                n = rng.randrange(len(made))
                made[n] = self.fault(rng, made[n].at_s)
        return self._sane(made)

    def _sane(self, faults: list[Fault]) -> tuple[Fault, ...]:
        """In order, within the run, and with boxes left to ask."""
        ends = self._scenario.lasts_s
        removed, kept = 0.0, []
        for fault in sorted(faults, key=lambda f: f.at_s):
            if fault.at_s > ends:
                continue
            if fault.what == "remove" or fault.what == "dead":
                count = len(fault.target_numbers(self._scenario.boxes)) if fault.target_kind() == "box" else 1
                if removed + count > MOST_REMOVED * self._scenario.boxes:
                    continue
                removed += count
            lasts = min(fault.for_s, round(ends - fault.at_s, 3)) if fault.for_s else 0.0
            kept.append(msgspec.structs.replace(fault, for_s=max(0.0, lasts)))
        return tuple(kept)


class Corpus:
    """What a search draws next: fresh schedules, and neighbours of those that showed something new. Invariant: at most
    `KEPT` schedules are kept, each of which showed a state that none before it had."""

    def __init__(self, grammar: Grammar, rng: random.Random) -> None:
        self._grammar, self._rng = grammar, rng
        self._kept: list[tuple[Fault, ...]] = []
        self.seen: set[str] = set()

    def next(self) -> tuple[Fault, ...]:
        if self._kept and self._rng.random() < VARIED:
            return self._grammar.vary(self._rng.choice(self._kept), self._rng)
        return self._grammar.draw(self._rng)

    def showed(self, faults: tuple[Fault, ...], states: Sequence[str]) -> None:
        """The states that came together in that schedule's run."""
        news = set(states) - self.seen
        self.seen |= news
        if news and len(self._kept) < KEPT:
            self._kept.append(faults)
        elif news:
            self._kept[self._rng.randrange(KEPT)] = faults


def shrink(
    faults: Sequence[Fault], fails: Callable[[tuple[Fault, ...]], bool], most: int = 400
) -> tuple[tuple[Fault, ...], int]:
    """The shortest schedule found that still fails, by delta debugging (Zeller and Hildebrandt, 2002), then each fault
    made shorter and narrower. `fails` is asked `most` times at the most, however long the schedule is. Returns it with
    how often that was."""
    asked = 0

    def holds(candidate: tuple[Fault, ...]) -> bool:
        nonlocal asked
        if asked >= most:
            return False
        asked += 1
        return fails(candidate)

    current, parts = tuple(faults), 2
    while len(current) >= 2 and asked < most:
        size = max(1, -(-len(current) // parts))
        pieces = [current[at : at + size] for at in range(0, len(current), size)]
        for number in range(len(pieces)):
            rest = tuple(f for n, piece in enumerate(pieces) if n != number for f in piece)
            if len(pieces) > 2 and holds(pieces[number]):
                current, parts = pieces[number], 2
                break
            if holds(rest):
                current, parts = rest, max(parts - 1, 2)
                break
        else:
            if size == 1:
                break
            parts = min(len(current), 2 * parts)
    simpler = True
    while simpler and asked < most:
        simpler = False
        for number, fault in enumerate(current):
            for candidate in _simpler(fault):
                tried = (*current[:number], candidate, *current[number + 1 :])
                if holds(tried):
                    current, simpler = tried, True
                    break
    return current, asked


def _simpler(fault: Fault) -> list[Fault]:
    replace = msgspec.structs.replace
    found = []
    kind, _, which = fault.target.partition(":")
    if "-" in which:
        found.append(replace(fault, target=f"{kind}:{which.partition('-')[0]}"))
    if which == "*":
        found.append(replace(fault, target=f"{kind}:0"))
    if fault.for_s > 0.2:
        found.append(replace(fault, for_s=round(fault.for_s / 2.0, 2)))
    if fault.at_s != round(fault.at_s, 1):
        found.append(replace(fault, at_s=round(fault.at_s, 1)))
    return found
