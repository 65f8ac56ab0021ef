"""Thirty processes of the program on loopback: what all send a cold server together, and a restart of all at once while
discovery is down."""

import asyncio
import json
import random
import secrets
import signal
import sys
import time
from collections.abc import Iterator
from math import sqrt
from pathlib import Path
from typing import Any

import pytest
from programs import connect_when_ready, start_program

from elderlock.standins.boxes import Server, served
from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.settings import facts, raw_config, target
from elderlock.standins.waiting import run, unix_ms, until
from elderlock.standins.world import free_address, own_host

PROCESSES, WARM = 30, 4
EVERY = 0.1  # s between two requests of a client: 300 a second over the fleet
RULES = {"drain-grace": 250.0, "cold": 60000.0, "cold-share": 0.2, "tip-multiple": 2.0, "fall": 500.0}
READY_WITHIN = 10.0  # s that nine in ten have; reported, as it is the machine's as well as ours


class Lookup(Server):
    """Keeps when each command came."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.came: list[float] = []  # Unix ms

    async def _answer(self, command: list[bytes]) -> bytes:
        self.came.append(unix_ms())
        return served(b"value")


class Fleet:
    def __init__(self, folder: Path, peers: bool) -> None:
        rng = random.SystemRandom()
        self.folder, self.peers = folder, peers
        self.listens = [free_address(own_host(rng)) for _ in range(PROCESSES)]
        self.addresses = [free_address(own_host(rng)) for _ in range(PROCESSES)]
        self.warm, self.cold = [Lookup() for _ in range(WARM)], Lookup()
        self.cold_at = 0.0
        self.draining = False
        self.discovery = Discovery(rows=self.rows)
        self.processes: list[asyncio.subprocess.Process] = []
        self.clients: list[Client] = []
        self.ready_after: list[float] = []  # s, of the latest start

    def rows(self, door: int) -> list[dict[str, Any]]:
        state = "draining" if self.draining else "up"
        rows = [target(f"w-{n}", server.endpoint, state) for n, server in enumerate(self.warm)]
        return [*rows, target("cold", self.cold.endpoint, boot_ms=self.cold_at)] if self.cold_at else rows

    def tell(self) -> None:
        self.discovery.rev += 1
        for writer, door in list(self.discovery.watching.items()):
            line = {"rev": self.discovery.rev, "all": True, "targets": self.rows(0)}
            self.discovery.line(door, writer, json.dumps(line).encode() + b"\n")

    async def open(self) -> None:
        for server in (*self.warm, self.cold):
            await server.start()
        await self.discovery.start()

    async def start(self) -> None:
        """All at once, each with the list as it was."""
        began = time.monotonic()
        known = {"rev": self.discovery.rev, "all": True, "targets": self.rows(0)}

        async def one(number: int) -> Client:
            raw = raw_config(self.listens[number], "%s:%d" % self.discovery.address)
            raw["seed"] = secrets.token_hex(8)
            settings = {**facts(peers=self.peers), "ordinal": number, "peers-total": PROCESSES, "rules": RULES}
            settings["plans"] = [{"name": "team", "quota-rate": 1e5, "burst": 1e5}]
            if self.peers:
                raw.update(peers=self.addresses, peer_listen=self.addresses[number])
            self.processes.append(
                await start_program(self.folder / f"{number}.json", {**raw, "settings": settings, "known": known})
            )
            host, _, port = self.listens[number].rpartition(":")
            client = await connect_when_ready(int(port), host)
            self.ready_after.append(time.monotonic() - began)
            return client

        self.ready_after, self.processes = [], []
        self.clients = await asyncio.gather(*map(one, range(PROCESSES)))

    async def kill(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in self.processes))
        for client in self.clients:
            client.close()

    async def work(self, rounds: int, pause: float = EVERY) -> None:
        """Each client asks so often, all at once and one request after the other."""

        async def one(number: int, client: Client) -> None:
            for turn in range(rounds):
                assert (
                    await client.ask(f"{number:x}-{turn:x}-{time.monotonic_ns():x}", first=number, spread=1) is not None
                )
                await asyncio.sleep(pause)

        await asyncio.gather(*(one(number, client) for number, client in enumerate(self.clients)))

    def carried(self) -> float:
        """What a warm server carries, in commands a second."""
        came = sorted(at for server in self.warm for at in server.came)
        return 1000.0 * len(came) / WARM / (came[-1] - came[0])

    def windows(self, carried: float) -> Iterator[tuple[int, float]]:
        """For each window that ends with a call to the cold server: its calls, and what the settings allow then."""
        for last, at in enumerate(self.cold.came):
            count = sum(before > at - RULES["fall"] for before in self.cold.came[: last + 1])
            share = RULES["cold-share"] + (1.0 - RULES["cold-share"]) * min(1.0, (at - self.cold_at) / RULES["cold"])
            yield count, RULES["tip-multiple"] * share * carried * RULES["fall"] / 1000.0


@pytest.mark.alone
def test_warm_up_of_a_server_and_restart_of_all_limiters_while_discovery_is_down(
    tmp_path: Path, record_property: Any
) -> None:
    async def test(peers: bool) -> None:
        fleet = Fleet(tmp_path, peers)
        await fleet.open()
        try:
            await fleet.start()
            await fleet.work(25)
            carried = fleet.carried()
            fleet.cold_at = unix_ms()
            fleet.tell()
            await fleet.work(10)
            # all other servers go: each limiter has closed its idle connections there once it has been told
            fleet.draining = True
            fleet.tell()
            await until(lambda: not any(server.writers for server in fleet.warm))
            await fleet.work(4, pause=0.0)

            assert fleet.cold.came  # it is used
            await fleet.kill()
            fleet.discovery.muted = fleet.discovery.hangs = True
            asked = len(fleet.discovery.asked)
            await fleet.start()  # ready, though discovery has answered nobody
            assert len(fleet.discovery.asked) > asked
            await fleet.work(4, pause=0.0)
            beyond = [(n, allowed) for n, allowed in fleet.windows(carried) if n > allowed + 2.0 * sqrt(allowed) + 2.0]
            assert beyond == []

            # and what is taken by all of them: warm servers are up again
            before = [len(server.came) for server in fleet.warm]
            fleet.draining = fleet.discovery.muted = fleet.discovery.hangs = False
            fleet.discovery.rev += 1
            watching = len(fleet.discovery.watching)
            await until(lambda: len(fleet.discovery.watching) >= watching + PROCESSES)
            await fleet.work(1, pause=0.0)
            assert sum(len(server.came) for server in fleet.warm) > sum(before)
        finally:
            await fleet.kill()
        within = sum(after <= READY_WITHIN for after in fleet.ready_after) / PROCESSES
        record_property("ready_within_10_s", within)
        print(
            f"sent to the cold server {len(fleet.cold.came)}, in a window {max(fleet.windows(carried))}, "
            f"ready within {READY_WITHIN:g} s of a restart of all: {within:.2f}, the last after "
            f"{max(fleet.ready_after):.1f} s",
            file=sys.stderr,
        )

    for peers in (True, False):  # one after the other, as each fills the machine
        run(test(peers), within=180.0)
