"""Three members of a group over loopback sockets, whose messages are delivered in the order that a test chooses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from elderlock.control.framing import FrameDecoder, encode_frame
from elderlock.control.records import Record, Records
from elderlock.control.request_client import RequestClient
from elderlock.fleet import messages
from elderlock.fleet.agent_store import Store
from elderlock.fleet.consensus.interfaces import ChangeResult
from elderlock.fleet.consensus.member import ConsensusMember
from elderlock.rollout.disruption_budget import DisruptionBudget, DisruptionLimits, Inventory, InventoryItem
from elderlock.rollout.permit_ledger import Ledger, PermitRequest, grant_permits

NAMES = ("a", "b", "c")
CHANGE_TIMEOUT_S = 60.0  # longer than any test: no proposal ends because the machine is slow
POLL_INTERVAL_S = 0.001
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message of a proposer that has arrived at a voter's machine and was not handled yet."""

    proposer: str
    voter: str
    message: messages.Prepare | messages.Accept
    answer: Callable[[messages.Voted], None]


class Peer:
    """A member's connection to another member."""

    def __init__(self, name: str, client: RequestClient[messages.FromAgent]) -> None:
        self.name, self.client = name, client

    async def request(self, make_message: Callable[[int], messages.Message], timeout_s: float) -> messages.FromAgent:
        return await self.client.request(make_message(self.client.next_request_id()), timeout_s)

    def notify(self) -> None:
        """No exchange is made: a member learns only what its own proposals read."""


class Agent:
    """What a member needs of its agent."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.store, self.records = name, Store(folder / name), Records()
        self.peers: list[Peer] = []

    def epoch(self) -> int:
        return 1

    def inventory(self) -> Inventory:
        return Inventory((), ())

    def commit_record(self, record: Record, what: str) -> None:
        raise AssertionError("no permit is revoked in these tests")

    async def report_progress(self, progress: messages.Progress) -> messages.Progressed:
        raise AssertionError("no permit is released in these tests")


class ProposalNetwork:
    """Holds each message until the test delivers or loses it."""

    def __init__(self, places: int, servers: int) -> None:
        """Prepare a group whose budget lets `places` of `servers` out of service."""
        self.budget = DisruptionBudget(servers=DisruptionLimits(maximum_out=places))
        self.inventory = Inventory(tuple(InventoryItem(f"s-{number}") for number in range(servers)), ())
        self.members: dict[str, ConsensusMember] = {}
        self.is_reliable = False
        self.dead_voters: set[str] = set()
        self.pending: list[Envelope] = []

    def propose(self, name: str, server: str) -> asyncio.Task[ChangeResult]:
        """Have a member request a permit for a server."""
        request = PermitRequest((("box", server),), f"{name}/{server}", "an", "", 0, 0.0)

        def change(ledger: Ledger) -> Ledger | list[str]:
            return grant_permits(ledger, request, self.budget, self.inventory)

        return asyncio.create_task(self.members[name].change(change, CHANGE_TIMEOUT_S))

    async def arrival(self, kind: type[messages.Message], number: int, proposer: str, voter: str) -> Envelope:
        """Wait for a message of a ballot and take it."""
        while True:
            for envelope in self.pending:
                is_of_kind = isinstance(envelope.message, kind) and envelope.message.number == number
                if is_of_kind and (envelope.proposer, envelope.voter) == (proposer, voter):
                    self.pending.remove(envelope)
                    return envelope
            await asyncio.sleep(POLL_INTERVAL_S)

    async def deliver(self, kind: type[messages.Message], number: int, proposer: str, voter: str) -> None:
        """Have the voter handle and answer a message."""
        envelope = await self.arrival(kind, number, proposer, voter)
        envelope.answer(self.handle(envelope))

    async def deliver_without_answer(
        self, kind: type[messages.Message], number: int, proposer: str, voter: str
    ) -> Envelope:
        """Have the voter handle a message whose answer is not delivered; return the message."""
        envelope = await self.arrival(kind, number, proposer, voter)
        self.handle(envelope)
        return envelope

    async def lose(self, kind: type[messages.Message], number: int, proposer: str, voter: str) -> None:
        """Lose a message."""
        lose(await self.arrival(kind, number, proposer, voter))

    async def lose_next_step(self, proposer: str, number: int) -> None:
        """Wait until a proposer sends what follows its prepare messages of a ballot, and lose all that it has sent."""

        def follows(envelope: Envelope) -> bool:
            is_later = envelope.message.number > number or isinstance(envelope.message, messages.Accept)
            return envelope.proposer == proposer and envelope.message.number >= number and is_later

        while len({envelope.voter for envelope in self.pending if follows(envelope)}) < len(NAMES) - 1:
            await asyncio.sleep(POLL_INTERVAL_S)
        lost = [envelope for envelope in self.pending if envelope.proposer == proposer]
        self.pending = [envelope for envelope in self.pending if envelope.proposer != proposer]
        for envelope in lost:
            lose(envelope)

    def handle(self, envelope: Envelope) -> messages.Voted:
        """Have the voter decide and store its vote."""
        voter = self.members[envelope.voter]
        if isinstance(envelope.message, messages.Prepare):
            return voter.on_prepare(envelope.message)
        return voter.on_accept(envelope.message)

    def deliver_all(self) -> None:
        """Deliver all messages from now on, those that are held first."""
        self.is_reliable = True
        held, self.pending = self.pending, []
        for envelope in held:
            self.take(envelope)

    def take(self, envelope: Envelope) -> None:
        """Deliver a message if all messages are delivered and its voter lives, and hold or lose it otherwise."""
        if envelope.voter in self.dead_voters:
            lose(envelope)
        elif self.is_reliable:
            envelope.answer(self.handle(envelope))
        else:
            self.pending.append(envelope)

    async def deliver_in_random_order(self, rng: random.Random, count: int, loss: float) -> None:
        """Deliver or lose `count` messages, each drawn at random from those that are held."""
        for _ in range(count):
            while not self.pending:
                await asyncio.sleep(POLL_INTERVAL_S)
            envelope = self.pending.pop(rng.randrange(len(self.pending)))
            if rng.random() < loss:
                lose(envelope)
            else:
                envelope.answer(self.handle(envelope))
            if rng.random() < 0.5:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def serve(self, voter: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take the messages of one proposer's connection."""
        frames = FrameDecoder(messages.LONGEST)

        def answer(voted: messages.Voted) -> None:
            writer.write(encode_frame(messages.encode(voted)))

        while data := await reader.read(READ_BYTES):
            for frame in frames.feed(data):
                message = messages.decode_request(frame)
                assert isinstance(message, messages.Prepare | messages.Accept)
                self.take(Envelope(message.proposer.rpartition("/")[2], voter, message, answer))
        writer.close()


