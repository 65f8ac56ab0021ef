"""All that was measured, merged exactly: counts that add up, and HDR histograms by outcome, plan, account group and
target. No I/O.

Values are kept by the histogram's own classes (three significant digits), so merging in any order, of any
number of workers, gives the same histogram to the last count (Tene, HdrHistogram).
"""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec
from hdrh.histogram import HdrHistogram

from elderlock.load.client_policy import ANSWERS, OUTCOMES, UNANSWERED, UNSENT
from elderlock.load.lateness import LateSpan, find_late_span, merge_spans
from elderlock.load.messages import Interval
from elderlock.load.scenario import LatenessLimits

LEAST, MOST, DIGITS = 1, 3_600_000_000, 3  # µs: an hour
EXACT_BITS = 11  # values below 2^11 µs are exact at three digits
MOST_SPANS = 4096  # seconds behind that are kept apart; then neighbours become one
MOST_BLOCKS = 512  # parts of a run that are kept apart; then two become one
POINTS = ("p50", "p90", "p99", "p99.9", "max")

Key = tuple[str, str, str, int]  # outcome, plan, group, target


def bucket_floor(value: int) -> int:
    """The lowest value of the histogram's class that this one falls in."""
    shift = value.bit_length() - EXACT_BITS
    return value if shift <= 0 else value >> shift << shift


