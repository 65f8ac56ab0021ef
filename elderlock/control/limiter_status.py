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
from elderlock.control.drain_overlay import DrainOverlay
from elderlock.control.records import Record
from elderlock.control.request_metrics import RequestMetrics
from elderlock.decisions.endpoints import Endpoints
from elderlock.net.clients import Clients
from elderlock.net.config import Config
from elderlock.net.gateway import Command, Gateway
from elderlock.net.targets import Target, TargetList
from elderlock.state import NEVER_MS, Server

if TYPE_CHECKING:
    from elderlock.control.shared import EvidenceView

QUEUE_PATTERN = re.compile(rb"(?:^|,)queue=(\d{1,9})(?:\.\d+)?(?:,|$)")
GROUP_SETTINGS = ("services", "plans", "rules", "policy-limits", "family-info", "kinds", "zones", "peers-total")
STATE_NAMES = {api.ServerState.RUNNING: "running", api.ServerState.DRAINING: "draining"}
FAILING_ERROR_FRACTION = 0.5  # share of wrong answers from which a box counts as failing, in words


def json_digest(value: Any) -> str:
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()[:12]


def config_digests(path: str) -> tuple[str, dict[str, str]]:
    """Of the whole file, and of each part that the limiters of a group should have alike."""
    raw = json.loads(Path(path).read_text(encoding="utf-8"))
    settings = raw["settings"]
    parts = {name: json_digest(settings[name]) for name in GROUP_SETTINGS if name in settings}
    return json_digest(raw), {**parts, "limits": json_digest(raw.get("limits"))}


