"""The accounts of a stream, their shares of its requests, and how the shares change over time. No I/O.

An account is proposed by its highest possible weight and accepted by its current weight (rejection sampling). Spikes
and changes of rank therefore take only a lookup, and no table is rebuilt.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from itertools import accumulate

import msgspec

ACCOUNTS = 1 << 33  # the protocol's account numbers: 16 hex digits, below this
GROUPS = ("calm", "heavy", "spiky")
CALM, HEAVY, SPIKY = range(3)
MAXIMUM_PROPOSALS = 64  # rarely more than a few are needed; the last one is accepted in any case


class AccountMix(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The accounts of a stream and the distribution of its requests over them.

    Attributes:
        count: Number of accounts.
        skew: Exponent of the Zipf distribution; 0 gives equal shares.
        heavy: Share of the accounts that are heavy.
        heavy_times: Factor by which a heavy account's weight is always increased.
        spiky: Share of the accounts that are spiky.
        spike_times: Factor by which a spiky account's weight is increased during its spikes.
        spike_s: Duration of a spike.
        spike_every_s: Interval between the starts of two spikes.
        move_every_s: Interval after which all ranks move on by one account; 0 for never.
    """

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
    """The accounts of one stream.

    Attributes:
        mix: The configured distribution.
        names: Account numbers in hex, all different.
        groups: The group of each account: `CALM`, `HEAVY` or `SPIKY`.
        firsts: The first limiter of each account.
    """

    def __init__(self, mix: AccountMix, rng: random.Random, limiters: int) -> None:
        self.mix = mix
        numbers: dict[int, None] = {}
        while len(numbers) < mix.count:
            numbers[rng.randrange(ACCOUNTS)] = None
        self.names = [f"{number:016x}" for number in numbers]
        self.firsts = [rng.randrange(limiters) for _ in range(mix.count)]
        heavy, spiky = round(mix.heavy * mix.count), round(mix.spiky * mix.count)
        special = rng.sample(range(mix.count), heavy + spiky)
        self.groups = bytearray(mix.count)
        for place, index in enumerate(special):
            self.groups[index] = HEAVY if place < heavy else SPIKY
        self._phases = [rng.random() * mix.spike_every_s if mix.spiky else 0.0 for _ in range(mix.count)]
        # The weights belong to ranks; which account holds a rank changes with time.
        base_weights = [(rank + 1) ** -mix.skew for rank in range(mix.count)]
        self._highest_factor = max(1.0, mix.heavy_times if heavy else 1.0, mix.spike_times if spiky else 1.0)
        self._cumulative_weights = list(accumulate(base_weights))
        self._total_weight = self._cumulative_weights[-1]
        self._all_calm = not special

    def weight_factor(self, index: int, at: float) -> float:
        """Return the factor by which an account's weight differs from its rank's at a time in s of the run."""
        group = self.groups[index]
        if group == CALM:
            return 1.0
        if group == HEAVY:
            return self.mix.heavy_times
        is_in_spike = (at + self._phases[index]) % self.mix.spike_every_s < self.mix.spike_s
        return self.mix.spike_times if is_in_spike else 1.0

    def draw(self, rng: random.Random, at: float) -> int:
        """Draw the account of an arrival at a time in s of the run, and return its index."""
        moves = int(at / self.mix.move_every_s) if self.mix.move_every_s else 0
        index = 0
        for _ in range(MAXIMUM_PROPOSALS):
            rank = min(bisect_right(self._cumulative_weights, rng.random() * self._total_weight), self.mix.count - 1)
            index = (rank + moves) % self.mix.count
            if self._all_calm or rng.random() * self._highest_factor <= self.weight_factor(index, at):
                break
        return index
