"""Searches for failures on all cores.

The search draws and mutates schedules of faults, guided by states that were not seen before. The systematic mode fails
each I/O step of a run once in each possible way. A failing schedule is shrunk to the shortest one that still fails in
the same way, and becomes a seed.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from multiprocessing import get_context
from typing import Any

import msgspec

from elderlock.sim.figures import Result
from elderlock.sim.grammar import Corpus, Grammar, shrink
from elderlock.sim.scenario import Fault, Scenario
from elderlock.sim.seeds import Level, Seed

FAILURE_MODES: dict[str, tuple[str, ...]] = {
    "connect": ("refused", "silent", "reset"),
    "write": ("reset", "half", "sent", "late"),
    "read": ("reset",),
    "datagram": ("lost", "doubled", "late"),
    "sqlite": ("full", "error", "locked"),
    "file": ("full", "error"),
    "spawn": ("fails",),
}


def play(scenario: Scenario, seed: int, floor: str, **options: Any) -> Result:
    """Runs a scenario on one of the simulators.

    Args:
        scenario: The scenario to simulate.
        seed: Seed of all random numbers.
        floor: `shells` or `decisions`.
        **options: Further arguments of the simulator's world.
    """
    if floor == "shells":
        from elderlock.sim import shells

        return shells.play(scenario, seed, **options)
    from elderlock.sim import decisions

    return decisions.play(scenario, seed, **options)


def _play(raw: bytes, seed: int, floor: str) -> bytes:
    """Runs a scenario in a worker process."""
    scenario = msgspec.msgpack.decode(raw, type=Scenario)
    return msgspec.msgpack.encode(play(scenario, seed, floor))


@dataclass
class ShrunkFailure:
    """A failure with its shortest schedule.

    Attributes:
        seed: Seed of the shortest schedule.
        result: Result of the shortest schedule.
        faults_before: Number of faults of the schedule that failed first.
        faults_after: Number of faults of the shortest schedule.
        run_count: Number of runs that shrinking took.
    """

    seed: Seed
    result: Result
    faults_before: int
    faults_after: int
    run_count: int


@dataclass
class Report:
    """Progress of a search.

    Attributes:
        tried: Number of runs.
        features: States seen.
        found: Failures, one for each set of broken invariants.
        failures: Number of runs that broke an invariant, including repeated kinds of failures.
        harness_failures: Number of runs that ended because a model or a checker failed, not the code under test.
        wall_s: Duration in s.
    """

    tried: int = 0
    features: set[str] = field(default_factory=set)
    found: list[ShrunkFailure] = field(default_factory=list)
    failures: int = 0
    harness_failures: int = 0
    wall_s: float = 0.0


class Search:
    """A search over one scenario.

    The seed determines the drawn schedules. Mutations depend on the order in which runs end, so that a search is not
    reproducible; each of its runs is.
    """

    def __init__(self, scenario: Scenario, floor: Level, seed: int) -> None:
        self.scenario, self.floor = scenario, floor
        self._rng = random.Random(f"search/{seed}")
        self._corpus = Corpus(Grammar(scenario, floor), self._rng)
        self._rules: set[tuple[str, ...]] = set()
        self.report = Report()

    def _next_run(self) -> tuple[Scenario, int]:
        return msgspec.structs.replace(self.scenario, fault=self._corpus.next()), self._rng.randrange(1 << 31)

    def run(
        self,
        run_count: int,
        duration_s: float,
        workers: int,
        on_progress: Callable[[Report], None] = lambda report: None,
        max_shrink_runs: int = 200,
    ) -> Report:
        """Runs the search and shrinks failures of new kinds.

        Args:
            run_count: Maximum number of runs.
            duration_s: Time after which no run starts.
            workers: Number of worker processes.
            on_progress: Called after each batch of runs.
            max_shrink_runs: Maximum number of runs for shrinking one failure.
        """
        started_at, report = time.monotonic(), self.report
        with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
            pending: dict[Any, tuple[Scenario, int]] = {}
            remaining = run_count
            while remaining or pending:
                while remaining and len(pending) < workers and time.monotonic() - started_at < duration_s:
                    scenario, seed = self._next_run()
                    pending[pool.submit(_play, msgspec.msgpack.encode(scenario), seed, self.floor)] = scenario, seed
                    remaining -= 1
                if not pending:
                    break
                done, _ = wait(pending, return_when=FIRST_COMPLETED)
                for future in done:
                    scenario, seed = pending.pop(future)
                    self._run_ended(
                        scenario, seed, msgspec.msgpack.decode(future.result(), type=Result), max_shrink_runs
                    )
                report.wall_s = time.monotonic() - started_at
                on_progress(report)
        return report

    def _run_ended(self, scenario: Scenario, seed: int, result: Result, max_shrink_runs: int) -> None:
        report = self.report
        report.tried += 1
        self._corpus.record_run(scenario.fault, result.features)
        report.features = self._corpus.seen_states
        if result.good():
            return
        if result.ended == "failed":
            report.harness_failures += 1
        report.failures += 1
        rules = tuple(result.rules())
        if rules in self._rules:
            return
        self._rules.add(rules)
        report.found.append(shrink_failure(scenario, seed, self.floor, result, max_shrink_runs))


def shrink_failure(scenario: Scenario, seed: int, floor: Level, result: Result, max_runs: int = 200) -> ShrunkFailure:
    """Shrinks a schedule to the shortest one that breaks one of the same invariants.

    Args:
        scenario: The scenario with the failing schedule.
        seed: Seed of the failing run.
        floor: Simulator of the failing run.
        result: Result of the failing run.
        max_runs: Maximum number of runs.
    """
    rules = set(result.rules())

    def fails(faults: tuple[Fault, ...]) -> bool:
        shrunk_result = play(msgspec.structs.replace(scenario, fault=faults), seed, floor)
        return bool(rules & set(shrunk_result.rules()))

    faults, run_count = shrink(scenario.fault, fails, max_runs)
    shortest = msgspec.structs.replace(scenario, fault=faults)
    replayed = play(shortest, seed, floor)
    minimal_seed = Seed(scenario=shortest, seed=seed, floor=floor, broke=tuple(replayed.rules()))
    return ShrunkFailure(minimal_seed, replayed, len(scenario.fault), len(faults), run_count)


class StepCounter:
    """Counts the I/O steps of a run and fails at most one of them.

    Attributes:
        counts: Number of steps by kind.
        failed: Whether the step was reached and failed.
    """

    def __init__(self, kind: str = "", number: int = -1, mode: str = "") -> None:
        self.counts: Counter[str] = Counter()
        self._kind, self._number, self._mode = kind, number, mode
        self.failed = False

    def at(self, kind: str, process: Any) -> str:
        """Counts a step and returns how it fails, empty if it does not."""
        number = self.counts[kind]
        self.counts[kind] += 1
        if kind == self._kind and number == self._number:
            self.failed = True
            return self._mode
        return ""


def select_steps(counts: Counter[str], max_per_kind: int) -> Iterator[tuple[str, int, str]]:
    """Yields steps with each way in which they fail.

    Args:
        counts: Number of steps by kind.
        max_per_kind: Maximum number of steps of a kind; if there are more, evenly spaced ones are chosen.
    """
    for kind, modes in FAILURE_MODES.items():
        count = counts[kind]
        chosen = (
            range(count) if count <= max_per_kind else sorted({n * count // max_per_kind for n in range(max_per_kind)})
        )
        for number in chosen:
            for mode in modes:
                yield kind, number, mode


@dataclass
class SystematicReport:
    """Progress of the systematic mode.

    Attributes:
        steps: Number of I/O steps of the run.
        tried: Number of runs.
        failed: Number of runs in which the step was reached and failed.
        broken: Failed steps that broke an invariant, with their results.
    """

    steps: int = 0
    tried: int = 0
    failed: int = 0
    broken: list[tuple[tuple[str, int, str], Result]] = field(default_factory=list)


def _fail_one(raw: bytes, seed: int, step: tuple[str, int, str]) -> tuple[bool, bytes]:
    scenario = msgspec.msgpack.decode(raw, type=Scenario)
    io = StepCounter(*step)
    result = play(scenario, seed, "shells", io=io)
    return io.failed, msgspec.msgpack.encode(result)


def systematic(
    scenario: Scenario,
    seed: int,
    workers: int,
    each: int = 1 << 30,
    duration_s: float = float("inf"),
    on_progress: Callable[[SystematicReport], None] = lambda report: None,
) -> SystematicReport:
    """Runs the scenario at the shell level once for each step and way in which it fails.

    Args:
        scenario: The scenario to simulate.
        seed: Seed of all random numbers.
        workers: Number of worker processes.
        each: Maximum number of steps of each kind.
        duration_s: Time after which no run starts.
        on_progress: Called after each batch of runs.
    """
    counter = StepCounter()
    play(scenario, seed, "shells", io=counter)
    report = SystematicReport(steps=counter.counts.total())
    raw, started_at = msgspec.msgpack.encode(scenario), time.monotonic()
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        remaining = select_steps(counter.counts, each)
        pending: dict[Any, tuple[str, int, str]] = {}
        while True:
            while len(pending) < 2 * workers and time.monotonic() - started_at < duration_s:
                step = next(remaining, None)
                if step is None:
                    break
                pending[pool.submit(_fail_one, raw, seed, step)] = step
            if not pending:
                return report
            done, _ = wait(pending, return_when=FIRST_COMPLETED)
            for future in done:
                step = pending.pop(future)
                has_failed, raw_result = future.result()
                result = msgspec.msgpack.decode(raw_result, type=Result)
                report.tried += 1
                report.failed += has_failed
                if not result.good():
                    report.broken.append((step, result))
            on_progress(report)
