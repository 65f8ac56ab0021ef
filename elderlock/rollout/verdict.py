"""Whether released limiters do worse than those that are not, by a test that knows its noise. No I/O.

Two things are compared, each on a scale on which its own noise is known: the share of answers that were no success, as
arcsine of its square root (variance 1/4n whatever the share), and the logarithm of the time to answer (geometric mean
and variance from running sums). What limiters differ by anyhow is taken from those not yet released, in the same
moments, so that a rush that all meet is nobody's fault; with few of them a prior stands in (Student's t as a scale
mixture, as in Welch's and in empirical Bayes' shrinkage of variances). Where a limiter was seen before it was released,
its own change is compared instead of its level.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Literal, NamedTuple

Word = Literal["good", "bad", "unclear"]

TIMES_WORSE = 0.10  # that a time to answer may be longer, before it is held against a release
SHARE_WORSE = 0.02  # of all answers, that may fail or be refused above the others' share
PRIOR_SHARES, PRIOR_TIMES = 0.04, 0.035  # by which limiters of one version differ, on either scale, as a prior ...
PRIOR_WEIGHT = 4.0  # ... that counts as so many limiters
# answers of a window, to be weighed at all: one that refuses everything is known by a few
LEAST_ANSWERS, LEAST_SERVED = 10, 60
# standard errors: to stop at any look; to say so once the time is over; to say so, and to say that it is no worse
# than what has to be found, once no more time is given
SURE, CLEAR, LIKELY = 4.0, 3.0, 2.0
FOUND = 0.20  # by which a time to answer is longer, and has to be found
EXPECTED = 40.0  # answers that a limiter should have had by the others' middle, for none to be a failure


class Figures(NamedTuple):
    """Running counts of a limiter's life, or the difference of two: answers by kind, and of the served ones with the
    sums of the logarithms of their times in ms and of their squares."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    def since(self, before: Figures) -> Figures | None:
        """None where it is another process' count."""
        served, refused, failed = (a - b for a, b in zip(self[:3], before[:3], strict=True))
        if min(served, refused, failed) < 0:
            return None
        return Figures(served, refused, failed, self.log_sum - before.log_sum, self.log_squares - before.log_squares)

    def plus(self, other: Figures) -> Figures:
        return Figures(
            self.served + other.served,
            self.refused + other.refused,
            self.failed + other.failed,
            self.log_sum + other.log_sum,
            self.log_squares + other.log_squares,
        )

    def answers(self) -> int:
        return self.served + self.refused + self.failed


class Window(NamedTuple):
    """Of one limiter: while the released ones were on trial; `settled` of that, once they had learnt their boxes, for
    the time to answer; and before, where that is known."""

    name: str
    after: Figures
    settled: Figures
    before: Figures | None = None


class Verdict(NamedTuple):
    word: Word
    text: str


class Point(NamedTuple):
    value: float
    variance: float  # of its own noise


class Scale(NamedTuple):
    """`of` places figures on it; `when` picks those of a window; `prior` by which limiters of one version differ."""

    of: Callable[[Figures], Point | None]
    when: Callable[[Window], Figures]
    prior: float


def _bad_share(f: Figures) -> Point | None:
    count = f.answers()
    if count < LEAST_ANSWERS:
        return None
    return Point(math.asin(math.sqrt((f.refused + f.failed) / count)), 1.0 / (4.0 * count))


def _log_time(f: Figures) -> Point | None:
    if f.served < LEAST_SERVED:
        return None
    mean = f.log_sum / f.served
    return Point(mean, max(f.log_squares / f.served - mean * mean, 0.01) / f.served)


SHARES = Scale(_bad_share, lambda window: window.after, PRIOR_SHARES)
TIMES = Scale(_log_time, lambda window: window.settled, PRIOR_TIMES)


def _changes(windows: Sequence[Window], scale: Scale, paired: bool) -> list[Point]:
    found = []
    for window in windows:
        after = scale.of(scale.when(window))
        before = scale.of(window.before) if window.before is not None else None
        if after is None:
            continue
        if not paired:
            found.append(after)
        elif before is not None:
            found.append(Point(after.value - before.value, after.variance + before.variance))
    return found


