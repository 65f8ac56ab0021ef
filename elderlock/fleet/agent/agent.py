"""The agent of one machine: supervises its limiters, stores the drain records, and answers the group's API.

A change is made in this order: it is decided, stored together with its audit line, written to the file that each
limiter starts with, sent to the limiters, and sent to the other agents. A crash between any two of these steps loses
nothing. The store is read at the next start, and limiters and other agents return the records that the store lacks.
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
from elderlock.fleet import messages
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

PROGRESS_TIMEOUT_S = 0.4  # for a limiter's answer to the records
RECORDS_WAIT_TIMEOUT_S = 2.0  # how long the start of the limiters waits for records from the other agents
CLEANUP_INTERVAL_S = 60.0  # between removals of obsolete records
OBSOLETE_RECORD_AGE_MS = 24 * 3600 * 1000.0  # obsolete records that are older are removed

log = logs.get_logger(__name__)


class Agent:
    """The agent of one machine, with its parts; the module says in which order a change is made.

    Attributes:
        folder: The folder of the agent's file.
        file: The agent's file.
        name: The agent's name.
        state_folder: The folder of the lock, of the store and of the limiters' files.
        tokens: The tokens that the agent accepts.
        store: The stored records, votes, versions and audit log.
        store_error: The last failure of the store, for people; empty if it works.
        records: The drain records in force.
        started_at_ms: When the agent was started, on the monotonic clock.
        versions: The version folders.
        limiters: The limiters that the agent supervises, by name.
        agent_release: The agent's part in releases of agents.
        peers: The links to the other agents.
        group_view: What the agent knows of its group.
        consensus_member: The agent's part in the consensus; None where the group has no budget.
        plan_coordinator: The agent's part in plans; None where the group has no budget.
        worker_leasing: The workers of the load generator that the agent lends.
        port: The port that the API listens on, after `start`.
    """

    def __init__(
        self,
        path: Path,
        file: AgentFile,
        rng: random.Random,
        host: Host | None = None,
        launcher: LauncherLink | None = None,
    ) -> None:
        """Open the store and read all files; starts nothing.

        Args:
            path: The agent's file.
            file: Its content.
            rng: The source of random delays.
            host: The machine that the agent runs on; None for the real one.
            launcher: The link to the launcher that started the agent, if one did.

        Raises:
            FileError: A file cannot be used, or another agent uses the state folder.
            StoreError: The store cannot be used.
        """
        self.folder, self.file, self.name = path.resolve().parent, file, file.agent.name
        state_folder = self.state_folder = self.folder / file.agent.state
        self._host = host or Host()
        try:
            state_folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            state_folder.chmod(0o700)
            self._lock = self._host.lock(state_folder / "lock")
        except BlockingIOError:
            raise FileError(f"{state_folder}: another agent holds its lock") from None
        except OSError as error:
            raise FileError(f"{state_folder}: {error.strerror}") from None
        self.tokens = Tokens.read(self.folder / file.agent.tokens)
        self._tls = server_tls(file.agent.tls, self.folder) if file.agent.tls else None
        self.store = self._host.store(state_folder / "store.db")
        self.store_error = ""
        if self.store.damaged_file is not None:
            self.store_error = f"the store was damaged and has been moved to {self.store.damaged_file.name}"
            log.error("store failure", agent=self.name, error=self.store_error)
        self._epoch = self.store.next_epoch()
        self.records = Records(self.store.records())
        self.started_at_ms = now_ms()
        self.versions = Versions(self.folder, file)
        self.limiters = {
            part.name: ManagedLimiter(
                part,
                self.folder,
                state_folder / part.name,
                control_path(self.folder, file, part),
                self,
                self.store,
                file.policy(),
                random.Random(rng.random()),
                self.notify_peers,
                self._on_limiter_records,
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
            zones = {member.name: member.zone for member in group.agent}
            self.group_view = GroupView(self, members, zones)
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
        """Return the agent's epoch, which grows at each start."""
        return self._epoch

    def outbid(self, epoch: int) -> bool:
        """Raise the epoch above that of the agent's own claim, which its store has lost.

        Returns:
            Whether the new epoch could be stored.
        """
        try:
            self.store.raise_epoch(epoch + 1)
        except StoreError:
            return False
        self._epoch = max(self._epoch, epoch + 1)
        return True

    async def start(self) -> None:
        """Listen, and start all parts; the limiters start once the other agents' records have arrived."""
        host, port = address(self.file.agent.listen)
        self.port = await self._api.server.listen_tcp(host, port, self._tls)
        for limiter in self.limiters.values():
            limiter.begin()
        for peer in self.peers:
            peer.start()
        if self.consensus_member is not None:
            self.consensus_member.start()
        if self.plan_coordinator is not None:
            self.plan_coordinator.start()
        self.start_task(self._start_limiters())
        self._forget_obsolete_records()
        log.info("agent listens", agent=self.name, address=f"{host}:{self.port}")

    async def _start_limiters(self) -> None:
        """Wait for the records of the other agents and of running limiters, then start the limiters.

        They hold the drains that were made while this agent was down.
        """
        try:
            async with asyncio.timeout(RECORDS_WAIT_TIMEOUT_S):
                connection_attempts = [limiter.link.attempted.wait() for limiter in self.limiters.values()]
                await asyncio.gather(*connection_attempts, *(peer.records_received.wait() for peer in self.peers))
        except TimeoutError:
            unreachable = [peer.name for peer in self.peers if not peer.records_received.is_set()]
            log.warning(
                "limiters start without the records of all agents and limiters",
                agent=self.name,
                others=unreachable or ["limiter sockets"],
            )
        if self.plan_coordinator is not None:
            try:
                self.plan_coordinator.catch_up()
            except StoreError as error:
                # A full disk must not keep the limiters from starting on their last versions.
                self.store_failed(error)
        for limiter in self.limiters.values():
            limiter.start_if_wanted()

    def _forget_obsolete_records(self) -> None:
        """Remove old records of servers that no limiter knows any more, and schedule the next removal."""
        self._timer = asyncio.get_running_loop().call_later(CLEANUP_INTERVAL_S, self._forget_obsolete_records)
        states = [limiter.link.state for limiter in self.limiters.values() if limiter.link.state is not None]
        if len(states) < len(self.limiters):
            return  # a limiter that does not answer may still know the server of a record
        remaining = Records(self.records)
        present_servers = [server.uid for state in states for server in state.servers]
        forgotten = remaining.forget_obsolete(unix_ms() - OBSOLETE_RECORD_AGE_MS, present_servers)
        if forgotten:
            line = messages.AuditLine(unix_ms(), self.name, "agent", f"removed {_targets(forgotten)}", 0, "")
            try:
                self.store.delete_records(forgotten, line)
            except StoreError as error:
                return self.store_failed(error)
            self.records = remaining

    def close(self) -> None:
        """Stop all parts; the limiters keep running."""
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
        for limiter in self.limiters.values():
            limiter.close()
        self._api.server.close()
        self.worker_leasing.close()
        self.store.close()
        self._host.unlock(self._lock)

    def start_task(self, work: object) -> None:
        """Run a coroutine until it ends or the agent is closed."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Records

    def store_failed(self, error: StoreError) -> None:
        """Note and log a failure of the store."""
        self.store_error = f"the store failed: {error}"
        log.error("store failure", agent=self.name, error=self.store_error)

    def commit_records(self, records: list[Record], line: messages.AuditLine, broadcast: bool = True) -> int:
        """Store records with their audit line, then put them in force here.

        Args:
            records: The records.
            line: The audit line.
            broadcast: Whether to notify the other agents at once.

        Returns:
            The number of the audit line.

        Raises:
            StoreError: The records cannot be stored; nothing was done.
        """
        try:
            line_number = self.store.save_records(records, line)
        except StoreError as error:
            self.store_failed(error)
            raise
        self.store_error = ""
        self.records.merge(records)
        for limiter in self.limiters.values():
            limiter.write_start_files()
            limiter.link.wake()
        if broadcast:
            self.notify_peers()
        return line_number

    def merge_records(self, records: Iterable[Record], source: str) -> None:
        """Take the records that this agent lacks; those that cannot be stored are offered again later.

        Args:
            records: The records of another agent, a limiter or a command.
            source: Who sent them, for the audit log.
        """
        new_records = [record for record in records if self.records.check(record) is OfferResult.ACCEPTED]
        if not new_records:
            return
        line = messages.AuditLine(
            unix_ms(),
            source,
            "agent",
            f"learned {_targets(new_records)}",
            max(record.generation for record in new_records),
            "",
        )
        try:
            # The agent that made a record notifies all others at once. An agent that learns of the record from another
            # agent sends it with its next regular exchange. Otherwise each record would cost as many messages as the
            # group has pairs of agents.
            self.commit_records(new_records, line, broadcast=not source.startswith("agent "))
        except StoreError:
            return
        log.info("records learned", agent=self.name, via=source, records=_targets(new_records))

    def _on_limiter_records(self, limiter: str, records: tuple[Record, ...]) -> None:
        """Take the records of a limiter, which a lost store may lack."""
        self.merge_records(records, f"limiter {limiter}")

    def commit_record(self, record: Record, what: str) -> None:
        """Store the record with a line in the audit log and send it to the limiters and the other agents.

        Raises:
            StoreError: The record cannot be stored; nothing was done.
        """
        self.commit_records(
            [record], messages.AuditLine(unix_ms(), self.name, "agent", what, record.generation, "under way")
        )

    async def report_progress(self, progress: messages.Progress) -> messages.Progressed:
        """Report how far the records of some targets have come at this agent's limiters."""
        records = [record for kind, target in progress.targets if (record := self.records.get(kind, target))]
        await self.deliver_records(PROGRESS_TIMEOUT_S)
        return messages.Progressed(progress.id, self.name, tuple(records), tuple(self.reach(records)))

    def inventory(self) -> Inventory:
        """Return what the agent knows of the group's servers and limiters."""
        return self.group_view.inventory()

    def limiter_zones(self) -> list[tuple[str, str]]:
        """Return all limiters that are known, with their zones."""
        return self.group_view.limiter_zones()

    def agent_zones(self) -> list[tuple[str, str]]:
        """Return all agents of the group, with their zones."""
        return self.group_view.agent_zones()

    def peer_limiter_briefs(self) -> list[tuple[str, float, messages.LimiterBrief]]:
        """Return other agents' reports on their limiters: the agent, the report's age in ms, and the report."""
        return self.group_view.peer_limiter_briefs()

    def usable_limiters(self, names: Iterable[str]) -> set[str]:
        """Return those of the named limiters that are neither drained nor known to be silent."""
        return self.group_view.usable_limiters(names)

    def notify_peers(self) -> None:
        """Start an exchange with all other agents at once."""
        for peer in self.peers:
            peer.notify()

    def notify_peer(self, name: str) -> None:
        """Start an exchange with one other agent at once."""
        for peer in self.peers:
            if peer.name == name:
                peer.notify()

    def audit(self, who: str, role: str, what: str, outcome: str) -> None:
        """Add a line to the audit log.

        Raises:
            StoreError: The line cannot be stored.
        """
        self.store.save_records([], messages.AuditLine(unix_ms(), who, role, what, 0, outcome))

    async def deliver_records(self, timeout_s: float) -> None:
        """Send the records to all limiters, and wait for their answers at most `timeout_s`."""
        await asyncio.gather(*(limiter.link.push_records(timeout_s) for limiter in self.limiters.values()))

    def reach(self, records: list[Record]) -> list[messages.Reach]:
        """Return how far each record has come at each limiter that it concerns."""
        return [reach for limiter in self.limiters.values() for reach in limiter.reach(records)]


