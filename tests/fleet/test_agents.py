"""Agents in this process over scripted limiters: the hard cases of drains, claims, stores and doors."""

import asyncio
import random
import socket
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from elderlock.control import messages as m
from elderlock.control.framing import encode_frame
from elderlock.control.records import Record
from elderlock.control.request_client import NoAnswerError, RequestClient
from elderlock.fleet import messages as f
from elderlock.fleet.agent.agent import Agent
from elderlock.fleet.agent.clock import now_ms
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.client.answers import Missing
from elderlock.fleet.client.drain_commands import Order, Result, carry_out, observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import CommandReport, Exit, Row
from elderlock.fleet.config import FileError, read_agent
from elderlock.fleet.host import HostProcess
from elderlock.fleet.messages import AuditLine
from elderlock.standins.certificates import write_certificates
from elderlock.standins.limiters import ScriptedLimiter, Trouble
from elderlock.standins.stores import Failing
from elderlock.standins.waiting import run, until
from elderlock.standins.world import OPERATORS, World


class Fleet:
    """Agents with scripted limiters: agent k has limiters n{2k} and n{2k+1} unless told otherwise."""

    def __init__(self, folder: Path, agents: int, limiters: int) -> None:
        self.world = World(folder, limiters=limiters, boxes=0, agents=agents)
        self.agents: dict[int, Agent] = {}
        self.limiters: dict[str, ScriptedLimiter] = {}

    async def open(self) -> None:
        self.world.write_files()
        for number in range(self.world.agents):
            path = self.world.agent_path(number)
            path.write_text(path.read_text().replace("directory =", "start = false\ndirectory ="))
            for name in self.world.share(number):
                socket_path = self.world.folder / f"agent-{number}" / f"n{name}" / "control.sock"
                self.limiters[f"n{name}"] = await ScriptedLimiter(f"n{name}", socket_path).listen()
        for number in range(self.world.agents):
            await self.start(number)

    async def start(self, number: int) -> Agent:
        path = self.world.agent_path(number)
        agent = self.agents[number] = Agent(path, read_agent(path), random.Random(number))
        await agent.start()
        await until(lambda: all(c.link.attempted.is_set() for c in agent.limiters.values()))
        return agent

    def kill(self, number: int) -> None:
        """As SIGKILL: nothing is told to anyone; the store is as it stands."""
        self.agents.pop(number).close()

    def group(self, who: str = OPERATORS[0]) -> Group:
        return Group.read(self.world.group_path, self.world.token_path(who))

    async def command(
        self,
        target: str = "s-1",
        drained: bool = True,
        who: str = OPERATORS[0],
        told: Callable[[str, CommandReport], None] = lambda title, account: None,
        **order: Any,
    ) -> Result:
        group = self.group(who)
        try:
            kind = order.pop("kind", "box")
            wanted = Order(kind, (target,), drained, force=True, **{"give_up_after": 10.0, **order})
            return await carry_out(group, wanted, told)
        finally:
            group.close()

    def close(self) -> None:
        for agent in self.agents.values():
            agent.close()
        for limiter in self.limiters.values():
            limiter.vanish()


@asynccontextmanager
async def fleet(folder: Path, agents: int = 1, limiters: int = 2) -> AsyncIterator[Fleet]:
    made = Fleet(folder, agents, limiters)
    try:
        await made.open()
        yield made
    finally:
        made.close()


def rows(result: Result) -> dict[str, Row]:
    return {row.limiter: row for row in result.reports[0].rows()}


def states(result: Result) -> dict[str, str]:
    return {name: row.state for name, row in rows(result).items()}


def records(agent: Agent) -> list[tuple[str, bool, int, str]]:
    return sorted((r.target, r.is_drained, r.generation, r.requested_by) for r in agent.records)


