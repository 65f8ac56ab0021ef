"""The agent of one machine: supervises its limiters, keeps drains durably, answers the group's API.

Order of every change: decided, kept in the store with its audit line, written for each limiter's next
start, told to the limiters, told to the other agents. A death between any two of these loses nothing: the
store is read at the next start, and limiters and other agents give back what the store lacks.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Protocol

from elderlock import logs
from elderlock.control.records import OfferResult, Record, Records
from elderlock.fleet import messages as f
from elderlock.fleet.agent.api import Api
from elderlock.fleet.agent.clock import now_ms, unix_ms
from elderlock.fleet.agent.group_view import GroupView
from elderlock.fleet.agent.worker_leasing import WorkerLeasing
from elderlock.fleet.agent_store import StoreError
from elderlock.fleet.auth import Tokens, client_tls, read_token, server_tls
from elderlock.fleet.config import AgentFile, FileError, address, control_path, read_agent, read_group
from elderlock.fleet.consensus.member import ConsensusMember
from elderlock.fleet.group.peer_link import PeerLink
from elderlock.fleet.host import Host
from elderlock.fleet.launcher.launcher_link import LauncherLink
from elderlock.fleet.plans.agent_release import AgentRelease
from elderlock.fleet.plans.coordinator import PlanCoordinator
from elderlock.fleet.supervision.managed_limiter import ManagedLimiter
from elderlock.fleet.supervision.versions import Versions
from elderlock.rollout.disruption_budget import Inventory

PROGRESS_WITHIN = 0.4  # s that a limiter has to say how far it came
LEARN_WITHIN = 2.0  # s after a start that the others are waited for, before limiters are started
RETIRE_EVERY = 60.0  # s
RETIRE_AFTER = 24 * 3600 * 1000.0  # ms after which a record that says nothing any more is forgotten

log = logs.get_logger(__name__)


class Agent:
    """The agent of one machine, with its parts; see the module for the order of every change."""

    def __init__(
        self,
        path: Path,
        file: AgentFile,
        rng: random.Random,
        host: Host | None = None,
        launcher: LauncherLink | None = None,
    ) -> None:
        """Raises `FileError` or `StoreError`, with nothing begun."""
        self.folder, self.file, self.name = path.resolve().parent, file, file.agent.name
        home = self.state_folder = self.folder / file.agent.state
        self._host = host or Host()
        try:
            home.mkdir(mode=0o700, parents=True, exist_ok=True)
            home.chmod(0o700)
            self._lock = self._host.lock(home / "lock")
        except BlockingIOError:
            raise FileError(f"{home}: another agent holds it") from None
        except OSError as error:
            raise FileError(f"{home}: {error.strerror}") from None
        self.tokens = Tokens.read(self.folder / file.agent.tokens)
        self._tls = server_tls(file.agent.tls, self.folder) if file.agent.tls else None
        self.store = self._host.store(home / "store.db")
        self.store_error = ""
        if self.store.set_aside is not None:
            self.store_error = f"the store was damaged; put aside as {self.store.set_aside.name}"
            log.error("store trouble", agent=self.name, error=self.store_error)
        self._epoch = self.store.next_epoch()
        self.records = Records(self.store.records())
        self.started_at_ms = now_ms()
        self.versions = Versions(self.folder, file)
        self.limiters = {
            part.name: ManagedLimiter(
                part,
                self.folder,
                home / part.name,
                control_path(self.folder, file, part),
                self,
                self.store,
                file.policy(),
                random.Random(rng.random()),
                self.notify_peers,
                self._given_back,
                self._host,
                self.versions,
            )
            for part in file.limiter
        }
        self.agent_release = AgentRelease(self.name, launcher, self.versions, self.limiters)
        self.peers: list[PeerLink] = []
        members: list[str] = []
        self.group_view = GroupView(self, (), {})
        if file.agent.group:
            group = read_group(self.folder / file.agent.group)
            token = read_token(self.folder / file.agent.peer_token)
            tls = client_tls(group.group.tls, self.folder) if group.group.tls else None
            members = [member.name for member in group.agent]
            floors = {member.name: member.floor for member in group.agent}
            self.group_view = GroupView(self, members, floors)
            self.peers = [
                PeerLink(self.group_view, member.name, address(member.address), token, tls)
                for member in group.agent
                if member.name != self.name
            ]
        self.consensus_member: ConsensusMember | None = None
        self.plan_coordinator: PlanCoordinator | None = None
        if file.agent.group and group.budget is not None:
            rank = members.index(self.name) if self.name in members else len(members)
            self.consensus_member = ConsensusMember(
                self, group.budget, group.voters(), random.Random(rng.random()), rank
            )
            self.plan_coordinator = PlanCoordinator(self, self.consensus_member, members, random.Random(rng.random()))
        self.worker_leasing = WorkerLeasing(file.lend.workers)
        self._api = Api(self)
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self.port = 0

    def epoch(self) -> int:
        return self._epoch

    def outbid(self, epoch: int) -> bool:
        """Goes above the epoch of a claim of our own that the store has lost; False where it cannot."""
        try:
            self.store.at_least_epoch(epoch + 1)
        except StoreError:
            return False
        self._epoch = max(self._epoch, epoch + 1)
        return True

    async def start(self) -> None:
        host, port = address(self.file.agent.listen)
        self.port = await self._api.server.listen_tcp(host, port, self._tls)
        for charge in self.limiters.values():
            charge.begin()
        for peer in self.peers:
            peer.start()
        if self.consensus_member is not None:
            self.consensus_member.start()
        if self.plan_coordinator is not None:
            self.plan_coordinator.start()
        self.start_task(self._release())
        self._retire()
        log.info("agent listens", agent=self.name, address=f"{host}:{self.port}")

    async def _release(self) -> None:
        """Learns first, then starts: a drain that was made while this agent was away is held by the
        others, and by the limiters that ran on."""
        try:
            async with asyncio.timeout(LEARN_WITHIN):
                tried = [charge.link.tried.wait() for charge in self.limiters.values()]
                await asyncio.gather(*tried, *(peer.met.wait() for peer in self.peers))
        except TimeoutError:
            away = [peer.name for peer in self.peers if not peer.met.is_set()]
            log.warning("limiters start without word from others", agent=self.name, others=away or ["all sockets"])
        if self.plan_coordinator is not None:
            try:
                self.plan_coordinator.catch_up()
            except StoreError as error:  # a full disk must keep no limiter from starting as it last ran
                self.store_failed(error)
        for charge in self.limiters.values():
            charge.release()

    def _retire(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(RETIRE_EVERY, self._retire)
        states = [c.link.state for c in self.limiters.values() if c.link.state is not None]
        if len(states) < len(self.limiters):
            return  # one that does not answer may know the box still
        held = Records(self.records)
        present = [box.uid for state in states for box in state.servers]
        gone = held.forget_obsolete(unix_ms() - RETIRE_AFTER, present)
        if gone:
            line = f.AuditLine(unix_ms(), self.name, "agent", f"retired {_targets(gone)}", 0, "")
            try:
                self.store.forget(gone, line)
            except StoreError as error:
                return self.store_failed(error)
            self.records = held

    def close(self) -> None:
        """Leaves the limiters running."""
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        if self.plan_coordinator is not None:
            self.plan_coordinator.close()
        if self.consensus_member is not None:
            self.consensus_member.close()
        for peer in self.peers:
            peer.close()
        for charge in self.limiters.values():
            charge.close()
        self._api.server.close()
        self.worker_leasing.close()
        self.store.close()
        self._host.unlock(self._lock)

    def start_task(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Records

    def store_failed(self, error: StoreError) -> None:
        self.store_error = f"the store fails: {error}"
        log.error("store trouble", agent=self.name, error=self.store_error)

    def commit_records(self, records: list[Record], line: f.AuditLine, ours: bool = True) -> int:
        """In the store first; then in force here and, where it is `ours`, on the way to all. Raises `StoreError`, and
        then nothing has happened."""
        try:
            number = self.store.keep(records, line)
        except StoreError as error:
            self.store_failed(error)
            raise
        self.store_error = ""
        self.records.merge(records)
        for charge in self.limiters.values():
            charge.write_boot()
            charge.link.kick()
        if ours:
            self.notify_peers()
        return number

    def merge_records(self, records: Iterable[Record], via: str) -> None:
        """Takes what others hold and we lack. What cannot be kept is not taken: it is offered again."""
        news = [record for record in records if self.records.check(record) is OfferResult.ACCEPTED]
        if not news:
            return
        line = f.AuditLine(unix_ms(), via, "agent", f"learnt {_targets(news)}", max(r.generation for r in news), "")
        try:
            # whoever made it has told all; who hears of it at second hand tells with its next word, or each record
            # would cost a group as many words as it has pairs
            self.commit_records(news, line, ours=not via.startswith("agent "))
        except StoreError:
            return
        log.info("records learnt", agent=self.name, via=via, records=_targets(news))

    def _given_back(self, limiter: str, records: tuple[Record, ...]) -> None:
        """A limiter gives back what a lost store lacks."""
        self.merge_records(records, f"limiter {limiter}")

    def commit_record(self, record: Record, what: str) -> None:
        self.commit_records([record], f.AuditLine(unix_ms(), self.name, "agent", what, record.generation, "under way"))

    async def progressed(self, progress: f.Progress) -> f.Progressed:
        records = [r for kind, target in progress.targets if (r := self.records.get(kind, target))]
        await self.deliver_records(PROGRESS_WITHIN)
        return f.Progressed(progress.id, self.name, tuple(records), tuple(self.reach(records)))

    def inventory(self) -> Inventory:
        return self.group_view.inventory()

    def limiter_zones(self) -> list[tuple[str, str]]:
        return self.group_view.limiter_zones()

    def agent_zones(self) -> list[tuple[str, str]]:
        return self.group_view.agent_zones()

    def peer_limiter_briefs(self) -> list[tuple[str, float, f.LimiterBrief]]:
        return self.group_view.peer_limiter_briefs()

    def usable_limiters(self, names: Iterable[str]) -> set[str]:
        return self.group_view.usable_limiters(names)

    def notify_peers(self) -> None:
        for peer in self.peers:
            peer.kick()

    def notify_peer(self, name: str) -> None:
        for peer in self.peers:
            if peer.name == name:
                peer.kick()

    def audit(self, who: str, role: str, what: str, outcome: str) -> None:
        """In the audit. Raises `StoreError`."""
        self.store.keep([], f.AuditLine(unix_ms(), who, role, what, 0, outcome))

    async def deliver_records(self, within: float) -> None:
        await asyncio.gather(*(charge.link.bring(within) for charge in self.limiters.values()))

    def reach(self, records: list[Record]) -> list[f.Reach]:
        return [reach for charge in self.limiters.values() for reach in charge.reach(records)]


def _targets(records: Iterable[Record]) -> str:
    return ", ".join(f"{r.kind} {r.target} (generation {r.generation})" for r in records)


class CompanionService(Protocol):
    """What runs in the agent's process beside it."""

    async def start(self) -> None: ...
    async def stop(self) -> None: ...
    def reload(self) -> None: ...


