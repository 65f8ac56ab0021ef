"""Agents in this process with scripted limiters: failures of drains, claims, stores and the API."""

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

from elderlock.control import messages as control_messages
from elderlock.control.framing import encode_frame
from elderlock.control.records import Record
from elderlock.control.request_client import NoAnswerError, RequestClient
from elderlock.fleet import messages
from elderlock.fleet.agent.agent import Agent
from elderlock.fleet.agent.clock import now_ms
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.client.answers import Missing
from elderlock.fleet.client.commands import Result, observe_group
from elderlock.fleet.client.drain_commands import Order, carry_out
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import CommandReport, Exit, Row
from elderlock.fleet.config import FileError, read_agent
from elderlock.fleet.host import HostProcess
from elderlock.fleet.messages import AuditLine
from elderlock.standins.certificates import write_certificates
from elderlock.standins.limiters import ScriptedLimiter, Trouble
from elderlock.standins.stores import FailingConnection
from elderlock.standins.waiting import run, until
from elderlock.standins.world import OPERATORS, World


class Fleet:
    """Agents in this process, with scripted limiters; by default agent k has the limiters n{2k} and n{2k+1}."""

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
        await until(lambda: all(limiter.link.attempted.is_set() for limiter in agent.limiters.values()))
        return agent

    def kill(self, number: int) -> None:
        """Stop an agent as SIGKILL does: it sends nothing more, and its store stays as it is."""
        self.agents.pop(number).close()

    def group(self, operator: str = OPERATORS[0]) -> Group:
        return Group.read(self.world.group_path, self.world.token_path(operator))

    async def command(
        self,
        target: str = "s-1",
        drained: bool = True,
        operator: str = OPERATORS[0],
        on_report: Callable[[str, CommandReport], None] = lambda title, account: None,
        **order: Any,
    ) -> Result:
        group = self.group(operator)
        try:
            kind = order.pop("kind", "box")
            wanted = Order(kind, (target,), drained, force=True, **{"give_up_after": 10.0, **order})
            return await carry_out(group, wanted, on_report)
        finally:
            group.close()

    def close(self) -> None:
        for agent in self.agents.values():
            agent.close()
        for limiter in self.limiters.values():
            limiter.vanish()


@asynccontextmanager
async def fleet(folder: Path, agents: int = 1, limiters: int = 2) -> AsyncIterator[Fleet]:
    group = Fleet(folder, agents, limiters)
    try:
        await group.open()
        yield group
    finally:
        group.close()


def rows(result: Result) -> dict[str, Row]:
    return {row.limiter: row for row in result.reports[0].rows()}


def states(result: Result) -> dict[str, str]:
    return {name: row.state for name, row in rows(result).items()}


def records(agent: Agent) -> list[tuple[str, bool, int, str]]:
    return sorted(
        (record.target, record.is_drained, record.generation, record.requested_by) for record in agent.records
    )


def test_a_drain_reaches_all_limiters_and_reports_when_each_applied_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=4) as group:
            result = await group.command()
            assert result.exit is Exit.DONE
            for name, row in rows(result).items():
                assert row.state == "reached"
                assert abs(row.at - group.limiters[name].in_force["s-1"]) < 50.0  # both are read from the same clock
            assert (await group.command(drained=False)).exit is Exit.DONE
            assert not any(limiter.in_force for limiter in group.limiters.values())

    run(test())


class RecordingProcess(HostProcess):
    """A process that records the signals that it is sent."""

    def __init__(self) -> None:
        self.pid, self.start_ticks, self.signals = 0, 0, list[int]()

    def signal(self, number: int) -> None:
        self.signals.append(number)

    def forget(self) -> None:
        pass


