"""Gives a limiter its counter, as `[quota]` of its operators' file says. Loaded only where that is there."""

from __future__ import annotations

import asyncio
import json
import logging
from heapq import nlargest
from pathlib import Path
from typing import Annotated, Literal, Protocol

import msgspec

from elderlock import interface as api
from elderlock.control import messages as m
from elderlock.interface import Outcome
from elderlock.net.config import ConfigError, address_of
from elderlock.net.gateway import Gateway
from elderlock.quota.book import Book, Call
from elderlock.quota.bound import cut_off, shared, warnings
from elderlock.quota.counted import Counted
from elderlock.quota.health import Mode
from elderlock.quota.tally import Tally
from elderlock.quota.terms import SECOND, Store, Terms

HEARTBEAT, HEARTBEAT_EACH = 500.0, 5.0  # ms between calls to sentinels, and for each limiter: 200 a second in all
log = logging.getLogger(__name__)
Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class QuotaFile(msgspec.Struct, forbid_unknown_fields=True):
    """`[quota]` of the operators' file. `store`: `tally` (the platform's), `redis` (one server) or `cluster`.
    `addresses`: of the store; for `tally` the one that the configuration names, if empty. `prefix`: before each name
    in Redis."""

    store: Literal["tally", "redis", "cluster"] = "tally"
    addresses: tuple[str, ...] = ()
    prefix: str = "elderlock:"
    answer_ms: Positive = 50.0
    skew_ms: Annotated[float, msgspec.Meta(ge=0.0)] = 10.0
    calls_per_s: Positive = 100.0
    cut_most_s: Positive = 600.0

    def terms(self, limiters: int) -> Terms:
        """Raises `ConfigError`."""
        try:
            return Terms(
                answer_within=self.answer_ms,
                skew=self.skew_ms,
                calls=self.calls_per_s,
                cut_most=self.cut_most_s * SECOND,
                heartbeat=max(HEARTBEAT, HEARTBEAT_EACH * limiters),
            )
        except ValueError as error:
            raise ConfigError(f"[quota] {error}") from None

    def source(self, limiters: int) -> type[Counted]:
        """What stands in the keepers' place in the decision module."""
        return type("Counted", (Counted,), {"terms": self.terms(limiters)})


class StoreClient(Protocol):
    def send(self, calls: list[Call]) -> None: ...

    def close(self) -> None: ...


class Quota:
    """Carries the module's calls to the store and what comes back to the module."""

    def __init__(self, file: QuotaFile, config: Path, gateway: Gateway, settings: api.Settings) -> None:
        """Raises `ConfigError`."""
        self._file, self._config, self._gateway, self._settings = file, config, gateway, settings
        keepers = gateway.limiter.keepers
        assert isinstance(keepers, Counted)
        self.book: Book = keepers.book
        self._client = self._made(self._addresses())
        gateway.tally = self._send
        for plan in settings.plans:
            if plan.ceiling_rate_per_s > 0 and settings.limiter_count > 1:
                store = keepers.store(plan, settings.limiter_count, True)
                for text in warnings(plan.name, store, file.terms(settings.limiter_count)):
                    log.warning("%s", text)

    def _addresses(self) -> list[tuple[str, int]]:
        try:
            if self._file.addresses:
                return [address_of(text) for text in self._file.addresses]
            if self._file.store != "tally":
                raise ConfigError(f"[quota] store {self._file.store} needs addresses")
            return [address_of(json.loads(self._config.read_text(encoding="utf-8"))["counter"])]
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise ConfigError(f"[quota] has no counter's address to use: {error!r}") from None

    def _made(self, addresses: list[tuple[str, int]]) -> StoreClient:
        loop, within = asyncio.get_running_loop(), self._file.answer_ms
        if self._file.store == "tally":
            return Tally(loop, addresses[0], within, self._answered, self._unanswered, self._off)
        try:
            from elderlock.quota.redis_store import RedisStore
        except ModuleNotFoundError as error:
            raise ConfigError(f"[quota] store {self._file.store} needs the extra elderlock[quota]: {error}") from None
        cluster = self._file.store == "cluster"
        return RedisStore(
            loop, addresses, cluster, self._file.prefix, within, self._answered, self._unanswered, self._off
        )

    def _send(self, token: int, name: str, amount: float, life: float) -> None:
        self._client.send([Call(token, name, amount, life)])

    def _answered(self, token: int, total: float) -> None:
        self._gateway.counted(api.CounterAnswered(token, Outcome.OK, total, 0.0))

    def _unanswered(self, token: int, may_have_added: bool, busy: bool) -> None:
        outcome = Outcome.FULL if busy else Outcome.RESET if may_have_added else Outcome.CONNECT_FAILED
        self._gateway.counted(api.CounterAnswered(token, outcome, 0.0, 0.0))

    def _off(self) -> None:
        self.book.off(self._gateway.now())

    def reload(self) -> None:
        """The configuration may name another counter now; a bad file changes nothing."""
        try:
            addresses = self._addresses()
        except ConfigError as error:
            return log.error("the counter stays where it was: %s", error)
        if isinstance(self._client, Tally):
            self._client.follow(addresses[0])

    def view(self, most: int) -> m.CounterStatus:
        """With the leases of the `most` customers that use most."""
        book, terms, now = self.book, self._file.terms(self._settings.limiter_count), self._gateway.now()
        off = now - book.health.changed_at if book.mode is not Mode.SHARED else 0.0
        stores = [
            Store(p.rate_per_s, p.burst_units, self._settings.limiter_count)
            for p in self._settings.plans
            if p.rate_per_s > 0
        ]
        errors = [shared(store, terms) + cut_off(store, terms, off) for store in stores]
        busiest = nlargest(most, book.ledgers.values(), key=lambda ledger: ledger.rate_now(now))
        return m.CounterStatus(
            mode=book.mode.value,
            since_ms=now - book.health.changed_at,
            generation=book.health.generation,
            accounts=len(book.ledgers),
            calls=book.made,
            calls_per_s=book.budget.rate,
            error_units=max(errors, default=0.0),
            leases=tuple(
                m.LeaseStatus(
                    one.key, one.level(now), one.store.burst, sum(lease.units for lease in one.leases), one.owed
                )
                for one in busiest
            ),
        )

    def close(self) -> None:
        self._client.close()
