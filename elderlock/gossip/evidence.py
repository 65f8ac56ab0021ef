"""Health evidence on servers from all limiters: what each saw last of which server, weighed into one question, whether
a server is to be left out."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import NamedTuple

from elderlock.gossip.wire import Kind, Observation

FRESH = 4000.0  # ms that an observation counts
SAME = 100.0  # ms within which two of one origin, server and kind are one: hops on the way blur its age
ENOUGH = 3.0  # weighed failures of different limiters, as many as one alone needs in a row
ELSEWHERE = 0.5  # weight of a failure seen from another zone: the path from there may be at fault
MOST_ORIGINS = 16  # kept for each server; the oldest gives way
MOST_SERVERS = 512  # on which there is evidence; the one heard of longest ago gives way
DOUBTED_SHARE, DOUBTED_LEAST = 0.25, 3  # of the ready servers that one origin may say have failed, and at least
SELF_DOUBT_SHARE, SELF_DOUBT_LEAST = 0.5, 4  # failing of the servers tried lately, at which it is likelier us


class Seen:
    """What one origin saw last of one server: when an attempt began that failed, and one that was answered (ms)."""

    __slots__ = ("failed", "good", "zone")

    def __init__(self, zone: int) -> None:
        self.zone = zone
        self.failed = self.good = float("-inf")

    def latest(self) -> float:
        return max(self.failed, self.good)


class Told(NamedTuple):
    """What an origin told of a server: ages (ms) of the last attempts that failed and were answered, -1 for none."""

    origin: int
    zone: int
    failed_age: float
    good_age: float


class Evidence:
    """Invariant: the same observations give the same state in whatever order and however often they are taken, as long
    as no bound was reached. No origin weighs more than one failure, and one that says that many servers failed
    weighs nothing."""

    def __init__(self, number: int, zone: int) -> None:
        self.number, self.zone = number, zone
        self._seen: OrderedDict[int, dict[int, Seen]] = OrderedDict()  # by server and origin
        self._accused: dict[int, dict[int, float]] = {}  # by origin: servers it says failed, and when
        self._tried: dict[int, float] = {}  # servers that answered us or failed us, and when

    def __len__(self) -> int:
        return len(self._seen)

    def take(self, observation: Observation, now: float) -> bool:
        """Whether it is news that is still fresh."""
        o = observation
        if not now - FRESH < o.at <= now + SAME:
            return False
        origins = self._seen.get(o.server)
        if origins is None:
            if len(self._seen) >= MOST_SERVERS:
                self._seen.popitem(last=False)
            origins = self._seen[o.server] = {}
        seen = origins.get(o.origin)
        if seen is None:
            if len(origins) >= MOST_ORIGINS:
                del origins[min(origins, key=lambda origin: origins[origin].latest())]
            seen = origins[o.origin] = Seen(o.zone)
        elif o.at > seen.latest() + SAME:
            seen.zone = o.zone  # the latest says where it is now
        elif o.at >= seen.latest() - SAME:
            seen.zone = min(seen.zone, o.zone)  # told two ways at once: alike in whatever order
        failed = o.kind is Kind.FAILED
        if o.at <= (seen.failed if failed else seen.good) + SAME:
            return False
        self._seen.move_to_end(o.server)
        if failed:
            seen.failed = o.at
            self._accused.setdefault(o.origin, {})[o.server] = o.at
        else:
            seen.good = o.at
        return True

    def tried(self, server: int, now: float) -> None:
        """We had an outcome of it ourselves."""
        self._tried[server] = now

    def doubted(self, origin: int, ready: int, now: float) -> bool:
        """Whether it says that so many servers failed that its own way to them is likelier at fault."""
        accused, most = self._accused.get(origin, {}), max(DOUBTED_LEAST, DOUBTED_SHARE * ready)
        return len(accused) > most and sum(at > now - FRESH for at in accused.values()) > most

    def doubts_itself(self, now: float) -> bool:
        """Whether most of what we tried lately failed us: then we tell nobody of failures."""
        tried = [server for server, at in self._tried.items() if at > now - FRESH]
        accused = self._accused.get(self.number, {})
        failing = sum(accused.get(server, float("-inf")) > now - FRESH for server in tried)
        return len(tried) >= SELF_DOUBT_LEAST and failing >= SELF_DOUBT_SHARE * len(tried)

    def failures(self, server: int, ready: int, now: float) -> float:
        """Weighed failures since it last answered a limiter of the same zone as who saw them; 0 where a limiter of our
        own zone had an answer later than all of them."""
        origins = self._seen.get(server)
        if origins is None:
            return 0.0
        good: dict[int, float] = {}
        for seen in origins.values():
            good[seen.zone] = max(good.get(seen.zone, float("-inf")), seen.good)
        here = good.get(self.zone, float("-inf"))
        weighed = 0.0
        for origin, seen in origins.items():
            since = max(now - FRESH, good[seen.zone], here)
            if seen.failed > since and not self.doubted(origin, ready, now):
                weighed += 1.0 if seen.zone == self.zone else ELSEWHERE
        return weighed

    def forget(self, server: int) -> None:
        """Another process runs under its id: what was seen was of the one before."""
        self._seen.pop(server, None)

    def who(self, server: int, now: float) -> list[Told]:
        """For operators, the latest first."""
        rows = [
            Told(
                origin,
                seen.zone,
                now - seen.failed if seen.failed > 0 else -1.0,
                now - seen.good if seen.good > 0 else -1.0,
            )
            for origin, seen in self._seen.get(server, {}).items()
        ]
        return sorted(rows, key=lambda row: min((age for age in row[2:] if age >= 0), default=0.0))

    def latest(self, most: int) -> list[int]:
        """The servers that were heard of last."""
        return list(islice(reversed(self._seen), most))

    def disbelieved(self, ready: int, now: float) -> list[int]:
        return sorted(origin for origin in self._accused if self.doubted(origin, ready, now))

    def age_out(self, now: float) -> None:
        old = now - FRESH
        for server in [s for s, origins in self._seen.items() if all(o.latest() <= old for o in origins.values())]:
            del self._seen[server]
        for origin, accused in list(self._accused.items()):
            for server in [server for server, at in accused.items() if at <= now - FRESH]:
                del accused[server]
            if not accused:
                del self._accused[origin]
        for server in [server for server, at in self._tried.items() if at <= now - FRESH]:
            del self._tried[server]