def test_a_drain_reaches_all_and_the_claim_is_what_the_limiters_saw(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=4) as group:
            result = await group.command()
            assert result.exit is Exit.DONE
            for name, row in rows(result).items():
                assert row.state == "reached"
                assert abs(row.at - group.limiters[name].in_force["s-1"]) < 50.0  # one clock, two readings
            assert (await group.command(drained=False)).exit is Exit.DONE
            assert not any(limiter.in_force for limiter in group.limiters.values())

    run(test())


class Recorded(HostProcess):
    """A process that notes what it is sent."""

    def __init__(self) -> None:
        self.pid, self.start_ticks, self.sent = 0, 0, list[int]()

    def signal(self, number: int) -> None:
        self.sent.append(number)

    def forget(self) -> None:
        pass


def test_a_process_that_ends_without_an_answer_does_not_take_its_successor_with_it(tmp_path: Path) -> None:
    """The word to stop is on its way while the old process ends, and the next has been started before that is known."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            charge, odd = group.agents[0].limiters["n1"], group.limiters["n1"]
            await until(lambda: charge.link.state is not None)
            old, new = Recorded(), Recorded()
            odd.trouble, odd.only = Trouble.STOPPED, m.Stop
            charge.process = old
            ending = asyncio.create_task(charge._terminate())
            await until(lambda: any(isinstance(message, m.Stop) for message in odd.received))
            charge.process = new
            odd.restart()  # its connections end
            await ending
            assert old.sent == [] and new.sent == []
            charge.process = None

    run(test())


def test_an_impatient_look_makes_no_limiter_silent(tmp_path: Path) -> None:
    """Who asks what the group is like may give its limiters no time at all: it is shown their last word, and what others
    plan by stays. That one is silent is for the regular looks to say."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            agent, odd = group.agents[0], group.limiters["n1"]
            await until(lambda: agent.limiters["n1"].link.state is not None)
            odd.trouble, odd.only = Trouble.STOPPED, m.GetState
            tool = group.group()
            seen = await observe_group(tool, accounts=0, timeout_s=30.0, fresh_timeout_ms=0.0)
            tool.close()
            assert any(isinstance(message, m.GetState) for message in odd.received)
            assert {state.limiter for state in seen.states()} == {"n0", "n1"}
            assert agent.limiters["n1"].link.status == "answering"
            await until(lambda: agent.limiters["n1"].link.status == "silent")

    run(test())


@pytest.mark.parametrize("trouble", [Trouble.STOPPED, Trouble.LATE, Trouble.DIES, Trouble.HALF, Trouble.NOISE])
def test_a_limiter_that_gives_no_answer_is_unknown_and_reached_once_it_says_so(
    trouble: Trouble, tmp_path: Path
) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            odd = group.limiters["n1"]
            odd.trouble, odd.delay = trouble, 3.0
            odd.only = m.ApplyRecords if trouble is not Trouble.STOPPED else None
            unknown = asyncio.Event()
            seen: list[str] = []

            def told(title: str, account: CommandReport) -> None:
                state = next(row.state for row in account.rows() if row.limiter == "n1")
                seen.append(state)
                if state == "unknown":
                    unknown.set()

            command = asyncio.create_task(group.command(told=told, give_up_after=None))
            await unknown.wait()
            if trouble is not Trouble.STOPPED:
                await until(lambda: "s-1" in odd.in_force)  # "it may be in force": it is, and nobody was told
            assert "s-1" in group.limiters["n0"].in_force
            assert not command.done()  # it goes on until it is told not to
            odd.mend()
            result = await command
            assert seen[-1] == "reached" and "unknown" in seen
            assert states(result) == {"n0": "reached", "n1": "reached"} and result.exit is Exit.DONE

    run(test())


