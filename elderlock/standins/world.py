"""Sets up the surroundings of a whole limiter group on loopback.

Starts simulated servers of two kinds, discovery, the shared counter and the datagram relays, and writes the
configuration files with which limiters and agents are started.
"""

from __future__ import annotations

import json
import os
import random
import secrets
import socket
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from elderlock.standins.counter import Counter
from elderlock.standins.discovery import Registry
from elderlock.standins.network import Network
from elderlock.standins.servers import OLD, STD, Kind, SimulatedServer
from elderlock.standins.settings import FLOORS, PLANS, group_settings

ROOT = Path(__file__).parent.parent.parent
OPERATORS = ("an", "binh")


def random_loopback_host(rng: random.Random) -> str:
    """Returns a random loopback address for a listener that has to reopen the same port after a restart.

    Outgoing connections use 127.0.0.1 as their source address, so none of them can occupy the port on this
    address while the listener is closed.
    """
    return f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}"


def free_address(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> str:
    """Returns `host:port` with a port that was free a moment ago.

    Args:
        host: The address on which the port has to be free.
        kind: The socket type, a stream socket by default.
    """
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def write_private_file(path: Path, text: str) -> Path:
    """Writes `text` to a file that only its owner can read (mode 0600) and returns `path`."""
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    with open(path, "w", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
        file.write(text)
    return path


class World:
    """The simulated surroundings of a limiter group, with the files that limiters and agents are started with.

    Limiters are divided evenly among the agents in the order of their numbers. All files are written to `folder`.

    Attributes:
        folder: The directory of all files.
        limiters: The number of limiters.
        agents: The number of agents.
        plans: The plans of all customers, as the settings list them.
        rng: Random numbers that repeat for the same seed.
        registry: The servers that discovery lists.
        counter: The shared counter.
        network: The datagram relays between limiters.
        listens: The client address of each limiter.
        grpc_addresses: The gRPC address of each limiter; empty without `grpc`.
        lend: The number of load generator workers that each agent's machine lends.
        agent_listens: The address of each agent.
        tokens: The authentication token of each operator, viewer and agent by name.
    """

    def __init__(
        self,
        folder: Path,
        limiters: int = 3,
        boxes: int = 9,
        agents: int = 1,
        seed: int = 1,
        plans: Sequence[dict[str, Any]] = PLANS,
        grpc: bool = False,
        lend: int = 0,
    ) -> None:
        self.folder, self.limiters, self.agents = folder, limiters, agents
        self.plans = [dict(plan) for plan in plans]
        self.rng = random.Random(seed)
        self._hosts = random.SystemRandom()  # addresses have to differ between worlds that run at the same time
        self.registry, self.counter = Registry(), Counter()
        self.network = Network(limiters, seed)
        self._server_count = boxes
        self.listens = [free_address(random_loopback_host(self._hosts)) for _ in range(limiters)]
        self.grpc_addresses = [free_address(random_loopback_host(self._hosts)) for _ in range(limiters if grpc else 0)]
        self.lend = lend
        self.agent_listens = [free_address(random_loopback_host(self._hosts)) for _ in range(agents)]
        self.tokens = {name: secrets.token_hex(16) for name in (*OPERATORS, "viewer", *self.agent_names)}

    @property
    def agent_names(self) -> list[str]:
        """The names of all agents in the order of their numbers."""
        return [f"agent-{number}" for number in range(self.agents)]

    @property
    def limiter_names(self) -> list[str]:
        """The names of all limiters in the order of their numbers."""
        return [f"n{number}" for number in range(self.limiters)]

    @property
    def boxes(self) -> dict[str, SimulatedServer]:
        """The listed servers by id."""
        return self.registry.boxes

    async def open(self) -> None:
        """Starts the simulated services and writes the files; limiters and agents are not started."""
        await self.registry.discovery.start(self.limiters)
        await self.counter.open(self.limiters)
        await self.network.open()
        for number in range(self._server_count):
            await self.add_box(f"s-{number:02d}", (STD, OLD)[number % 2], FLOORS[number % len(FLOORS)])
        self.write_files()
        for number in range(self.limiters):
            self.config_path(number).write_text(json.dumps(self.config(number)))

    async def add_box(self, uid: str, kind: Kind, floor: str, boot_ms: float = 0.0) -> SimulatedServer:
        """Starts a server and adds it to discovery.

        Args:
            uid: The server's id.
            kind: The hardware kind.
            floor: The zone.
            boot_ms: The start time in Unix ms; 0 for a server that is warm.
        """
        server = SimulatedServer(uid, kind, floor, self.rng.randrange(1 << 30), boot_ms)
        await server.open(self.limiters)
        self.registry.add(server)
        return server

    def config(self, number: int) -> dict[str, Any]:
        """Returns the configuration of limiter `number`."""
        has_peers = self.limiters > 1
        return {
            "name": f"n{number}",
            "seed": f"{self.rng.randrange(1 << 63):016x}",
            "listen": self.listens[number],
            "discovery": self.discovery_endpoint(number),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": self.counter_endpoint(number),
            "settings": self.settings_of(number),
            **(
                {
                    "peer_listen": self.network.listens[number],
                    "peers": self.network.peers(number),
                    "peers_all": self.network.everyone(number),
                }
                if has_peers
                else {}
            ),
        }

    # The address at which one component reaches another. A subclass that puts a relay between them overrides these.

    def discovery_endpoint(self, limiter: int) -> str:
        """Returns the address at which a limiter reaches discovery."""
        return self.registry.discovery.ports[limiter].endpoint

    def counter_endpoint(self, limiter: int) -> str:
        """Returns the address at which a limiter reaches the counter."""
        return self.counter.ports[limiter].endpoint

    def agent_address(self, asker: str, agent: int) -> str:
        """Returns the address at which a caller reaches an agent.

        Args:
            asker: The name of the calling agent; empty for a tool.
            agent: The number of the agent that is called.
        """
        return self.agent_listens[agent]

    def agent_zone(self, agent: int) -> str:
        """Returns the zone of an agent's machine for the group file; empty to leave the zone out of the file."""
        return ""

    def settings_of(self, limiter: int) -> dict[str, Any]:
        """Returns the settings object of a limiter."""
        return {**group_settings(limiter, self.limiters), "plans": self.plans}

    def limiter_command(self, limiter: int) -> list[str]:
        """Returns the command that starts a limiter."""
        return [sys.executable, "-B", "-m", "elderlock"]

    def config_path(self, number: int) -> Path:
        """Returns the path of the configuration file of limiter `number`."""
        return self.folder / f"n{number}.json"

    def share(self, agent: int) -> range:
        """Returns the numbers of the limiters that an agent runs."""
        return range(agent * self.limiters // self.agents, (agent + 1) * self.limiters // self.agents)

    def agent_path(self, agent: int) -> Path:
        """Returns the path of an agent's configuration file."""
        return self.folder / f"agent-{agent}.toml"

    @property
    def group_path(self) -> Path:
        """The path of the group file that tools use."""
        return self.folder / "group.toml"

    def group_file(self, asker: str) -> Path:
        """Returns the path of the group file of the agent `asker`, or of the tools where `asker` is empty."""
        return self.group_path.with_stem(f"group-{asker}") if asker else self.group_path

    def token_path(self, name: str) -> Path:
        """Returns the path of the file with the token of `name`."""
        return self.folder / f"token-{name}"

    def write_files(self) -> None:
        """Writes the agent files, the group files, the gRPC files and the tokens."""
        roles = {**dict.fromkeys(OPERATORS, "operator"), "viewer": "viewer", **dict.fromkeys(self.agent_names, "agent")}
        write_private_file(
            self.folder / "tokens", "".join(f"{roles[name]} {name} {token}\n" for name, token in self.tokens.items())
        )
        for name, token in self.tokens.items():
            write_private_file(self.token_path(name), token + "\n")
        for asker in ("", *self.agent_names):
            lines = [f'[group]\ntoken = "token-{OPERATORS[0]}"\n']
            for number, name in enumerate(self.agent_names):
                zone_line = f'floor = "{self.agent_zone(number)}"\n' if self.agent_zone(number) else ""
                lines.append(
                    f'[[agent]]\nname = "{name}"\naddress = "{self.agent_address(asker, number)}"\n{zone_line}'
                )
            self.group_file(asker).write_text("\n".join(lines))
        for number, grpc_address in enumerate(self.grpc_addresses):
            text = f'[authz]\nlisten = "{grpc_address}"\n[[authz.askers]]\naccounts = ["*"]\n'
            (self.folder / f"authz-{number}.toml").write_text(text)
        for agent in range(self.agents):
            self.write_agent(agent)

    def write_agent(self, agent: int, command: Sequence[str] = (), supervise: str = "") -> Path:
        """Writes the configuration file of an agent and returns its path.

        Args:
            agent: The agent's number.
            command: The command that starts each limiter; by default that of `limiter_command`.
            supervise: Further lines of the section `[supervise]`.
        """
        name = self.agent_names[agent]
        lines = [
            f'[agent]\nname = "{name}"\nlisten = "{self.agent_listens[agent]}"\nstate = "{name}"\n'
            f'tokens = "tokens"\ngroup = "{self.group_file(name).name}"\npeer_token = "token-{name}"\n',
            f"[supervise]\n{supervise}\n",
            f"[lend]\nworkers = {self.lend}\n",
        ]
        for number in self.share(agent):
            limiter_command = json.dumps(list(command) or self.limiter_command(number))
            lines.append(
                f'[[limiter]]\nname = "n{number}"\ncommand = {limiter_command}\n'
                f'config = "n{number}.json"\ndirectory = {json.dumps(str(ROOT))}\n'
                + (f'authz = "authz-{number}.toml"\n' if self.grpc_addresses else "")
            )
        path = self.agent_path(agent)
        path.write_text("\n".join(lines))
        return path

    async def close(self) -> None:
        """Stops all simulated services."""
        for server in self.boxes.values():
            await server.close()
        await self.registry.discovery.close()
        await self.counter.close()
        self.network.close()