def _targets(records: Iterable[Record]) -> str:
    return ", ".join(f"{record.kind} {record.target} (generation {record.generation})" for record in records)


class CompanionService(Protocol):
    """A service that runs in the agent's process."""

    async def start(self) -> None:
        """Start the service, after the agent."""

    async def stop(self) -> None:
        """Stop the service, before the agent."""

    def reload(self) -> None:
        """Read the service's files again, on SIGHUP."""


async def serve(
    path: Path,
    make_companion: Callable[[Agent], CompanionService | None] = lambda agent: None,
    host: Host | None = None,
    launcher: LauncherLink | None = None,
) -> None:
    """Run an agent until SIGTERM or SIGINT.

    Args:
        path: The agent's file.
        make_companion: Makes the service that runs beside the agent, if there is one.
        host: The machine that the agent runs on; None for the real one.
        launcher: The link to the launcher that started the agent; None to take it from the environment, if it is there.

    Raises:
        FileError: A file cannot be used, or another agent uses the state folder.
        StoreError: The store cannot be used.
        OSError: The API cannot listen on its address.
    """
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if launcher is None and (launcher := LauncherLink.from_environ(os.environ)) is not None:
        launcher.watch(stop.set)
    agent = Agent(path, read_agent(path), random.Random(), host, launcher)
    try:
        companion = make_companion(agent)
        # without a handler, SIGHUP would end the agent
        loop.add_signal_handler(signal.SIGHUP, companion.reload if companion is not None else lambda: None)
        await agent.start()
        if companion is not None:
            await companion.start()
        await stop.wait()
        if companion is not None:
            await companion.stop()
    finally:
        agent.close()
    log.info("agent ends, its limiters keep running", agent=agent.name)


def check(path: Path) -> None:
    """Check the agent's file and all files that it names; starts nothing.

    Raises:
        FileError: A file cannot be used.
    """
    file = read_agent(path)
    folder = path.resolve().parent
    Tokens.read(folder / file.agent.tokens)
    if file.agent.tls is not None:
        server_tls(file.agent.tls, folder)
    if file.agent.group:
        read_group(folder / file.agent.group)
        read_token(folder / file.agent.peer_token)