class Histogram:
    """A sparse histogram in the classes of an HDR histogram."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()

    def add(self, values: Iterable[int]) -> None:
        counts = self.counts
        for value in values:
            counts[bucket_floor(value)] += 1

    def merge(self, other: Histogram) -> None:
        self.counts.update(other.counts)

    def total(self) -> int:
        return self.counts.total()

    def hdr(self) -> HdrHistogram:
        histogram = HdrHistogram(LEAST, MOST, DIGITS)
        for value, count in self.counts.items():
            histogram.record_value(min(max(value, LEAST), MOST), count)
        return histogram

    def encoded(self) -> str:
        return str(self.hdr().encode(), "ascii")

    def times(self, points: Iterable[str] = POINTS) -> dict[str, float]:
        """ms by the names of the percentiles; empty where nothing was measured."""
        if not self.counts:
            return {}
        histogram = self.hdr()
        shares = {point: 100.0 if point == "max" else float(point[1:]) for point in points}
        # one pass for all; the library's mean takes a hundred times as long as this one
        values = histogram.get_percentile_to_value_dict(list(shares.values()))
        found = {point: values[share] / 1000.0 for point, share in shares.items()}
        found["mean"] = sum(value * count for value, count in self.counts.items()) / self.counts.total() / 1000.0
        return found


def decode_histogram(text: str) -> Histogram:
    """Raises `ValueError` for what is no histogram."""
    spread = Histogram()
    try:
        histogram = HdrHistogram.decode(text)
    except Exception as error:  # the library lets whatever its codec met through
        raise ValueError(f"not a histogram: {error}") from None
    # the library's iterators go through every class in Python; most hold nothing
    for index, count in enumerate(histogram.counts[: histogram.counts_len]):
        if count:
            spread.counts[bucket_floor(histogram.get_value_from_index(index))] += count
    return spread


class LatencyPair:
    """Latency from the intended start, and service time from the real one."""

    __slots__ = ("latency", "service")

    def __init__(self) -> None:
        self.latency, self.service = Histogram(), Histogram()

    def merge(self, other: LatencyPair) -> None:
        self.latency.merge(other.latency)
        self.service.merge(other.service)


class Second(msgspec.Struct):
    """One second over all workers, for the live view and the curves."""

    at: int
    counts: dict[str, int]
    outcomes: dict[str, int]
    times: dict[str, float]
    late: dict[str, float]
    open: int
    cpu: dict[int, float]


class Block(msgspec.Struct):
    """A part of the run from `start` to `end` (s), its latency as an encoded histogram."""

    start: float
    end: float
    outcomes: dict[str, int]
    latency: str


class Totals:
    """Takes the workers' intervals in any order. The ledger: offered = sent + unsent + open, and
    sent = answered + unanswered + open of what was sent; `check` says where that does not hold."""

    def __init__(self, truth: LatenessLimits, workers: int) -> None:
        self.truth, self.workers = truth, workers
        self.counts: Counter[str] = Counter()
        self.pairs: dict[Key, LatencyPair] = {}
        self.late = Histogram()
        self.spans: list[LateSpan] = []
        self.faults: Counter[str] = Counter()
        self.shown: dict[str, str] = {}
        self.changes: list[tuple[float, int, bool]] = []
        self.open, self.open_sent = [0] * workers, [0] * workers
        self.rss: list[tuple[int, int, int]] = [(0, 0, 0)] * workers  # KiB: the first, the last, the most
        self.seen = [-1] * workers  # the last interval of each
        self.cpu_ms = [0.0] * workers
        self.offered = [0] * workers
        self.last: set[int] = set()
        self._seconds: dict[int, list[Interval]] = {}
        self._blocks: list[tuple[float, float, Counter[str], Histogram]] = []
        self._block_s = 1.0
        self.seconds: list[Second] = []

    def take(self, interval: Interval) -> None:
        worker = interval.worker
        self.seen[worker] = interval.number
        self.counts.update(interval.counts)
        self.offered[worker] += interval.counts.get("offered", 0)
        late: array[int] = array("I")
        late.frombytes(interval.late)
        self.late.add(late)
        span = find_late_span(worker, interval.start, interval.end, late, interval.facts, self.truth)
        if span is not None:
            self.spans.append(span)
            if len(self.spans) > MOST_SPANS:
                self.spans = merge_spans(self.spans)
        spread, outcomes = Histogram(), Counter[str]()
        for sample in interval.samples:
            key = (sample.outcome, sample.plan, sample.group, sample.target)
            pair = self.pairs.setdefault(key, LatencyPair())
            latency: array[int] = array("I")
            latency.frombytes(sample.latency)
            service: array[int] = array("I")
            service.frombytes(sample.service)
            pair.latency.add(latency)
            pair.service.add(service)
            outcomes[sample.outcome] += len(latency)
            spread.add(latency)
        self._block(interval, outcomes, spread)
        # of a replay each worker reads the whole trace, so each has met all the faults
        for reason, count in interval.faults.items():
            self.faults[reason] = max(self.faults[reason], count)
        self.shown |= interval.shown
        self.changes += interval.changes if worker == 0 else []
        self.open[worker], self.open_sent[worker] = interval.open, interval.open_sent
        first, _, most = self.rss[worker]
        self.rss[worker] = first or interval.rss_kb, interval.rss_kb, max(most, interval.rss_kb)
        self.cpu_ms[worker] += interval.facts.cpu_ms
        if interval.last:
            self.last.add(worker)
        self._seconds.setdefault(interval.number, []).append(interval)

    def _block(self, interval: Interval, outcomes: Counter[str], spread: Histogram) -> None:
        number = int(interval.start / self._block_s)
        while len(self._blocks) <= number:
            start = len(self._blocks) * self._block_s
            self._blocks.append((start, start + self._block_s, Counter(), Histogram()))
        _, _, counts, into = self._blocks[number]
        counts.update(outcomes)
        into.merge(spread)
        if len(self._blocks) > MOST_BLOCKS:
            self._halve()

    def _halve(self) -> None:
        """Two neighbours become one, so that a day's run takes no more memory than an hour's."""
        pairs = [self._blocks[n : n + 2] for n in range(0, len(self._blocks), 2)]
        self._block_s *= 2.0
        self._blocks = []
        for number, parts in enumerate(pairs):
            counts, spread = Counter[str](), Histogram()
            for _, _, part_counts, part in parts:
                counts.update(part_counts)
                spread.merge(part)
            self._blocks.append((number * self._block_s, (number + 1) * self._block_s, counts, spread))

    def second(self, number: int) -> Second | None:
        """That second over all workers, once; None where nothing came for it."""
        intervals = self._seconds.pop(number, None)
        if intervals is None:
            return None
        counts, outcomes, spread, late = Counter[str](), Counter[str](), Histogram(), Histogram()
        for interval in intervals:
            counts.update(interval.counts)
            values: array[int] = array("I")
            values.frombytes(interval.late)
            late.add(values)
            for sample in interval.samples:
                latency: array[int] = array("I")
                latency.frombytes(sample.latency)
                outcomes[sample.outcome] += len(latency)
                spread.add(latency)
        made = Second(
            number,
            dict(counts),
            dict(outcomes),
            spread.times(("p50", "p99", "max")),
            late.times(("p99", "max")),
            sum(interval.open for interval in intervals),
            {i.worker: i.facts.cpu_ms / max(i.facts.wall_ms, 1.0) for i in intervals},
        )
        self.seconds.append(made)
        if len(self.seconds) > 4 * MOST_BLOCKS:
            del self.seconds[::2]
        return made

    def pending(self) -> list[int]:
        return sorted(self._seconds)

    def blocks(self) -> list[Block]:
        return [Block(s, e, dict(counts), spread.encoded()) for s, e, counts, spread in self._blocks if counts]

    # What it comes to

    def outcomes(self) -> dict[str, int]:
        found: Counter[str] = Counter()
        for (outcome, *_), pair in self.pairs.items():
            found[outcome] += pair.latency.total()
        return {name: found[name] for name in OUTCOMES if found[name]}

    def ledger(self, scheduled: int) -> dict[str, int]:
        """`missing` is what was scheduled and nobody has accounted for: a worker that died took it along."""
        of = self.outcomes()
        return {
            "scheduled": scheduled,
            "offered": self.counts["offered"],
            "sent": self.counts["sent"],
            "answered": sum(of.get(name, 0) for name in ANSWERS),
            "unanswered": sum(of.get(name, 0) for name in UNANSWERED),
            "unsent": sum(of.get(name, 0) for name in UNSENT),
            "missing": scheduled - sum(of.values()),
            "open": sum(self.open),
        }

    def check(self, ledger: Mapping[str, int]) -> list[str]:
        """What does not add up, in words; nothing else may be found here than a fault of ours."""
        wrong = []
        open_now, open_sent = ledger["open"], sum(self.open_sent)
        ended = ledger["answered"] + ledger["unanswered"] + ledger["unsent"]
        if ledger["offered"] != ended + open_now:
            wrong.append(f"{ledger['offered']} offered, {ended} ended and {open_now} open")
        if ledger["sent"] - open_sent != ledger["answered"] + ledger["unanswered"]:
            wrong.append(f"{ledger['sent']} sent, {ledger['answered']} answered and {ledger['unanswered']} unanswered")
        if self.late.total() != ledger["offered"]:
            wrong.append(f"{ledger['offered']} offered and {self.late.total()} figures of lateness")
        return wrong

    def by(self, place: int | None = None) -> dict[str, LatencyPair]:
        """Merged by one part of the key: 0 outcome, 1 plan, 2 group, 3 target; None over all."""
        found: dict[str, LatencyPair] = {}
        for key, pair in self.pairs.items():
            found.setdefault("all" if place is None else str(key[place]), LatencyPair()).merge(pair)
        return found
