"""How a rate goes over time, and arrivals that follow it exactly. No I/O; times are s, rates are a second.

Every shape is made of pieces on which the rate is linear, so the expected number of arrivals up to a time has
a closed form that can be turned round: arrivals of the unit-rate process are mapped through it (time
rescaling, Çinlar, *Introduction to Stochastic Processes*, 1975). Nothing is thinned, nothing drifts.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from itertools import pairwise
from typing import NamedTuple

WAVE_PIECES = 48  # linear pieces of a period: within 0.3 per cent of the sine's swing


class Piece(NamedTuple):
    """The rate goes in a line from `before` to `after` between `start` and `end`."""

    start: float
    end: float
    before: float
    after: float

    @property
    def expected(self) -> float:
        return (self.before + self.after) / 2.0 * (self.end - self.start)

    def time_of(self, count: float) -> float:
        """When `count` arrivals are expected since its start; 0 <= count <= expected."""
        length = self.end - self.start
        slope = (self.after - self.before) / length
        if abs(slope) * length < 1e-9 * max(self.before, self.after):
            return self.start + min(count / self.before, length)
        # slope/2 t^2 + before t - count = 0, in the form that keeps its digits for either sign of the slope
        root = math.sqrt(max(self.before * self.before + 2.0 * slope * count, 0.0))
        return self.start + min(2.0 * count / (self.before + root), length) if count > 0.0 else self.start


def steady(start: float, end: float, rate: float) -> list[Piece]:
    return [Piece(start, end, rate, rate)]


def ramp(start: float, end: float, before: float, after: float) -> list[Piece]:
    return [Piece(start, end, before, after)]


def steps(start: float, end: float, rates: Sequence[float]) -> list[Piece]:
    """One level after another, of equal length."""
    length = (end - start) / len(rates)
    return [Piece(start + n * length, start + (n + 1) * length, rate, rate) for n, rate in enumerate(rates)]


def wave(start: float, end: float, rate: float, swing: float, period: float) -> list[Piece]:
    """A sine about `rate`, up and down by `swing` of it."""
    length, pieces = period / WAVE_PIECES, []

    def at(time: float) -> float:
        return rate * (1.0 + swing * math.sin(2.0 * math.pi * (time - start) / period))

    count = math.ceil((end - start) / length - 1e-9)
    for n in range(count):
        begins, ends = start + n * length, min(start + (n + 1) * length, end)
        pieces.append(Piece(begins, ends, at(begins), at(ends)))
    return pieces


def bursts(start: float, end: float, rate: float, peak: float, every: float, lasts: float) -> list[Piece]:
    """`peak` for `lasts` s at the end of every `every` s, `rate` in between."""
    pieces, begins = [], start
    while begins < end - 1e-9:
        rises, ends = min(begins + every - lasts, end), min(begins + every, end)
        pieces += [Piece(begins, rises, rate, rate)] if rises > begins else []
        pieces += [Piece(rises, ends, peak, peak)] if ends > rises else []
        begins += every
    return pieces


def spike(start: float, end: float, rate: float, peak: float, at: float, lasts: float) -> list[Piece]:
    """Up to `peak` in a line and down again, with its top at `start + at`."""
    top, half = start + at, lasts / 2.0
    marks = [(start, rate), (top - half, rate), (top, peak), (top + half, rate), (end, rate)]
    return [Piece(since, until, before, after) for (since, before), (until, after) in pairwise(marks) if until > since]


def unit_poisson(rng: random.Random) -> Iterator[float]:
    at = 0.0
    while True:
        at += rng.expovariate(1.0)
        yield at


def unit_even() -> Iterator[float]:
    at = 0.5
    while True:
        yield at
        at += 1.0


def arrivals(pieces: Sequence[Piece], unit: Iterator[float]) -> Iterator[float]:
    """The times of the arrivals, in order; `unit` are those of a process of rate one."""
    before = 0.0
    at = next(unit)
    for piece in pieces:
        expected = piece.expected
        while at < before + expected:
            yield piece.time_of(at - before)
            at = next(unit)
        before += expected


def rate_at(pieces: Sequence[Piece], time: float) -> float:
    for piece in pieces:
        if piece.start <= time < piece.end:
            return piece.before + (piece.after - piece.before) * (time - piece.start) / (piece.end - piece.start)
    return 0.0
