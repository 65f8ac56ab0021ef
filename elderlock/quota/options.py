"""The `[quota]` table of the operators' file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from elderlock.net.config import ConfigError
from elderlock.quota.counted_quotas import CountedCoordinator
from elderlock.quota.counter_parameters import MS_PER_SECOND, CounterParameters

MIN_HEARTBEAT_MS = 500.0
HEARTBEAT_MS_PER_LIMITER = 5.0  # limits the sentinel calls of all limiters together to 200 per second

PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0.0)]


class QuotaOptions(msgspec.Struct, forbid_unknown_fields=True):
    """The options of quotas through a counter. The fields are the keys in the file.

    Attributes:
        store: `tally` (the platform's counter), `redis` (one Redis server) or `cluster` (a Redis cluster).
        addresses: The addresses of the store; may be empty for `tally`, whose address is then in the configuration.
        prefix: The prefix of each name in Redis.
        answer_ms: How long to wait for an answer.
        skew_ms: The maximum difference between the limiters' clocks.
        calls_per_s: The maximum number of calls per second of this limiter.
        cut_most_s: How long a limiter that is cut off continues to refill its part of a hard ceiling.
    """

    store: Literal["tally", "redis", "cluster"] = "tally"
    addresses: tuple[str, ...] = ()
    prefix: str = "elderlock:"
    answer_ms: PositiveFloat = 50.0
    skew_ms: NonNegativeFloat = 10.0
    calls_per_s: PositiveFloat = 100.0
    cut_most_s: PositiveFloat = 600.0

    def parameters(self, limiter_count: int) -> CounterParameters:
        """Return the parameters for a group of `limiter_count` limiters.

        Raises:
            ConfigError: The options contradict each other.
        """
        try:
            return CounterParameters(
                answer_timeout_ms=self.answer_ms,
                clock_skew_ms=self.skew_ms,
                max_calls_per_s=self.calls_per_s,
                max_cut_off_ms=self.cut_most_s * MS_PER_SECOND,
                heartbeat_ms=heartbeat_ms(limiter_count),
            )
        except ValueError as error:
            raise ConfigError(f"[quota] {error}") from None

    def coordinator_class(self, limiter_count: int) -> type[CountedCoordinator]:
        """Return the class that replaces the quota coordinator of the decision module.

        Raises:
            ConfigError: The options contradict each other.
        """
        return type("Counted", (CountedCoordinator,), {"parameters": self.parameters(limiter_count)})


def heartbeat_ms(limiter_count: int) -> float:
    """Return the interval between a limiter's calls to sentinels."""
    return max(MIN_HEARTBEAT_MS, HEARTBEAT_MS_PER_LIMITER * limiter_count)
