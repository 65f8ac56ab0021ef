"""Real limiters as processes, each with a control socket and a gRPC address."""

import asyncio
import os
import random
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from elderlock.control import messages as m
from elderlock.control.records import Record
from elderlock.control.request_client import RequestClient
from elderlock.spawning import spawn
from elderlock.standins.certificates import write_certificates
from elderlock.standins.clients import Client
from elderlock.standins.gateways import GatewayClient
from elderlock.standins.settings import PLANS
from elderlock.standins.world import ROOT, World, free_address, random_loopback_host

# The ceiling is low enough that the load of a test is several times as high.
ENTERPRISE: dict[str, Any] = {
    "name": "enterprise",
    "price": 1.8,
    "quota-rate": 30.0,
    "burst": 60.0,
    "hard-rate": 60.0,
    "never-over-depth": 80.0,
    "hard-slack": 8.0,
}
ACCOUNT = "00000000000000aa"


class Program:
    """A limiter that runs as a process of its own.

    Attributes:
        world: The services around the limiter.
        number: The limiter's number.
        address: The gRPC address.
        socket: The path of the control socket.
        operators: The path of the operators file.
        process: The process, or None before the start.
    """

    def __init__(self, world: World, number: int, tls: bool) -> None:
        self.world, self.number = world, number
        self.address = free_address(random_loopback_host(random.SystemRandom()))
        self.socket = world.folder / f"c{number}" / "c.sock"
        self.operators = world.folder / f"operators-{number}.toml"
        text = f'[control]\nsocket = "{self.socket}"\n[authz]\nlisten = "{self.address}"\n'
        if tls:
            text += '[authz.tls]\ncertificate = "server.crt"\nkey = "server.key"\nca = "ca.crt"\n'
        text += '[[authz.askers]]\naccounts = ["*"]\n' + ('subject = "client"\n' if tls else "")
        self.operators.write_text(text)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        self.process = await spawn(
            sys.executable,
            "-B",
            "-m",
            "elderlock",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "PROXY_CONFIG": str(self.world.config_path(self.number)),
                "ELDERLOCK_OPERATORS": str(self.operators),
            },
        )

    async def client(self) -> Client:
        """Waits until the limiter answers `PING` with `PONG` and returns that connection."""
        host, _, port = self.world.listens[self.number].rpartition(":")
        while True:
            try:
                client = Client(*await asyncio.open_connection(host, int(port)))
            except OSError:
                await asyncio.sleep(0.01)
                continue
            client.send("PING")
            if await client.answer() == b"PONG":
                return client
            client.close()
            await asyncio.sleep(0.01)

    def asking(self) -> GatewayClient:
        """Opens a gRPC channel to the limiter."""
        return GatewayClient.at(self.address)

    async def count(self) -> int:
        """Returns the number of check requests and client requests that the limiter has answered."""
        caller: RequestClient[m.FromLimiter] = RequestClient(m.decode_answer, m.MAXIMUM_MESSAGE_BYTES)
        await caller.connect_unix(self.socket)
        await caller.request(m.Hello((m.PROTOCOL_VERSION,), "looker"), 10.0)
        state = await caller.request(m.GetState(caller.next_request_id()), 10.0)
        assert isinstance(state, m.LimiterState)
        caller.close()
        return state.counts.total()

    async def drain(self, *records: Record) -> None:
        """Sends drain records to the limiter over its control socket."""
        caller: RequestClient[m.FromLimiter] = RequestClient(m.decode_answer, m.MAXIMUM_MESSAGE_BYTES)
        await caller.connect_unix(self.socket)
        await caller.request(m.Hello((m.PROTOCOL_VERSION,), "a", 1), 10.0)
        assert isinstance(
            await caller.request(m.ApplyRecords(caller.next_request_id(), records), 10.0), m.RecordsApplied
        )
        caller.close()


@asynccontextmanager
async def programs(
    folder: Path,
    count: int = 1,
    tls: bool = False,
    boxes: int = 3,
    plans: Sequence[dict[str, Any]] = PLANS,
    operators: str = "",
) -> AsyncIterator[list[Program]]:
    """Starts limiters with all services around them and stops them at the end.

    Args:
        folder: The directory of all files.
        count: The number of limiters.
        tls: Whether the gRPC addresses use TLS.
        boxes: The number of servers.
        plans: The plans of all customers.
        operators: Text that is appended to the operators file of each limiter.
    """
    world = World(folder, limiters=count, boxes=boxes, plans=plans)
    await world.open()
    limiters = [Program(world, number, tls) for number in range(count)]
    for program in limiters:
        program.operators.write_text(program.operators.read_text() + operators)
    if tls:
        write_certificates(folder, hosts=[program.address.rpartition(":")[0] for program in limiters])
    try:
        for program in limiters:
            await program.start()
        for program in limiters:
            (await program.client()).close()
        yield limiters
    finally:
        for program in limiters:
            if program.process is not None and program.process.returncode is None:
                program.process.kill()
                await program.process.wait()
        await world.close()


def terms_of(first: int, spread: int, **fields: Any) -> dict[str, Any]:
    """Returns the context extensions of a check request of `ACCOUNT` with the enterprise plan."""
    return {"account": ACCOUNT, "plan": "enterprise", "spread": spread, "first": first, **fields}
