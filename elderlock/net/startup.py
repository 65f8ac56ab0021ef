"""Starts a limiter: creates and connects its parts, and opens the listener once there is a server list."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.net.client_listener import ClientListener
from elderlock.net.clock import Clock
from elderlock.net.config import Config
from elderlock.net.discovery import Discovery
from elderlock.net.gateway import Gateway
from elderlock.net.memory_budget import DEFAULT_PROGRAM_MB, MemoryBudget, measured_program_mb
from elderlock.net.peers import PeerTransport
from elderlock.net.signals import handle_reload_signal, handle_stop_signals

# How long to wait for the first list from discovery before clients are accepted without it.
FIRST_LIST_TIMEOUT_S = 1.0

log = logging.getLogger(__name__)


class OptionalFeatures(Protocol):
    """The features that the operators' file enables (`elderlock.operators`), in the order of the calls."""

    def with_routing(self, config: Config) -> Config:
        """Return the configuration with the file's routing."""

    def coordinator_type(self, limiter_count: int) -> type[QuotaCoordinator]:
        """Return the class of the limiter's part that decides whether requests are within the shared quota."""

    def limiter_type(self, settings: api.Settings) -> type[Limiter]:
        """Return the limiter's class."""

    async def attach(
        self,
        gateway: Gateway,
        clients: ClientListener,
        config: Config,
        discovery_status: Callable[[], str],
        stop: Callable[[], None],
    ) -> None:
        """Start the features that must receive the first server list; called before the gateway starts."""

    async def start_authz(self) -> None:
        """Start the authorisation service; called after the listener for clients is open."""

    def reload(self) -> None:
        """Read the files again that a reload may change."""

    async def stop_authz(self) -> None:
        """Drain the authorisation service, while clients are still answered."""

    def close(self) -> None:
        """Close the other features."""


@dataclass(frozen=True, slots=True)
class RunningLimiter:
    """A limiter's parts while it runs.

    Attributes:
        config: Its configuration.
        gateway: Passes events to the limiter and carries out its actions.
        listener: The listener for clients.
        discovery: Follows the server list.
        peers: Datagrams to the other limiters; None without peers.
        features: The optional features; None without an operators' file.
    """

    config: Config
    gateway: Gateway
    listener: ClientListener
    discovery: Discovery
    peers: PeerTransport | None
    features: OptionalFeatures | None


async def start_limiter(config: Config, features: OptionalFeatures | None, stop: asyncio.Event) -> RunningLimiter:
    """Start a limiter; returns once clients can connect.

    Args:
        config: The configuration.
        features: The optional features; None without an operators' file.
        stop: Set by SIGTERM, SIGINT or an operator's command; the caller then has to shut the limiter down.

    Raises:
        OSError: An address cannot be bound.
        ConfigError: The operators' file cannot be used.
    """
    loop = asyncio.get_running_loop()
    coordinator_type = QuotaCoordinator
    limiter_type = Limiter
    if features is not None:
        config = features.with_routing(config)
        coordinator_type = features.coordinator_type(config.settings.limiter_count)
        limiter_type = features.limiter_type(config.settings)
    memory = MemoryBudget.of(config.memory_mb, max(DEFAULT_PROGRAM_MB, measured_program_mb()))
    gateway = Gateway(loop, config, Clock(), coordinator_type, limiter_type, memory)
    discovery = Discovery(config.socket_settings, gateway.server_list_received)
    handle_reload_signal(loop, discovery, None)
    handle_stop_signals(loop, stop)
    peers = await _open_peer_transport(loop, config, gateway)
    listener = ClientListener(loop, gateway, config.max_descriptors)
    if features is not None:
        handle_reload_signal(loop, discovery, features.reload)
        await features.attach(gateway, listener, config, discovery.address, stop.set)
    gateway.start()
    discovery.follow(config.discovery_address)
    await _wait_for_first_list(gateway)
    await listener.listen(*config.listen_address)
    if features is not None:
        await features.start_authz()
    gc.collect()
    gc.freeze()  # objects created at start-up stay alive, so the garbage collector can skip them
    log.info("%s listens on %s:%d", config.name, *config.listen_address)
    return RunningLimiter(config, gateway, listener, discovery, peers, features)


async def _open_peer_transport(
    loop: asyncio.AbstractEventLoop, config: Config, gateway: Gateway
) -> PeerTransport | None:
    if config.peer_listen_address is None:
        return None
    peers = PeerTransport(
        config.peer_addresses,
        config.broadcast_address,
        config.settings.quota_sources.peer_messages_per_s,
        gateway.peer_message_received,
        gateway.now_ms,
    )
    await loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen_address)
    gateway.send_peer_message = peers.send
    return peers


async def _wait_for_first_list(gateway: Gateway) -> None:
    """Wait for discovery's list: the cached list may be old and is only a fallback."""
    try:
        async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
            await gateway.list_received.wait()
    except TimeoutError:
        log.warning("no server list from discovery within %g s", FIRST_LIST_TIMEOUT_S)
