"""Who sends: the accounts of a stream, how much of it each has, and how that moves. No I/O.

A draw proposes an account by its highest weight and accepts it by its present one (rejection sampling), so
spikes and moves cost a lookup and no table is made anew.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from itertools import accumulate

import msgspec

ACCOUNTS = 1 << 33  # the protocol's: 16 hex digits below this
GROUPS = ("calm", "heavy", "spiky")
CALM, HEAVY, SPIKY = range(3)
MOST_PROPOSED = 64  # of which nearly none is ever needed; the last one is taken then


class AccountMix(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`skew` is Zipf's exponent, 0 for equal shares. `heavy` and `spiky` are shares of the accounts; a heavy
    one has `heavy_times` its weight always, a spiky one `spike_times` for `spike_s` in every `spike_every_s`.
    Ranks move on by one account in `move_every_s` each; 0 is never."""

    count: int = 100
    skew: float = 0.0
    heavy: float = 0.0
    heavy_times: float = 4.0
    spiky: float = 0.0
    spike_times: float = 5.0
    spike_s: float = 2.0
    spike_every_s: float = 15.0
    move_every_s: float = 0.0


class Population:
    """`names` are the accounts' numbers, all different; `groups` and `firsts` go with them."""

    def __init__(self, mix: AccountMix, rng: random.Random, limiters: int) -> None:
        self.mix = mix
        chosen: dict[int, None] = {}
        while len(chosen) < mix.count:
            chosen[rng.randrange(ACCOUNTS)] = None
        self.names = [f"{number:016x}" for number in chosen]
        self.firsts = [rng.randrange(limiters) for _ in range(mix.count)]
        heavy, spiky = round(mix.heavy * mix.count), round(mix.spiky * mix.count)
        special = rng.sample(range(mix.count), heavy + spiky)
        self.groups = bytearray(mix.count)
        for place, index in enumerate(special):
            self.groups[index] = HEAVY if place < heavy else SPIKY
        self._phases = [rng.random() * mix.spike_every_s if mix.spiky else 0.0 for _ in range(mix.count)]
        # the rank belongs to a place; which account stands there moves with time
        base = [(rank + 1) ** -mix.skew for rank in range(mix.count)]
        self._top = max(1.0, mix.heavy_times if heavy else 1.0, mix.spike_times if spiky else 1.0)
        self._cumulative = list(accumulate(base))
        self._total = self._cumulative[-1]
        self._plain = not special

    def times(self, index: int, at: float) -> float:
        """How many times its rank's weight an account has at `at` s."""
        group = self.groups[index]
        if group == CALM:
            return 1.0
        if group == HEAVY:
            return self.mix.heavy_times
        on = (at + self._phases[index]) % self.mix.spike_every_s < self.mix.spike_s
        return self.mix.spike_times if on else 1.0

    def draw(self, rng: random.Random, at: float) -> int:
        """The index of the account that an arrival at `at` s belongs to."""
        moved = int(at / self.mix.move_every_s) if self.mix.move_every_s else 0
        index = 0
        for _ in range(MOST_PROPOSED):
            rank = min(bisect_right(self._cumulative, rng.random() * self._total), self.mix.count - 1)
            index = (rank + moved) % self.mix.count
            if self._plain or rng.random() * self._top <= self.times(index, at):
                break
        return index
