"""The measurements of a run, merged without loss: counts and histograms by outcome, plan, account group and target.

No I/O. Values are grouped in the buckets of an HDR histogram (three significant digits), so the intervals of any number
of workers, merged in any order, give exactly the same histogram (Tene, HdrHistogram).
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

MINIMUM_US, MAXIMUM_US, SIGNIFICANT_DIGITS = 1, 3_600_000_000, 3  # the maximum is one hour
EXACT_BITS = 11  # values below 2^11 µs are exact at three significant digits
MAXIMUM_SPANS = 4096  # late seconds that are stored one by one; beyond that, adjacent ones are merged
MAXIMUM_BLOCKS = 512  # blocks of time that are stored; beyond that, every two adjacent blocks are merged
POINTS = ("p50", "p90", "p99", "p99.9", "max")

Key = tuple[str, str, str, int]  # outcome, plan, group, target


def bucket_floor(value: int) -> int:
    """Return the lowest value of the histogram bucket that contains this one."""
    shift = value.bit_length() - EXACT_BITS
    return value if shift <= 0 else value >> shift << shift


class Histogram:
    """A sparse histogram with the buckets of an HDR histogram.

    Attributes:
        counts: Number of values by the lowest value of their bucket, in µs.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()

    def add(self, values: Iterable[int]) -> None:
        """Add values in µs."""
        counts = self.counts
        for value in values:
            counts[bucket_floor(value)] += 1

    def merge(self, other: Histogram) -> None:
        """Add the values of another histogram."""
        self.counts.update(other.counts)

    def total(self) -> int:
        """Return the number of values."""
        return self.counts.total()

    def hdr(self) -> HdrHistogram:
        """Return the values as an HDR histogram."""
        histogram = HdrHistogram(MINIMUM_US, MAXIMUM_US, SIGNIFICANT_DIGITS)
        for value, count in self.counts.items():
            histogram.record_value(min(max(value, MINIMUM_US), MAXIMUM_US), count)
        return histogram

    def encoded(self) -> str:
        """Return the values in the text encoding of HDR histograms."""
        return str(self.hdr().encode(), "ascii")

    def times(self, points: Iterable[str] = POINTS) -> dict[str, float]:
        """Return the percentiles and the mean in ms by name; empty if there are no values."""
        if not self.counts:
            return {}
        histogram = self.hdr()
        shares = {point: 100.0 if point == "max" else float(point[1:]) for point in points}
        # This reads all percentiles in one pass. The library's own mean takes a hundred times as long as this one.
        values = histogram.get_percentile_to_value_dict(list(shares.values()))
        times_ms = {point: values[share] / 1000.0 for point, share in shares.items()}
        times_ms["mean"] = sum(value * count for value, count in self.counts.items()) / self.counts.total() / 1000.0
        return times_ms


def decode_histogram(text: str) -> Histogram:
    """Decode the text encoding of an HDR histogram.

    Raises:
        ValueError: The text is not an encoded histogram.
    """
    decoded = Histogram()
    try:
        histogram = HdrHistogram.decode(text)
    except Exception as error:  # the library passes on any exception of its codec
        raise ValueError(f"not an encoded histogram: {error}") from None
    # The library's iterators visit every bucket in Python, and most buckets are empty.
    for index, count in enumerate(histogram.counts[: histogram.counts_len]):
        if count:
            decoded.counts[bucket_floor(histogram.get_value_from_index(index))] += count
    return decoded


class LatencyPair:
    """Latency from the intended start, and service time from the actual start of the last attempt."""

    __slots__ = ("latency", "service")

    def __init__(self) -> None:
        self.latency, self.service = Histogram(), Histogram()

    def merge(self, other: LatencyPair) -> None:
        """Add the values of another pair."""
        self.latency.merge(other.latency)
        self.service.merge(other.service)


class Second(msgspec.Struct):
    """One second of all workers, for the live view and the charts.

    Attributes:
        at: Number of the second in the run.
        counts: Events by name.
        outcomes: Requests that ended, by outcome.
        times: Latency percentiles in ms.
        late: Percentiles of the lateness of sends in ms.
        open: Requests in flight at the end of the second.
        cpu: Share of a core that each worker used, by its number.
    """

    at: int
    counts: dict[str, int]
    outcomes: dict[str, int]
    times: dict[str, float]
    late: dict[str, float]
    open: int
    cpu: dict[int, float]


