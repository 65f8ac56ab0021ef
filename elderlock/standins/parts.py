"""The real limiter's parts in this process, for tests that look inside."""

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
    """The program's parts wired as `__main__` does, with lists told by the test in place of discovery."""

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
        limiter = cls(**limits)
        limiter.gateway.start()
        limiter.port = await limiter.clients.listen("127.0.0.1", 0)
        if servers:
            limiter.tell(*(target(f"s-{n}", server.endpoint) for n, server in enumerate(servers)))
        return limiter

    def tell(self, *targets: dict[str, Any], complete: bool = True) -> None:
        self.version += 1
        raw = {"rev": self.version, "all": complete, "targets": list(targets)}
        listed: EndpointList = parse_endpoint_list(raw, self.config.socket_settings)
        self.gateway.server_list_received(listed)

    async def client(self) -> Client:
        return await Client.connect(self.port)
