"""Searches for failures: schedules drawn and varied, guided by what was not seen before, over all cores; and the
systematic mode, which fails each step of input and output of a run once, in each way that it can.

What fails is cut down to the shortest schedule that still fails in the same way, and kept as a seed.
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

WAYS: dict[str, tuple[str, ...]] = {
    "connect": ("refused", "silent", "reset"),
    "write": ("reset", "half", "sent", "late"),
    "read": ("reset",),
    "datagram": ("lost", "doubled", "late"),
    "sqlite": ("full", "error", "locked"),
    "file": ("full", "error"),
    "spawn": ("fails",),
}


def play(scenario: Scenario, seed: int, floor: str, **more: Any) -> Result:
    """On `shells` or `decisions`."""
    if floor == "shells":
        from elderlock.sim import shells

        return shells.play(scenario, seed, **more)
    from elderlock.sim import decisions

    return decisions.play(scenario, seed, **more)


def _play(raw: bytes, seed: int, floor: str) -> bytes:
    """In a worker's process."""
    scenario = msgspec.msgpack.decode(raw, type=Scenario)
    return msgspec.msgpack.encode(play(scenario, seed, floor))


@dataclass
class ShrunkFailure:
    """A failure, cut down. `before` and `after`: faults of the schedule that failed first, and of the shortest."""

    seed: Seed
    result: Result
    faults_before: int
    faults_after: int
    run_count: int


@dataclass
class Report:
    tried: int = 0
    features: set[str] = field(default_factory=set)
    found: list[ShrunkFailure] = field(default_factory=list)
    failures: int = 0  # runs in which something was broken, the same way or not
    unjudged: int = 0  # runs that a model or a judge, not the code under test, ended
    wall_s: float = 0.0


class Search:
    """One search over a scenario. The schedules come from `seed`, also which run gets which; what is varied depends
    on the order in which runs end, so a search is not repeated, but each of its runs is."""

    def __init__(self, scenario: Scenario, floor: Level, seed: int) -> None:
        self.scenario, self.floor = scenario, floor
        self._rng = random.Random(f"search/{seed}")
        self._corpus = Corpus(Grammar(scenario, floor), self._rng)
        self._rules: set[tuple[str, ...]] = set()
        self.report = Report()

    def _next(self) -> tuple[Scenario, int]:
        return msgspec.structs.replace(self.scenario, fault=self._corpus.next()), self._rng.randrange(1 << 31)

    def run(
        self,
        tries: int,
        lasts: float,
        workers: int,
        told: Callable[[Report], None] = lambda report: None,
        shrink_most: int = 200,
    ) -> Report:
        """`tries` runs, or as many as begin within `lasts` s. Failures of a kind not seen before are cut down."""
        began, report = time.monotonic(), self.report
        with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
            out: dict[Any, tuple[Scenario, int]] = {}
            left = tries
            while left or out:
                while left and len(out) < workers and time.monotonic() - began < lasts:
                    scenario, seed = self._next()
                    out[pool.submit(_play, msgspec.msgpack.encode(scenario), seed, self.floor)] = scenario, seed
                    left -= 1
                if not out:
                    break
                done, _ = wait(out, return_when=FIRST_COMPLETED)
                for future in done:
                    scenario, seed = out.pop(future)
                    self._ended(scenario, seed, msgspec.msgpack.decode(future.result(), type=Result), shrink_most)
                report.wall_s = time.monotonic() - began
                told(report)
        return report

    def _ended(self, scenario: Scenario, seed: int, result: Result, shrink_most: int) -> None:
        report = self.report
        report.tried += 1
        self._corpus.showed(scenario.fault, result.features)
        report.features = self._corpus.seen
        if result.good():
            return
        if result.ended == "failed":
            report.unjudged += 1
        report.failures += 1
        rules = tuple(result.rules())
        if rules in self._rules:
            return
        self._rules.add(rules)
        report.found.append(shrink_failure(scenario, seed, self.floor, result, shrink_most))


def shrink_failure(scenario: Scenario, seed: int, floor: Level, result: Result, most: int = 200) -> ShrunkFailure:
    """The shortest schedule that still breaks one of the rules that this one broke."""
    rules = set(result.rules())

    def fails(faults: tuple[Fault, ...]) -> bool:
        tried = play(msgspec.structs.replace(scenario, fault=faults), seed, floor)
        return bool(rules & set(tried.rules()))

    faults, asked = shrink(scenario.fault, fails, most)
    short = msgspec.structs.replace(scenario, fault=faults)
    again = play(short, seed, floor)
    kept = Seed(scenario=short, seed=seed, floor=floor, broke=tuple(again.rules()))
    return ShrunkFailure(kept, again, len(scenario.fault), len(faults), asked)


class Counting:
    """Counts the steps of a run; fails the one of that kind and number, in that way."""

    def __init__(self, kind: str = "", number: int = -1, way: str = "") -> None:
        self.counts: Counter[str] = Counter()
        self._kind, self._number, self._way = kind, number, way
        self.failed = False

    def at(self, kind: str, process: Any) -> str:
        number = self.counts[kind]
        self.counts[kind] += 1
        if kind == self._kind and number == self._number:
            self.failed = True
            return self._way
        return ""


def steps(counts: Counter[str], each: int) -> Iterator[tuple[str, int, str]]:
    """Every step in each of its ways, or, where there are more than `each` of a kind, so many spread over them."""
    for kind, ways in WAYS.items():
        count = counts[kind]
        chosen = range(count) if count <= each else sorted({n * count // each for n in range(each)})
        for number in chosen:
            for way in ways:
                yield kind, number, way


@dataclass
class SystematicReport:
    steps: int = 0  # that a run has
    tried: int = 0
    failed: int = 0  # steps that were reached and failed
    broken: list[tuple[tuple[str, int, str], Result]] = field(default_factory=list)


def _fail_one(raw: bytes, seed: int, step: tuple[str, int, str]) -> tuple[bool, bytes]:
    scenario = msgspec.msgpack.decode(raw, type=Scenario)
    io = Counting(*step)
    result = play(scenario, seed, "shells", io=io)
    return io.failed, msgspec.msgpack.encode(result)


def systematic(
    scenario: Scenario,
    seed: int,
    workers: int,
    each: int = 1 << 30,
    lasts: float = float("inf"),
    told: Callable[[SystematicReport], None] = lambda so_far: None,
) -> SystematicReport:
    """Plays the scenario once for each step and way, on the shells' floor."""
    counting = Counting()
    play(scenario, seed, "shells", io=counting)
    so_far = SystematicReport(steps=counting.counts.total())
    raw, began = msgspec.msgpack.encode(scenario), time.monotonic()
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        left = steps(counting.counts, each)
        out: dict[Any, tuple[str, int, str]] = {}
        while True:
            while len(out) < 2 * workers and time.monotonic() - began < lasts:
                step = next(left, None)
                if step is None:
                    break
                out[pool.submit(_fail_one, raw, seed, step)] = step
            if not out:
                return so_far
            done, _ = wait(out, return_when=FIRST_COMPLETED)
            for future in done:
                step = out.pop(future)
                failed, answer = future.result()
                result = msgspec.msgpack.decode(answer, type=Result)
                so_far.tried += 1
                so_far.failed += failed
                if not result.good():
                    so_far.broken.append((step, result))
            told(so_far)
