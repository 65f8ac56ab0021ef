"""Health evidence on servers from all limiters, combined into a weight that decides whether to eject a server."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from elderlock.gossip.evidence_messages import Observation, ObservationKind

FRESH_MS = 4000.0  # how long an observation counts
SAME_ATTEMPT_MS = 100.0  # observations with the same origin, server and kind within this are one: hops distort ages
EJECTION_WEIGHT = 3.0  # equals the consecutive failures that one limiter alone needs for an ejection
SAME_ZONE_WEIGHT = 1.0
OTHER_ZONE_WEIGHT = 0.5  # lower, because the network path from the other zone may be at fault
MAX_ORIGINS_PER_SERVER = 16  # the origin with the oldest observation is evicted
MAX_SERVERS = 512  # the server with the oldest update is evicted
DISTRUST_FRACTION = 0.25  # of the ready servers; an origin that reports more of them as failed is distrusted
DISTRUST_MIN_SERVERS = 3
SELF_DISTRUST_FRACTION = 0.5  # of the recently tried servers; if this many failed, the limiter itself is at fault
SELF_DISTRUST_MIN_SERVERS = 4
NEVER_MS = float("-inf")
NO_AGE_MS = -1.0


class OriginRecord:
    """The latest observations of one server by one origin.

    Attributes:
        zone: The origin's zone.
        failed_at_ms: When its latest failed attempt began.
        answered_at_ms: When its latest answered attempt began.
    """

    __slots__ = ("answered_at_ms", "failed_at_ms", "zone")

    def __init__(self, zone: int) -> None:
        """Create a record without observations."""
        self.zone = zone
        self.failed_at_ms = NEVER_MS
        self.answered_at_ms = NEVER_MS

    def latest_at_ms(self) -> float:
        """Return when the latest attempt began."""
        return max(self.failed_at_ms, self.answered_at_ms)

    def update_zone(self, observation: Observation) -> None:
        """Use the zone of the latest observation; of two simultaneous ones the lower, so that order has no effect."""
        latest_at_ms = self.latest_at_ms()
        if observation.began_at_ms > latest_at_ms + SAME_ATTEMPT_MS:
            self.zone = observation.origin_zone
        elif observation.began_at_ms >= latest_at_ms - SAME_ATTEMPT_MS:
            self.zone = min(self.zone, observation.origin_zone)


@dataclass(frozen=True, order=True, slots=True)
class Witness:
    """The evidence of one origin on a server, for display to operators.

    Attributes:
        origin_index: The index of the limiter.
        zone: Its zone.
        failed_age_ms: The age of its latest failed attempt; -1 for none.
        answered_age_ms: The age of its latest answered attempt; -1 for none.
    """

    origin_index: int
    zone: int
    failed_age_ms: float
    answered_age_ms: float

    def latest_age_ms(self) -> float:
        """Return the age of the latest attempt; 0 for none."""
        return min((age for age in (self.failed_age_ms, self.answered_age_ms) if age >= 0), default=0.0)


class HealthEvidence:
    """The observations of all limiters within `FRESH_MS`.

    Invariant: the same observations lead to the same state, regardless of their order and repetition, as long as no
    bound is reached. An origin has at most the weight of one failure, and an origin that reports failures of many
    servers has no weight.

    Attributes:
        limiter_index: The index of this limiter.
        zone: Its zone.
    """

    def __init__(self, limiter_index: int, zone: int) -> None:
        """Start with no evidence."""
        self.limiter_index = limiter_index
        self.zone = zone
        self._records: OrderedDict[int, dict[int, OriginRecord]] = OrderedDict()  # by server key and origin
        self._failures: dict[int, dict[int, float]] = {}  # by origin and server key, the start of the failed attempt
        self._own_attempts: dict[int, float] = {}  # by server key, the time of this limiter's latest outcome

    def __len__(self) -> int:
        """Return the number of servers with evidence."""
        return len(self._records)

    def record(self, observation: Observation, now_ms: float) -> bool:
        """Record an observation; return whether it is recent and new."""
        if not now_ms - FRESH_MS < observation.began_at_ms <= now_ms + SAME_ATTEMPT_MS:
            return False
        record = self._record_of(observation)
        has_failed = observation.kind is ObservationKind.FAILED
        known_at_ms = record.failed_at_ms if has_failed else record.answered_at_ms
        if observation.began_at_ms <= known_at_ms + SAME_ATTEMPT_MS:
            return False
        self._records.move_to_end(observation.server_key)
        if has_failed:
            record.failed_at_ms = observation.began_at_ms
            failures = self._failures.setdefault(observation.origin_index, {})
            failures[observation.server_key] = observation.began_at_ms
        else:
            record.answered_at_ms = observation.began_at_ms
        return True

    def _record_of(self, observation: Observation) -> OriginRecord:
        """Return the origin's record of the server with an updated zone; create it if needed, evicting an old one."""
        origins = self._records.get(observation.server_key)
        if origins is None:
            if len(self._records) >= MAX_SERVERS:
                self._records.popitem(last=False)
            origins = self._records[observation.server_key] = {}
        record = origins.get(observation.origin_index)
        if record is None:
            if len(origins) >= MAX_ORIGINS_PER_SERVER:
                del origins[min(origins, key=lambda origin: origins[origin].latest_at_ms())]
            record = origins[observation.origin_index] = OriginRecord(observation.origin_zone)
        else:
            record.update_zone(observation)
        return record

    def record_own_attempt(self, server_key: int, now_ms: float) -> None:
        """Record that an attempt of this limiter at the server ended."""
        self._own_attempts[server_key] = now_ms

    def is_distrusted(self, origin_index: int, ready_server_count: int, now_ms: float) -> bool:
        """Return whether an origin reports so many failed servers that its own network path is more likely at fault."""
        failures = self._failures.get(origin_index, {})
        limit = max(DISTRUST_MIN_SERVERS, DISTRUST_FRACTION * ready_server_count)
        return len(failures) > limit and _count_fresh(failures.values(), now_ms) > limit

    def is_self_distrusted(self, now_ms: float) -> bool:
        """Return whether so many recently tried servers failed that this limiter itself is more likely at fault."""
        fresh_from_ms = now_ms - FRESH_MS
        tried = [key for key, tried_at_ms in self._own_attempts.items() if tried_at_ms > fresh_from_ms]
        failures = self._failures.get(self.limiter_index, {})
        failed_count = _count_fresh((failures.get(key, NEVER_MS) for key in tried), now_ms)
        return len(tried) >= SELF_DISTRUST_MIN_SERVERS and failed_count >= SELF_DISTRUST_FRACTION * len(tried)

    def failure_weight(self, server_key: int, ready_server_count: int, now_ms: float) -> float:
        """Return the total weight of a server's failures.

        An answer cancels the earlier failures that were observed from the same zone; an answer in this limiter's zone
        cancels all earlier failures. Distrusted origins have no weight.
        """
        origins = self._records.get(server_key)
        if origins is None:
            return 0.0
        answered_by_zone: dict[int, float] = {}
        for record in origins.values():
            answered_at_ms = answered_by_zone.get(record.zone, NEVER_MS)
            answered_by_zone[record.zone] = max(answered_at_ms, record.answered_at_ms)
        answered_here_at_ms = answered_by_zone.get(self.zone, NEVER_MS)
        weight = 0.0
        for origin_index, record in origins.items():
            counts_from_ms = max(now_ms - FRESH_MS, answered_by_zone[record.zone], answered_here_at_ms)
            if record.failed_at_ms > counts_from_ms and not self.is_distrusted(
                origin_index, ready_server_count, now_ms
            ):
                weight += SAME_ZONE_WEIGHT if record.zone == self.zone else OTHER_ZONE_WEIGHT
        return weight

    def forget(self, server_key: int) -> None:
        """Remove the evidence on a server, because a new process runs under its id."""
        self._records.pop(server_key, None)

    def witnesses(self, server_key: int, now_ms: float) -> list[Witness]:
        """Return the evidence of each origin on a server, the latest first."""
        witnesses = [
            Witness(
                origin_index=origin_index,
                zone=record.zone,
                failed_age_ms=_age_ms(record.failed_at_ms, now_ms),
                answered_age_ms=_age_ms(record.answered_at_ms, now_ms),
            )
            for origin_index, record in self._records.get(server_key, {}).items()
        ]
        return sorted(witnesses, key=Witness.latest_age_ms)

    def latest_servers(self, max_servers: int) -> list[int]:
        """Return the keys of the servers with the latest evidence, the latest first."""
        return list(islice(reversed(self._records), max_servers))

    def distrusted_origins(self, ready_server_count: int, now_ms: float) -> list[int]:
        """Return the origins that are distrusted."""
        return sorted(
            origin_index
            for origin_index in self._failures
            if self.is_distrusted(origin_index, ready_server_count, now_ms)
        )

    def age_out(self, now_ms: float) -> None:
        """Remove the observations that are older than `FRESH_MS`."""
        oldest_ms = now_ms - FRESH_MS
        for server_key, origins in list(self._records.items()):
            if all(record.latest_at_ms() <= oldest_ms for record in origins.values()):
                del self._records[server_key]
        for origin_index, failures in list(self._failures.items()):
            _remove_until(failures, oldest_ms)
            if not failures:
                del self._failures[origin_index]
        _remove_until(self._own_attempts, oldest_ms)


def _count_fresh(times_ms: Iterable[float], now_ms: float) -> int:
    return sum(time_ms > now_ms - FRESH_MS for time_ms in times_ms)


def _remove_until(times_ms: dict[int, float], oldest_ms: float) -> None:
    """Remove the entries with a time of `oldest_ms` or earlier."""
    for key in [key for key, time_ms in times_ms.items() if time_ms <= oldest_ms]:
        del times_ms[key]


def _age_ms(at_ms: float, now_ms: float) -> float:
    return now_ms - at_ms if at_ms > 0 else NO_AGE_MS
