"""What a limiter has beside its platform's part, as its operators' file says; loaded only when there is one."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from elderlock import interface as api
from elderlock.control.attach import ControlSocket, attach_control_socket, read_operators_file
from elderlock.decisions.keepers import Keepers
from elderlock.decisions.limiter import Limiter
from elderlock.net.clients import Clients
from elderlock.net.config import Config, ConfigError
from elderlock.net.gateway import Gateway

if TYPE_CHECKING:
    from elderlock.authz.door import Door  # loads grpc: some 30 MB
    from elderlock.control import messages as m
    from elderlock.control.shared import EvidenceView
    from elderlock.quota.attach import Quota, QuotaFile

    ShownCeilings = Callable[[], m.CeilingStatus | None]


class OptionalFeatures:
    """`routed` comes before the gateway is made, `prepare` before it starts, `open` once clients are listened for,
    `leave` and `close` at the end."""

    def __init__(self, path: Path) -> None:
        """Raises `ConfigError`."""
        self._path, self._file = path, read_operators_file(path)
        self._control: ControlSocket | None = None
        self._quota_file: QuotaFile | None = None
        self._quota: Quota | None = None
        self._door: Door | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def with_routing(self, config: Config) -> Config:
        """With the routing that the file sets. Raises `ConfigError`."""
        if self._file.routing is None:
            return config
        try:
            routing = self._file.routing.to_routing(config.settings)
        except ConfigError as error:
            raise ConfigError(f"{self._path}: {error}") from None
        return replace(config, settings=replace(config.settings, routing=routing))

    def quota_owner_type(self, limiters: int) -> type[Keepers]:
        """What the decision module asks of a customer's use. Raises `ConfigError`."""
        if self._file.quota is None:
            return Keepers
        try:
            from elderlock.quota.attach import QuotaFile
        except ModuleNotFoundError as error:
            raise ConfigError(f"{self._path}: [quota] needs the extra elderlock[quota]: {error}") from None
        import msgspec

        try:
            self._quota_file = msgspec.convert(self._file.quota, QuotaFile)
            return self._quota_file.source(limiters)
        except (ConfigError, msgspec.ValidationError) as error:
            raise ConfigError(f"{self._path}: {error}") from None

    def limiter_type(self, settings: api.Settings) -> type[Limiter]:
        """What decides. Raises `ConfigError`."""
        shared = self._file.shared
        on = [] if shared is None else [name for name in ("evidence", "ceilings") if getattr(shared, name)]
        if not on:
            return Limiter
        if not settings.capabilities.can_message_peers:
            raise ConfigError(f"{self._path}: [shared] {on[0]}: the settings do not let limiters talk to one another")
        if "ceilings" in on and self._file.quota is not None:
            raise ConfigError(f"{self._path}: [shared] ceilings: with [quota] the counter holds them")
        from elderlock.gossip.sharing import limiter_of

        return limiter_of("evidence" in on, "ceilings" in on)

    async def attach(
        self,
        gateway: Gateway,
        clients: Clients,
        config: Config,
        discovery: Callable[[], str],
        stop: Callable[[], None],
    ) -> None:
        self._gateway, self._clients = gateway, clients
        if self._quota_file is not None:
            from elderlock.quota.attach import Quota

            try:
                self._quota = Quota(self._quota_file, Path(os.environ["PROXY_CONFIG"]), gateway, config.settings)
            except ConfigError as error:
                raise ConfigError(f"{self._path}: {error}") from None
        if self._file.control is not None:
            path = os.environ["PROXY_CONFIG"]
            counter = self._quota.view if self._quota is not None else None
            self._control = await attach_control_socket(
                self._file.control,
                path,
                gateway,
                clients,
                config,
                discovery,
                stop,
                counter,
                *self._shown(gateway, config),
            )

    def _shown(self, gateway: Gateway, config: Config) -> tuple[()] | tuple[EvidenceView | None, ShownCeilings]:
        """What is shown of what limiters share."""
        if self._file.shared is None:
            return ()
        from elderlock.control.shared import EvidenceView, ceiling_status
        from elderlock.gossip.limiter import SharedLimiter

        limiter, zones = gateway.limiter, config.socket_settings.zones
        view = EvidenceView(limiter, zones) if isinstance(limiter, SharedLimiter) else None
        return view, lambda: ceiling_status(limiter)

    async def start_authz(self) -> None:
        """Raises `ConfigError` or `OSError`."""
        if self._file.authz is None:
            return
        import msgspec

        try:
            from elderlock.authz.config import AuthzError, AuthzFile
            from elderlock.authz.door import Door
        except ModuleNotFoundError as error:
            raise ConfigError(f"{self._path}: [authz] needs the extra elderlock[grpc]: {error}") from None
        try:
            file = msgspec.convert(self._file.authz, AuthzFile)
            door = Door(file, self._path.resolve().parent, self._gateway)
            await door.start()
        except (AuthzError, msgspec.ValidationError) as error:
            raise ConfigError(f"{self._path}: {error}") from None
        self._door = door
        self._clients.on_cordon = self._cordon_changed
        self._cordon_changed(self._clients.cordoned)

    def _cordon_changed(self, cordoned: bool) -> None:
        """A limiter that an operator drained tells gateways to stay away, as it tells the front by PING."""
        if self._door is not None:
            task = asyncio.get_running_loop().create_task(self._door.serving(not cordoned))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def reload(self) -> None:
        if self._quota is not None:
            self._quota.reload()
        if self._door is not None:
            self._door.reload()

    async def stop_authz(self) -> None:
        """An orderly end of what was opened, while clients are still answered."""
        if self._door is not None:
            await self._door.stop()

    def close(self) -> None:
        if self._quota is not None:
            self._quota.close()
        if self._control is not None:
            self._control.close()
