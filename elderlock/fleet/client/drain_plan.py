"""Plans a drain: its effect on what remains in service, whether it is safe, and its steps. No I/O.

Capacity is the sum of the weights that discovery reports. A server counts as in service if it runs and no operator has
drained it. Reported queues show how loaded the servers are: the requests that wait at the drained servers are
distributed over the remaining ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from elderlock.control.messages import LimiterState, ServerStatus

MINIMUM_CAPACITY_LEFT = 0.5  # of the weight of all servers, drained ones included
MAXIMUM_QUEUE = 4.0  # waiting requests for each unit of weight that remains in service
MAXIMUM_STEP_SHARE = 0.25  # of the weight in service, for one step
MINIMUM_LIMITERS = 1  # in service


class ServerSummary(msgspec.Struct, frozen=True):
    """A server as all limiters that answered report it.

    Attributes:
        uid: The uid of the server.
        zone: Its zone.
        kind: Its kind.
        weight: Its weight, by discovery.
        serving: Whether it is in service.
        queue: The length of its queue in its newest load report; -1 where there is none.
        report_age_ms: The age of that report; -1 where there is none.
        open_requests: How many attempts all limiters have open at it.
    """

    uid: str
    zone: str = msgspec.field(name="floor")
    kind: str
    weight: float
    serving: bool
    queue: int
    report_age_ms: float
    open_requests: int = msgspec.field(name="out")


def summarize_servers(states: Iterable[LimiterState]) -> dict[str, ServerSummary]:
    """Combine the limiters' views of the servers, by uid.

    A limiter that has received a drain overrides those that have not yet: a server that any limiter reports as drained
    or as not running does not count as in service.
    """
    views: dict[str, list[ServerStatus]] = {}
    for state in states:
        for server in state.servers:
            views.setdefault(server.uid, []).append(server)
    return {uid: _summarize_server(statuses) for uid, statuses in sorted(views.items())}


def _summarize_server(statuses: Sequence[ServerStatus]) -> ServerSummary:
    reports = [(status.report_age_ms, status.queue) for status in statuses if status.queue >= 0]
    age_ms, queue = min(reports, default=(-1.0, -1))
    first = statuses[0]
    return ServerSummary(
        first.uid,
        first.zone,
        first.kind,
        max(status.weight for status in statuses),
        all(status.state == "running" and not status.drained_by for status in statuses),
        queue,
        age_ms,
        sum(status.open_requests for status in statuses),
    )


class Plan(msgspec.Struct, frozen=True):
    """The plan of a drain.

    Attributes:
        steps: The uids of the servers that each step drains.
        unknown: The targets that no limiter knows.
        capacity_before: The fraction of the weight of all servers that is in service now.
        capacity_after: The fraction that remains in service after the drain.
        queue_after: The waiting requests for each remaining unit of weight; -1 where no server reports its queue.
        unsafe: Why the drain is unsafe, with figures, for people; empty where it is safe.
    """

    steps: tuple[tuple[str, ...], ...]
    unknown: tuple[str, ...]
    capacity_before: float
    capacity_after: float
    queue_after: float
    unsafe: tuple[str, ...]


def plan_server_drain(
    servers: dict[str, ServerSummary], targets: Sequence[str], *, checks_capacity: bool = True
) -> Plan:
    """Plan the drain of servers.

    Args:
        servers: All servers by uid.
        targets: The uids of the servers to drain.
        checks_capacity: Whether the plan is unsafe if it leaves too little capacity, or a zone without a server.
    """
    unknown = tuple(uid for uid in targets if uid not in servers)
    drained = [servers[uid] for uid in dict.fromkeys(targets) if uid in servers and servers[uid].serving]
    drained_uids = {server.uid for server in drained}
    remaining = [server for server in servers.values() if server.serving and server.uid not in drained_uids]
    full_weight = sum(server.weight for server in servers.values())
    weight_before = sum(server.weight for server in servers.values() if server.serving)
    weight_after = sum(server.weight for server in remaining)
    queues = [server.queue for server in (*remaining, *drained) if server.queue >= 0]
    queue_after = sum(queues) / weight_after if queues and weight_after > 0 else -1.0
    unsafe: list[str] = []
    if drained and checks_capacity:
        unsafe += _zone_risks(drained, remaining)
        unsafe += _capacity_risks(full_weight, weight_before, weight_after)
    if drained and queue_after > MAXIMUM_QUEUE:
        unsafe.append(
            f"{sum(queues)} requests wait: {queue_after:.1f} for each unit of weight left, "
            f"{MAXIMUM_QUEUE:.0f} is the most"
        )
    return Plan(
        _split_into_steps(drained, weight_before),
        unknown,
        weight_before / full_weight if full_weight else 0.0,
        weight_after / full_weight if full_weight else 0.0,
        queue_after,
        tuple(unsafe),
    )


def _zone_risks(drained: Sequence[ServerSummary], remaining: Sequence[ServerSummary]) -> list[str]:
    """Return which zones would be left without a server, for people."""
    return [
        f"it takes the last box of {zone}, which has {_count_in_zone(drained, zone)} in service"
        for zone in sorted({server.zone for server in drained})
        if not _count_in_zone(remaining, zone)
    ]


def _capacity_risks(full_weight: float, weight_before: float, weight_after: float) -> list[str]:
    """Return that too little of the weight of all servers would be left in service, for people."""
    if full_weight <= 0 or weight_after >= MINIMUM_CAPACITY_LEFT * full_weight:
        return []
    return [
        f"{100 * weight_after / full_weight:.0f} % of all capacity would be left in service; "
        f"{100 * MINIMUM_CAPACITY_LEFT:.0f} % is the least (now {100 * weight_before / full_weight:.0f} %)"
    ]


def _count_in_zone(servers: Sequence[ServerSummary], zone: str) -> int:
    return sum(1 for server in servers if server.zone == zone)


def _split_into_steps(drained: Sequence[ServerSummary], weight_in_service: float) -> tuple[tuple[str, ...], ...]:
    """Split a drain into steps of at least one server and at most `MAXIMUM_STEP_SHARE` of the weight in service.

    The least loaded servers are drained first, and two servers of one zone are in different steps.
    """
    maximum_weight, steps = MAXIMUM_STEP_SHARE * weight_in_service, []
    pending = sorted(drained, key=lambda server: (max(server.queue, 0) + server.open_requests, server.uid))
    while pending:
        step, weight, zones = [pending[0]], pending[0].weight, {pending[0].zone}
        for server in pending[1:]:
            if weight + server.weight <= maximum_weight and server.zone not in zones:
                step.append(server)
                weight += server.weight
                zones.add(server.zone)
        steps.append(tuple(server.uid for server in step))
        pending = [server for server in pending if server not in step]
    return tuple(steps)


def limiter_drain_risks(serving: Iterable[str], targets: Sequence[str]) -> tuple[str, ...]:
    """Return why the drain or stop of limiters is unsafe, for people; empty where it is safe.

    Args:
        serving: The names of the limiters in service.
        targets: The names of the limiters to drain or stop.
    """
    before = set(serving)
    remaining = before - set(targets)
    if before & set(targets) and len(remaining) < MINIMUM_LIMITERS:
        text = f"it takes the last limiter in service: {len(before)} serve now, {len(remaining)} would be left"
        return (text,)
    return ()