async def serve(
    path: Path,
    beside: Callable[[Agent], CompanionService | None] = lambda agent: None,
    host: Host | None = None,
    launcher: LauncherLink | None = None,
) -> None:
    """Runs the agent of that file on `host` until SIGTERM or SIGINT, under `basis` or the base that started it, if any.
    Raises `FileError`, `StoreError`, `OSError`."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if launcher is None and (launcher := LauncherLink.of(os.environ)) is not None:
        launcher.watch(stop.set)
    agent = Agent(path, read_agent(path), random.Random(), host, launcher)
    try:
        other = beside(agent)
        # a SIGHUP that nobody handles would end the agent
        loop.add_signal_handler(signal.SIGHUP, other.reload if other is not None else lambda: None)
        await agent.start()
        if other is not None:
            await other.start()
        await stop.wait()
        if other is not None:
            await other.stop()
    finally:
        agent.close()
    log.info("agent ends; its limiters run on", agent=agent.name)


def check(path: Path) -> None:
    """The file and all that it names, with nothing begun. Raises `FileError`."""
    file = read_agent(path)
    folder = path.resolve().parent
    Tokens.read(folder / file.agent.tokens)
    if file.agent.tls is not None:
        server_tls(file.agent.tls, folder)
    if file.agent.group:
        read_group(folder / file.agent.group)
        read_token(folder / file.agent.peer_token)
