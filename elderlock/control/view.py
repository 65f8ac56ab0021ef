"""The limiter of this process as its control socket shows it: reads the parts, changes only the overlay."""

from __future__ import annotations

import hashlib
import json
import os
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from elderlock import interface as api
from elderlock.control import messages as m
from elderlock.control.figures import Figures
from elderlock.control.overlay import Overlay
from elderlock.control.records import Record
from elderlock.decisions.endpoints import Endpoints
from elderlock.net.client_listener import ClientListener
from elderlock.net.command import Command
from elderlock.net.config import Config
from elderlock.net.endpoint_list import EndpointList, ListedServer
from elderlock.net.gateway import Gateway
from elderlock.state import NEVER_MS, Server

if TYPE_CHECKING:
    from elderlock.control.shared import SharedView

QUEUE = re.compile(rb"(?:^|,)queue=(\d{1,9})(?:\.\d+)?(?:,|$)")
ALIKE = ("services", "plans", "rules", "policy-limits", "family-info", "kinds", "zones", "peers-total")
WORDS = {api.ServerState.RUNNING: "running", api.ServerState.DRAINING: "draining"}
FAILING = 0.5  # share of wrong answers from which a box counts as failing, in words


def digest(value: Any) -> str:
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()[:12]


def config_digests(path: str) -> tuple[str, dict[str, str]]:
    """Of the whole file, and of each part that the limiters of a group should have alike."""
    raw = json.loads(Path(path).read_text(encoding="utf-8"))
    settings = raw["settings"]
    parts = {name: digest(settings[name]) for name in ALIKE if name in settings}
    return digest(raw), {**parts, "limits": digest(raw.get("limits"))}