def test_one_that_ends_every_connection_is_not_taken_for_one_that_does_not_run(tmp_path: Path) -> None:
    """Something listens there: to say that nothing runs would be a promise that nobody keeps."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.limiters["n1"].trouble = Trouble.EMPTY
            link = group.agents[0].limiters["n1"].link
            await until(lambda: link.status == "down")
            result = await group.command(give_up_after=0.5)
            assert states(result) == {"n0": "reached", "n1": "not-reached"} and result.exit is Exit.PART
            assert not group.limiters["n1"].in_force
            group.limiters["n1"].mend()
            await until(lambda: "s-1" in group.limiters["n1"].in_force)

    run(test())


def test_one_that_was_not_reached_is_told_apart_and_drained_before_work_when_it_is_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            gone = group.limiters["n1"]
            gone.vanish()
            agent = group.agents[0]
            await until(lambda: not agent.limiters["n1"].link.is_listening)
            result = await group.command(give_up_after=0.5)
            # nothing runs there: what starts next has the drain before its first request
            assert states(result) == {"n0": "reached", "n1": "at-start"}
            boot = tmp_path / "agent-0" / "n1" / "records"
            held = msgspec.msgpack.decode(boot.read_bytes(), type=tuple[Record, ...])
            assert [(r.target, r.is_drained) for r in held] == [("s-1", True)]

    run(test())


def test_a_command_given_up_says_what_is_not_known(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.limiters["n1"].trouble = Trouble.STOPPED
            result = await group.command(give_up_after=0.1)
            assert result.exit is Exit.PART
            assert states(result) == {"n0": "reached", "n1": "unknown"}

    run(test())


def test_two_operators_drain_the_same_box_at_once(tmp_path: Path) -> None:
    """One record everywhere, one outcome, and both are told whose it is."""

    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            for _ in range(5):
                one, two = await asyncio.gather(group.command(who=OPERATORS[0]), group.command(who=OPERATORS[1]))
                assert one.exit is Exit.DONE and two.exit is Exit.DONE
                a, b = group.agents.values()
                await until(lambda a=a, b=b: a.records.digest() == b.records.digest())  # type: ignore[misc]
                (target, drained, _, by) = records(a)[0]
                assert (target, drained) == ("s-1", True) and len(records(a)) == 1
                held = {r.requested_by for result in (one, two) for r in result.reports[0].records.values()}
                assert by in held
                loser = two if by == OPERATORS[0] else one
                # the loser is told in words, unless both looked before either record had spread
                assert loser.reports[0].text() or len(held) == 2
                assert (await group.command(drained=False)).exit is Exit.DONE

    run(test())


def test_one_undrains_while_the_others_drain_is_under_way(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.limiters["n0"].left_in_work["s-1"] = 3  # so that the drain waits for work that is out
            under_way = asyncio.Event()
            drain = asyncio.create_task(group.command(told=lambda title, account: under_way.set(), give_up_after=None))
            await under_way.wait()
            undrain = await group.command(drained=False, who=OPERATORS[1])
            assert undrain.exit is Exit.DONE
            result = await drain
            assert result.exit is Exit.OVERTAKEN
            assert result.reports[0].text() == ["box s-1: not done, it is undrained by binh (generation 2)"]
            assert not group.limiters["n0"].in_force

    run(test())


def test_one_acts_on_what_was_seen_before_the_others_change(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            await group.command()
            await group.command(drained=False)
            await group.command(who=OPERATORS[1])
            stale = await group.command(drained=False, expect=1)
            assert stale.exit is Exit.OVERTAKEN
            assert "agent agent-0: you acted on generation 1, but it is drained by binh (generation 3) since" in (
                stale.reports[0].text()
            )
            assert all(limiter.in_force for limiter in group.limiters.values())
            assert (await group.command(drained=False, expect=3)).exit is Exit.DONE

    run(test())


def test_an_agent_killed_between_its_store_and_its_limiters_ends_the_work_when_it_is_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.kill(0)
            store = Store(tmp_path / "agent-0" / "store.db")
            kept = Record("box", "s-2", True, 1, "o", "an", 1.0)
            store.save_records([kept], AuditLine(1.0, "an", "operator", "drain box s-2", 1, "under way"))
            store.close()
            assert not group.limiters["n0"].in_force
            await group.start(0)
            await until(lambda: all("s-2" in limiter.in_force for limiter in group.limiters.values()))

    run(test())


def test_a_limiter_that_knows_more_than_its_agents_store_gives_it_back(tmp_path: Path) -> None:
    """The other order: told, and the store lost before or after; also the agent's own claim is outbid."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            for _ in range(3):
                group.kill(0)
                await group.start(0)  # epochs grow
            await group.command("s-3")
            group.kill(0)
            for path in (tmp_path / "agent-0").glob("store.db*"):
                path.unlink()
            agent = await group.start(0)
            await until(lambda: records(agent) == [("s-3", True, 1, "an")])
            await until(lambda: all(c.link.status == "answering" for c in agent.limiters.values()))
            assert agent.store.records()[0].target == "s-3"
            assert (await group.command("s-3", drained=False)).exit is Exit.DONE

    run(test())