def test_a_stop_request_to_a_process_that_ended_does_not_signal_its_successor(tmp_path: Path) -> None:
    """The old process ends, and the next one is started, while a stop request to the old one has no answer yet."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            managed, faulty = group.agents[0].limiters["n1"], group.limiters["n1"]
            await until(lambda: managed.link.state is not None)
            old, new = RecordingProcess(), RecordingProcess()
            faulty.trouble, faulty.only = Trouble.STOPPED, control_messages.Stop
            managed.process = old
            ending = asyncio.create_task(managed._terminate())
            await until(lambda: any(isinstance(message, control_messages.Stop) for message in faulty.received))
            managed.process = new
            faulty.restart()  # its connections end
            await ending
            assert old.signals == [] and new.signals == []
            managed.process = None

    run(test())


def test_a_show_request_without_waiting_time_does_not_mark_limiters_silent(tmp_path: Path) -> None:
    """A request may leave the limiters no time to answer. It then shows their last state and must not mark them silent,
    because other decisions depend on that. Only the regular polls may mark a limiter silent."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            agent, faulty = group.agents[0], group.limiters["n1"]
            await until(lambda: agent.limiters["n1"].link.state is not None)
            faulty.trouble, faulty.only = Trouble.STOPPED, control_messages.GetState
            client = group.group()
            view = await observe_group(client, accounts=0, timeout_s=30.0, fresh_timeout_ms=0.0)
            client.close()
            assert any(isinstance(message, control_messages.GetState) for message in faulty.received)
            assert {state.limiter for state in view.states()} == {"n0", "n1"}
            assert agent.limiters["n1"].link.status == "answering"
            await until(lambda: agent.limiters["n1"].link.status == "silent")

    run(test())