class View:
    """The gateway's watcher and the desk's face in one: it sees what passes and lays drains over lists."""

    def __init__(
        self,
        gateway: Gateway,
        clients: ClientListener,
        config: Config,
        build: str,
        discovery: Callable[[], str],
        stop: Callable[[], None],
        digests: tuple[str, dict[str, str]],
        counter: Callable[[int], m.Counter] | None = None,
        shared: SharedView | None = None,
        ceilings: Callable[[], m.Ceilings | None] = lambda: None,
    ) -> None:
        self._gateway, self._clients, self._config = gateway, clients, config
        self._discovery, self._stop = discovery, stop
        self.name, self.build, self.pid = config.name, build, os.getpid()
        self.started_at = gateway.now_ms()
        self.digests, self._counter, self._shared, self._ceilings = digests, counter, shared, ceilings
        self._figures = Figures([plan.name for plan in config.settings.plans])
        self._overlay = Overlay()
        self._drained: dict[str, Record] = {}
        self._cordoned = False
        self._list_at = NEVER_MS
        self._reports: dict[str, tuple[bytes, float]] = {}  # as they came: read when somebody looks
        self.records: Callable[[], tuple[tuple[Record, ...], str]] = lambda: ((), "")
        self.owner: Callable[[], tuple[str, int]] = lambda: ("", 0)

    # What the gateway tells

    def listed(self, listed: EndpointList) -> EndpointList:
        self._list_at = self._gateway.now_ms()
        over = self._overlay.listed(listed)
        if len(self._reports) > len(self._overlay.told):
            self._reports = {u: r for u, r in self._reports.items() if u in self._overlay.told}
        return over

    def answered(self, command: Command, took: float, answer: bytes | None) -> None:
        self._figures.answered(command.plan_index, command.customer_id, took, answer)

    def reported(self, server: str, report: bytes) -> None:
        if report:
            self._reports[server] = (report, self._gateway.now_ms())

    # What the desk wants

    def drain(self, boxes: dict[str, Record], limiter: bool) -> None:
        self._drained = boxes
        changes = self._overlay.drain(boxes)
        if changes.servers:
            self._gateway.apply_list_changes(changes)
        if limiter != self._cordoned:
            self._cordoned = limiter
            if limiter:
                self._clients.cordon()
            else:
                self._clients.uncordon()

    def out(self, boxes: Iterable[str]) -> dict[str, int]:
        servers = self._gateway.limiter.endpoints.servers
        return {uid: len(servers[uid].in_flight) for uid in boxes if uid in servers}

    def open_requests(self) -> int:
        return self._gateway.open_request_count

    def stop(self) -> None:
        self._stop()

    def state(self, id: int, accounts: int) -> m.State:
        gateway, limiter, figures = self._gateway, self._gateway.limiter, self._figures
        now, throttle = gateway.now_ms(), limiter.throttle
        records, records_digest = self.records()
        owner, owner_epoch = self.owner()
        endpoints = gateway.server_pools.endpoints()
        evident = self._shared.shown() if self._shared is not None else set()
        host, port = self._config.listen_address
        return m.State(
            id=id,
            limiter=self.name,
            build=self.build,
            pid=self.pid,
            uptime_ms=now - self.started_at,
            config_digest=self.digests[0],
            config_parts=self.digests[1],
            listen=f"{host}:{port}",
            discovery=self._discovery(),
            list_version=self._overlay.version,
            list_age_ms=now - self._list_at if self._list_at > NEVER_MS else -1.0,
            ready=gateway.has_list and not self._cordoned,
            drained=self._cordoned,
            open=gateway.open_request_count,
            clients=len(self._clients),
            counts=figures.all,
            plans=figures.plans,
            accounts=figures.accounts(accounts),
            accounts_known=figures.known(),
            answer_p50_ms=figures.times.quantile(0.5),
            answer_p99_ms=figures.times.quantile(0.99),
            log_sum=figures.log_sum,
            log_squares=figures.log_squares,
            boxes=tuple(
                self._box(uid, told, limiter.endpoints.servers.get(uid), endpoints.get(uid, ("", 0))[1], evident, now)
                for uid, told in sorted(self._overlay.told.items())
            ),
            throttle=m.Throttle(
                throttle.phase.name.lower(),
                throttle.leak_rate_per_s,
                limiter.maintenance.admit_rate_per_s,
                limiter.maintenance.answer_rate_per_s,
            ),
            peers=tuple(
                m.Peer(
                    number,
                    limiter.quota_coordinator.owners.silent_until_ms.get(number, NEVER_MS) > now,
                    limiter.quota_coordinator.owners.missed_queries.get(number, 0),
                )
                for number in range(self._config.settings.limiter_count)
                if number != self._config.settings.limiter_index
            ),
            records=records,
            records_digest=records_digest,
            owner=owner,
            owner_epoch=owner_epoch,
            counter=self._counter(accounts) if self._counter is not None else None,
            shared=self._shared.summary(now) if self._shared is not None else None,
            ceilings=self._ceilings(),
        )

    def _box(
        self, uid: str, told: ListedServer, server: Server | None, connections: int, evident: set[int], now: float
    ) -> m.Box:
        entry, record = told.entry, self._drained.get(uid)
        zones, kinds = self._config.socket_settings.zones, self._config.socket_settings.kinds
        known = server is not None and server.latency_ratio_at_ms > NEVER_MS
        queue, reported_at = self._queue(uid)
        aim = self._gateway.limiter.context.latency_objective_ms
        return m.Box(
            uid=uid,
            endpoint="%s:%d" % told.address,
            floor=zones[entry.zone] if entry.zone >= 0 else "?",
            kind=kinds[entry.kind] if entry.kind >= 0 else "?",
            weight=entry.weight,
            state=WORDS.get(entry.state, "gone"),
            out=len(server.in_flight) if server is not None else 0,
            connections=connections,
            latency_ms=server.latency_ratio * aim if server is not None and known else -1.0,
            latency_age_ms=now - server.latency_ratio_at_ms if server is not None and known else -1.0,
            queue=queue,
            report_age_ms=now - reported_at if queue >= 0 else -1.0,
            left_out=self._why(entry, server, record, now),
            drained_by=record.by if record is not None else "",
            generation=record.generation if record is not None else 0,
            health=self._shared.health(uid, server, evident, now) if self._shared is not None else None,
        )

    def _queue(self, uid: str) -> tuple[int, float]:
        """The latest report's `queue` and when it came; -1 where none can be read."""
        report, at = self._reports.get(uid, (b"", 0.0))
        found = QUEUE.search(report.rpartition(b" ")[2])
        return (int(found[1]), at) if found is not None else (-1, at)

    def _why(self, entry: api.ServerEntry, server: Server | None, record: Record | None, now: float) -> str:
        """Why no new work goes there, or less than its share; empty where nothing is held against it."""
        if record is not None:
            return f"drained by {record.by}"
        if entry.state is not api.ServerState.RUNNING:
            return "discovery says it drains"
        if server is None or server.is_removed:
            return "another box has its address"
        rules = self._config.settings.rules
        age = now - entry.started_at_ms
        if entry.started_at_ms > 0 and age < rules.warm_up_ms:
            return f"cold, up for {max(age, 0.0) / 1000.0:.1f} s"
        if why := routed_away(self._gateway.limiter.endpoints, server, now):
            return why
        if server.error_fraction > FAILING:
            return "failing: most of its answers are errors"
        return ""


def routed_away(boxes: Endpoints, server: Server, now: float) -> str:
    """Why the limiter's own routing sends it nothing; empty where it does."""
    if server.is_ejected:
        wait_s = max(server.reinstate_at_ms - now, 0.0) / 1000.0
        return f"{server.consecutive_failures} failures in a row, back in {wait_s:.1f} s"
    if server.is_on_probation:
        return "on trial, one request at a time"
    return "" if boxes.subsetting.includes(server.entry.server_id) else "not in this limiter's subset"