def _paired(windows: Sequence[Window], scale: Scale) -> bool:
    return all(w.before is not None and scale.of(w.before) is not None for w in windows)


def _middle(values: Sequence[float]) -> float:
    ordered = sorted(values)
    half = len(ordered) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2.0


class Compared(NamedTuple):
    """`worse`: on the scale, how much the released ones are worse; `error` its standard error."""

    worse: float
    error: float

    @property
    def z(self) -> float:
        return self.worse / self.error


def compared(new: Sequence[Window], old: Sequence[Window], scale: Scale) -> Compared | None:
    """None where one side has too few answers to be weighed."""
    paired = _paired(new, scale) and _paired(old, scale)
    ours, theirs = _changes(new, scale, paired), _changes(old, scale, paired)
    if not ours or not theirs or len(ours) < len(new):
        return None
    mean = sum(p.value for p in theirs) / len(theirs)
    own = sum(p.variance for p in theirs) / len(theirs)
    spread = sum((p.value - mean) ** 2 for p in theirs) / (len(theirs) - 1) if len(theirs) > 1 else 0.0
    extra = max(spread - own, 0.0)  # by which they differ beyond their noise
    between = (PRIOR_WEIGHT * scale.prior**2 + (len(theirs) - 1) * extra) / (PRIOR_WEIGHT + len(theirs) - 1)
    # of the released ones the mean of all, as one bad build is bad everywhere
    value = sum(p.value for p in ours) / len(ours)
    noise = sum(p.variance for p in ours) / len(ours) ** 2 + sum(p.variance for p in theirs) / len(theirs) ** 2
    return Compared(value - mean, math.sqrt(noise + between / len(ours) + between / len(theirs)))


def judge(new: Sequence[Window], old: Sequence[Window], last: bool, final: bool = False) -> Verdict:
    """`last`: the time for it is over; `final`: no more is given, and what is likelier holds. Before, only what is
    sure is said to be bad. `new` and `old` hold the same moments."""
    old = [window for window in old if window.after.answers() > 0] or list(old)
    if old:
        middle = _middle([window.after.answers() for window in old])
        silent = [window.name for window in new if window.after.answers() == 0]
        if last and middle >= EXPECTED and silent:
            return Verdict("bad", f"{', '.join(silent)} answered nothing, the others {middle:.0f} each")
    share, times = compared(new, old, SHARES), compared(new, old, TIMES)
    bound = CLEAR if last else SURE
    if share is not None and share.z > bound:
        ours = _share([w.after for w in new])
        theirs = _share([w.after for w in old])
        if ours - theirs > SHARE_WORSE:
            return Verdict("bad", f"{ours:.0%} refused or failed, of the others {theirs:.0%} ({share.z:.1f} sigma)")
    if times is not None and times.z > bound and times.worse > math.log1p(TIMES_WORSE):
        return Verdict("bad", f"slower by {math.expm1(times.worse):.0%} than the others ({times.z:.1f} sigma)")
    if share is None:
        return Verdict("unclear", "too few answers to compare")
    if times is not None and times.worse + LIKELY * times.error > math.log1p(FOUND):
        # it may be as much slower as has to be found: more answers tell, and in the end what is likelier
        said = f"slower by {math.expm1(times.worse):.0%}, not surely ({times.z:.1f} sigma)"
        likely = times.worse > math.log1p(FOUND) / 2 and times.z > LIKELY
        return Verdict("bad" if final and likely else "unclear", said)
    said = "no worse than the others"
    if times is not None:
        said += f" (time to answer {math.expm1(times.worse):+.0%}, {times.z:+.1f} sigma)"
    return Verdict("good", said)


def _share(figures: Sequence[Figures]) -> float:
    count = sum(f.answers() for f in figures)
    return sum(f.refused + f.failed for f in figures) / count if count else 0.0
