"""Reports the state of this process's limiter on its control socket, and carries out operators' drains."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from elderlock.control import messages
from elderlock.control.drain_overlay import DrainOverlay
from elderlock.control.records import Record
from elderlock.control.request_metrics import RequestMetrics
from elderlock.control.server_status import ServerStatusReader
from elderlock.net.client_listener import ClientListener
from elderlock.net.command import Command
from elderlock.net.config import Config
from elderlock.net.endpoint_list import EndpointList
from elderlock.net.gateway import Gateway
from elderlock.state import NEVER_MS

if TYPE_CHECKING:
    from elderlock.control.shared import EvidenceView

# Parts of the settings that should be the same at all limiters of a group.
GROUP_SETTINGS = ("services", "plans", "rules", "policy-limits", "family-info", "kinds", "zones", "peers-total")
DIGEST_LENGTH = 12


@dataclass(frozen=True, slots=True)
class ConfigDigests:
    """The digests of a limiter's configuration.

    Attributes:
        file: The digest of the whole file.
        parts: The digests of the parts that should be the same at all limiters of a group, by name.
    """

    file: str
    parts: dict[str, str]


@dataclass(frozen=True, slots=True)
class LimiterParts:
    """The parts of the limiter in this process that its status is read from.

    Attributes:
        gateway: Its gateway.
        clients: Its listener for clients.
        config: Its configuration.
        discovery_status: Returns the address of discovery, for display.
        stop: Shuts the process down.
    """

    gateway: Gateway
    clients: ClientListener
    config: Config
    discovery_status: Callable[[], str]
    stop: Callable[[], None]


@dataclass(frozen=True, slots=True)
class OptionalStatus:
    """The sources of the status of optional features.

    Attributes:
        counter: Returns the status of the shared counter, with the leases of at most the given number of customers;
            None without a counter.
        evidence: The shared health evidence; None where limiters do not share it.
        ceilings: Returns the status of exchanged hard ceilings, or None where limiters do not exchange them.
    """

    counter: Callable[[int], messages.CounterStatus] | None = None
    evidence: EvidenceView | None = None
    ceilings: Callable[[], messages.CeilingStatus | None] = lambda: None


def json_digest(value: Any) -> str:
    """Return a short digest of a value that can be encoded as JSON."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()[:DIGEST_LENGTH]


def config_digests(path: str) -> ConfigDigests:
    """Return the digests of a configuration file."""
    raw = json.loads(Path(path).read_text(encoding="utf-8"))
    settings = raw["settings"]
    parts = {name: json_digest(settings[name]) for name in GROUP_SETTINGS if name in settings}
    parts["limits"] = json_digest(raw.get("limits"))
    return ConfigDigests(json_digest(raw), parts)


