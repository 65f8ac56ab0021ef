"""Request rates over time, and arrival times that follow them exactly. No I/O; times are s, rates requests per second.

Each shape consists of segments on which the rate is linear. The expected number of arrivals up to a time therefore has
a closed form that can be inverted, and the arrivals of a unit-rate process are mapped through the inverse (time
rescaling, Çinlar, *Introduction to Stochastic Processes*, 1975). No arrivals are rejected, and no error accumulates.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from itertools import pairwise
from typing import NamedTuple

SEGMENTS_PER_PERIOD = 48  # keeps a wave within 0.3 per cent of the sine's amplitude


class RateSegment(NamedTuple):
    """A rate that changes linearly from `start_rate` at `start` to `end_rate` at `end`."""

    start: float
    end: float
    start_rate: float
    end_rate: float

    @property
    def expected(self) -> float:
        """The expected number of arrivals in the segment."""
        return (self.start_rate + self.end_rate) / 2.0 * (self.end - self.start)

    def time_of(self, count: float) -> float:
        """Return the time by which `count` arrivals are expected since the start; 0 <= count <= expected."""
        length = self.end - self.start
        slope = (self.end_rate - self.start_rate) / length
        if abs(slope) * length < 1e-9 * max(self.start_rate, self.end_rate):
            return self.start + min(count / self.start_rate, length)
        # Solves slope/2 t^2 + start_rate t - count = 0 in the form without cancellation for either sign of the slope.
        root = math.sqrt(max(self.start_rate * self.start_rate + 2.0 * slope * count, 0.0))
        return self.start + min(2.0 * count / (self.start_rate + root), length) if count > 0.0 else self.start


def steady(start: float, end: float, rate: float) -> list[RateSegment]:
    """Return a constant rate."""
    return [RateSegment(start, end, rate, rate)]


def ramp(start: float, end: float, start_rate: float, end_rate: float) -> list[RateSegment]:
    """Return a rate that changes linearly."""
    return [RateSegment(start, end, start_rate, end_rate)]


def steps(start: float, end: float, rates: Sequence[float]) -> list[RateSegment]:
    """Return constant rates one after another, each of equal duration."""
    length = (end - start) / len(rates)
    return [RateSegment(start + n * length, start + (n + 1) * length, rate, rate) for n, rate in enumerate(rates)]


def wave(start: float, end: float, rate: float, swing: float, period: float) -> list[RateSegment]:
    """Return a sine wave around `rate` with an amplitude of `swing` times the rate."""
    length, segments = period / SEGMENTS_PER_PERIOD, []

    def rate_of_sine(time: float) -> float:
        return rate * (1.0 + swing * math.sin(2.0 * math.pi * (time - start) / period))

    count = math.ceil((end - start) / length - 1e-9)
    for n in range(count):
        segment_start, segment_end = start + n * length, min(start + (n + 1) * length, end)
        segments.append(RateSegment(segment_start, segment_end, rate_of_sine(segment_start), rate_of_sine(segment_end)))
    return segments


def bursts(start: float, end: float, rate: float, peak: float, every: float, duration: float) -> list[RateSegment]:
    """Return `rate` with bursts of `peak` during the last `duration` s of every `every` s."""
    segments, period_start = [], start
    while period_start < end - 1e-9:
        burst_start = min(period_start + every - duration, end)
        period_end = min(period_start + every, end)
        segments += [RateSegment(period_start, burst_start, rate, rate)] if burst_start > period_start else []
        segments += [RateSegment(burst_start, period_end, peak, peak)] if period_end > burst_start else []
        period_start += every
    return segments


def spike(start: float, end: float, rate: float, peak: float, at: float, duration: float) -> list[RateSegment]:
    """Return a linear rise from `rate` to `peak` at `start + at` and a linear fall, of `duration` s together."""
    top, half = start + at, duration / 2.0
    corners = [(start, rate), (top - half, rate), (top, peak), (top + half, rate), (end, rate)]
    return [
        RateSegment(since, until, start_rate, end_rate)
        for (since, start_rate), (until, end_rate) in pairwise(corners)
        if until > since
    ]


def unit_poisson(rng: random.Random) -> Iterator[float]:
    """Yield the arrival times of a Poisson process of rate 1, without end."""
    at = 0.0
    while True:
        at += rng.expovariate(1.0)
        yield at


def unit_even() -> Iterator[float]:
    """Yield evenly spaced arrival times of rate 1, from 0.5 on and without end."""
    at = 0.5
    while True:
        yield at
        at += 1.0


def arrivals(segments: Sequence[RateSegment], unit: Iterator[float]) -> Iterator[float]:
    """Yield the arrival times in order.

    Args:
        segments: The rate over time.
        unit: Arrival times of a process of rate 1.
    """
    expected_before = 0.0
    at = next(unit)
    for segment in segments:
        expected = segment.expected
        while at < expected_before + expected:
            yield segment.time_of(at - expected_before)
            at = next(unit)
        expected_before += expected


def rate_at(segments: Sequence[RateSegment], time: float) -> float:
    """Return the rate at a time; 0 outside of the segments."""
    for segment in segments:
        if segment.start <= time < segment.end:
            rise = segment.end_rate - segment.start_rate
            return segment.start_rate + rise * (time - segment.start) / (segment.end - segment.start)
    return 0.0
