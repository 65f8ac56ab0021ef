"""The schedule: every request of a run with its intended start, before anything is sent. No I/O, no clock.

One seed gives one schedule, to the microsecond, whatever the number of workers: each worker goes through the
whole of it and sends its own share. Streams draw from generators of their own, so that one more stream does
not move the others.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from operator import attrgetter
from typing import NamedTuple

from elderlock.load.accounts import GROUPS, Population
from elderlock.load.scenario import Scenario, Stream, rate_segments
from elderlock.load.shapes import arrivals, unit_even, unit_poisson

MOST_SPREAD = 3


class Arrival(NamedTuple):
    """`at` is in µs from the run's start. `leaves` is when its client goes away, in µs after that; 0 never.
    `pause` is how long (ms) its client takes between the halves of its command."""

    at: int
    stream: int
    account: str
    plan: str
    group: str
    class_name: str
    units: float
    deadline: float  # ms
    spread: int
    first: int
    honours_retry_after: bool
    leaves_after_us: int
    pause_ms: float = 0.0


def stream_rng(seed: int, name: str, part: str) -> random.Random:
    """A generator for one part of one stream; strings seed the same way in every process."""
    return random.Random(f"{seed}/{name}/{part}")


class _Source:
    def __init__(self, scenario: Scenario, number: int, limiters: int) -> None:
        self.number, self.stream = number, scenario.stream[number]
        self.clients = scenario.clients_of(number)
        self.seed, self.lasts = scenario.seed, scenario.for_s
        self.spread = min(self.stream.spread or min(MOST_SPREAD, limiters), limiters)
        names = stream_rng(self.seed, self.stream.name, "accounts")
        self.population = Population(self.stream.accounts, names, limiters)

    def __iter__(self) -> Iterator[Arrival]:
        stream: Stream = self.stream
        rng = stream_rng(self.seed, stream.name, "draws")
        unit = unit_even() if stream.arrivals == "even" else unit_poisson(stream_rng(self.seed, stream.name, "times"))
        population, clients = self.population, self.clients
        names, groups, firsts, draw = population.names, population.groups, population.firsts, population.draw
        plan, kind, deadline = stream.plan, stream.class_name, stream.deadline_ms
        one, several = stream.units[0], stream.units if len(stream.units) > 1 else None
        for time in arrivals(rate_segments(stream, self.lasts), unit):
            index = draw(rng, time)
            units = rng.choice(several) if several is not None else one
            honours = clients.honour >= 1.0 or rng.random() < clients.honour
            leaves = 0
            if clients.impatient and rng.random() < clients.impatient:
                leaves = 1 + int(rng.random() * deadline * 1000.0)
            pause = clients.slow_ms if clients.slow and rng.random() < clients.slow else 0.0
            yield Arrival(
                round(time * 1e6),
                self.number,
                names[index],
                plan,
                GROUPS[groups[index]],
                kind,
                units,
                deadline,
                self.spread,
                firsts[index],
                honours,
                leaves,
                pause,
            )


def schedule(scenario: Scenario, limiters: int) -> Iterator[Arrival]:
    """All arrivals of the streams, in order of time, the first stream first among those of one µs."""
    sources = [_Source(scenario, number, max(1, limiters)) for number in range(len(scenario.stream))]
    if len(sources) == 1:
        return iter(sources[0])
    return iter(heapq.merge(*sources, key=attrgetter("at")))


def worker_share(all_of_them: Iterator[Arrival], worker: int, workers: int) -> Iterator[tuple[int, Arrival]]:
    """Those of one worker, dealt out in turn, with their numbers in the whole schedule."""
    for number, arrival in enumerate(all_of_them):
        if number % workers == worker:
            yield number, arrival
