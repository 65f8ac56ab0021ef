"""A whole group on loopback: boxes of two kinds, discovery, the counter, the datagrams, and the files that
limiters and agents are started with."""

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
    """A loopback address of its own for each listener that must come back at its port: outgoing
    connections leave from 127.0.0.1, so none takes that port while the listener is away."""
    return f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}"


def free_address(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> str:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def write_private_file(path: Path, text: str) -> Path:
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    with open(path, "w", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
        file.write(text)
    return path


class World:
    """`agents` share the limiters out evenly, the first taking the first. Everything lies in `folder`. With
    `grpc` each limiter has a gRPC door too, at an address of `doors`."""

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
        self._hosts = random.SystemRandom()  # addresses must not repeat between worlds side by side
        self.registry, self.counter = Registry(), Counter()
        self.network = Network(limiters, seed)
        self._boxes = boxes
        self.listens = [free_address(random_loopback_host(self._hosts)) for _ in range(limiters)]
        self.doors = [free_address(random_loopback_host(self._hosts)) for _ in range(limiters if grpc else 0)]
        self.lend = lend  # workers of the load generator that each agent's machine lends
        self.agent_listens = [free_address(random_loopback_host(self._hosts)) for _ in range(agents)]
        self.tokens = {name: secrets.token_hex(16) for name in (*OPERATORS, "viewer", *self.agent_names)}

    @property
    def agent_names(self) -> list[str]:
        return [f"agent-{n}" for n in range(self.agents)]

    @property
    def limiter_names(self) -> list[str]:
        return [f"n{n}" for n in range(self.limiters)]

    @property
    def boxes(self) -> dict[str, SimulatedServer]:
        return self.registry.boxes

    async def open(self) -> None:
        """Starts the stand-ins and writes the files; limiters and agents are not started."""
        await self.registry.discovery.start(self.limiters)
        await self.counter.open(self.limiters)
        await self.network.open()
        for number in range(self._boxes):
            await self.add_box(f"s-{number:02d}", (STD, OLD)[number % 2], FLOORS[number % len(FLOORS)])
        self.write_files()
        for number in range(self.limiters):
            self.config_path(number).write_text(json.dumps(self.config(number)))

    async def add_box(self, uid: str, kind: Kind, floor: str, boot_ms: float = 0.0) -> SimulatedServer:
        box = SimulatedServer(uid, kind, floor, self.rng.randrange(1 << 30), boot_ms)
        await box.open(self.limiters)
        self.registry.add(box)
        return box

    def config(self, number: int) -> dict[str, Any]:
        several = self.limiters > 1
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
                if several
                else {}
            ),
        }

    # By which addresses each is known, and to whom: where something lies between, it says so here

    def discovery_endpoint(self, limiter: int) -> str:
        return self.registry.discovery.doors[limiter].endpoint

    def counter_endpoint(self, limiter: int) -> str:
        return self.counter.doors[limiter].endpoint

    def agent_address(self, asker: str, agent: int) -> str:
        """To another agent, by its name, or to a tool, where that is empty."""
        return self.agent_listens[agent]

    def agent_zone(self, agent: int) -> str:
        """On which its machine stands, where the group's file is to say so."""
        return ""

    def settings_of(self, limiter: int) -> dict[str, Any]:
        return {**group_settings(limiter, self.limiters), "plans": self.plans}

    def limiter_command(self, limiter: int) -> list[str]:
        return [sys.executable, "-B", "-m", "elderlock"]

    def config_path(self, number: int) -> Path:
        return self.folder / f"n{number}.json"

    def share(self, agent: int) -> range:
        """The limiters of that agent."""
        return range(agent * self.limiters // self.agents, (agent + 1) * self.limiters // self.agents)

    def agent_path(self, agent: int) -> Path:
        return self.folder / f"agent-{agent}.toml"

    @property
    def group_path(self) -> Path:
        return self.folder / "group.toml"

    def group_file(self, asker: str) -> Path:
        return self.group_path.with_stem(f"group-{asker}") if asker else self.group_path

    def token_path(self, name: str) -> Path:
        return self.folder / f"token-{name}"

    def write_files(self) -> None:
        """The agents' files, the group's and the tokens."""
        roles = {**dict.fromkeys(OPERATORS, "operator"), "viewer": "viewer", **dict.fromkeys(self.agent_names, "agent")}
        write_private_file(self.folder / "tokens", "".join(f"{roles[n]} {n} {t}\n" for n, t in self.tokens.items()))
        for name, token in self.tokens.items():
            write_private_file(self.token_path(name), token + "\n")
        for asker in ("", *self.agent_names):
            lines = [f'[group]\ntoken = "token-{OPERATORS[0]}"\n']
            for number, name in enumerate(self.agent_names):
                floor = f'floor = "{self.agent_zone(number)}"\n' if self.agent_zone(number) else ""
                lines.append(f'[[agent]]\nname = "{name}"\naddress = "{self.agent_address(asker, number)}"\n{floor}')
            self.group_file(asker).write_text("\n".join(lines))
        for number, door in enumerate(self.doors):
            text = f'[authz]\nlisten = "{door}"\n[[authz.askers]]\naccounts = ["*"]\n'
            (self.folder / f"authz-{number}.toml").write_text(text)
        for agent in range(self.agents):
            self.write_agent(agent)

    def write_agent(self, agent: int, command: Sequence[str] = (), supervise: str = "") -> Path:
        name = self.agent_names[agent]
        lines = [
            f'[agent]\nname = "{name}"\nlisten = "{self.agent_listens[agent]}"\nstate = "{name}"\n'
            f'tokens = "tokens"\ngroup = "{self.group_file(name).name}"\npeer_token = "token-{name}"\n',
            f"[supervise]\n{supervise}\n",
            f"[lend]\nworkers = {self.lend}\n",
        ]
        for number in self.share(agent):
            lines.append(
                f'[[limiter]]\nname = "n{number}"\ncommand = {json.dumps(list(command) or self.limiter_command(number))}\n'
                f'config = "n{number}.json"\ndirectory = {json.dumps(str(ROOT))}\n'
                + (f'authz = "authz-{number}.toml"\n' if self.doors else "")
            )
        path = self.agent_path(agent)
        path.write_text("\n".join(lines))
        return path

    async def close(self) -> None:
        for box in self.boxes.values():
            await box.close()
        await self.registry.discovery.close()
        await self.counter.close()
        self.network.close()