def test_a_damaged_store_is_learnt_anew_and_said_aloud(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            await group.command("s-3")
            group.kill(0)
            group.limiters["n0"].restart()  # and its limiter has forgotten as well: the other agent has not
            for path in (tmp_path / "agent-0").glob("store.db-*"):
                path.unlink()
            (tmp_path / "agent-0" / "store.db").write_bytes(b"x" * 5000)
            agent = await group.start(0)
            await until(lambda: "s-3" in group.limiters["n0"].in_force)
            assert records(agent) == [("s-3", True, 1, "an")]
            assert list((tmp_path / "agent-0").glob("*.damaged-*"))

    run(test())


def test_what_cannot_be_kept_is_not_done_and_the_operator_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            agent = group.agents[0]
            keep = agent.store.save_records

            def fails(records: object, line: AuditLine) -> int:
                raise StoreError("database or disk is full")

            agent.store.save_records = fails  # type: ignore[method-assign]
            result = await group.command(give_up_after=0.3)
            assert result.exit is Exit.NOTHING
            assert result.reports[0].text() == [
                "agent agent-0 refuses: nothing was done, it could not be kept: database or disk is full"
            ]
            assert not group.limiters["n0"].in_force and not len(agent.records)
            viewer = group.group("viewer")
            assert "disk is full" in (await observe_group(viewer)).shown["agent-0"].store
            viewer.close()
            agent.store.save_records = keep  # type: ignore[method-assign]
            assert (await group.command()).exit is Exit.DONE

    run(test())


def test_drains_that_cannot_be_written_for_the_next_start_hold_it_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            charge = group.agents[0].limiters["n1"]
            group.limiters["n1"].vanish()
            await until(lambda: not charge.link.is_listening)
            # a folder where the file should be: the rename fails, whoever we are
            (tmp_path / "agent-0" / "n1" / "records").mkdir()
            charge.want(True)
            assert charge.supervisor.phase == "backing-off" and charge.process is None
            assert "could not be written" in charge.status().link_why
            charge.want(False)

    run(test())


def test_an_agent_that_was_away_learns_of_a_drain_from_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=3, limiters=3) as group:
            group.kill(2)
            result = await group.command(give_up_after=0.5)
            assert result.exit is Exit.PART
            assert states(result) == {"n0": "reached", "n1": "reached", "n2": "not-reached"}
            assert rows(result)["n2"].why == "agent agent-2: nothing listens there"
            await group.start(2)
            await until(lambda: "s-1" in group.limiters["n2"].in_force)
            lines = group.agents[2].store.audit(9)
            assert lines[-1].what == "learnt box s-1 (generation 1)" and lines[-1].role == "agent"

    run(test())