@pytest.mark.parametrize("trouble", [Trouble.STOPPED, Trouble.LATE, Trouble.DIES, Trouble.HALF, Trouble.NOISE])
def test_a_limiter_that_does_not_answer_is_unknown_until_it_reports_the_drain(trouble: Trouble, tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            faulty = group.limiters["n1"]
            faulty.trouble, faulty.delay = trouble, 3.0
            faulty.only = control_messages.ApplyRecords if trouble is not Trouble.STOPPED else None
            unknown = asyncio.Event()
            reported_states: list[str] = []

            def on_report(title: str, account: CommandReport) -> None:
                state = next(row.state for row in account.rows() if row.limiter == "n1")
                reported_states.append(state)
                if state == "unknown":
                    unknown.set()

            command = asyncio.create_task(group.command(on_report=on_report, give_up_after=None))
            await unknown.wait()
            if trouble is not Trouble.STOPPED:
                await until(lambda: "s-1" in faulty.in_force)  # the drain is in force, but the answer was lost
            assert "s-1" in group.limiters["n0"].in_force
            assert not command.done()  # without `give_up_after` it continues
            faulty.mend()
            result = await command
            assert reported_states[-1] == "reached" and "unknown" in reported_states
            assert states(result) == {"n0": "reached", "n1": "reached"} and result.exit is Exit.DONE

    run(test())


def test_a_limiter_that_closes_every_connection_is_not_considered_stopped(tmp_path: Path) -> None:
    """Its socket accepts connections, so a process may run there that does not hold the drain."""

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


def test_a_stopped_limiter_is_reported_as_drained_at_its_next_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            stopped = group.limiters["n1"]
            stopped.vanish()
            agent = group.agents[0]
            await until(lambda: not agent.limiters["n1"].link.is_listening)
            result = await group.command(give_up_after=0.5)
            # no process runs, and the next one has the drain before its first request
            assert states(result) == {"n0": "reached", "n1": "at-start"}
            boot = tmp_path / "agent-0" / "n1" / "records"
            boot_records = msgspec.msgpack.decode(boot.read_bytes(), type=tuple[Record, ...])
            assert [(record.target, record.is_drained) for record in boot_records] == [("s-1", True)]

    run(test())


def test_a_command_that_gives_up_reports_unknown_limiters(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.limiters["n1"].trouble = Trouble.STOPPED
            result = await group.command(give_up_after=0.1)
            assert result.exit is Exit.PART
            assert states(result) == {"n0": "reached", "n1": "unknown"}

    run(test())


def test_two_operators_who_drain_the_same_server_at_once_share_one_record(tmp_path: Path) -> None:
    """All agents hold the same single record, and both operators are told whose it is."""

    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            for _ in range(5):
                one, two = await asyncio.gather(
                    group.command(operator=OPERATORS[0]), group.command(operator=OPERATORS[1])
                )
                assert one.exit is Exit.DONE and two.exit is Exit.DONE
                first, second = group.agents.values()
                await until(lambda a=first, b=second: a.records.digest() == b.records.digest())  # type: ignore[misc]
                (target, drained, _, requested_by) = records(first)[0]
                assert (target, drained) == ("s-1", True) and len(records(first)) == 1
                requesters = {
                    record.requested_by for result in (one, two) for record in result.reports[0].records.values()
                }
                assert requested_by in requesters
                loser = two if requested_by == OPERATORS[0] else one
                # the loser is told in its report, unless both read the state before either record had spread
                assert loser.reports[0].text() or len(requesters) == 2
                assert (await group.command(drained=False)).exit is Exit.DONE

    run(test())


def test_an_undrain_overtakes_another_operators_drain_in_progress(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.limiters["n0"].left_in_work["s-1"] = 3  # the drain waits for these open requests
            under_way = asyncio.Event()
            drain = asyncio.create_task(
                group.command(on_report=lambda title, account: under_way.set(), give_up_after=None)
            )
            await under_way.wait()
            undrain = await group.command(drained=False, operator=OPERATORS[1])
            assert undrain.exit is Exit.DONE
            result = await drain
            assert result.exit is Exit.OVERTAKEN
            assert result.reports[0].text() == ["box s-1: not done, it is undrained by binh (generation 2)"]
            assert not group.limiters["n0"].in_force

    run(test())


def test_a_command_based_on_an_outdated_generation_is_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            await group.command()
            await group.command(drained=False)
            await group.command(operator=OPERATORS[1])
            stale = await group.command(drained=False, expect=1)
            assert stale.exit is Exit.OVERTAKEN
            assert "agent agent-0: you acted on generation 1, but it is drained by binh (generation 3) since" in (
                stale.reports[0].text()
            )
            assert all(limiter.in_force for limiter in group.limiters.values())
            assert (await group.command(drained=False, expect=3)).exit is Exit.DONE

    run(test())


def test_an_agent_killed_after_storing_a_drain_delivers_it_after_its_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            group.kill(0)
            store = Store(tmp_path / "agent-0" / "store.db")
            record = Record("box", "s-2", True, 1, "o", "an", 1.0)
            store.save_records([record], AuditLine(1.0, "an", "operator", "drain box s-2", 1, "under way"))
            store.close()
            assert not group.limiters["n0"].in_force
            await group.start(0)
            await until(lambda: all("s-2" in limiter.in_force for limiter in group.limiters.values()))

    run(test())


def test_an_agent_recovers_lost_records_from_its_limiters(tmp_path: Path) -> None:
    """The store is lost after the limiters got a record. The agent also outbids its own claims of greater epochs."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            for _ in range(3):
                group.kill(0)
                await group.start(0)  # each start increases the epoch
            await group.command("s-3")
            group.kill(0)
            for path in (tmp_path / "agent-0").glob("store.db*"):
                path.unlink()
            agent = await group.start(0)
            await until(lambda: records(agent) == [("s-3", True, 1, "an")])
            await until(lambda: all(limiter.link.status == "answering" for limiter in agent.limiters.values()))
            assert agent.store.records()[0].target == "s-3"
            assert (await group.command("s-3", drained=False)).exit is Exit.DONE

    run(test())


def test_an_agent_with_a_damaged_store_recovers_records_from_the_other_agents(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            await group.command("s-3")
            group.kill(0)
            group.limiters["n0"].restart()  # its limiter loses the record too; only the other agent has it
            for path in (tmp_path / "agent-0").glob("store.db-*"):
                path.unlink()
            (tmp_path / "agent-0" / "store.db").write_bytes(b"x" * 5000)
            agent = await group.start(0)
            await until(lambda: "s-3" in group.limiters["n0"].in_force)
            assert records(agent) == [("s-3", True, 1, "an")]
            assert list((tmp_path / "agent-0").glob("*.damaged-*"))

    run(test())


def test_a_drain_that_cannot_be_stored_is_not_made_and_the_operator_is_told(tmp_path: Path) -> None:
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
                "agent agent-0 refuses: nothing was done, as it could not be stored: database or disk is full"
            ]
            assert not group.limiters["n0"].in_force and not len(agent.records)
            viewer = group.group("viewer")
            assert "disk is full" in (await observe_group(viewer)).shown["agent-0"].store
            viewer.close()
            agent.store.save_records = keep  # type: ignore[method-assign]
            assert (await group.command()).exit is Exit.DONE

    run(test())


def test_a_limiter_is_not_started_while_its_drains_cannot_be_written(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            managed = group.agents[0].limiters["n1"]
            group.limiters["n1"].vanish()
            await until(lambda: not managed.link.is_listening)
            # a folder in place of the file makes the rename fail for any user
            (tmp_path / "agent-0" / "n1" / "records").mkdir()
            managed.want(True)
            assert managed.supervisor.phase == "backing-off" and managed.process is None
            assert "could not be written" in managed.status().link_why
            managed.want(False)

    run(test())


def test_a_restarted_agent_learns_of_a_drain_from_the_other_agents(tmp_path: Path) -> None:
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
            assert lines[-1].what == "learned box s-1 (generation 1)" and lines[-1].role == "agent"

    run(test())


def test_after_a_partition_the_greater_generation_wins(tmp_path: Path) -> None:
    """Both sides of the partition change the same server meanwhile."""

    async def test() -> None:
        async with fleet(tmp_path, agents=2, limiters=2) as group:
            first, second = group.agents[0], group.agents[1]
            for agent in (first, second):
                for peer in agent.peers:
                    peer.close()  # partitioned from each other; operators still reach both
            isolated_client = group.group()
            isolated_client._addresses = {"agent-0": isolated_client._addresses["agent-0"]}
            await carry_out(
                isolated_client, Order("box", ("s-1",), True, force=True, give_up_after=5.0), lambda *_: None
            )
            isolated_client.close()
            other_client = group.group(OPERATORS[1])
            other_client._addresses = {"agent-1": other_client._addresses["agent-1"]}
            for drained in (True, False):
                order = Order("box", ("s-1",), drained, force=True, give_up_after=5.0)
                await carry_out(other_client, order, lambda *_: None)
            other_client.close()
            assert records(first) == [("s-1", True, 1, "an")] and records(second) == [("s-1", False, 2, "binh")]
            for agent in (first, second):
                for peer in agent.peers:
                    peer.start()
            await until(lambda: records(first) == records(second) == [("s-1", False, 2, "binh")])
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
            await until(lambda: link.state is not None)  # it still reads the state
            second.limiters["n0"].want(True)
            assert second.limiters["n0"].process is None  # and does not start a second process
            second.limiters["n0"].want(False)
            result = await group.command(give_up_after=0.5)
            reported_states = {(row.agent, row.limiter): row.state for row in result.reports[0].rows()}
            assert reported_states["agent-0", "n0"] == "reached" and reported_states["agent-1", "n0"] == "not-reached"
            assert group.limiters["n0"].authority.owner == "agent-0"

    run(test())


def test_a_limiter_that_restarts_after_a_drain_is_drained_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            assert (await group.command()).exit is Exit.DONE
            group.limiters["n0"].restart()  # without its drains, as if started by hand
            await until(lambda: "s-1" in group.limiters["n0"].in_force)
            result = await group.command(operator=OPERATORS[1])
            assert result.exit is Exit.DONE and states(result)["n0"] == "reached"
            assert rows(result)["n0"].at >= group.limiters["n0"].in_force["s-1"] - 50.0

    run(test())


def test_show_separates_an_agents_own_report_from_what_others_heard_of_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, agents=3, limiters=3) as group:
            await until(
                lambda: all(
                    {observation.standing for observation in agent.group_view.membership.view(now_ms())} == {"alive"}
                    for agent in group.agents.values()
                )
            )
            group.kill(2)
            client = group.group("viewer")
            view = await observe_group(client)
            client.close()
            assert set(view.shown) == {"agent-0", "agent-1"}
            missing = view.missing["agent-2"]
            assert isinstance(missing, Missing) and missing.why == "nothing listens there"
            assert [brief.name for brief in view.observations["agent-2"].limiters] == ["n2"]
            assert view.limiters()["agent-2"] == ("n2",)

    run(test())


# The API


async def open_connection(agent: Agent) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = agent.file.agent.listen.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def connect_and_identify(group: Fleet, operator: str) -> RequestClient[messages.FromAgent]:
    host, _, port = group.agents[0].file.agent.listen.rpartition(":")
    client: RequestClient[messages.FromAgent] = RequestClient(messages.decode_answer, messages.LONGEST)
    await client.connect_tcp(host, int(port), None)
    answer = await client.request(messages.Hello((messages.VERSION,), group.world.tokens[operator]), 5.0)
    assert isinstance(answer, messages.Welcome)
    return client


def test_a_wrong_token_and_an_unknown_version_are_refused_and_no_token_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            for hello, code in ((messages.Hello((1,), "wrong" * 8), "token"), (messages.Hello((9,), ""), "version")):
                host, _, port = group.agents[0].file.agent.listen.rpartition(":")
                client: RequestClient[messages.FromAgent] = RequestClient(messages.decode_answer, messages.LONGEST)
                await client.connect_tcp(host, int(port), None)
                answer = await client.request(hello, 5.0)
                assert isinstance(answer, messages.Refused) and answer.code == code
                await client.disconnected.wait()
            assert "wrongwrong" not in caplog.text and "wrong token" in caplog.text
            assert not any(token in caplog.text for token in group.world.tokens.values())

    run(test())


def test_a_drain_by_a_viewer_is_refused_and_audited(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            result = await group.command(operator="viewer", give_up_after=5.0)
            assert result.exit is Exit.NOTHING
            assert result.reports[0].text() == ["agent agent-0 refuses: viewer is a viewer and may not intend"]
            assert not group.limiters["n0"].in_force
            line = group.agents[0].store.audit(1)[0]
            assert (line.who, line.role, line.what) == ("viewer", "viewer", "refused: intend")
            client = await connect_and_identify(group, "agent-0")
            answer = await client.request(messages.Show(1), 5.0)
            assert isinstance(answer, messages.Refused) and answer.code == "role"
            client.close()

    run(test())


def test_the_audit_log_names_operator_action_generation_and_reach(tmp_path: Path) -> None:
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
    ids=["noise", "not a message", "incomplete message"],
)
def test_malformed_input_closes_its_connection_and_the_api_keeps_serving(first: bytes, tmp_path: Path) -> None:
    """10 MB of 0xff bytes, a frame that is not a message, and an incomplete message."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            reader, writer = await open_connection(group.agents[0])
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


def test_a_thousand_idle_connections_do_not_lock_operators_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            host, _, port = group.agents[0].file.agent.listen.rpartition(":")
            sockets = []
            for _ in range(1000):
                connection = socket.socket()
                connection.setblocking(False)
                connection.connect_ex((host, int(port)))
                sockets.append(connection)
                if len(sockets) % 100 == 0:
                    await asyncio.sleep(0)
            result = await group.command()
            assert result.exit is Exit.DONE
            assert (
                len(group.agents[0]._api.server.connections) <= group.agents[0]._api.server.limits.maximum_connections
            )
            for connection in sockets:
                connection.close()

    run(test())


def test_a_client_that_does_not_read_is_disconnected_at_the_unsent_limit(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            agent = group.agents[0]
            agent._api.server.limits = type(agent._api.server.limits)(
                messages.LONGEST, messages.LONGEST_HELLO, maximum_unsent_bytes=1 << 18, stall_timeout_s=0.2
            )
            reader, writer = await open_connection(agent)
            writer.write(encode_frame(messages.encode(messages.Hello((1,), group.world.tokens["viewer"]))))
            await reader.read(1000)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            connection_count = len(agent._api.server.connections)
            assert connection_count
            with pytest.raises(ConnectionError):
                while True:
                    for number in range(50):
                        writer.write(encode_frame(messages.encode(messages.Show(number + 1))))
                    await writer.drain()
                    await asyncio.sleep(0.01)
            assert (await group.command()).exit is Exit.DONE

    run(test())


@pytest.mark.parametrize(
    ("is_expired", "has_client_certificate", "answer_type"),
    [(False, True, messages.Shown), (True, True, Missing), (False, False, Missing)],
    ids=["good", "expired", "none"],
)
def test_tls_accepts_only_certificates_of_the_groups_authority(
    is_expired: bool, has_client_certificate: bool, answer_type: type, tmp_path: Path
) -> None:
    async def test() -> None:
        write_certificates(tmp_path, is_expired)
        world = World(tmp_path, limiters=1, boxes=0)
        world.agent_listens = ["127.0.0.1:0"]
        world.write_files()
        path = world.agent_path(0)
        text = path.read_text().replace('group = "group.toml"\npeer_token = "token-agent-0"\n', "")
        part = '\n[{}.tls]\ncertificate = "{}.crt"\nkey = "{}.key"\nca = "ca.crt"\n'
        path.write_text(text.split("[[limiter]]")[0] + part.format("agent", "server", "server"))
        agent = Agent(path, read_agent(path), random.Random(1))
        await agent.start()
        address = f"127.0.0.1:{agent.port}"
        world.group_path.write_text(
            f'[group]\ntoken = "token-an"\n[[agent]]\nname = "agent-0"\naddress = "{address}"\n'
            + part.format("group", "client", "client")
        )
        group = Group.read(world.group_path)
        if not has_client_certificate:
            group._tls = ssl.create_default_context(cafile=str(tmp_path / "ca.crt"))
        answer = await group.ask("agent-0", lambda request_id: messages.Show(request_id), messages.Shown, 5.0)
        assert type(answer) is answer_type, answer
        group.close()
        agent.close()

    run(test())


def test_a_second_agent_cannot_use_the_same_state_folder(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            path = group.world.agent_path(0)
            with pytest.raises(FileError, match="another agent holds its lock"):
                Agent(path, read_agent(path), random.Random(1))

    run(test())


def test_a_caller_distinguishes_not_sent_from_an_unknown_outcome(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as group:
            client = await connect_and_identify(group, "viewer")
            group.limiters["n0"].trouble = Trouble.STOPPED
            with pytest.raises(NoAnswerError, match="no answer within"):
                await client.request(messages.Show(client.next_request_id()), 0.001)
            group.kill(0)
            await client.disconnected.wait()
            group_client = group.group()
            answer = await group_client.ask(
                "agent-0", lambda request_id: messages.Show(request_id), messages.Shown, 1.0
            )
            assert isinstance(answer, Missing) and not answer.sent
            group_client.close()

    run(test())


def test_a_disk_error_at_any_write_of_a_command_causes_no_false_report(tmp_path: Path) -> None:
    """Whichever write fails, the command's report matches what the limiters hold, and the next attempt succeeds."""

    async def test() -> None:
        async with fleet(tmp_path) as group:
            agent = group.agents[0]
            agent.store.close()
            FailingConnection.countdown, FailingConnection.writes = -1, 0
            agent.store = Store(tmp_path / "agent-0" / "store.db", FailingConnection)
            writes_before = FailingConnection.writes
            assert (await group.command("s-4")).exit is Exit.DONE
            write_count = FailingConnection.writes - writes_before
            assert write_count >= 5
            refused_count = 0
            for failing_write in range(1, write_count + 1):
                drained = "s-4" not in group.limiters["n0"].in_force
                FailingConnection.countdown = failing_write
                result = await group.command("s-4", drained=drained, give_up_after=0.01)
                FailingConnection.countdown = -1
                drained_states = ["s-4" in limiter.in_force for limiter in group.limiters.values()]
                if result.exit is Exit.NOTHING:
                    refused_count += 1
                    assert drained_states == [not drained] * 2
                    assert (await group.command("s-4", drained=drained)).exit is Exit.DONE
                else:  # only the last write failed, which adds the reach to the audit line
                    assert result.exit is Exit.DONE and drained_states == [drained] * 2
                assert agent.store.records()[0].is_drained == drained
            assert 0 < refused_count < write_count

    run(test())