class LimiterStatus:
    """Implements `command_authority.ControlledLimiter` for the limiter in this process.

    As the gateway's observer it applies the drains to each endpoint list and counts each answer. It changes nothing
    else in the limiter.

    Attributes:
        name: The limiter's name.
        build: The version of its program.
        pid: Its process id.
        started_at: When it started, as Unix time in ms.
        read_records: Returns the drain records in force and their digest.
        read_owner: Returns the agent that holds the claim and its epoch.
    """

    def __init__(self, running: LimiterParts, build: str, digests: ConfigDigests, optional: OptionalStatus) -> None:
        self._gateway = running.gateway
        self._clients = running.clients
        self._config = running.config
        self._discovery_status = running.discovery_status
        self._stop = running.stop
        self._digests = digests
        self._optional = optional
        self.name = running.config.name
        self.build = build
        self.pid = os.getpid()
        self.started_at = running.gateway.now_ms()
        self.read_records: Callable[[], tuple[tuple[Record, ...], str]] = lambda: ((), "")
        self.read_owner: Callable[[], tuple[str, int]] = lambda: ("", 0)
        self._metrics = RequestMetrics([plan.name for plan in running.config.settings.plans])
        self._overlay = DrainOverlay()
        self._server_status = ServerStatusReader(running.gateway, running.config, optional.evidence)
        self._drained_servers: dict[str, Record] = {}
        self._is_drained = False
        self._list_received_at_ms = NEVER_MS

    # Callbacks of the gateway

    def on_endpoint_list(self, listed: EndpointList) -> EndpointList:
        """Record an endpoint list; return it with the drains applied."""
        self._list_received_at_ms = self._gateway.now_ms()
        overlaid = self._overlay.apply_to(listed)
        self._server_status.forget_missing(self._overlay.discovered)
        return overlaid

    def on_answer(self, command: Command, latency_ms: float, answer: bytes | None) -> None:
        """Count an answer, or None for a client that disconnected."""
        self._metrics.record(command.plan_index, command.customer_id, latency_ms, answer)

    def on_load_report(self, server: str, report: bytes) -> None:
        """Store a server's load report."""
        if report:
            self._server_status.on_report(server, report, self._gateway.now_ms())

    # Methods for the command authority

    def drain(self, servers: dict[str, Record], drain_limiter: bool) -> None:
        """Drain exactly these servers, by uid, and the limiter itself if `drain_limiter`."""
        self._drained_servers = servers
        changes = self._overlay.set_drained(servers)
        if changes.servers:
            self._gateway.apply_list_changes(changes)
        if drain_limiter == self._is_drained:
            return
        self._is_drained = drain_limiter
        if drain_limiter:
            self._clients.cordon()
        else:
            self._clients.uncordon()

    def open_requests_at(self, servers: Iterable[str]) -> dict[str, int]:
        """Return the number of open requests at each of these servers, by uid."""
        known = self._gateway.limiter.endpoints.servers
        return {uid: len(known[uid].in_flight) for uid in servers if uid in known}

    def open_requests(self) -> int:
        """Return the number of all open requests."""
        return self._gateway.open_request_count

    def stop(self) -> None:
        """Shut the process down."""
        self._stop()

    def state(self, request_id: int, maximum_accounts: int) -> messages.LimiterState:
        """Return the answer to the request `request_id`, with the counts of at most `maximum_accounts` customers."""
        gateway = self._gateway
        metrics = self._metrics
        optional = self._optional
        now_ms = gateway.now_ms()
        records, records_digest = self.read_records()
        owner, owner_epoch = self.read_owner()
        host, port = self._config.listen_address
        has_list = self._list_received_at_ms > NEVER_MS
        return messages.LimiterState(
            id=request_id,
            limiter=self.name,
            build=self.build,
            pid=self.pid,
            uptime_ms=now_ms - self.started_at,
            config_digest=self._digests.file,
            config_parts=self._digests.parts,
            listen=f"{host}:{port}",
            discovery=self._discovery_status(),
            list_version=self._overlay.version,
            list_age_ms=now_ms - self._list_received_at_ms if has_list else -1.0,
            ready=gateway.has_list and not self._is_drained,
            is_drained=self._is_drained,
            open_requests=gateway.open_request_count,
            clients=len(self._clients),
            counts=metrics.total,
            plans=metrics.by_plan,
            accounts=metrics.busiest_accounts(maximum_accounts),
            accounts_known=metrics.account_count(),
            answer_p50_ms=metrics.latencies.quantile(0.5),
            answer_p99_ms=metrics.latencies.quantile(0.99),
            log_time_sum=metrics.log_time_sum,
            log_time_square_sum=metrics.log_time_square_sum,
            servers=self._server_status.statuses(self._overlay.discovered, self._drained_servers, now_ms),
            throttle=self._throttle_status(),
            peers=self._peer_statuses(now_ms),
            records=records,
            records_digest=records_digest,
            owner=owner,
            owner_epoch=owner_epoch,
            counter=optional.counter(maximum_accounts) if optional.counter is not None else None,
            shared=optional.evidence.summary(now_ms) if optional.evidence is not None else None,
            ceilings=optional.ceilings(),
        )

    def _throttle_status(self) -> messages.ThrottleStatus:
        limiter = self._gateway.limiter
        throttle = limiter.throttle
        return messages.ThrottleStatus(
            throttle.phase.name.lower(),
            throttle.leak_rate_per_s,
            limiter.maintenance.admit_rate_per_s,
            limiter.maintenance.answer_rate_per_s,
        )

    def _peer_statuses(self, now_ms: float) -> tuple[messages.PeerStatus, ...]:
        settings = self._config.settings
        owners = self._gateway.limiter.quota_coordinator.owners
        return tuple(
            messages.PeerStatus(
                number,
                owners.silent_until_ms.get(number, NEVER_MS) > now_ms,
                owners.missed_queries.get(number, 0),
            )
            for number in range(settings.limiter_count)
            if number != settings.limiter_index
        )
