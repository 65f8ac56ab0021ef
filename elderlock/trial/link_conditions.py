"""What befalls the ways between processes: cuts, delay, loss, repeats, disorder, a trickle. No I/O.

A place is known by all of its names: its process, its machine, its floor. What befalls a pair of names befalls every
way from a place of the first name to one of the second; `*` is any. Directions are apart: a cut is one-way.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

PIECE = 0.01  # s between the pieces of a trickle


class Place(NamedTuple):
    """`names`: of its process first, then of what it is a part of."""

    name: str
    names: frozenset[str]

    @classmethod
    def of(cls, name: str, *more: str) -> Place:
        return cls(name, frozenset((name, *more)))


@dataclass(frozen=True, slots=True)
class Weather:
    """Of one way. `late` and `reorder` in ms, `loss` and `duplicate` shares of the datagrams, `trickle` in bytes a
    second, 0 for no bound."""

    cut: bool = False
    late: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    trickle: float = 0.0


CLEAR = Weather()


@dataclass(slots=True)
class Ways:
    """Invariant: a fault that ended leaves nothing behind, whatever overlapped with it."""

    _befalls: dict[tuple[str, str], Counter[tuple[str, float]]] = field(default_factory=dict)

    def inject(self, kind: str, pairs: Iterable[tuple[str, str]], by: float = 1.0) -> None:
        for pair in pairs:
            self._befalls.setdefault(pair, Counter())[kind, by] += 1

    def clear(self, kind: str, pairs: Iterable[tuple[str, str]], by: float = 1.0) -> None:
        """Ends what `befall` with the same words began."""
        for pair in pairs:
            here = self._befalls.get(pair)
            if here is None:
                continue
            here[kind, by] -= 1
            if here[kind, by] <= 0:
                del here[kind, by]
            if not here:
                del self._befalls[pair]

    def weather(self, here: Place, there: Place) -> Weather:
        """All that befalls the way: delays and shares add up, of two trickles the lesser counts."""
        if not self._befalls:
            return CLEAR
        found: dict[str, float] = {}
        for (source, target), here_now in self._befalls.items():
            if (source == "*" or source in here.names) and (target == "*" or target in there.names):
                for (kind, by), count in here_now.items():
                    if kind == "trickle":
                        found[kind] = min(found.get(kind, by), by)
                    else:
                        found[kind] = found.get(kind, 0.0) + by * count
        if not found:
            return CLEAR
        return Weather(
            found.get("cut", 0.0) > 0,
            found.get("late", 0.0),
            min(1.0, found.get("loss", 0.0)),
            min(1.0, found.get("duplicate", 0.0)),
            found.get("reorder", 0.0),
            found.get("trickle", 0.0),
        )


def datagram(weather: Weather, rng: random.Random) -> list[float]:
    """When (s from now) copies of a datagram arrive: none where it is lost."""
    if weather.cut or rng.random() < weather.loss:
        return []
    waits = [weather.late / 1000.0]
    if rng.random() < weather.duplicate:
        waits.append(waits[0] + rng.random() * max(weather.reorder, 1.0) / 1000.0)
    if weather.reorder:
        waits[0] += rng.random() * weather.reorder / 1000.0
    return waits


class Stream:
    """One direction of a connection: bytes go in with the time (s) and come out in their order when they are due.
    Invariant: what came in comes out once, whole and in order, and nothing while the way is cut; the end of the stream
    comes after all of it."""

    def __init__(self) -> None:
        self._held: list[tuple[float, bytes]] = []
        self._last = 0.0
        self.ended = False
        self.size = 0

    def put(self, data: bytes, now: float, weather: Weather) -> None:
        self._last = max(self._last, now + weather.late / 1000.0)
        self._held.append((self._last, data))
        self.size += len(data)

    def end(self) -> None:
        self.ended = True

    def due(self, now: float, weather: Weather) -> bytes:
        """What may pass now."""
        if weather.cut or not self._held:
            return b""
        ready = []
        count = 0
        for at, data in self._held:
            if at > now:
                break
            ready.append(data)
            count += 1
        if not ready:
            return b""
        del self._held[:count]
        out = b"".join(ready)
        if weather.trickle:
            most = max(1, int(weather.trickle * PIECE))
            if len(out) > most:
                out, rest = out[:most], out[most:]
                self._held.insert(0, (now + PIECE, rest))
        self.size -= len(out)
        return out

    def next(self) -> float | None:
        """When (s) something is due, cut or not; None of nothing."""
        return self._held[0][0] if self._held else None

    def over(self) -> bool:
        """It has ended and all of it has come out."""
        return self.ended and not self._held
