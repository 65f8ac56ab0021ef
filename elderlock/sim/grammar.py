"""Draws, mutates and shrinks schedules of faults. No I/O.

A schedule is a sequence of faults: kind, effect, target, start, duration and amount. A drawn schedule mixes single
faults, repeated faults and pairs that overlap on purpose: tests of one component do not show how several of them fail
together.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import msgspec

from elderlock.sim.scenario import FAULTS_BY_TARGET, SHELLS_ONLY, TRIAL_ONLY, Fault, Scenario

# Range of the amount of each kind of fault that has one.
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
# Faults that happen at one moment or last until the end of the run.
WITHOUT_DURATION = frozenset(
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
MAX_CORPUS_SIZE = 64
MUTATION_SHARE = 0.6  # of the schedules, if the corpus is not empty
MAX_REMOVED_SHARE = 0.3  # of the servers; with fewer servers left a run reveals nothing


class Grammar:
    """Draws schedules of faults for one scenario and simulator."""

    def __init__(self, scenario: Scenario, floor: str) -> None:
        self._scenario = scenario
        counts = {
            "box": scenario.boxes,
            "limiter": scenario.limiters,
            "agent": scenario.agents,
            "floor": scenario.floors,
        }
        self._choices: list[tuple[str, str]] = []
        for kind, effects in FAULTS_BY_TARGET.items():
            if counts.get(kind, 1) == 0 or (kind == "counter" and not scenario.settings.counter):
                continue
            for what in sorted(effects):
                if what.startswith("op-") and not scenario.agents:
                    continue
                if floor == "decisions" and (
                    kind == "way" or what in SHELLS_ONLY or what in ("silent-clients", "hoard")
                ):
                    continue
                if floor != "trial" and what in TRIAL_ONLY:
                    continue
                self._choices.append((kind, what))
        self._counts = counts

    def draw_fault(self, rng: random.Random, at: float | None = None) -> Fault:
        """Draws one fault.

        Args:
            rng: Source of randomness.
            at: Start in s; drawn if None.
        """
        scenario = self._scenario
        kind, what = rng.choice(self._choices)
        latest_start_s = scenario.lasts_s * 0.75
        start_s = (
            rng.uniform(min(scenario.warm_s, latest_start_s), latest_start_s) if at is None else min(at, latest_start_s)
        )
        duration_s = (
            0.0
            if what in WITHOUT_DURATION
            else round(min(rng.expovariate(1.0) * 2.0 + 0.1, scenario.lasts_s - start_s), 3)
        )
        amount = 0.0
        if what in RANGES:
            amount = round(rng.uniform(*RANGES[what]), 2)
        return Fault(round(start_s, 3), what, self._random_target(kind, rng), duration_s, amount)  # type: ignore[arg-type]

    def _random_end(self, rng: random.Random) -> str:
        kinds = ["box", "limiter", "limiter", "discovery", *(["agent"] if self._scenario.agents else [])]
        kind = rng.choice(kinds)
        return kind if kind == "discovery" else f"{kind}:{rng.randrange(self._counts[kind])}"

    def _random_target(self, kind: str, rng: random.Random) -> str:
        if kind == "way":
            ends = (self._random_end(rng), f"limiter:{rng.randrange(self._scenario.limiters)}")
            return "way:{}>{}".format(*(ends if rng.random() < 0.5 else ends[::-1]))
        count = self._counts.get(kind)
        if count is None:
            return kind
        if rng.random() < 0.15 and kind == "box":
            first = rng.randrange(count)
            return f"box:{first}-{min(count - 1, first + rng.randrange(1, max(2, count // 2)))}"
        return f"{kind}:{rng.randrange(count)}"

    def draw(self, rng: random.Random, max_faults: int = 8) -> tuple[Fault, ...]:
        """Draws a schedule.

        Args:
            rng: Source of randomness.
            max_faults: Maximum number of faults, without overlapping and repeated ones.
        """
        faults: list[Fault] = []
        for _ in range(1 + min(max_faults - 1, int(rng.expovariate(1.0) * 3.0))):
            fault = self.draw_fault(rng)
            faults.append(fault)
            if rng.random() < 0.4:  # a second fault that overlaps with it
                faults.append(self.draw_fault(rng, fault.at_s + rng.random() * max(fault.for_s, 0.3)))
            if rng.random() < 0.15:  # a repetition of the same fault
                faults.append(msgspec.structs.replace(fault, at_s=round(fault.at_s + rng.uniform(0.2, 2.0), 3)))
        return self._make_valid(faults)

    def mutate(self, faults: Sequence[Fault], rng: random.Random) -> tuple[Fault, ...]:
        """Returns a schedule with one fault added, removed, moved, stretched or replaced."""
        mutated = list(faults)
        match rng.randrange(5) if mutated else 0:
            case 0:
                mutated.append(self.draw_fault(rng))
            case 1:
                del mutated[rng.randrange(len(mutated))]
            case 2:
                index = rng.randrange(len(mutated))
                start_s = max(0.0, mutated[index].at_s + rng.gauss(0.0, 1.0))
                mutated[index] = msgspec.structs.replace(
                    mutated[index], at_s=round(min(start_s, self._scenario.lasts_s * 0.75), 3)
                )
            case 3:
                index = rng.randrange(len(mutated))
                if mutated[index].for_s:
                    mutated[index] = msgspec.structs.replace(
                        mutated[index], for_s=round(mutated[index].for_s * rng.uniform(0.3, 3.0), 3)
                    )
            case 4:
                index = rng.randrange(len(mutated))
                mutated[index] = self.draw_fault(rng, mutated[index].at_s)
        return self._make_valid(mutated)

    def _make_valid(self, faults: list[Fault]) -> tuple[Fault, ...]:
        """Sorts the faults, limits them to the run, and leaves enough servers."""
        run_end_s = self._scenario.lasts_s
        removed_count, valid = 0.0, []
        for fault in sorted(faults, key=lambda f: f.at_s):
            if fault.at_s > run_end_s:
                continue
            if fault.what == "remove" or fault.what == "dead":
                count = len(fault.target_numbers(self._scenario.boxes)) if fault.target_kind() == "box" else 1
                if removed_count + count > MAX_REMOVED_SHARE * self._scenario.boxes:
                    continue
                removed_count += count
            duration_s = min(fault.for_s, round(run_end_s - fault.at_s, 3)) if fault.for_s else 0.0
            valid.append(msgspec.structs.replace(fault, for_s=max(0.0, duration_s)))
        return tuple(valid)


class Corpus:
    """Source of the schedules of a search: new ones, and mutations of those that showed new states.

    Invariant: it holds at most `MAX_CORPUS_SIZE` schedules, each of which showed a state that none before it had shown.

    Attributes:
        seen_states: All states shown so far.
    """

    def __init__(self, grammar: Grammar, rng: random.Random) -> None:
        self._grammar, self._rng = grammar, rng
        self._schedules: list[tuple[Fault, ...]] = []
        self.seen_states: set[str] = set()

    def next(self) -> tuple[Fault, ...]:
        """Returns the next schedule."""
        if self._schedules and self._rng.random() < MUTATION_SHARE:
            return self._grammar.mutate(self._rng.choice(self._schedules), self._rng)
        return self._grammar.draw(self._rng)

    def record_run(self, faults: tuple[Fault, ...], states: Sequence[str]) -> None:
        """Records the states that a schedule's run showed.

        Args:
            faults: The schedule.
            states: States of the group that occurred together.
        """
        new_states = set(states) - self.seen_states
        self.seen_states |= new_states
        if new_states and len(self._schedules) < MAX_CORPUS_SIZE:
            self._schedules.append(faults)
        elif new_states:
            self._schedules[self._rng.randrange(MAX_CORPUS_SIZE)] = faults


def shrink(
    faults: Sequence[Fault], fails: Callable[[tuple[Fault, ...]], bool], max_runs: int = 400
) -> tuple[tuple[Fault, ...], int]:
    """Returns the shortest failing schedule found, and the number of runs.

    It uses delta debugging (Zeller and Hildebrandt, 2002) and then shortens and narrows each fault.

    Args:
        faults: A schedule that fails.
        fails: Runs a schedule and returns whether it fails.
        max_runs: Maximum number of calls of `fails`.
    """
    run_count = 0

    def still_fails(candidate: tuple[Fault, ...]) -> bool:
        nonlocal run_count
        if run_count >= max_runs:
            return False
        run_count += 1
        return fails(candidate)

    current, parts = tuple(faults), 2
    while len(current) >= 2 and run_count < max_runs:
        size = max(1, -(-len(current) // parts))  # rounded up
        pieces = [current[at : at + size] for at in range(0, len(current), size)]
        for number in range(len(pieces)):
            rest = tuple(fault for index, piece in enumerate(pieces) if index != number for fault in piece)
            if len(pieces) > 2 and still_fails(pieces[number]):
                current, parts = pieces[number], 2
                break
            if still_fails(rest):
                current, parts = rest, max(parts - 1, 2)
                break
        else:
            if size == 1:
                break
            parts = min(len(current), 2 * parts)
    is_simplified = True
    while is_simplified and run_count < max_runs:
        is_simplified = False
        for number, fault in enumerate(current):
            for candidate in _simpler_faults(fault):
                changed = (*current[:number], candidate, *current[number + 1 :])
                if still_fails(changed):
                    current, is_simplified = changed, True
                    break
    return current, run_count


def _simpler_faults(fault: Fault) -> list[Fault]:
    replace = msgspec.structs.replace
    candidates = []
    kind, _, which = fault.target.partition(":")
    if "-" in which:
        candidates.append(replace(fault, target=f"{kind}:{which.partition('-')[0]}"))
    if which == "*":
        candidates.append(replace(fault, target=f"{kind}:0"))
    if fault.for_s > 0.2:
        candidates.append(replace(fault, for_s=round(fault.for_s / 2.0, 2)))
    if fault.at_s != round(fault.at_s, 1):
        candidates.append(replace(fault, at_s=round(fault.at_s, 1)))
    return candidates
