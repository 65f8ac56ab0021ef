"""Reports a limiter's view of its servers, for the control socket."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from elderlock import interface as api
from elderlock.control import messages
from elderlock.control.records import Record
from elderlock.decisions.endpoints import Endpoints
from elderlock.net.config import Config
from elderlock.net.endpoint_list import ListedServer
from elderlock.net.gateway import Gateway
from elderlock.state import NEVER_MS, Server

if TYPE_CHECKING:
    from elderlock.control.shared import EvidenceView

QUEUE_PATTERN = re.compile(rb"(?:^|,)queue=(\d{1,9})(?:\.\d+)?(?:,|$)")
STATE_NAMES = {api.ServerState.RUNNING: "running", api.ServerState.DRAINING: "draining"}
FAILING_ERROR_FRACTION = 0.5  # a server with a greater fraction of errors is reported as failing
MS_PER_S = 1000.0
NO_QUEUE = -1


class _LoadReport(NamedTuple):
    """An unparsed load report; it is parsed only when the status is requested."""

    body: bytes
    received_at_ms: float


class ServerStatusReader:
    """Reads the status of each server from the parts of the limiter, without changing them."""

    def __init__(self, gateway: Gateway, config: Config, evidence: EvidenceView | None) -> None:
        self._gateway = gateway
        self._config = config
        self._evidence = evidence
        self._reports: dict[str, _LoadReport] = {}

    def on_report(self, uid: str, report: bytes, now_ms: float) -> None:
        """Store a server's load report."""
        self._reports[uid] = _LoadReport(report, now_ms)

    def forget_missing(self, discovered: Mapping[str, ListedServer]) -> None:
        """Forget the load reports of servers that discovery has removed."""
        if len(self._reports) > len(discovered):
            self._reports = {uid: report for uid, report in self._reports.items() if uid in discovered}

    def statuses(
        self, discovered: Mapping[str, ListedServer], drained: Mapping[str, Record], now_ms: float
    ) -> tuple[messages.ServerStatus, ...]:
        """Return the status of each server.

        Args:
            discovered: The servers as discovery reports them, by uid.
            drained: The drain records in force, by uid.
            now_ms: The current time of the gateway's clock.
        """
        connections = {uid: count for uid, (_, count) in self._gateway.server_pools.endpoints().items()}
        shown_keys = self._evidence.shown_keys() if self._evidence is not None else set()
        servers = self._gateway.limiter.endpoints.servers
        statuses = []
        for uid, target in sorted(discovered.items()):
            server = servers.get(uid)
            record = drained.get(uid)
            health = self._evidence.health(uid, server, shown_keys, now_ms) if self._evidence is not None else None
            statuses.append(self._status(target, server, record, connections.get(uid, 0), health, now_ms))
        return tuple(statuses)

    def _status(
        self,
        target: ListedServer,
        server: Server | None,
        record: Record | None,
        connections: int,
        health: messages.ServerHealth | None,
        now_ms: float,
    ) -> messages.ServerStatus:
        entry = target.entry
        zones = self._config.socket_settings.zones
        kinds = self._config.socket_settings.kinds
        objective_ms = self._gateway.limiter.context.latency_objective_ms
        latency_ms = -1.0
        latency_age_ms = -1.0
        if server is not None and server.latency_ratio_at_ms > NEVER_MS:
            latency_ms = server.latency_ratio * objective_ms
            latency_age_ms = now_ms - server.latency_ratio_at_ms
        queue = self._queue_length(entry.server_id)
        report_age_ms = -1.0
        if queue != NO_QUEUE:
            report_age_ms = now_ms - self._reports[entry.server_id].received_at_ms
        return messages.ServerStatus(
            uid=entry.server_id,
            endpoint="%s:%d" % target.address,
            zone=zones[entry.zone] if entry.zone >= 0 else "?",
            kind=kinds[entry.kind] if entry.kind >= 0 else "?",
            weight=entry.weight,
            state=STATE_NAMES.get(entry.state, "gone"),
            open_requests=len(server.in_flight) if server is not None else 0,
            connections=connections,
            latency_ms=latency_ms,
            latency_age_ms=latency_age_ms,
            queue=queue,
            report_age_ms=report_age_ms,
            unavailable_reason=self._unavailable_reason(entry, server, record, now_ms),
            drained_by=record.requested_by if record is not None else "",
            generation=record.generation if record is not None else 0,
            health=health,
        )

    def _queue_length(self, uid: str) -> int:
        """Return the queue length in a server's latest load report; -1 if there is none or it cannot be parsed."""
        report = self._reports.get(uid)
        if report is None:
            return NO_QUEUE
        match = QUEUE_PATTERN.search(report.body.rpartition(b" ")[2])
        return int(match[1]) if match is not None else NO_QUEUE

    def _unavailable_reason(
        self, entry: api.ServerEntry, server: Server | None, record: Record | None, now_ms: float
    ) -> str:
        """Return why a server gets no new requests, or fewer than its weight; empty if there is no such reason."""
        if record is not None:
            return f"drained by {record.requested_by}"
        if entry.state is not api.ServerState.RUNNING:
            return "discovery says it drains"
        if server is None or server.is_removed:
            return "another box has its address"
        age_ms = now_ms - entry.started_at_ms
        if entry.started_at_ms > 0 and age_ms < self._config.settings.rules.warm_up_ms:
            return f"cold, up for {max(age_ms, 0.0) / MS_PER_S:.1f} s"
        if reason := exclusion_reason(self._gateway.limiter.endpoints, server, now_ms):
            return reason
        if server.error_fraction > FAILING_ERROR_FRACTION:
            return "failing: most of its answers are errors"
        return ""


def exclusion_reason(endpoints: Endpoints, server: Server, now_ms: float) -> str:
    """Return why the limiter's routing excludes or restricts a server; empty if it does not."""
    if server.is_ejected:
        wait_s = max(server.reinstate_at_ms - now_ms, 0.0) / MS_PER_S
        return f"{server.consecutive_failures} failures in a row, back in {wait_s:.1f} s"
    if server.is_on_probation:
        return "on trial, one request at a time"
    if not endpoints.subsetting.includes(server.entry.server_id):
        return "not in this limiter's subset"
    return ""
