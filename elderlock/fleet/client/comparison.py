"""What differs between limiters of a group, and which of them stand out, in words. Free of I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Sequence
from statistics import median

import msgspec

from elderlock.control.messages import LimiterState

FACTOR = 2.0  # times the group's median from which a latency stands out
LEAST_MS = 20.0  # and by so much at least
REFUSED_APART = 0.10  # of all answers
LEAST_ANSWERS = 50


class Difference(msgspec.Struct, frozen=True):
    about: str
    limiters: tuple[str, ...]
    text: str


def compare(states: Sequence[LimiterState]) -> list[Difference]:
    """Needs two at least; with fewer nothing can differ."""
    if len(states) < 2:
        return []
    found = [
        *_odd("version", states, lambda s: s.build, lambda s: f"version {s.build}"),
        *_parts(states),
        *_odd("boxes", states, lambda s: frozenset(b.uid for b in s.servers), lambda s: _boxes(s, states)),
        *_odd("drains", states, lambda s: s.records_digest, lambda s: f"drains {_drains(s)}"),
        *_odd("left out", states, _left_out, lambda s: f"leaves out {_listed(_left_out(s))}"),
    ]
    found += _latencies(states) + _refusals(states) + _box_latencies(states)
    return found


def _odd(
    about: str,
    states: Sequence[LimiterState],
    key: Callable[[LimiterState], Hashable],
    text: Callable[[LimiterState], str],
) -> list[Difference]:
    """Those that are not as most are; where no value leads, all of them are named."""
    counts = Counter(key(state) for state in states)
    if len(counts) < 2:
        return []
    (common, most), second = counts.most_common(1)[0], counts.most_common(2)[1][1]
    odd = [state for state in states if most == second or key(state) != common]
    return [Difference(about, (s.limiter,), f"{s.limiter}: {text(s)}") for s in odd]


def _parts(states: Sequence[LimiterState]) -> list[Difference]:
    names = sorted({name for state in states for name in state.config_parts})
    found = []
    for name in names:
        found += _odd(
            f"configuration: {name}",
            states,
            lambda s, name=name: s.config_parts.get(name),  # type: ignore[misc]
            lambda s, name=name: f"'{name}' of the configuration differs ({s.config_parts.get(name)})",  # type: ignore[misc]
        )
    return found


def _boxes(state: LimiterState, states: Sequence[LimiterState]) -> str:
    own = {box.uid for box in state.servers}
    others = {box.uid for other in states if other is not state for box in other.servers}
    parts = []
    if others - own:
        parts.append(f"does not know {', '.join(sorted(others - own))}")
    if own - others:
        parts.append(f"alone knows {', '.join(sorted(own - others))}")
    return " and ".join(parts) or "knows other boxes than most"


def _drains(state: LimiterState) -> str:
    drained = sorted(f"{r.target} (generation {r.generation})" for r in state.records if r.is_drained)
    return ", ".join(drained) or "nothing"


def _listed(uids: frozenset[str]) -> str:
    return ", ".join(sorted(uids)) or "none"


def _left_out(state: LimiterState) -> frozenset[str]:
    return frozenset(box.uid for box in state.servers if box.unavailable_reason)


def _latencies(states: Sequence[LimiterState]) -> list[Difference]:
    known = [s for s in states if s.answer_p50_ms >= 0]
    if len(known) < 2:
        return []
    found = []
    for state in known:
        usual = median(s.answer_p50_ms for s in known if s is not state)
        if state.answer_p50_ms > max(FACTOR * usual, usual + LEAST_MS):
            text = f"{state.limiter}: answers take {state.answer_p50_ms:.0f} ms, {usual:.0f} ms elsewhere"
            found.append(Difference("time to answer", (state.limiter,), text))
    return found


def _refusals(states: Sequence[LimiterState]) -> list[Difference]:
    known = [s for s in states if s.counts.total() >= LEAST_ANSWERS]
    shares = {s.limiter: s.counts.refused / s.counts.total() for s in known}
    found = []
    for name, share in shares.items():
        others = [other for one, other in shares.items() if one != name]
        if others and share > median(others) + REFUSED_APART:
            text = f"{name}: refuses {100 * share:.0f} % of all, {100 * median(others):.0f} % elsewhere"
            found.append(Difference("refusals", (name,), text))
    return found


def _box_latencies(states: Sequence[LimiterState]) -> list[Difference]:
    """A box that one limiter alone finds slow: the way there, rather than the box."""
    seen: dict[str, list[tuple[str, float]]] = {}
    for state in states:
        for box in state.servers:
            if box.latency_ms >= 0:
                seen.setdefault(box.uid, []).append((state.limiter, box.latency_ms))
    found = []
    for uid, pairs in sorted(seen.items()):
        for limiter, latency in pairs:
            others = [other for name, other in pairs if name != limiter]
            if len(others) >= 2 and latency > max(FACTOR * median(others), median(others) + LEAST_MS):
                text = f"{limiter}: finds {uid} at {latency:.0f} ms, {median(others):.0f} ms from elsewhere"
                found.append(Difference("a box's latency", (limiter,), text))
    return found
