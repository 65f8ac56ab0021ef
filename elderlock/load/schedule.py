"""The schedule: all requests of a run with their intended start times, computed independently of the sending.

No I/O and no clock. A seed determines the schedule to the microsecond, whatever the number of workers: each worker goes
through the whole schedule and sends its own share. Each stream has its own random generators, so adding a stream does
not change the others.
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

DEFAULT_SPREAD = 3


class Arrival(NamedTuple):
    """A request of the schedule.

    Attributes:
        at: Intended start in µs from the start of the run.
        stream: Number of the stream.
        account: Account number in hex.
        plan: Plan of the account.
        group: Group of the account: calm, heavy or spiky; `trace` in a replay.
        class_name: Service class.
        units: Cost of the request.
        deadline: Deadline in ms from the intended start.
        spread: Number of limiters that serve the account.
        first: Number of the first of them.
        honours_retry_after: The client waits as long as a refusal advises before it retries.
        leaves_after_us: Time after the intended start at which the client disconnects; 0 for never.
        pause_ms: Pause between the two halves of the command; 0 if it is sent at once.
    """

    at: int
    stream: int
    account: str
    plan: str
    group: str
    class_name: str
    units: float
    deadline: float
    spread: int
    first: int
    honours_retry_after: bool
    leaves_after_us: int
    pause_ms: float = 0.0


def stream_rng(seed: int, name: str, part: str) -> random.Random:
    """Return the random generator for one purpose of one stream.

    It is seeded with a string, which gives the same numbers in every process.
    """
    return random.Random(f"{seed}/{name}/{part}")


class _StreamArrivals:
    """The arrivals of one stream."""

    def __init__(self, scenario: Scenario, number: int, limiters: int) -> None:
        self.number, self.stream = number, scenario.stream[number]
        self.clients = scenario.clients_of(number)
        self.seed, self.duration_s = scenario.seed, scenario.for_s
        self.spread = min(self.stream.spread or min(DEFAULT_SPREAD, limiters), limiters)
        accounts_rng = stream_rng(self.seed, self.stream.name, "accounts")
        self.population = Population(self.stream.accounts, accounts_rng, limiters)

    def __iter__(self) -> Iterator[Arrival]:
        stream: Stream = self.stream
        rng = stream_rng(self.seed, stream.name, "draws")
        unit = unit_even() if stream.arrivals == "even" else unit_poisson(stream_rng(self.seed, stream.name, "times"))
        population, clients = self.population, self.clients
        names, groups, firsts, draw = population.names, population.groups, population.firsts, population.draw
        plan, class_name, deadline = stream.plan, stream.class_name, stream.deadline_ms
        only_units, several_units = stream.units[0], stream.units if len(stream.units) > 1 else None
        for time in arrivals(rate_segments(stream, self.duration_s), unit):
            index = draw(rng, time)
            units = rng.choice(several_units) if several_units is not None else only_units
            honours_retry_after = clients.honour >= 1.0 or rng.random() < clients.honour
            leaves_after_us = 0
            if clients.impatient and rng.random() < clients.impatient:
                leaves_after_us = 1 + int(rng.random() * deadline * 1000.0)
            pause_ms = clients.slow_ms if clients.slow and rng.random() < clients.slow else 0.0
            yield Arrival(
                round(time * 1e6),
                self.number,
                names[index],
                plan,
                GROUPS[groups[index]],
                class_name,
                units,
                deadline,
                self.spread,
                firsts[index],
                honours_retry_after,
                leaves_after_us,
                pause_ms,
            )


def schedule(scenario: Scenario, limiters: int) -> Iterator[Arrival]:
    """Yield the arrivals of all streams in order of time; at the same µs, in the order of the streams."""
    sources = [_StreamArrivals(scenario, number, max(1, limiters)) for number in range(len(scenario.stream))]
    if len(sources) == 1:
        return iter(sources[0])
    return iter(heapq.merge(*sources, key=attrgetter("at")))


def worker_share(all_arrivals: Iterator[Arrival], worker: int, workers: int) -> Iterator[tuple[int, Arrival]]:
    """Yield one worker's arrivals with their numbers in the whole schedule; arrivals are assigned in turn."""
    for number, arrival in enumerate(all_arrivals):
        if number % workers == worker:
            yield number, arrival
