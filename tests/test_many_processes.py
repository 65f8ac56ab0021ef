"""Thirty limiter processes on loopback: their total load on a server that is warming up, and a restart of all of them at
once while discovery is down."""

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

from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.servers import Server, served
from elderlock.standins.settings import default_settings, raw_config, target
from elderlock.standins.waiting import run, unix_ms, until
from elderlock.standins.world import free_address, random_loopback_host

PROCESS_COUNT, WARM_SERVER_COUNT = 30, 4
REQUEST_INTERVAL_S = 0.1  # for each client: 300 requests a second over all limiters
RULES = {"drain-grace": 250.0, "cold": 60000.0, "cold-share": 0.2, "tip-multiple": 2.0, "fall": 500.0}
READY_TIME_S = 10.0  # nine in ten processes should be ready by then; only reported, as it depends on the machine too


class RecordingServer(Server):
    """Records the arrival time of each command."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.arrival_times_ms: list[float] = []  # Unix time

    async def _answer(self, command: list[bytes]) -> bytes:
        self.arrival_times_ms.append(unix_ms())
        return served(b"value")


class Fleet:
    """The limiter processes, their servers, discovery, and one client for each limiter."""

    def __init__(self, folder: Path, peers: bool) -> None:
        rng = random.SystemRandom()
        self.folder, self.peers = folder, peers
        self.listen_addresses = [free_address(random_loopback_host(rng)) for _ in range(PROCESS_COUNT)]
        self.peer_addresses = [free_address(random_loopback_host(rng)) for _ in range(PROCESS_COUNT)]
        self.warm_servers, self.cold_server = [RecordingServer() for _ in range(WARM_SERVER_COUNT)], RecordingServer()
        self.cold_started_at_ms = 0.0  # Unix time; 0 until the cold server is listed
        self.warm_are_draining = False
        self.discovery = Discovery(rows=self.rows)
        self.processes: list[asyncio.subprocess.Process] = []
        self.clients: list[Client] = []
        self.ready_times_s: list[float] = []  # of each process, since the latest start

    def rows(self, port_index: int) -> list[dict[str, Any]]:
        state = "draining" if self.warm_are_draining else "up"
        rows = [target(f"w-{number}", server.endpoint, state) for number, server in enumerate(self.warm_servers)]
        return (
            [*rows, target("cold", self.cold_server.endpoint, boot_ms=self.cold_started_at_ms)]
            if self.cold_started_at_ms
            else rows
        )

    def send_list(self) -> None:
        self.discovery.rev += 1
        for writer, port in list(self.discovery.watch_ports.items()):
            line = {"rev": self.discovery.rev, "all": True, "targets": self.rows(0)}
            self.discovery.write_line(port, writer, json.dumps(line).encode() + b"\n")

    async def start_servers(self) -> None:
        for server in (*self.warm_servers, self.cold_server):
            await server.start()
        await self.discovery.start()

    async def start_limiters(self) -> None:
        """Start all limiters at once, each with the current list as its cached list."""
        started_at_s = time.monotonic()
        cached_list = {"rev": self.discovery.rev, "all": True, "targets": self.rows(0)}

        async def start_one(number: int) -> Client:
            raw = raw_config(self.listen_addresses[number], "%s:%d" % self.discovery.address)
            raw["seed"] = secrets.token_hex(8)
            settings = {
                **default_settings(peers=self.peers),
                "ordinal": number,
                "peers-total": PROCESS_COUNT,
                "rules": RULES,
            }
            settings["plans"] = [{"name": "team", "quota-rate": 1e5, "burst": 1e5}]
            if self.peers:
                raw.update(peers=self.peer_addresses, peer_listen=self.peer_addresses[number])
            self.processes.append(
                await start_program(self.folder / f"{number}.json", {**raw, "settings": settings, "known": cached_list})
            )
            host, _, port = self.listen_addresses[number].rpartition(":")
            client = await connect_when_ready(int(port), host)
            self.ready_times_s.append(time.monotonic() - started_at_s)
            return client

        self.ready_times_s, self.processes = [], []
        self.clients = await asyncio.gather(*map(start_one, range(PROCESS_COUNT)))

    async def kill_limiters(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in self.processes))
        for client in self.clients:
            client.close()

    async def send_requests(self, rounds: int, pause_s: float = REQUEST_INTERVAL_S) -> None:
        """Send `rounds` requests from each client, one after the other, and from all clients in parallel."""

        async def send_from(number: int, client: Client) -> None:
            for round_number in range(rounds):
                assert (
                    await client.ask(f"{number:x}-{round_number:x}-{time.monotonic_ns():x}", first=number, spread=1)
                    is not None
                )
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(send_from(number, client) for number, client in enumerate(self.clients)))

    def warm_server_rate(self) -> float:
        """Return the mean rate of commands at a warm server, per second."""
        arrivals_ms = sorted(time_ms for server in self.warm_servers for time_ms in server.arrival_times_ms)
        return 1000.0 * len(arrivals_ms) / WARM_SERVER_COUNT / (arrivals_ms[-1] - arrivals_ms[0])

    def cold_windows(self, warm_rate: float) -> Iterator[tuple[int, float]]:
        """Yield the number of commands and the allowed number, for each time window that ends with a command to the
        cold server."""
        for last, end_ms in enumerate(self.cold_server.arrival_times_ms):
            count = sum(time_ms > end_ms - RULES["fall"] for time_ms in self.cold_server.arrival_times_ms[: last + 1])
            share = RULES["cold-share"] + (1.0 - RULES["cold-share"]) * min(
                1.0, (end_ms - self.cold_started_at_ms) / RULES["cold"]
            )
            yield count, RULES["tip-multiple"] * share * warm_rate * RULES["fall"] / 1000.0


@pytest.mark.alone
def test_warm_up_of_a_server_and_restart_of_all_limiters_while_discovery_is_down(
    tmp_path: Path, record_property: Any
) -> None:
    async def test(peers: bool) -> None:
        fleet = Fleet(tmp_path, peers)
        await fleet.start_servers()
        try:
            await fleet.start_limiters()
            await fleet.send_requests(25)
            warm_rate = fleet.warm_server_rate()
            fleet.cold_started_at_ms = unix_ms()
            fleet.send_list()
            await fleet.send_requests(10)
            # All warm servers drain: each limiter closes its idle connections to them when it gets the list.
            fleet.warm_are_draining = True
            fleet.send_list()
            await until(lambda: not any(server.writers for server in fleet.warm_servers))
            await fleet.send_requests(4, pause_s=0.0)

            assert fleet.cold_server.arrival_times_ms  # it gets requests
            await fleet.kill_limiters()
            fleet.discovery.holds_answers = fleet.discovery.ignores_requests = True
            call_count = len(fleet.discovery.requested_paths)
            await fleet.start_limiters()  # they become ready although discovery does not answer
            assert len(fleet.discovery.requested_paths) > call_count
            await fleet.send_requests(4, pause_s=0.0)
            excessive_windows = [
                (count, allowed)
                for count, allowed in fleet.cold_windows(warm_rate)
                if count > allowed + 2.0 * sqrt(allowed) + 2.0
            ]
            assert excessive_windows == []

            # All limiters apply a list again: the warm servers are back.
            counts_before = [len(server.arrival_times_ms) for server in fleet.warm_servers]
            fleet.warm_are_draining = fleet.discovery.holds_answers = fleet.discovery.ignores_requests = False
            fleet.discovery.rev += 1
            watch_count = len(fleet.discovery.watch_ports)
            await until(lambda: len(fleet.discovery.watch_ports) >= watch_count + PROCESS_COUNT)
            await fleet.send_requests(1, pause_s=0.0)
            assert sum(len(server.arrival_times_ms) for server in fleet.warm_servers) > sum(counts_before)
        finally:
            await fleet.kill_limiters()
        ready_fraction = sum(ready_s <= READY_TIME_S for ready_s in fleet.ready_times_s) / PROCESS_COUNT
        record_property("ready_within_10_s", ready_fraction)
        print(
            f"sent to the cold server {len(fleet.cold_server.arrival_times_ms)}, "
            f"in a window {max(fleet.cold_windows(warm_rate))}, "
            f"ready within {READY_TIME_S:g} s of a restart of all: {ready_fraction:.2f}, the last after "
            f"{max(fleet.ready_times_s):.1f} s",
            file=sys.stderr,
        )

    for peers in (True, False):  # one after the other, as each uses all CPUs
        run(test(peers), within=180.0)
