"""The components of a real limiter in the current process, for tests that inspect its state."""

from __future__ import annotations

import asyncio
from typing import Any

from elderlock.net.client_listener import ClientListener
from elderlock.net.clock import Clock
from elderlock.net.config import Config, parse_config
from elderlock.net.endpoint_list import EndpointList, parse_endpoint_list
from elderlock.net.gateway import Gateway
from elderlock.standins.clients import Client
from elderlock.standins.servers import Server
from elderlock.standins.settings import raw_config, target


class Limiter:
    """The components of a limiter connected as `__main__` does, except that the test supplies the endpoint lists.

    Attributes:
        config: The configuration.
        clock: The clock.
        gateway: The connection of the decisions with sockets and timers.
        clients: The listener for clients.
        port: The port for clients.
        version: The version of the newest endpoint list.
    """

    def __init__(self, **limits: Any) -> None:
        self.config: Config = parse_config(raw_config(**limits))
        loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.gateway = Gateway(loop, self.config, self.clock)
        self.clients = ClientListener(loop, self.gateway, self.config.max_descriptors)
        self.port = 0
        self.version = 0

    @classmethod
    async def start(cls, *servers: Server, **limits: Any) -> Limiter:
        """Starts a limiter that uses the given servers; `limits` are added to its `policy-limits`."""
        limiter = cls(**limits)
        limiter.gateway.start()
        limiter.port = await limiter.clients.listen("127.0.0.1", 0)
        if servers:
            limiter.tell(*(target(f"s-{number}", server.endpoint) for number, server in enumerate(servers)))
        return limiter

    def tell(self, *targets: dict[str, Any], complete: bool = True) -> None:
        """Delivers an endpoint list.

        Args:
            *targets: The entries of the list.
            complete: Whether this is the complete list or only the changes.
        """
        self.version += 1
        raw = {"rev": self.version, "all": complete, "targets": list(targets)}
        endpoint_list: EndpointList = parse_endpoint_list(raw, self.config.socket_settings)
        self.gateway.server_list_received(endpoint_list)

    async def client(self) -> Client:
        """Opens a connection to the limiter."""
        return await Client.connect(self.port)
