"""Thousands of simulated agents, each with a port and one limiter, for tests of tools that query all agents."""

from __future__ import annotations

import asyncio
from pathlib import Path

from elderlock.control.transport import Connection, ConnectionLimits, FrameServer
from elderlock.fleet import messages
from elderlock.standins.limiters import limiter_state, server_status


class SimulatedAgents:
    """Agents that answer `Hello` and `Show` and no other message.

    Attributes:
        count: The number of agents.
        ports: The port of each agent.
    """

    def __init__(self, count: int, boxes: int = 10) -> None:
        """Creates the agents, which are not listening yet.

        Args:
            count: The number of agents.
            boxes: The number of servers that each limiter reports.
        """
        self.count = count
        self._server_statuses = [server_status(f"s-{number:02d}") for number in range(boxes)]
        self._servers: list[FrameServer[None]] = []
        self.ports: list[int] = []

    async def open(self) -> None:
        """Starts listening on a port for each agent."""
        for number in range(self.count):
            status = self._agent_status(number)

            def handle(connection: Connection[None], body: bytes, status: messages.Shown = status) -> None:
                message = messages.decode_request(body)
                if isinstance(message, messages.Hello):
                    connection.on_identified()
                    connection.send(
                        messages.encode(messages.Welcome(messages.VERSION, status.agent, "an", "operator", 1))
                    )
                elif isinstance(message, messages.Show):
                    status.id = message.id
                    connection.send(messages.encode(status))

            server: FrameServer[None] = FrameServer(
                ConnectionLimits(messages.LONGEST, messages.LONGEST_HELLO, hello_timeout_s=30.0),
                lambda: None,
                handle,
                lambda text: b"",
            )
            self.ports.append(await server.listen_tcp("127.0.0.1", 0, None))
            self._servers.append(server)

    def _agent_status(self, number: int) -> messages.Shown:
        name = f"n{number}"
        limiter = messages.LimiterStatus(
            name,
            "running",
            1000 + number,
            False,
            0,
            -1.0,
            "answering",
            "",
            5.0,
            limiter_state(name, self._server_statuses),
        )
        return messages.Shown(0, f"agent-{number}", "1", 1, 1000.0, "", (limiter,), (), ())

    def write_group(self, path: Path, token: str) -> None:
        """Writes a group file with all agents, which refers to the token file `token`."""
        lines = [f'[group]\ntoken = "{token}"\n']
        lines += [
            f'[[agent]]\nname = "agent-{number}"\naddress = "127.0.0.1:{port}"\n'
            for number, port in enumerate(self.ports)
        ]
        path.write_text("\n".join(lines))

    async def close(self) -> None:
        """Stops all agents."""
        for server in self._servers:
            server.close()
        await asyncio.sleep(0)
