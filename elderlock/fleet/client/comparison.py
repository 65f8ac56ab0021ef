"""Finds what differs between the limiters of a group, for people. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Sequence
from statistics import median

import msgspec

from elderlock.control.messages import LimiterState

LATENCY_FACTOR = 2.0  # times the median of the others, from which a latency is reported
MINIMUM_LATENCY_DIFFERENCE_MS = 20.0  # above the median of the others, from which a latency is reported
REFUSAL_RATE_DIFFERENCE = 0.10  # of all answers, above the median of the others, from which refusals are reported
MINIMUM_ANSWERS = 50  # for a limiter's refusal rate to be compared
MINIMUM_OTHER_LIMITERS = 2  # for a server's latency to be compared


class Difference(msgspec.Struct, frozen=True):
    """A difference between limiters.

    Attributes:
        about: The compared property.
        limiters: The limiters that differ from the others.
        text: The difference, for people.
    """

    about: str
    limiters: tuple[str, ...]
    text: str


def compare(states: Sequence[LimiterState]) -> list[Difference]:
    """Return the differences between limiters; empty for fewer than two."""
    if len(states) < 2:
        return []
    differences = [
        *_find_odd("version", states, lambda state: state.build, lambda state: f"version {state.build}"),
        *_compare_config_parts(states),
        *_find_odd(
            "boxes",
            states,
            lambda state: frozenset(server.uid for server in state.servers),
            lambda state: _describe_servers(state, states),
        ),
        *_find_odd(
            "drains", states, lambda state: state.records_digest, lambda state: f"drains {_describe_drains(state)}"
        ),
        *_find_odd(
            "left out", states, _unavailable_uids, lambda state: f"leaves out {_join_uids(_unavailable_uids(state))}"
        ),
    ]
    differences += _compare_latencies(states)
    differences += _compare_refusals(states)
    differences += _compare_server_latencies(states)
    return differences


def _find_odd(
    about: str,
    states: Sequence[LimiterState],
    key: Callable[[LimiterState], Hashable],
    describe: Callable[[LimiterState], str],
) -> list[Difference]:
    """Return the limiters whose key is not the most frequent one; all limiters if no key is the most frequent."""
    counts = Counter(key(state) for state in states)
    if len(counts) < 2:
        return []
    (common, common_count), second_count = counts.most_common(1)[0], counts.most_common(2)[1][1]
    odd = [state for state in states if common_count == second_count or key(state) != common]
    return [Difference(about, (state.limiter,), f"{state.limiter}: {describe(state)}") for state in odd]


def _compare_config_parts(states: Sequence[LimiterState]) -> list[Difference]:
    names = sorted({name for state in states for name in state.config_parts})
    differences = []
    for name in names:
        differences += _find_odd(
            f"configuration: {name}",
            states,
            lambda state, name=name: state.config_parts.get(name),  # type: ignore[misc]
            lambda state, name=name: f"'{name}' of the configuration differs ({state.config_parts.get(name)})",  # type: ignore[misc]
        )
    return differences


def _describe_servers(state: LimiterState, states: Sequence[LimiterState]) -> str:
    known = {server.uid for server in state.servers}
    known_to_others = {server.uid for other in states if other is not state for server in other.servers}
    parts = []
    if known_to_others - known:
        parts.append(f"does not know {', '.join(sorted(known_to_others - known))}")
    if known - known_to_others:
        parts.append(f"alone knows {', '.join(sorted(known - known_to_others))}")
    return " and ".join(parts) or "knows other boxes than most"


def _describe_drains(state: LimiterState) -> str:
    drained = sorted(
        f"{record.target} (generation {record.generation})" for record in state.records if record.is_drained
    )
    return ", ".join(drained) or "nothing"


def _join_uids(uids: frozenset[str]) -> str:
    return ", ".join(sorted(uids)) or "none"


def _unavailable_uids(state: LimiterState) -> frozenset[str]:
    return frozenset(server.uid for server in state.servers if server.unavailable_reason)


def _compare_latencies(states: Sequence[LimiterState]) -> list[Difference]:
    measured = [state for state in states if state.answer_p50_ms >= 0]
    if len(measured) < 2:
        return []
    differences = []
    for state in measured:
        usual_ms = median(other.answer_p50_ms for other in measured if other is not state)
        if state.answer_p50_ms > max(LATENCY_FACTOR * usual_ms, usual_ms + MINIMUM_LATENCY_DIFFERENCE_MS):
            text = f"{state.limiter}: answers take {state.answer_p50_ms:.0f} ms, {usual_ms:.0f} ms elsewhere"
            differences.append(Difference("time to answer", (state.limiter,), text))
    return differences


def _compare_refusals(states: Sequence[LimiterState]) -> list[Difference]:
    measured = [state for state in states if state.counts.total() >= MINIMUM_ANSWERS]
    rates = {state.limiter: state.counts.refused / state.counts.total() for state in measured}
    differences = []
    for name, rate in rates.items():
        other_rates = [other_rate for other, other_rate in rates.items() if other != name]
        if other_rates and rate > median(other_rates) + REFUSAL_RATE_DIFFERENCE:
            text = f"{name}: refuses {100 * rate:.0f} % of all, {100 * median(other_rates):.0f} % elsewhere"
            differences.append(Difference("refusals", (name,), text))
    return differences


def _compare_server_latencies(states: Sequence[LimiterState]) -> list[Difference]:
    """Find servers that only one limiter measures as slow: the network path is at fault rather than the server."""
    latencies: dict[str, list[tuple[str, float]]] = {}
    for state in states:
        for server in state.servers:
            if server.latency_ms >= 0:
                latencies.setdefault(server.uid, []).append((state.limiter, server.latency_ms))
    differences = []
    for uid, pairs in sorted(latencies.items()):
        for limiter, latency_ms in pairs:
            others = [other_ms for other, other_ms in pairs if other != limiter]
            if len(others) < MINIMUM_OTHER_LIMITERS:
                continue
            usual_ms = median(others)
            if latency_ms > max(LATENCY_FACTOR * usual_ms, usual_ms + MINIMUM_LATENCY_DIFFERENCE_MS):
                text = f"{limiter}: finds {uid} at {latency_ms:.0f} ms, {usual_ms:.0f} ms from elsewhere"
                differences.append(Difference("a box's latency", (limiter,), text))
    return differences