def lose(envelope: Envelope) -> None:
    """Lose a message: its proposer hears at once that it gets no vote, so that no test has to wait for a timeout."""
    no_vote = messages.Voted(envelope.message.id, envelope.voter, False, False, (0, ""))
    envelope.answer(no_vote)


@asynccontextmanager
async def proposal_network(folder: Path, places: int, servers: int) -> AsyncIterator[ProposalNetwork]:
    """Run three voters that are connected to one another."""
    network = ProposalNetwork(places, servers)
    agents = {name: Agent(name, folder) for name in NAMES}
    listeners: dict[str, asyncio.Server] = {}
    for name in NAMES:
        listeners[name] = await asyncio.start_server(
            lambda reader, writer, name=name: network.serve(name, reader, writer),  # type: ignore[misc]
            "127.0.0.1",
            0,
        )
    for name, agent in agents.items():
        network.members[name] = ConsensusMember(agent, network.budget, NAMES, random.Random(name))  # type: ignore[arg-type]
        network.members[name].is_voting = True
        for other in NAMES:
            if other != name:
                client: RequestClient[messages.FromAgent] = RequestClient(messages.decode_answer, messages.LONGEST)
                host, port = listeners[other].sockets[0].getsockname()[:2]
                await client.connect_tcp(host, port, None)
                agent.peers.append(Peer(other, client))
    try:
        yield network
    finally:
        for agent in agents.values():
            for peer in agent.peers:
                peer.client.close()
        for listener in listeners.values():
            listener.close()
