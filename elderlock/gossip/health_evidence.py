"""Health evidence on servers from all limiters, weighed into one question: whether a server is to be ejected."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from elderlock.gossip.evidence_messages import Observation, ObservationKind

FRESH_MS = 4000.0  # for which an observation counts
SAME_ATTEMPT_MS = 100.0  # observations of one origin, server and kind closer than this are one: hops blur the age
EJECTION_WEIGHT = 3.0  # failures of different limiters, as many as one alone needs in a row
SAME_ZONE_WEIGHT = 1.0
OTHER_ZONE_WEIGHT = 0.5  # the path from another zone may be at fault
MAX_ORIGINS_PER_SERVER = 16  # the one with the oldest observation gives way
MAX_SERVERS = 512  # the one that was heard of longest ago gives way
DISTRUST_FRACTION = 0.25  # of the ready servers; an origin that says that more failed is not believed
DISTRUST_MIN_SERVERS = 3
SELF_DISTRUST_FRACTION = 0.5  # of the servers tried lately; where as many failed, the limiter itself is at fault
SELF_DISTRUST_MIN_SERVERS = 4
NEVER_MS = float("-inf")
NO_AGE_MS = -1.0


class OriginRecord:
    """What one origin saw last of one server.

    Attributes:
        zone: The origin's zone.
        failed_at_ms: When its latest attempt that failed began.
        answered_at_ms: When its latest attempt that was answered began.
    """

    __slots__ = ("answered_at_ms", "failed_at_ms", "zone")

    def __init__(self, zone: int) -> None:
        """Start with nothing seen."""
        self.zone = zone
        self.failed_at_ms = NEVER_MS
        self.answered_at_ms = NEVER_MS

    def latest_at_ms(self) -> float:
        """Return when the latest attempt began."""
        return max(self.failed_at_ms, self.answered_at_ms)

    def learn_zone(self, observation: Observation) -> None:
        """Take the zone of the latest observation; of two at once the lower one, in whatever order they come."""
        latest_at_ms = self.latest_at_ms()
        if observation.began_at_ms > latest_at_ms + SAME_ATTEMPT_MS:
            self.zone = observation.origin_zone
        elif observation.began_at_ms >= latest_at_ms - SAME_ATTEMPT_MS:
            self.zone = min(self.zone, observation.origin_zone)


@dataclass(frozen=True, order=True, slots=True)
class Witness:
    """What an origin saw of a server, for operators.

    Attributes:
        origin_index: Number of the limiter.
        zone: Its zone.
        failed_age_ms: Age of its latest attempt that failed; -1 for none.
        answered_age_ms: Age of its latest attempt that was answered; -1 for none.
    """

    origin_index: int
    zone: int
    failed_age_ms: float
    answered_age_ms: float

    def latest_age_ms(self) -> float:
        """Return the age of the latest attempt; 0 for none."""
        return min((age for age in (self.failed_age_ms, self.answered_age_ms) if age >= 0), default=0.0)


class HealthEvidence:
    """What all limiters saw of the servers within `FRESH_MS`.

    Invariant: the same observations give the same state in whatever order and however often they are recorded, as long
    as no bound was reached. No origin weighs more than one failure, and one that says that many servers failed weighs
    nothing.

    Attributes:
        limiter_index: Number of this limiter.
        zone: Its zone.
    """

    def __init__(self, limiter_index: int, zone: int) -> None:
        """Start with no evidence."""
        self.limiter_index = limiter_index
        self.zone = zone
        self._records: OrderedDict[int, dict[int, OriginRecord]] = OrderedDict()  # by server key and origin
        self._accused: dict[int, dict[int, float]] = {}  # by origin and server key, when the failed attempt began
        self._own_attempts: dict[int, float] = {}  # by server key, the time of our latest outcome

    def __len__(self) -> int:
        """Return the number of servers on which there is evidence."""
        return len(self._records)

    def record(self, observation: Observation, now_ms: float) -> bool:
        """Record an observation; return whether it is fresh and news."""
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
            accused = self._accused.setdefault(observation.origin_index, {})
            accused[observation.server_key] = observation.began_at_ms
        else:
            record.answered_at_ms = observation.began_at_ms
        return True

    def _record_of(self, observation: Observation) -> OriginRecord:
        """Return the origin's record of the server with its zone brought up to date; make room for a new one."""
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
            record.learn_zone(observation)
        return record

    def record_own_attempt(self, server_key: int, now_ms: float) -> None:
        """Record that an attempt of this limiter had an outcome."""
        self._own_attempts[server_key] = now_ms

    def is_distrusted(self, origin_index: int, ready_server_count: int, now_ms: float) -> bool:
        """Return whether an origin says that so many servers failed that its own path to them is likelier at fault."""
        accused = self._accused.get(origin_index, {})
        limit = max(DISTRUST_MIN_SERVERS, DISTRUST_FRACTION * ready_server_count)
        return len(accused) > limit and _count_fresh(accused.values(), now_ms) > limit

    def is_self_distrusted(self, now_ms: float) -> bool:
        """Return whether so many servers that were tried lately failed this limiter that it is likelier at fault."""
        fresh_from_ms = now_ms - FRESH_MS
        tried = [key for key, tried_at_ms in self._own_attempts.items() if tried_at_ms > fresh_from_ms]
        accused = self._accused.get(self.limiter_index, {})
        failing = _count_fresh((accused.get(key, NEVER_MS) for key in tried), now_ms)
        return len(tried) >= SELF_DISTRUST_MIN_SERVERS and failing >= SELF_DISTRUST_FRACTION * len(tried)

    def failure_weight(self, server_key: int, ready_server_count: int, now_ms: float) -> float:
        """Return how heavily a server's failures weigh.

        An answer undoes the failures before it that were seen from its zone; an answer in this limiter's zone undoes
        all failures before it. Origins that are not believed weigh nothing.
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
        """Forget a server: another process runs under its id."""
        self._records.pop(server_key, None)

    def witnesses(self, server_key: int, now_ms: float) -> list[Witness]:
        """Return what each origin saw of a server, the latest first."""
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
        """Return the keys of the servers that were heard of last, the latest first."""
        return list(islice(reversed(self._records), max_servers))

    def distrusted_origins(self, ready_server_count: int, now_ms: float) -> list[int]:
        """Return the origins that are not believed."""
        return sorted(
            origin_index
            for origin_index in self._accused
            if self.is_distrusted(origin_index, ready_server_count, now_ms)
        )

    def age_out(self, now_ms: float) -> None:
        """Forget what is no longer fresh."""
        oldest_ms = now_ms - FRESH_MS
        for server_key, origins in list(self._records.items()):
            if all(record.latest_at_ms() <= oldest_ms for record in origins.values()):
                del self._records[server_key]
        for origin_index, accused in list(self._accused.items()):
            _remove_until(accused, oldest_ms)
            if not accused:
                del self._accused[origin_index]
        _remove_until(self._own_attempts, oldest_ms)


def _count_fresh(times_ms: Iterable[float], now_ms: float) -> int:
    return sum(time_ms > now_ms - FRESH_MS for time_ms in times_ms)


def _remove_until(times_ms: dict[int, float], oldest_ms: float) -> None:
    """Remove the entries whose time is `oldest_ms` or before."""
    for key in [key for key, time_ms in times_ms.items() if time_ms <= oldest_ms]:
        del times_ms[key]


def _age_ms(at_ms: float, now_ms: float) -> float:
    return now_ms - at_ms if at_ms > 0 else NO_AGE_MS