class Block(msgspec.Struct):
    """A block of time of the run.

    Attributes:
        start: Start of the block in s of the run.
        end: End of the block in s of the run.
        outcomes: Requests that ended, by outcome.
        latency: Their latency as an encoded histogram.
    """

    start: float
    end: float
    outcomes: dict[str, int]
    latency: str


class Totals:
    """Merges the workers' intervals, in any order.

    The ledger must balance: offered = sent + unsent + open, and sent = answered + unanswered + the open ones that were
    sent. `check` returns the equations that do not hold.

    Attributes:
        limits: Limits for the generator's lateness.
        workers: Number of workers.
        counts: Events by name.
        pairs: Latencies by outcome, plan, group and target.
        late: Lateness of all sends.
        spans: Times in which a worker was behind its schedule.
        faults: Faulty trace lines by reason.
        error_messages: Error messages to report, by reason.
        changes: Targets that became available or unavailable, as (s of the run, target, available), seen by worker 0.
        open: Requests in flight, by worker.
        open_sent: The number of those that were sent, by worker.
        rss: First, last and maximum resident memory in KiB, by worker.
        last_interval: Number of the last interval, by worker; -1 before the first.
        cpu_ms: CPU time by worker.
        offered: Offered requests by worker.
        finished_workers: Workers that have sent their last interval.
        seconds: Seconds that `take_second` has returned.
    """

    def __init__(self, limits: LatenessLimits, workers: int) -> None:
        self.limits, self.workers = limits, workers
        self.counts: Counter[str] = Counter()
        self.pairs: dict[Key, LatencyPair] = {}
        self.late = Histogram()
        self.spans: list[LateSpan] = []
        self.faults: Counter[str] = Counter()
        self.error_messages: dict[str, str] = {}
        self.changes: list[tuple[float, int, bool]] = []
        self.open, self.open_sent = [0] * workers, [0] * workers
        self.rss: list[tuple[int, int, int]] = [(0, 0, 0)] * workers
        self.last_interval = [-1] * workers
        self.cpu_ms = [0.0] * workers
        self.offered = [0] * workers
        self.finished_workers: set[int] = set()
        self._seconds: dict[int, list[Interval]] = {}
        self._blocks: list[tuple[float, float, Counter[str], Histogram]] = []
        self._block_s = 1.0
        self.seconds: list[Second] = []

    def add_interval(self, interval: Interval) -> None:
        """Merge an interval of a worker."""
        worker = interval.worker
        self.last_interval[worker] = interval.number
        self.counts.update(interval.counts)
        self.offered[worker] += interval.counts.get("offered", 0)
        late: array[int] = array("I")
        late.frombytes(interval.late)
        self.late.add(late)
        span = find_late_span(worker, interval.start, interval.end, late, interval.facts, self.limits)
        if span is not None:
            self.spans.append(span)
            if len(self.spans) > MAXIMUM_SPANS:
                self.spans = merge_spans(self.spans)
        histogram, outcomes = Histogram(), Counter[str]()
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
            histogram.add(latency)
        self._add_to_block(interval, outcomes, histogram)
        # In a replay, each worker reads the whole trace, so each reports all of its faulty lines.
        for reason, count in interval.faults.items():
            self.faults[reason] = max(self.faults[reason], count)
        self.error_messages |= interval.shown
        self.changes += interval.changes if worker == 0 else []
        self.open[worker], self.open_sent[worker] = interval.open, interval.open_sent
        first_kb, _, maximum_kb = self.rss[worker]
        self.rss[worker] = first_kb or interval.rss_kb, interval.rss_kb, max(maximum_kb, interval.rss_kb)
        self.cpu_ms[worker] += interval.facts.cpu_ms
        if interval.last:
            self.finished_workers.add(worker)
        self._seconds.setdefault(interval.number, []).append(interval)

    def _add_to_block(self, interval: Interval, outcomes: Counter[str], histogram: Histogram) -> None:
        number = int(interval.start / self._block_s)
        while len(self._blocks) <= number:
            start = len(self._blocks) * self._block_s
            self._blocks.append((start, start + self._block_s, Counter(), Histogram()))
        _, _, block_outcomes, block_histogram = self._blocks[number]
        block_outcomes.update(outcomes)
        block_histogram.merge(histogram)
        if len(self._blocks) > MAXIMUM_BLOCKS:
            self._merge_blocks()

    def _merge_blocks(self) -> None:
        """Merge every two adjacent blocks, so that a run of a day takes no more memory than one of an hour."""
        pairs = [self._blocks[n : n + 2] for n in range(0, len(self._blocks), 2)]
        self._block_s *= 2.0
        self._blocks = []
        for number, parts in enumerate(pairs):
            outcomes, histogram = Counter[str](), Histogram()
            for _, _, part_outcomes, part in parts:
                outcomes.update(part_outcomes)
                histogram.merge(part)
            self._blocks.append((number * self._block_s, (number + 1) * self._block_s, outcomes, histogram))

    def take_second(self, number: int) -> Second | None:
        """Merge the intervals of one second and forget them; None if there are none."""
        intervals = self._seconds.pop(number, None)
        if intervals is None:
            return None
        counts, outcomes, histogram, late = Counter[str](), Counter[str](), Histogram(), Histogram()
        for interval in intervals:
            counts.update(interval.counts)
            values: array[int] = array("I")
            values.frombytes(interval.late)
            late.add(values)
            for sample in interval.samples:
                latency: array[int] = array("I")
                latency.frombytes(sample.latency)
                outcomes[sample.outcome] += len(latency)
                histogram.add(latency)
        second = Second(
            number,
            dict(counts),
            dict(outcomes),
            histogram.times(("p50", "p99", "max")),
            late.times(("p99", "max")),
            sum(interval.open for interval in intervals),
            {i.worker: i.facts.cpu_ms / max(i.facts.wall_ms, 1.0) for i in intervals},
        )
        self.seconds.append(second)
        if len(self.seconds) > 4 * MAXIMUM_BLOCKS:
            del self.seconds[::2]
        return second

    def pending_seconds(self) -> list[int]:
        """Return the seconds that have intervals and were not taken yet, in order."""
        return sorted(self._seconds)

    def blocks(self) -> list[Block]:
        """Return the blocks in which requests ended."""
        return [
            Block(start, end, dict(outcomes), histogram.encoded())
            for start, end, outcomes, histogram in self._blocks
            if outcomes
        ]

    # Totals of the run

    def outcomes(self) -> dict[str, int]:
        """Return the number of requests that ended, by outcome."""
        counts: Counter[str] = Counter()
        for (outcome, *_), pair in self.pairs.items():
            counts[outcome] += pair.latency.total()
        return {name: counts[name] for name in OUTCOMES if counts[name]}

    def ledger(self, scheduled: int) -> dict[str, int]:
        """Return the ledger of the run.

        Its `missing` entry counts the scheduled requests without an outcome, such as those of a worker that died.
        """
        outcomes = self.outcomes()
        return {
            "scheduled": scheduled,
            "offered": self.counts["offered"],
            "sent": self.counts["sent"],
            "answered": sum(outcomes.get(name, 0) for name in ANSWERS),
            "unanswered": sum(outcomes.get(name, 0) for name in UNANSWERED),
            "unsent": sum(outcomes.get(name, 0) for name in UNSENT),
            "missing": scheduled - sum(outcomes.values()),
            "open": sum(self.open),
        }

    def check(self, ledger: Mapping[str, int]) -> list[str]:
        """Return the equations of the ledger that do not hold; any of them is a bug in the generator."""
        errors = []
        open_now, open_sent = ledger["open"], sum(self.open_sent)
        ended = ledger["answered"] + ledger["unanswered"] + ledger["unsent"]
        if ledger["offered"] != ended + open_now:
            errors.append(f"{ledger['offered']} offered, but {ended} ended and {open_now} open")
        if ledger["sent"] - open_sent != ledger["answered"] + ledger["unanswered"]:
            errors.append(
                f"{ledger['sent']} sent, but {ledger['answered']} answered, {ledger['unanswered']} unanswered "
                f"and {open_sent} open"
            )
        if self.late.total() != ledger["offered"]:
            errors.append(f"{ledger['offered']} offered, but {self.late.total()} values of lateness")
        return errors

    def merged_by(self, position: int | None = None) -> dict[str, LatencyPair]:
        """Merge the latencies by one part of their key.

        Args:
            position: 0 for the outcome, 1 plan, 2 group, 3 target; None merges all under `all`.
        """
        merged: dict[str, LatencyPair] = {}
        for key, pair in self.pairs.items():
            merged.setdefault("all" if position is None else str(key[position]), LatencyPair()).merge(pair)
        return merged