class LimiterStatus:
    """The gateway's watcher and the desk's face in one: it sees what passes and lays drains over lists."""

    def __init__(
        self,
        gateway: Gateway,
        clients: Clients,
        config: Config,
        build: str,
        discovery: Callable[[], str],
        stop: Callable[[], None],
        digests: tuple[str, dict[str, str]],
        counter: Callable[[int], m.CounterStatus] | None = None,
        shared: EvidenceView | None = None,
        ceilings: Callable[[], m.CeilingStatus | None] = lambda: None,
    ) -> None:
        self._gateway, self._clients, self._config = gateway, clients, config
        self._discovery, self._stop = discovery, stop
        self.name, self.build, self.pid = config.name, build, os.getpid()
        self.started_at = gateway.now()
        self.digests, self._counter, self._shared, self._ceilings = digests, counter, shared, ceilings
        self._figures = RequestMetrics([plan.name for plan in config.settings.plans])
        self._overlay = DrainOverlay()
        self._drained: dict[str, Record] = {}
        self._cordoned = False
        self._list_at = NEVER_MS
        self._reports: dict[str, tuple[bytes, float]] = {}  # as they came: read when somebody looks
        self.read_records: Callable[[], tuple[tuple[Record, ...], str]] = lambda: ((), "")
        self.read_owner: Callable[[], tuple[str, int]] = lambda: ("", 0)

    # What the gateway tells

    def listed(self, listed: TargetList) -> TargetList:
        self._list_at = self._gateway.now()
        over = self._overlay.apply_to(listed)
        if len(self._reports) > len(self._overlay.discovered):
            self._reports = {u: r for u, r in self._reports.items() if u in self._overlay.discovered}
        return over

    def answered(self, command: Command, took: float, answer: bytes | None) -> None:
        self._figures.record(command.plan_index, command.customer, took, answer)

    def reported(self, server: str, report: bytes) -> None:
        if report:
            self._reports[server] = (report, self._gateway.now())

    # What the desk wants

    def drain(self, boxes: dict[str, Record], limiter: bool) -> None:
        self._drained = boxes
        changes = self._overlay.set_drained(boxes)
        if changes.targets:
            self._gateway.changed(changes)
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
        return self._gateway.open_requests

    def stop(self) -> None:
        self._stop()

    def state(self, id: int, accounts: int) -> m.LimiterState:
        gateway, limiter, figures = self._gateway, self._gateway.limiter, self._figures
        now, throttle = gateway.now(), limiter.throttle
        records, records_digest = self.read_records()
        owner, owner_epoch = self.read_owner()
        endpoints = gateway.servers.endpoints()
        evident = self._shared.shown_keys() if self._shared is not None else set()
        host, port = self._config.listen
        return m.LimiterState(
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
            is_drained=self._cordoned,
            open_requests=gateway.open_requests,
            clients=len(self._clients),
            counts=figures.total,
            plans=figures.by_plan,
            accounts=figures.busiest_accounts(accounts),
            accounts_known=figures.account_count(),
            answer_p50_ms=figures.latencies.quantile(0.5),
            answer_p99_ms=figures.latencies.quantile(0.99),
            log_time_sum=figures.log_time_sum,
            log_time_square_sum=figures.log_time_square_sum,
            servers=tuple(
                self._box(uid, told, limiter.endpoints.servers.get(uid), endpoints.get(uid, ("", 0))[1], evident, now)
                for uid, told in sorted(self._overlay.discovered.items())
            ),
            throttle=m.ThrottleStatus(
                throttle.phase.name.lower(), throttle.leak_rate, limiter.admit_rate, limiter.answer_rate
            ),
            peers=tuple(
                m.PeerStatus(
                    number, limiter.keepers.silent.get(number, NEVER_MS) > now, limiter.keepers.missed.get(number, 0)
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
        self, uid: str, told: Target, server: Server | None, connections: int, evident: set[int], now: float
    ) -> m.ServerStatus:
        entry, record = told.entry, self._drained.get(uid)
        zones, kinds = self._config.socket_settings.zones, self._config.socket_settings.kinds
        known = server is not None and server.latency_ratio_at_ms > NEVER_MS
        queue, reported_at = self._queue(uid)
        aim = self._gateway.limiter.context.latency_objective_ms
        return m.ServerStatus(
            uid=uid,
            endpoint="%s:%d" % told.address,
            zone=zones[entry.zone] if entry.zone >= 0 else "?",
            kind=kinds[entry.kind] if entry.kind >= 0 else "?",
            weight=entry.weight,
            state=STATE_NAMES.get(entry.state, "gone"),
            open_requests=len(server.in_flight) if server is not None else 0,
            connections=connections,
            latency_ms=server.latency_ratio * aim if server is not None and known else -1.0,
            latency_age_ms=now - server.latency_ratio_at_ms if server is not None and known else -1.0,
            queue=queue,
            report_age_ms=now - reported_at if queue >= 0 else -1.0,
            unavailable_reason=self._why(entry, server, record, now),
            drained_by=record.requested_by if record is not None else "",
            generation=record.generation if record is not None else 0,
            health=self._shared.health(uid, server, evident, now) if self._shared is not None else None,
        )

    def _queue(self, uid: str) -> tuple[int, float]:
        """The latest report's `queue` and when it came; -1 where none can be read."""
        report, at = self._reports.get(uid, (b"", 0.0))
        found = QUEUE_PATTERN.search(report.rpartition(b" ")[2])
        return (int(found[1]), at) if found is not None else (-1, at)

    def _why(self, entry: api.ServerEntry, server: Server | None, record: Record | None, now: float) -> str:
        """Why no new work goes there, or less than its share; empty where nothing is held against it."""
        if record is not None:
            return f"drained by {record.requested_by}"
        if entry.state is not api.ServerState.RUNNING:
            return "discovery says it drains"
        if server is None or server.is_removed:
            return "another box has its address"
        rules = self._config.settings.rules
        age = now - entry.started_at_ms
        if entry.started_at_ms > 0 and age < rules.warm_up_ms:
            return f"cold, up for {max(age, 0.0) / 1000.0:.1f} s"
        if why := exclusion_reason(self._gateway.limiter.endpoints, server, now):
            return why
        if server.error_fraction > FAILING_ERROR_FRACTION:
            return "failing: most of its answers are errors"
        return ""


def exclusion_reason(boxes: Endpoints, server: Server, now: float) -> str:
    """Why the limiter's own routing sends it nothing; empty where it does."""
    if server.is_ejected:
        wait_s = max(server.reinstate_at_ms - now, 0.0) / 1000.0
        return f"{server.consecutive_failures} failures in a row, back in {wait_s:.1f} s"
    if server.is_on_probation:
        return "on trial, one request at a time"
    return "" if boxes.subsetting.holds(server.entry.server_id) else "not in this limiter's subset"
