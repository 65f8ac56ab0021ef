"""Health evidence on servers from all limiters: what each saw last of which server, weighed into one question, whether
a server is to be left out."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import NamedTuple

from elderlock.gossip.evidence_messages import Observation, ObservationKind

FRESH_MS = 4000.0  # ms that an observation counts
SAME_ATTEMPT_MS = 100.0  # ms within which two of one origin, server and kind are one: hops on the way blur its age
EJECTION_WEIGHT = 3.0  # weighed failures of different limiters, as many as one alone needs in a row
OTHER_ZONE_WEIGHT = 0.5  # weight of a failure seen from another zone: the path from there may be at fault
MAX_ORIGINS_PER_SERVER = 16  # kept for each server; the oldest gives way
MAX_SERVERS = 512  # on which there is evidence; the one heard of longest ago gives way
DISTRUST_FRACTION, DISTRUST_MIN_SERVERS = (
    0.25,
    3,
)  # of the ready servers that one origin may say have failed, and at least
SELF_DISTRUST_FRACTION, SELF_DISTRUST_MIN_SERVERS = (
    0.5,
    4,
)  # failing of the servers tried lately, at which it is likelier us


class OriginRecord:
    """What one origin saw last of one server: when an attempt began that failed, and one that was answered (ms)."""

    __slots__ = ("answered_at_ms", "failed_at_ms", "zone")

    def __init__(self, zone: int) -> None:
        self.zone = zone
        self.failed_at_ms = self.answered_at_ms = float("-inf")

    def latest_at_ms(self) -> float:
        return max(self.failed_at_ms, self.answered_at_ms)


class Witness(NamedTuple):
    """What an origin told of a server: ages (ms) of the last attempts that failed and were answered, -1 for none."""

    origin_index: int
    zone: int
    failed_age_ms: float
    answered_age_ms: float


class HealthEvidence:
    """Invariant: the same observations give the same state in whatever order and however often they are taken, as long
    as no bound was reached. No origin weighs more than one failure, and one that says that many servers failed
    weighs nothing."""

    def __init__(self, number: int, zone: int) -> None:
        self.limiter_index, self.zone = number, zone
        self._seen: OrderedDict[int, dict[int, OriginRecord]] = OrderedDict()  # by server and origin
        self._accused: dict[int, dict[int, float]] = {}  # by origin: servers it says failed, and when
        self._tried: dict[int, float] = {}  # servers that answered us or failed us, and when

    def __len__(self) -> int:
        return len(self._seen)

    def record(self, observation: Observation, now: float) -> bool:
        """Whether it is news that is still fresh."""
        o = observation
        if not now - FRESH_MS < o.began_at_ms <= now + SAME_ATTEMPT_MS:
            return False
        origins = self._seen.get(o.server_key)
        if origins is None:
            if len(self._seen) >= MAX_SERVERS:
                self._seen.popitem(last=False)
            origins = self._seen[o.server_key] = {}
        seen = origins.get(o.origin_index)
        if seen is None:
            if len(origins) >= MAX_ORIGINS_PER_SERVER:
                del origins[min(origins, key=lambda origin: origins[origin].latest_at_ms())]
            seen = origins[o.origin_index] = OriginRecord(o.origin_zone)
        elif o.began_at_ms > seen.latest_at_ms() + SAME_ATTEMPT_MS:
            seen.zone = o.origin_zone  # the latest says where it is now
        elif o.began_at_ms >= seen.latest_at_ms() - SAME_ATTEMPT_MS:
            seen.zone = min(seen.zone, o.origin_zone)  # told two ways at once: alike in whatever order
        failed = o.kind is ObservationKind.FAILED
        if o.began_at_ms <= (seen.failed_at_ms if failed else seen.answered_at_ms) + SAME_ATTEMPT_MS:
            return False
        self._seen.move_to_end(o.server_key)
        if failed:
            seen.failed_at_ms = o.began_at_ms
            self._accused.setdefault(o.origin_index, {})[o.server_key] = o.began_at_ms
        else:
            seen.answered_at_ms = o.began_at_ms
        return True

    def record_own_attempt(self, server: int, now: float) -> None:
        """We had an outcome of it ourselves."""
        self._tried[server] = now

    def is_distrusted(self, origin: int, ready: int, now: float) -> bool:
        """Whether it says that so many servers failed that its own way to them is likelier at fault."""
        accused, most = self._accused.get(origin, {}), max(DISTRUST_MIN_SERVERS, DISTRUST_FRACTION * ready)
        return len(accused) > most and sum(at > now - FRESH_MS for at in accused.values()) > most

    def distrusts_itself(self, now: float) -> bool:
        """Whether most of what we tried lately failed us: then we tell nobody of failures."""
        tried = [server for server, at in self._tried.items() if at > now - FRESH_MS]
        accused = self._accused.get(self.limiter_index, {})
        failing = sum(accused.get(server, float("-inf")) > now - FRESH_MS for server in tried)
        return len(tried) >= SELF_DISTRUST_MIN_SERVERS and failing >= SELF_DISTRUST_FRACTION * len(tried)

    def failure_weight(self, server: int, ready: int, now: float) -> float:
        """Weighed failures since it last answered a limiter of the same zone as who saw them; 0 where a limiter of our
        own zone had an answer later than all of them."""
        origins = self._seen.get(server)
        if origins is None:
            return 0.0
        good: dict[int, float] = {}
        for seen in origins.values():
            good[seen.zone] = max(good.get(seen.zone, float("-inf")), seen.answered_at_ms)
        here = good.get(self.zone, float("-inf"))
        weighed = 0.0
        for origin, seen in origins.items():
            since = max(now - FRESH_MS, good[seen.zone], here)
            if seen.failed_at_ms > since and not self.is_distrusted(origin, ready, now):
                weighed += 1.0 if seen.zone == self.zone else OTHER_ZONE_WEIGHT
        return weighed

    def forget(self, server: int) -> None:
        """Another process runs under its id: what was seen was of the one before."""
        self._seen.pop(server, None)

    def witnesses(self, server: int, now: float) -> list[Witness]:
        """For operators, the latest first."""
        rows = [
            Witness(
                origin,
                seen.zone,
                now - seen.failed_at_ms if seen.failed_at_ms > 0 else -1.0,
                now - seen.answered_at_ms if seen.answered_at_ms > 0 else -1.0,
            )
            for origin, seen in self._seen.get(server, {}).items()
        ]
        return sorted(rows, key=lambda row: min((age for age in row[2:] if age >= 0), default=0.0))

    def latest_servers(self, most: int) -> list[int]:
        """The servers that were heard of last."""
        return list(islice(reversed(self._seen), most))

    def distrusted_origins(self, ready: int, now: float) -> list[int]:
        return sorted(origin for origin in self._accused if self.is_distrusted(origin, ready, now))

    def age_out(self, now: float) -> None:
        old = now - FRESH_MS
        for server in [
            s for s, origins in self._seen.items() if all(o.latest_at_ms() <= old for o in origins.values())
        ]:
            del self._seen[server]
        for origin, accused in list(self._accused.items()):
            for server in [server for server, at in accused.items() if at <= now - FRESH_MS]:
                del accused[server]
            if not accused:
                del self._accused[origin]
        for server in [server for server, at in self._tried.items() if at <= now - FRESH_MS]:
            del self._tried[server]
