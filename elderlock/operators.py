"""Enables a limiter's optional features as its operators' file configures them. Loaded only if there is such a file.

The features are: `[control]` the control socket, `[routing]` subsets and zones, `[quota]` a shared counter, `[shared]`
health evidence and hard ceilings exchanged between limiters, `[authz]` the gRPC authorisation service. A feature's
package is loaded only if the file has its table.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from elderlock import interface as api
from elderlock.control.attach import ControlSocket, attach_control_socket, read_operators_file
from elderlock.control.limiter_status import LimiterParts, OptionalStatus
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.net.client_listener import ClientListener
from elderlock.net.config import Config, ConfigError
from elderlock.net.gateway import Gateway

if TYPE_CHECKING:
    from elderlock.authz.server import AuthzServer  # loads grpc, which takes about 30 MB
    from elderlock.quota.attach import CounterAttachment, QuotaOptions

CONFIG_PATH_VARIABLE = "PROXY_CONFIG"


class OptionalFeatures:
    """The optional features of one limiter.

    The caller calls `with_routing`, `coordinator_type` and `limiter_type` before the gateway exists, `attach` before
    the gateway starts, `start_authz` once the limiter listens for clients, and `stop_authz` and `close` at shutdown.
    """

    def __init__(self, path: Path) -> None:
        """Read the operators' file.

        Raises:
            ConfigError: The file cannot be read or is invalid.
        """
        self._path = path
        self._file = read_operators_file(path)
        self._control: ControlSocket | None = None
        self._quota_file: QuotaOptions | None = None
        self._quota: CounterAttachment | None = None
        self._authz: AuthzServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def with_routing(self, config: Config) -> Config:
        """Return the configuration with the routing of `[routing]`.

        Raises:
            ConfigError: The table is not valid with these settings.
        """
        if self._file.routing is None:
            return config
        try:
            routing = self._file.routing.to_routing(config.settings)
        except ConfigError as error:
            raise self._error(error) from None
        return replace(config, settings=replace(config.settings, routing=routing))

    def coordinator_type(self, limiter_count: int) -> type[QuotaCoordinator]:
        """Return the class that coordinates quotas between limiters: the one of `[quota]`, or the default.

        Raises:
            ConfigError: The table is invalid, or the extra that it needs is not installed.
        """
        if self._file.quota is None:
            return QuotaCoordinator
        try:
            from elderlock.quota.attach import QuotaOptions
        except ModuleNotFoundError as error:
            raise self._missing_extra("quota", "quota", error) from None
        try:
            self._quota_file = msgspec.convert(self._file.quota, QuotaOptions)
            return self._quota_file.coordinator_class(limiter_count)
        except (ConfigError, msgspec.ValidationError) as error:
            raise self._error(error) from None

    def limiter_type(self, settings: api.Settings) -> type[Limiter]:
        """Return the limiter's class: the one of `[shared]`, or the default.

        Raises:
            ConfigError: `[shared]` conflicts with the settings or with another table.
        """
        shared = self._file.shared
        if shared is None or not (shared.evidence or shared.ceilings):
            return Limiter
        if not settings.capabilities.can_message_peers:
            key = "evidence" if shared.evidence else "ceilings"
            raise self._error(f"[shared] {key}: the settings do not let limiters talk to one another")
        if shared.ceilings and self._file.quota is not None:
            raise self._error("[shared] ceilings: with [quota] the counter holds them")
        from elderlock.gossip.options import limiter_class

        return limiter_class(shared.evidence, shared.ceilings)

    async def attach(
        self,
        gateway: Gateway,
        clients: ClientListener,
        config: Config,
        discovery_status: Callable[[], str],
        stop: Callable[[], None],
    ) -> None:
        """Start the shared counter and the control socket.

        Args:
            gateway: The limiter's gateway, before it starts.
            clients: Its listener for clients.
            config: Its configuration.
            discovery_status: Returns the address of discovery, for display.
            stop: Shuts the process down.

        Raises:
            ConfigError: The file is not valid for this limiter.
            OSError: The control socket cannot be bound.
        """
        self._gateway = gateway
        self._clients = clients
        self._start_quota(gateway, config)
        if self._file.control is not None:
            running = LimiterParts(gateway, clients, config, discovery_status, stop)
            optional = self._optional_status(gateway, config)
            config_path = os.environ[CONFIG_PATH_VARIABLE]
            self._control = await attach_control_socket(self._file.control, config_path, running, optional)

    def _start_quota(self, gateway: Gateway, config: Config) -> None:
        """Start the shared counter of `[quota]`."""
        if self._quota_file is None:
            return
        from elderlock.quota.attach import CounterAttachment

        try:
            config_path = Path(os.environ[CONFIG_PATH_VARIABLE])
            self._quota = CounterAttachment(self._quota_file, config_path, gateway, config.settings)
        except ConfigError as error:
            raise self._error(error) from None

    def _optional_status(self, gateway: Gateway, config: Config) -> OptionalStatus:
        """Return the sources of the optional features' status, for the control socket."""
        counter = self._quota.status if self._quota is not None else None
        if self._file.shared is None:
            return OptionalStatus(counter)
        from elderlock.control.shared import EvidenceView, ceiling_status
        from elderlock.gossip.evidence_limiter import EvidenceLimiter

        limiter = gateway.limiter
        evidence = None
        if isinstance(limiter, EvidenceLimiter):
            evidence = EvidenceView(limiter, config.socket_settings.zones)
        return OptionalStatus(counter, evidence, lambda: ceiling_status(limiter))

    async def start_authz(self) -> None:
        """Start the authorisation service of `[authz]`.

        Raises:
            ConfigError: The table is invalid, or the extra that it needs is not installed.
            OSError: The service cannot listen on its address.
        """
        if self._file.authz is None:
            return
        try:
            from elderlock.authz.config import AuthzError, AuthzFile
            from elderlock.authz.server import AuthzServer
        except ModuleNotFoundError as error:
            raise self._missing_extra("authz", "grpc", error) from None
        try:
            options = msgspec.convert(self._file.authz, AuthzFile)
            service = AuthzServer(options, self._path.resolve().parent, self._gateway)
            await service.start()
        except (AuthzError, msgspec.ValidationError) as error:
            raise self._error(error) from None
        self._authz = service
        self._clients.on_cordon = self._on_drain_changed
        self._on_drain_changed(self._clients.is_cordoned)

    def _on_drain_changed(self, is_drained: bool) -> None:
        """Report in the service's health check whether the limiter is drained, as PING does for other clients."""
        if self._authz is not None:
            task = asyncio.get_running_loop().create_task(self._authz.set_serving(not is_drained))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def reload(self) -> None:
        """Read the features' files again, after a SIGHUP."""
        if self._quota is not None:
            self._quota.reload()
        if self._authz is not None:
            self._authz.reload()

    async def stop_authz(self) -> None:
        """Drain and stop the authorisation service, while clients are still answered."""
        if self._authz is not None:
            await self._authz.stop()

    def close(self) -> None:
        """Stop the shared counter and the control socket."""
        if self._quota is not None:
            self._quota.close()
        if self._control is not None:
            self._control.close()

    def _error(self, reason: object) -> ConfigError:
        return ConfigError(f"{self._path}: {reason}")

    def _missing_extra(self, table: str, extra: str, error: ModuleNotFoundError) -> ConfigError:
        return self._error(f"[{table}] needs the extra elderlock[{extra}]: {error}")