def test_one_cut_off_takes_a_drain_and_comes_back_with_an_older_generation(tmp_path: Path) -> None:
    """Both sides change the same box meanwhile; the greater generation holds everywhere in the end."""

    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            a, b = group.agents[0], group.agents[1]
            for agent in (a, b):
                for peer in agent.peers:
                    peer.close()  # cut off from one another; operators reach each on its own
            cut = group.group()
            cut._addresses = {"agent-0": cut._addresses["agent-0"]}
            await carry_out(cut, Order("box", ("s-1",), True, force=True, give_up_after=5.0), lambda *_: None)
            cut.close()
            others = group.group(OPERATORS[1])
            others._addresses = {"agent-1": others._addresses["agent-1"]}
            for drained in (True, False):
                order = Order("box", ("s-1",), drained, force=True, give_up_after=5.0)
                await carry_out(others, order, lambda *_: None)
            others.close()
            assert records(a) == [("s-1", True, 1, "an")] and records(b) == [("s-1", False, 2, "binh")]
            for agent in (a, b):
                for peer in agent.peers:
                    peer.start()
            await until(lambda: records(a) == records(b) == [("s-1", False, 2, "binh")])
            await until(lambda: not any(limiter.in_force for limiter in group.limiters.values()))

    run(test())


def test_two_agents_claim_the_same_limiter(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            group.kill(1)
            shared = tmp_path / "agent-0" / "n0" / "control.sock"
            path = group.world.agent_path(1)
            path.write_text(path.read_text().replace('name = "n1"', f'name = "n0"\ncontrol = "{shared}"'))
            second = await group.start(1)
            link = second.limiters["n0"].link
            await until(lambda: link.status == "claimed")
            assert "agent agent-0 holds this limiter" in link.status_reason
            await until(lambda: link.state is not None)  # it still shows what it sees
            second.limiters["n0"].want(True)
            assert second.limiters["n0"].process is None  # and starts no double of it
            second.limiters["n0"].want(False)
            result = await group.command(give_up_after=0.5)
            told = {(row.agent, row.limiter): row.state for row in result.reports[0].rows()}
            assert told["agent-0", "n0"] == "reached" and told["agent-1", "n0"] == "not-reached"
            assert group.limiters["n0"].desk.owner == "agent-0"

    run(test())


def test_a_limiter_that_restarts_during_a_drain_is_not_counted_by_what_it_was(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            assert (await group.command()).exit is Exit.DONE
            group.limiters["n0"].restart()  # without its drains, as one that was started by hand
            await until(lambda: "s-1" in group.limiters["n0"].in_force)
            result = await group.command(who=OPERATORS[1])
            assert result.exit is Exit.DONE and states(result)["n0"] == "reached"
            assert rows(result)["n0"].at >= group.limiters["n0"].in_force["s-1"] - 50.0

    run(test())


def test_show_tells_what_one_says_of_itself_from_what_others_heard(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=3, limiters=3) as group:
            await until(
                lambda: all(
                    {h.standing for h in agent.group_view.membership.view(now_ms())} == {"alive"}
                    for agent in group.agents.values()
                )
            )
            group.kill(2)
            asker = group.group("viewer")
            seen = await observe_group(asker)
            asker.close()
            assert set(seen.shown) == {"agent-0", "agent-1"}
            missing = seen.missing["agent-2"]
            assert isinstance(missing, Missing) and missing.why == "nothing listens there"
            assert [brief.name for brief in seen.observations["agent-2"].limiters] == ["n2"]
            assert seen.limiters()["agent-2"] == ("n2",)

    run(test())


# The doors


async def raw(agent: Agent) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = agent.file.agent.listen.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def greeted(group: Fleet, who: str) -> RequestClient[f.FromAgent]:
    host, _, port = group.agents[0].file.agent.listen.rpartition(":")
    caller: RequestClient[f.FromAgent] = RequestClient(f.decode_answer, f.LONGEST)
    await caller.connect_tcp(host, int(port), None)
    answer = await caller.request(f.Hello((f.VERSION,), group.world.tokens[who]), 5.0)
    assert isinstance(answer, f.Welcome)
    return caller


def test_a_wrong_token_and_an_unknown_version_are_refused_and_never_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            for hello, code in ((f.Hello((1,), "wrong" * 8), "token"), (f.Hello((9,), ""), "version")):
                host, _, port = group.agents[0].file.agent.listen.rpartition(":")
                caller: RequestClient[f.FromAgent] = RequestClient(f.decode_answer, f.LONGEST)
                await caller.connect_tcp(host, int(port), None)
                answer = await caller.request(hello, 5.0)
                assert isinstance(answer, f.Refused) and answer.code == code
                await caller.disconnected.wait()
            assert "wrongwrong" not in caplog.text and "wrong token" in caplog.text
            assert not any(token in caplog.text for token in group.world.tokens.values())

    run(test())


def test_a_viewer_who_drains_is_refused_and_written_down(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            result = await group.command(who="viewer", give_up_after=5.0)
            assert result.exit is Exit.NOTHING
            assert result.reports[0].text() == ["agent agent-0 refuses: viewer is a viewer and may not intend"]
            assert not group.limiters["n0"].in_force
            line = group.agents[0].store.audit(1)[0]
            assert (line.who, line.role, line.what) == ("viewer", "viewer", "refused: intend")
            caller = await greeted(group, "agent-0")
            answer = await caller.request(f.Show(1), 5.0)
            assert isinstance(answer, f.Refused) and answer.code == "role"
            caller.close()

    run(test())


def test_the_audit_tells_who_what_which_generation_and_what_was_reached(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.limiters["n1"].trouble = Trouble.STOPPED
            await group.command(give_up_after=0.1, reason="loud")
            line = group.agents[0].store.audit(1)[0]
            assert (line.who, line.role, line.what, line.generation) == ("an", "operator", "drain box s-1", 1)
            assert line.reached == "n0: reached, n1: unknown"
            assert next(iter(group.agents[0].records)).reason == "loud"

    run(test())


@pytest.mark.parametrize(
    "first",
    [b"\xff" * (10 << 20), b"\x00\x00\x00\x04\xc1\xc1\xc1\xc1", b"\x00\x00\x00\x90hi"],
    ids=["noise", "no message", "half a message"],
)
def test_noise_and_half_messages_are_ended_and_the_door_stays_open(first: bytes, tmp_path: Path) -> None:
    """10 MB of noise, a frame that is no message, and half a message that never ends."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            reader, writer = await raw(group.agents[0])
            try:
                writer.write(first)
                await writer.drain()
                while await reader.read(1 << 16):
                    pass
            except ConnectionError:
                pass
            writer.transport.abort()
            assert (await group.command()).exit is Exit.DONE

    run(test())


def test_a_thousand_connections_keep_no_operator_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            host, _, port = group.agents[0].file.agent.listen.rpartition(":")
            sockets = []
            for _ in range(1000):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex((host, int(port)))
                sockets.append(sock)
                if len(sockets) % 100 == 0:
                    await asyncio.sleep(0)
            result = await group.command()
            assert result.exit is Exit.DONE
            assert (
                len(group.agents[0]._api.server.connections) <= group.agents[0]._api.server.limits.maximum_connections
            )
            for sock in sockets:
                sock.close()

    run(test())


def test_a_slow_reader_is_cut_off_in_bounded_memory(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            agent = group.agents[0]
            agent._api.server.limits = type(agent._api.server.limits)(
                f.LONGEST, f.LONGEST_HELLO, maximum_unsent_bytes=1 << 18, stall_timeout_s=0.2
            )
            reader, writer = await raw(agent)
            writer.write(encode_frame(f.encode(f.Hello((1,), group.world.tokens["viewer"]))))
            await reader.read(1000)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            strangers = len(agent._api.server.connections)
            assert strangers
            with pytest.raises(ConnectionError):
                while True:
                    for n in range(50):
                        writer.write(encode_frame(f.encode(f.Show(n + 1))))
                    await writer.drain()
                    await asyncio.sleep(0.01)
            assert (await group.command()).exit is Exit.DONE

    run(test())


@pytest.mark.parametrize(
    ("expired", "client", "answer"),
    [(False, True, f.Shown), (True, True, Missing), (False, False, Missing)],
    ids=["good", "expired", "none"],
)
def test_with_tls_only_a_certificate_of_the_groups_authority_comes_in(
    expired: bool, client: bool, answer: type, tmp_path: Path
) -> None:
    async def test() -> None:
        write_certificates(tmp_path, expired)
        world = World(tmp_path, limiters=1, boxes=0)
        world.agent_listens = ["127.0.0.1:0"]
        world.write_files()
        path = world.agent_path(0)
        text = path.read_text().replace('group = "group.toml"\npeer_token = "token-agent-0"\n', "")
        part = '\n[{}.tls]\ncertificate = "{}.crt"\nkey = "{}.key"\nca = "ca.crt"\n'
        path.write_text(text.split("[[limiter]]")[0] + part.format("agent", "server", "server"))
        agent = Agent(path, read_agent(path), random.Random(1))
        await agent.start()
        at = f"127.0.0.1:{agent.port}"
        world.group_path.write_text(
            f'[group]\ntoken = "token-an"\n[[agent]]\nname = "agent-0"\naddress = "{at}"\n'
            + part.format("group", "client", "client")
        )
        group = Group.read(world.group_path)
        if not client:
            group._tls = ssl.create_default_context(cafile=str(tmp_path / "ca.crt"))
        found = await group.ask("agent-0", lambda id: f.Show(id), f.Shown, 5.0)
        assert type(found) is answer, found
        group.close()
        agent.close()

    run(test())


def test_a_second_agent_on_the_same_state_is_turned_away(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            path = group.world.agent_path(0)
            with pytest.raises(FileError, match="another agent holds it"):
                Agent(path, read_agent(path), random.Random(1))

    run(test())


def test_a_caller_tells_certainly_not_sent_from_perhaps_done(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            caller = await greeted(group, "viewer")
            group.limiters["n0"].trouble = Trouble.STOPPED
            with pytest.raises(NoAnswerError, match="no answer within"):
                await caller.request(f.Show(caller.next_request_id()), 0.001)
            group.kill(0)
            await caller.disconnected.wait()
            asker = group.group()
            found = await asker.ask("agent-0", lambda id: f.Show(id), f.Shown, 1.0)
            assert isinstance(found, Missing) and not found.sent
            asker.close()

    run(test())


def test_a_disk_error_at_each_write_of_a_command_in_turn_leaves_no_false_word(tmp_path: Path) -> None:
    """Whichever write fails, the tool's word and what the limiters hold agree, and the next try goes through."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            agent = group.agents[0]
            agent.store.close()
            Failing.countdown, Failing.writes = -1, 0
            agent.store = Store(tmp_path / "agent-0" / "store.db", Failing)
            before = Failing.writes
            assert (await group.command("s-4")).exit is Exit.DONE
            count = Failing.writes - before
            assert count >= 5
            refused = 0
            for nth in range(1, count + 1):
                drained = "s-4" not in group.limiters["n0"].in_force
                Failing.countdown = nth
                result = await group.command("s-4", drained=drained, give_up_after=0.01)
                Failing.countdown = -1
                held = ["s-4" in limiter.in_force for limiter in group.limiters.values()]
                if result.exit is Exit.NOTHING:
                    refused += 1
                    assert held == [not drained] * 2
                    assert (await group.command("s-4", drained=drained)).exit is Exit.DONE
                else:  # what failed was the audit's last word, after all was done
                    assert result.exit is Exit.DONE and held == [drained] * 2
                assert agent.store.records()[0].is_drained == drained
            assert 0 < refused < count

    run(test())
