"""Simulated agents by the thousand, each with a port and one limiter, for tools that ask them all."""

from __future__ import annotations

import asyncio
from pathlib import Path

from elderlock.control.transport import Connection, ConnectionLimits, FrameServer
from elderlock.fleet import messages as f
from elderlock.standins.limiters import box, state


class SimulatedAgents:
    """Each answers `Hello` and `Show`, with `boxes` boxes in its limiter's view; nothing else."""

    def __init__(self, count: int, boxes: int = 10) -> None:
        self.count = count
        self._boxes = [box(f"s-{n:02d}") for n in range(boxes)]
        self._servers: list[FrameServer[None]] = []
        self.ports: list[int] = []

    async def open(self) -> None:
        for number in range(self.count):
            shown = self._shown(number)

            def handle(connection: Connection[None], body: bytes, shown: f.Shown = shown) -> None:
                message = f.decode_request(body)
                if isinstance(message, f.Hello):
                    connection.on_identified()
                    connection.send(f.encode(f.Welcome(f.VERSION, shown.agent, "an", "operator", 1)))
                elif isinstance(message, f.Show):
                    shown.id = message.id
                    connection.send(f.encode(shown))

            server: FrameServer[None] = FrameServer(
                ConnectionLimits(f.LONGEST, f.LONGEST_HELLO, hello_timeout_s=30.0),
                lambda: None,
                handle,
                lambda text: b"",
            )
            self.ports.append(await server.listen_tcp("127.0.0.1", 0, None))
            self._servers.append(server)

    def _shown(self, number: int) -> f.Shown:
        name = f"n{number}"
        limiter = f.LimiterStatus(
            name, "running", 1000 + number, False, 0, -1.0, "answering", "", 5.0, state(name, self._boxes)
        )
        return f.Shown(0, f"agent-{number}", "1", 1, 1000.0, "", (limiter,), (), ())

    def write_group(self, path: Path, token: str) -> None:
        lines = [f'[group]\ntoken = "{token}"\n']
        lines += [f'[[agent]]\nname = "agent-{n}"\naddress = "127.0.0.1:{p}"\n' for n, p in enumerate(self.ports)]
        path.write_text("\n".join(lines))

    async def close(self) -> None:
        for server in self._servers:
            server.close()
        await asyncio.sleep(0)
