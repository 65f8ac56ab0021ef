"""The connection of a limiter to its counter. Loaded only if the operators' file has a `[quota]` table."""

from __future__ import annotations

import asyncio
import json
import logging
from heapq import nlargest
from pathlib import Path

from elderlock import interface as api
from elderlock.control import messages
from elderlock.interface import Outcome
from elderlock.net.config import ConfigError, parse_address
from elderlock.net.gateway import Gateway
from elderlock.quota.counted_quotas import CountedCoordinator
from elderlock.quota.counter_call import CounterCall
from elderlock.quota.counter_health import CounterMode
from elderlock.quota.counter_parameters import SharedBucket
from elderlock.quota.error_bound import cut_off_error_units, shared_error_units, slack_warnings
from elderlock.quota.lease_book import LeaseBook
from elderlock.quota.lease_ledger import LeaseLedger
from elderlock.quota.options import QuotaOptions
from elderlock.quota.store_client import StoreClient, StoreEvents
from elderlock.quota.tally_client import TallyClient

__all__ = ["CounterAttachment", "QuotaOptions"]  # importing both here fails at once if the extra is not installed
log = logging.getLogger(__name__)


class CounterAttachment:
    """Passes the decision module's calls to the store, and the store's answers to the decision module.

    Attributes:
        book: The limiter's ledgers.
    """

    def __init__(self, options: QuotaOptions, config_path: Path, gateway: Gateway, settings: api.Settings) -> None:
        """Create the store's client and connect it to `gateway`.

        Args:
            options: The `[quota]` table of the operators' file.
            config_path: The limiter's configuration, which has the address of the platform's counter.
            gateway: The limiter's gateway, with a coordinator of the class from `options`.
            settings: The limiter's settings.

        Raises:
            ConfigError: The store has no usable address, or its extra is not installed.
        """
        coordinator = gateway.limiter.quota_coordinator
        assert isinstance(coordinator, CountedCoordinator)
        self.book: LeaseBook = coordinator.book
        self._options = options
        self._config_path = config_path
        self._gateway = gateway
        self._settings = settings
        self._client = self._make_client(self._addresses())
        gateway.add_to_counter = self._send
        self._warn_of_small_slacks(coordinator)

    def _warn_of_small_slacks(self, coordinator: CountedCoordinator) -> None:
        limiter_count = self._settings.limiter_count
        if limiter_count <= 1:
            return
        parameters = self._options.parameters(limiter_count)
        for plan in self._settings.plans:
            if plan.ceiling_rate_per_s > 0:
                for text in slack_warnings(plan.name, coordinator.ceiling_bucket(plan, limiter_count), parameters):
                    log.warning("%s", text)

    def _addresses(self) -> list[tuple[str, int]]:
        try:
            if self._options.addresses:
                return [parse_address(text) for text in self._options.addresses]
            if self._options.store != "tally":
                raise ConfigError(f"[quota] store {self._options.store} needs addresses")
            return [parse_address(json.loads(self._config_path.read_text(encoding="utf-8"))["counter"])]
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise ConfigError(f"[quota] has no usable address of a counter: {error!r}") from None

    def _make_client(self, addresses: list[tuple[str, int]]) -> StoreClient:
        loop = asyncio.get_running_loop()
        options = self._options
        events = StoreEvents(self._on_answered, self._on_failed, self._on_connection_lost)
        if options.store == "tally":
            return TallyClient(loop, addresses[0], options.answer_ms, events)
        try:
            from elderlock.quota.redis_client import RedisClient, RedisOptions
        except ModuleNotFoundError as error:
            raise ConfigError(f"[quota] store {options.store} needs the extra elderlock[quota]: {error}") from None
        redis_options = RedisOptions(tuple(addresses), options.store == "cluster", options.prefix)
        return RedisClient(loop, redis_options, options.answer_ms, events)

    def _send(self, token: int, name: str, amount_units: float, lifetime_ms: float) -> None:
        self._client.send([CounterCall(token, name, amount_units, lifetime_ms)])

    def _on_answered(self, token: int, total: float) -> None:
        self._gateway.counter_answered(api.CounterAnswered(token, Outcome.OK, total, 0.0))

    def _on_failed(self, token: int, may_have_added: bool, is_busy: bool) -> None:
        if is_busy:
            outcome = Outcome.FULL
        elif may_have_added:
            outcome = Outcome.RESET
        else:
            outcome = Outcome.CONNECT_FAILED
        self._gateway.counter_answered(api.CounterAnswered(token, outcome, 0.0, 0.0))

    def _on_connection_lost(self) -> None:
        self.book.connection_lost(self._gateway.now_ms())

    def reload(self) -> None:
        """Connect to the counter's address in the current configuration; an unusable file changes nothing."""
        try:
            addresses = self._addresses()
        except ConfigError as error:
            log.error("the counter's address is not changed: %s", error)  # noqa: TRY400
            return
        if isinstance(self._client, TallyClient):
            self._client.follow(addresses[0])

    def status(self, max_leases: int) -> messages.CounterStatus:
        """Return the counter's state, with the leases of the `max_leases` customers with the highest use."""
        book = self.book
        now_ms = self._gateway.now_ms()
        busiest = nlargest(max_leases, book.ledgers.values(), key=lambda ledger: ledger.own_use.rate_per_s(now_ms))
        return messages.CounterStatus(
            mode=book.mode.value,
            since_ms=now_ms - book.health.changed_at_ms,
            generation=book.health.generation,
            accounts=len(book.ledgers),
            calls=book.calls_made,
            calls_per_s=book.budget.rate_per_s,
            error_units=self._largest_error_units(now_ms),
            leases=tuple(self._lease_status(ledger, now_ms) for ledger in busiest),
        )

    def _largest_error_units(self, now_ms: float) -> float:
        """Return the largest stated error of all plans, which grows while this limiter is cut off."""
        parameters = self._options.parameters(self._settings.limiter_count)
        is_shared = self.book.mode is CounterMode.SHARED
        cut_off_ms = 0.0 if is_shared else now_ms - self.book.health.changed_at_ms
        buckets = [
            SharedBucket(plan.rate_per_s, plan.burst_units, self._settings.limiter_count)
            for plan in self._settings.plans
            if plan.rate_per_s > 0
        ]
        errors = (
            shared_error_units(bucket, parameters) + cut_off_error_units(bucket, cut_off_ms) for bucket in buckets
        )
        return max(errors, default=0.0)

    @staticmethod
    def _lease_status(ledger: LeaseLedger, now_ms: float) -> messages.LeaseStatus:
        return messages.LeaseStatus(
            ledger.key,
            ledger.level_units(now_ms),
            ledger.bucket.burst_units,
            ledger.leased_units(),
            ledger.unreported_units,
        )

    def close(self) -> None:
        """Close the store's client."""
        self._client.close()
