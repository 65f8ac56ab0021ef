"""What a drain does to what is left, whether that is safe, and in which steps. Free of I/O.

Capacity is counted in the weights that discovery gives. A box counts as serving where it runs, no operator
drained it and no limiter leaves it out. Reported queues say how pressed the boxes are: what waits at the
boxes that go is shared by those that stay.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from elderlock.control.messages import LimiterState, ServerStatus

MINIMUM_CAPACITY_LEFT = 0.5  # of the weight of all boxes, drained ones included
MOST_QUEUE = 4.0  # requests waiting for each unit of weight that is left
MAXIMUM_STEP_SHARE = 0.25  # of the weight in service that one step takes at most
LEAST_LIMITERS = 1


class ServerSummary(msgspec.Struct, frozen=True):
    """A box as all limiters that answered believe it: `queue` is the freshest report, -1 where none came."""

    uid: str
    zone: str = msgspec.field(name="floor")
    kind: str
    weight: float
    serving: bool
    queue: int
    report_age_ms: float
    open_requests: int = msgspec.field(name="out")


def summarize_servers(states: Iterable[LimiterState]) -> dict[str, ServerSummary]:
    """One view of the boxes from many. One limiter that has heard of a drain outweighs those that have
    not yet: a box that any of them leaves out for a drain or the list is not counted on."""
    found: dict[str, list[ServerStatus]] = {}
    for state in states:
        for box in state.servers:
            found.setdefault(box.uid, []).append(box)
    return {uid: _sum(boxes) for uid, boxes in sorted(found.items())}


def _sum(boxes: Sequence[ServerStatus]) -> ServerSummary:
    reports = [(b.report_age_ms, b.queue) for b in boxes if b.queue >= 0]
    age, queue = min(reports, default=(-1.0, -1))
    first = boxes[0]
    return ServerSummary(
        first.uid,
        first.zone,
        first.kind,
        max(b.weight for b in boxes),
        all(b.state == "running" and not b.drained_by for b in boxes),
        queue,
        age,
        sum(b.open_requests for b in boxes),
    )


class Plan(msgspec.Struct, frozen=True):
    """`unsafe` gives each reason with its figures; empty where nothing speaks against it."""

    steps: tuple[tuple[str, ...], ...]
    unknown: tuple[str, ...]  # targets that no limiter knows
    capacity_before: float  # share of all weight that serves
    capacity_after: float
    queue_after: float  # waiting for each unit of weight left; -1 where nothing reports
    unsafe: tuple[str, ...]


def plan_server_drain(boxes: dict[str, ServerSummary], targets: Sequence[str]) -> Plan:
    """The drain of `targets` from the group as it is seen now."""
    unknown = tuple(uid for uid in targets if uid not in boxes)
    going = [boxes[uid] for uid in dict.fromkeys(targets) if uid in boxes and boxes[uid].serving]
    uids = {box.uid for box in going}
    staying = [box for box in boxes.values() if box.serving and box.uid not in uids]
    full = sum(box.weight for box in boxes.values())
    before = sum(box.weight for box in boxes.values() if box.serving)
    after = sum(box.weight for box in staying)
    reported = [box.queue for box in (*staying, *going) if box.queue >= 0]
    queue = sum(reported) / after if reported and after > 0 else -1.0
    unsafe = []
    for floor in sorted({box.zone for box in going}):
        left = sum(1 for box in staying if box.zone == floor)
        if not left:
            unsafe.append(f"it takes the last box of {floor}, which has {_count(going, floor)} in service")
    if going and full > 0 and after < MINIMUM_CAPACITY_LEFT * full:
        unsafe.append(
            f"{100 * after / full:.0f} % of all capacity would be left in service; "
            f"{100 * MINIMUM_CAPACITY_LEFT:.0f} % is the least (now {100 * before / full:.0f} %)"
        )
    if going and queue > MOST_QUEUE:
        unsafe.append(
            f"{sum(reported)} requests wait: {queue:.1f} for each unit of weight left, " f"{MOST_QUEUE:.0f} is the most"
        )
    return Plan(
        _steps(going, before),
        unknown,
        before / full if full else 0.0,
        after / full if full else 0.0,
        queue,
        tuple(unsafe),
    )


def _count(boxes: Sequence[ServerSummary], floor: str) -> int:
    return sum(1 for box in boxes if box.zone == floor)


def _steps(going: Sequence[ServerSummary], before: float) -> tuple[tuple[str, ...], ...]:
    """Each step takes `MAXIMUM_STEP_SHARE` of the weight in service at most, one box at least; the emptiest go
    first, and neighbours of one floor go in different steps where that can be."""
    most, steps = MAXIMUM_STEP_SHARE * before, []
    left = sorted(going, key=lambda box: (max(box.queue, 0) + box.open_requests, box.uid))
    while left:
        step, weight, floors = [left[0]], left[0].weight, {left[0].zone}
        for box in left[1:]:
            if weight + box.weight <= most and box.zone not in floors:
                step.append(box)
                weight += box.weight
                floors.add(box.zone)
        steps.append(tuple(box.uid for box in step))
        left = [box for box in left if box not in step]
    return tuple(steps)


def limiter_drain_risks(serving: Iterable[str], targets: Sequence[str]) -> tuple[str, ...]:
    """Why the drain or stop of these limiters is unsafe; empty where it is not."""
    before = set(serving)
    left = before - set(targets)
    if before & set(targets) and len(left) < LEAST_LIMITERS:
        return (f"it takes the last limiter in service: {len(before)} serve now, {len(left)} would be left",)
    return ()
